//! Reports and the repetition of messages that were lost.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::{RegionId, ServiceId};
use dispatch::MemberState;

use super::inner::Inner;
use super::timing::{ASK_TRIES, END_REPEAT, END_TRIES, POOL_REPORT};
use crate::message::Message;

impl Inner {
    /// Does what is due.
    pub fn tick(&mut self, now: Duration) {
        self.tell(now);
        if now >= self.next_report {
            self.next_report = now + POOL_REPORT;
            self.report_pools(now);
        }
        self.repeat_asks(now);
        self.repeat_ends(now);
        self.decide_all(now);
    }

    /// Reports the pools that this entry VM keeps to those that keep them in other regions.
    fn report_pools(&mut self, now: Duration) {
        let own = self.members.own.clone();
        if own.state != MemberState::Ready {
            return;
        }
        let mut regions: Vec<RegionId> = self.domains.values().cloned().collect();
        regions.sort();
        regions.dedup();
        let mut reports: BTreeMap<SocketAddr, Vec<(ServiceId, dispatch::PoolSnapshot)>> =
            BTreeMap::new();
        for (service, pool) in &mut self.pools {
            let keeper = self.members.pool_owner(service, &own.region, now);
            if keeper.is_none_or(|k| k.id != own.id) {
                continue;
            }
            let snapshot = pool.snapshot(now);
            for region in regions.iter().filter(|r| **r != own.region) {
                if let Some(to) = self.members.pool_owner(service, region, now) {
                    let pools = reports.entry(to.peers).or_default();
                    pools.push((service.clone(), snapshot));
                }
            }
        }
        for (to, pools) in reports {
            let region = own.region.clone();
            let incarnation = own.incarnation;
            self.send(
                to,
                Message::Pools {
                    region,
                    incarnation,
                    pools,
                },
            );
        }
    }

    fn repeat_asks(&mut self, now: Duration) {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.keeper.is_some() && now >= p.sent_at + p.period())
            .map(|(n, _)| *n)
            .collect();
        for number in due {
            let Some(pending) = self.pending.get_mut(&number) else {
                continue;
            };
            pending.tries += 1;
            if pending.tries >= ASK_TRIES {
                metrics::counter!("gateway_asks_unanswered_total").increment(1);
                log::info!(
                    "event=keeper_silent keeper={} service={} tries={}",
                    pending.keeper.as_deref().unwrap_or(""),
                    pending.ask.service,
                    pending.tries
                );
                pending.keeper = None;
            }
            self.place(number, now);
        }
    }

    fn repeat_ends(&mut self, now: Duration) {
        let outbox = &mut self.outbox;
        self.unconfirmed.retain(|_, u| {
            if now < u.sent_at + END_REPEAT {
                return true;
            }
            u.tries += 1;
            u.sent_at = now;
            if u.tries <= END_TRIES {
                outbox.push((u.to, u.message.clone()));
            }
            u.tries <= END_TRIES
        });
    }
}
