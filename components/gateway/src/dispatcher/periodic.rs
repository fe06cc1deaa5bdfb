//! Periodic work: pool snapshots for other regions, and resending of messages without an answer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use config::{RegionId, ServiceId};
use dispatch::MemberState;

use super::inner::Inner;
use super::timing::{END_RESEND_INTERVAL, MAX_END_SENDS, MAX_UNANSWERED, POOL_SNAPSHOT_INTERVAL};
use crate::message::Message;

impl Inner {
    /// Does the periodic work that is due.
    pub fn tick(&mut self, now: Duration) {
        self.send_due_heartbeats(now);
        if now >= self.next_snapshot_at {
            self.next_snapshot_at = now + POOL_SNAPSHOT_INTERVAL;
            self.send_pool_snapshots(now);
        }
        self.resend_requests(now);
        self.resend_ends(now);
        self.schedule_all(now);
    }

    /// Sends snapshots of the pools that this entry VM owns to the owners in other regions.
    fn send_pool_snapshots(&mut self, now: Duration) {
        let own = self.members.own.clone();
        if own.state != MemberState::Ready {
            return;
        }
        let mut regions: Vec<RegionId> = self.domains.values().cloned().collect();
        regions.sort();
        regions.dedup();
        let mut outgoing: BTreeMap<SocketAddr, Vec<(ServiceId, dispatch::PoolSnapshot)>> =
            BTreeMap::new();
        for (service, pool) in &mut self.pools {
            let owner = self.members.pool_owner(service, &own.region, now);
            if owner.is_none_or(|o| o.id != own.id) {
                continue;
            }
            let mut snapshot = pool.snapshot(now);
            if self.reachability.is_cut_off() {
                // Requests that other regions forward would arrive here.
                snapshot.free = 0;
            }
            for region in regions.iter().filter(|r| **r != own.region) {
                if let Some(to) = self.members.pool_owner(service, region, now) {
                    let pools = outgoing.entry(to.peers).or_default();
                    pools.push((service.clone(), snapshot));
                }
            }
        }
        for (to, pools) in outgoing {
            let region = own.region.clone();
            let incarnation = own.incarnation;
            self.send(
                to,
                Message::PoolSnapshots {
                    region,
                    incarnation,
                    pools,
                },
            );
        }
    }

    fn resend_requests(&mut self, now: Duration) {
        let due: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, p)| p.owner.is_some() && now >= p.sent_at + p.resend_interval())
            .map(|(n, _)| *n)
            .collect();
        for number in due {
            let Some(pending) = self.pending.get_mut(&number) else {
                continue;
            };
            pending.unanswered += 1;
            if pending.unanswered >= MAX_UNANSWERED {
                metrics::counter!("gateway_asks_unanswered_total").increment(1);
                log::info!(
                    "event=keeper_silent keeper={} service={} tries={}",
                    pending.owner.as_deref().unwrap_or(""),
                    pending.request.service,
                    pending.unanswered
                );
                pending.owner = None;
            }
            self.send_or_submit(number, now);
        }
    }

    fn resend_ends(&mut self, now: Duration) {
        let outbox = &mut self.outbox;
        self.unconfirmed_ends.retain(|_, u| {
            if now < u.sent_at + END_RESEND_INTERVAL {
                return true;
            }
            u.sends += 1;
            u.sent_at = now;
            if u.sends <= MAX_END_SENDS {
                outbox.push((u.to, u.message.clone()));
            }
            u.sends <= MAX_END_SENDS
        });
    }
}
