//! Moves pending requests and slots in use to a new pool owner when the ownership of a pool
//! changes.

use std::time::Duration;

use config::{EntryVmId, ServiceId};
use dispatch::{Grant, Outcome};

use super::inner::Inner;
use super::timing::MAX_UNANSWERED;
use crate::message::Message;

impl Inner {
    /// Moves the requests and slots of all services to the current pool owners.
    pub fn follow_pool_owners(&mut self, now: Duration) {
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            let owner = self.remote_owner(&service, now);
            self.hand_over_placements(&service, now);
            self.move_pending(&service, owner.as_ref(), now);
            self.move_slots(&service, owner.as_ref(), now);
        }
    }

    /// If this entry VM has lost the ownership of a pool, sends the cache state of its servers
    /// to the new owner. This is not resent: a lost datagram only costs some cache misses.
    fn hand_over_placements(&mut self, service: &ServiceId, now: Duration) {
        let own = &self.members.own;
        let Some(owner) = self.members.pool_owner(service, &own.region, now) else {
            return;
        };
        if owner.id == own.id {
            self.owned_services.insert(service.clone());
            return;
        }
        if !self.owned_services.remove(service) {
            return;
        }
        let (to, id) = (owner.peers, owner.id.clone());
        let placements = self.pool(service).export_placements();
        log::info!("event=pool_handed_over service={service} keeper={id}");
        for placement in placements {
            let service = service.clone();
            self.send(to, Message::Placement { service, placement });
        }
    }

    pub(super) fn move_pending(
        &mut self,
        service: &ServiceId,
        owner: Option<&EntryVmId>,
        now: Duration,
    ) {
        let moved: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.request.service == *service && p.unanswered < MAX_UNANSWERED)
            .filter(|(_, p)| p.owner.as_ref() != owner)
            .map(|(n, _)| *n)
            .collect();
        for number in moved {
            let own = self.members.own.incarnation;
            self.pool(service)
                .end((own, number), Outcome::Unused, None, now);
            self.pool(service).forget_ended((own, number));
            if let Some(p) = self.pending.get_mut(&number) {
                p.owner = owner.cloned();
                p.unanswered = 0;
            }
            self.send_or_submit(number, now);
        }
    }

    pub(super) fn move_slots(
        &mut self,
        service: &ServiceId,
        owner: Option<&EntryVmId>,
        now: Duration,
    ) {
        let moved: Vec<(u64, Grant, Duration)> = self
            .active_slots
            .iter_mut()
            .filter(|(_, u)| u.service == *service && u.owner.as_ref() != owner)
            .map(|(n, u)| {
                u.owner = owner.cloned();
                (*n, u.grant.clone(), u.expires_at.saturating_sub(now))
            })
            .collect();
        let to = owner.and_then(|o| self.members.get(o)).map(|m| m.peers);
        for (number, grant, remaining) in moved {
            let id = (self.members.own.incarnation, number);
            match to {
                Some(to) => {
                    let service = service.clone();
                    self.send(
                        to,
                        Message::Register {
                            id,
                            service,
                            grant,
                            remaining,
                        },
                    );
                }
                None => self.pool(service).register(id, grant, remaining, now),
            }
        }
    }
}
