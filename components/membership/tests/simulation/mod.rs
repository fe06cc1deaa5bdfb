//! The entry VMs of one failure domain with lost, late and queued heartbeats, pauses, kills,
//! partitions and VM lists that lag or are wrong. Steps of 50 ms.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use config::EntryVmId;
use membership::{Heartbeat, HeldMemberSets, Membership, MembershipSettings};

pub const STEP: u64 = 50;
pub const SLOTS: usize = 12;
const ROUND: u64 = 500;
/// Lists of the platform lag by up to eight of its updates every 500 ms.
const LIST_LAG: usize = 8;

/// Gives slots to members in a way that moves nearly all of them when a member comes or goes.
fn assigns(members: &[EntryVmId], slot: usize, vm: &EntryVmId) -> bool {
    members[slot * 7 % members.len()] == *vm
}

pub struct Node {
    pub vm: EntryVmId,
    pub membership: Membership,
    pub started: u64,
    pub dead_until: u64,
    pub frozen_until: u64,
    pub cut_until: u64,
    /// The platform's list omits it although it runs.
    pub unlisted_until: u64,
    /// It held a share in this incarnation.
    pub has_joined: bool,
    /// Newest VM list that it took.
    pub list: BTreeSet<EntryVmId>,
    /// Share at the last step in which the process ran.
    pub split: HeldMemberSets,
    /// Until when a request occupies each slot; requests of a frozen process go on.
    pub busy_until: [u64; SLOTS],
    phase: u64,
}

pub struct Simulation {
    pub nodes: Vec<Node>,
    pub now: u64,
    pub loss: f64,
    pub rng: fastrand::Rng,
    incarnations: u64,
    /// Time of arrival and order, then receiver, heartbeat and whether it asks for an answer.
    queue: BTreeMap<(u64, u64), (usize, Heartbeat, bool)>,
    sent: u64,
    lists: VecDeque<BTreeSet<EntryVmId>>,
}

impl Simulation {
    pub fn new(n: usize, loss: f64, seed: u64) -> Simulation {
        let mut sim = Simulation {
            nodes: Vec::new(),
            now: 0,
            loss,
            rng: fastrand::Rng::with_seed(seed),
            incarnations: 0,
            queue: BTreeMap::new(),
            sent: 0,
            lists: VecDeque::new(),
        };
        let vms: Vec<EntryVmId> = (0..n).map(|i| format!("vm-{i:02}").into()).collect();
        for vm in &vms {
            let node = Node {
                vm: vm.clone(),
                membership: sim.start(vm, &vms),
                started: 0,
                dead_until: 0,
                frozen_until: 0,
                cut_until: 0,
                unlisted_until: 0,
                has_joined: false,
                list: BTreeSet::new(),
                split: HeldMemberSets::default(),
                busy_until: [0; SLOTS],
                phase: sim.rng.u64(0..ROUND / STEP) * STEP,
            };
            sim.nodes.push(node);
        }
        sim
    }

    fn start(&mut self, vm: &EntryVmId, vms: &[EntryVmId]) -> Membership {
        self.incarnations += 1;
        let settings = MembershipSettings::default();
        let configured = vms.iter().cloned();
        Membership::new(
            settings,
            vm.clone(),
            self.incarnations,
            configured,
            Duration::ZERO,
        )
    }

    /// Kills the process of a VM; a new one starts later.
    pub fn kill(&mut self, i: usize, down: u64) {
        self.nodes[i].dead_until = self.now + down;
        self.nodes[i].has_joined = false;
        self.nodes[i].split = HeldMemberSets::default();
        self.nodes[i].busy_until = [0; SLOTS];
        self.queue.retain(|_, (to, ..)| *to != i);
    }

    pub fn is_dead(&self, i: usize) -> bool {
        self.now < self.nodes[i].dead_until
    }

    pub fn is_running(&self, i: usize) -> bool {
        !self.is_dead(i) && self.now >= self.nodes[i].frozen_until
    }

