//! Changes of servers and of evacuated failure domains.

use std::time::Duration;

use config::DomainId;
use dispatch::Server;

use super::inner::Inner;

impl Inner {
    pub fn put_server(&mut self, server: Server, now: Duration) {
        if !server.ready {
            self.log_open_requests(&server.id, now);
        }
        let in_own_region = self.domains.get(&server.domain) == Some(&self.members.own.region);
        for (service, pool) in &mut self.pools {
            if !in_own_region || *service != server.service {
                pool.remove_server(&server.id);
            }
        }
        if in_own_region {
            let evacuated = self.evacuated.clone();
            let pool = self.pool(&server.service.clone());
            pool.upsert_server(server, now);
            pool.evacuate(&evacuated, now);
        }
        self.schedule_all(now);
    }

    pub fn remove_server(&mut self, id: &str, now: Duration) {
        self.log_open_requests(id, now);
        for pool in self.pools.values_mut() {
            pool.remove_server(id);
        }
    }

    /// Logs the requests of this entry VM that are open at a server when its stop becomes known.
    fn log_open_requests(&self, server: &str, now: Duration) {
        let open = self
            .active_slots
            .values()
            .filter(|s| &*s.grant.server == server);
        let ages = open.map(|s| now.saturating_sub(s.granted_at));
        let (count, oldest) = ages.fold((0, Duration::ZERO), |(n, max), age| (n + 1, max.max(age)));
        if count > 0 {
            log::info!(
                "event=requests_open_at_stop server={server} open={count} oldest_ms={}",
                oldest.as_millis()
            );
        }
    }

    pub fn evacuate(&mut self, domains: Vec<DomainId>, now: Duration) {
        for pool in self.pools.values_mut() {
            pool.evacuate(&domains, now);
        }
        self.evacuated = domains;
    }
}
