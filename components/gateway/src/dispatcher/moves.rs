//! Requests and slots follow the keepers of their pools.

use std::time::Duration;

use config::{EntryVmId, ServiceId};
use dispatch::{Grant, Outcome};

use super::inner::Inner;
use super::timing::ASK_TRIES;
use crate::message::Message;

impl Inner {
    /// Moves requests and slots to the entry VMs that keep their pools now.
    pub fn follow_keepers(&mut self, now: Duration) {
        let services: Vec<ServiceId> = self.pools.keys().cloned().collect();
        for service in services {
            let keeper = self.keeper(&service, now);
            self.hand_over(&service, now);
            self.move_pending(&service, keeper.as_ref(), now);
            self.move_slots(&service, keeper.as_ref(), now);
        }
    }

    /// Tells the keeper that follows this entry VM where it has placed objects. A lost datagram
    /// costs some requests without warm data.
    fn hand_over(&mut self, service: &ServiceId, now: Duration) {
        let own = &self.members.own;
        let Some(keeper) = self.members.pool_owner(service, &own.region, now) else {
            return;
        };
        if keeper.id == own.id {
            self.kept.insert(service.clone());
            return;
        }
        if !self.kept.remove(service) {
            return;
        }
        let (to, id) = (keeper.peers, keeper.id.clone());
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
        keeper: Option<&EntryVmId>,
        now: Duration,
    ) {
        let moved: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.ask.service == *service && p.tries < ASK_TRIES)
            .filter(|(_, p)| p.keeper.as_ref() != keeper)
            .map(|(n, _)| *n)
            .collect();
        for number in moved {
            let own = self.members.own.incarnation;
            self.pool(service)
                .end((own, number), Outcome::Unused, None, now);
            self.pool(service).forget_ended((own, number));
            if let Some(p) = self.pending.get_mut(&number) {
                p.keeper = keeper.cloned();
                p.tries = 0;
            }
            self.place(number, now);
        }
    }

    pub(super) fn move_slots(
        &mut self,
        service: &ServiceId,
        keeper: Option<&EntryVmId>,
        now: Duration,
    ) {
        let moved: Vec<(u64, Grant, Duration)> = self
            .in_use
            .iter_mut()
            .filter(|(_, u)| u.service == *service && u.keeper.as_ref() != keeper)
            .map(|(n, u)| {
                u.keeper = keeper.cloned();
                (*n, u.grant.clone(), u.expires.saturating_sub(now))
            })
            .collect();
        let to = keeper.and_then(|k| self.members.get(k)).map(|m| m.peers);
        for (number, grant, left) in moved {
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
                            left,
                        },
                    );
                }
                None => self.pool(service).register(id, grant, left, now),
            }
        }
    }
}