    pub fn uptime(&self, i: usize) -> Duration {
        Duration::from_millis(self.now - self.nodes[i].started)
    }

    pub fn step(&mut self) {
        self.now += STEP;
        if self.now.is_multiple_of(ROUND) {
            self.update_lists();
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].dead_until == self.now {
                let vms: Vec<EntryVmId> = self.nodes.iter().map(|node| node.vm.clone()).collect();
                self.nodes[i].membership = self.start(&vms[i], &vms);
                self.nodes[i].started = self.now;
                self.nodes[i].frozen_until = 0;
            }
            if self.is_running(i) && self.now % ROUND == self.nodes[i].phase {
                self.round(i);
            }
        }
        self.deliver();
        for i in (0..self.nodes.len())
            .filter(|&i| self.is_running(i))
            .collect::<Vec<_>>()
        {
            let uptime = self.uptime(i);
            let node = &mut self.nodes[i];
            node.split = node.membership.held_member_sets(uptime);
            node.has_joined |= !node.split.sets.is_empty();
            let mut is_occupied = false;
            for (slot, until) in node.busy_until.iter_mut().enumerate() {
                let may_use = node
                    .split
                    .may_use(|members| assigns(members, slot, &node.vm));
                if *until <= self.now && may_use && self.rng.u8(0..4) == 0 {
                    *until = self.now + self.rng.u64(STEP..3_000);
                }
                is_occupied |= *until > self.now && !may_use;
            }
            if !is_occupied {
                node.membership.announce_split();
            }
        }
    }

    fn update_lists(&mut self) {
        let is_listed = |i: &usize| !self.is_dead(*i) && self.now >= self.nodes[*i].unlisted_until;
        let listed = (0..self.nodes.len()).filter(is_listed);
        let list = listed.map(|i| self.nodes[i].vm.clone()).collect();
        self.lists.push_front(list);
        self.lists.truncate(LIST_LAG);
    }

    fn round(&mut self, i: usize) {
        let uptime = self.uptime(i);
        if !self.lists.is_empty() && self.rng.u8(0..4) == 0 {
            let list = self.lists[self.rng.usize(0..self.lists.len())].clone();
            self.nodes[i].list.clone_from(&list);
            self.nodes[i].membership.on_vm_list(list, [], uptime);
        }
        for peer in self.nodes[i]
            .membership
            .peers_to_contact(uptime, &mut self.rng)
        {
            let to = self.nodes.iter().position(|node| node.vm == peer).unwrap();
            self.send(i, to, true);
        }
    }

    fn send(&mut self, from: usize, to: usize, asks: bool) {
        let is_cut = |i: usize| self.now < self.nodes[i].cut_until;
        if is_cut(from) || is_cut(to) || self.is_dead(to) || self.rng.f64() < self.loss {
            return;
        }
        let uptime = self.uptime(from);
        let hb = self.nodes[from].membership.heartbeat(1, 0, uptime);
        let delay = if self.rng.u8(0..20) == 0 { 900 } else { 100 };
        let at = self.now + self.rng.u64(0..delay);
        self.sent += 1;
        self.queue.insert((at, self.sent), (to, hb, asks));
    }

    /// Delivers what has arrived; heartbeats to a frozen process wait until it continues.
    fn deliver(&mut self) {
        let due = self.queue.range(..=(self.now, u64::MAX));
        let due: Vec<_> = due
            .filter(|(_, (to, ..))| self.is_running(*to))
            .map(|(k, _)| *k)
            .collect();
        for key in due {
            let (to, hb, asks) = self.queue.remove(&key).unwrap();
            let uptime = self.uptime(to);
            self.nodes[to].membership.on_heartbeat(&hb, uptime);
            if asks {
                let from = self.nodes.iter().position(|node| node.vm == hb.vm).unwrap();
                self.send(to, from, false);
            }
        }
    }
}
