//! Simulation of the entry VMs of one failure domain, in steps of 50 ms. Heartbeats are lost,
//! delayed and queued; processes pause and crash; the network is partitioned; VM lists are stale
//! or wrong.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use config::EntryVmId;
use membership::{Heartbeat, HeldMemberSets, Membership, MembershipSettings};

pub const STEP_MS: u64 = 50;
pub const SLOTS: usize = 12;
const ROUND_MS: u64 = 500;
/// VM lists kept, one per 500 ms. A VM receives a random one of them, so its list lags.
const VM_LIST_HISTORY: usize = 8;

/// Returns whether a set of members assigns a slot to a VM. Nearly all slots move when a member
/// joins or leaves.
fn assigns(members: &[EntryVmId], slot: usize, vm: &EntryVmId) -> bool {
    members[slot * 7 % members.len()] == *vm
}

pub struct Node {
    pub vm: EntryVmId,
    pub membership: Membership,
    pub started: u64,
    pub dead_until: u64,
    pub frozen_until: u64,
    pub partitioned_until: u64,
    /// Until when the platform's VM list omits this VM although it runs.
    pub omitted_until: u64,
    /// Whether it has held a share in this incarnation.
    pub has_joined: bool,
    /// Last VM list that it received.
    pub vm_list: BTreeSet<EntryVmId>,
    /// Held member sets at the last step in which the process ran.
    pub held_sets: HeldMemberSets,
    /// Until when a request occupies each slot; requests of a frozen process continue.
    pub busy_until: [u64; SLOTS],
    phase: u64,
}

pub struct Simulation {
    pub nodes: Vec<Node>,
    pub now: u64,
    pub loss: f64,
    pub rng: fastrand::Rng,
    incarnations: u64,
    /// Messages in transit. Keys are the arrival time and the sequence number; values are the
    /// receiver, the heartbeat and whether a reply is expected.
    queue: BTreeMap<(u64, u64), (usize, Heartbeat, bool)>,
    messages_sent: u64,
    vm_lists: VecDeque<BTreeSet<EntryVmId>>,
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
            messages_sent: 0,
            vm_lists: VecDeque::new(),
        };
        let vms: Vec<EntryVmId> = (0..n).map(|i| format!("vm-{i:02}").into()).collect();
        for vm in &vms {
            let node = Node {
                vm: vm.clone(),
                membership: sim.start(vm, &vms),
                started: 0,
                dead_until: 0,
                frozen_until: 0,
                partitioned_until: 0,
                omitted_until: 0,
                has_joined: false,
                vm_list: BTreeSet::new(),
                held_sets: HeldMemberSets::default(),
                busy_until: [0; SLOTS],
                phase: sim.rng.u64(0..ROUND_MS / STEP_MS) * STEP_MS,
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

    /// Kills the process of a VM; a new one starts after `downtime` ms.
    pub fn kill(&mut self, i: usize, downtime: u64) {
        self.nodes[i].dead_until = self.now + downtime;
        self.nodes[i].has_joined = false;
        self.nodes[i].held_sets = HeldMemberSets::default();
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
        self.now += STEP_MS;
        if self.now.is_multiple_of(ROUND_MS) {
            self.update_vm_lists();
        }
        for i in 0..self.nodes.len() {
            if self.nodes[i].dead_until == self.now {
                let vms: Vec<EntryVmId> = self.nodes.iter().map(|node| node.vm.clone()).collect();
                self.nodes[i].membership = self.start(&vms[i], &vms);
                self.nodes[i].started = self.now;
                self.nodes[i].frozen_until = 0;
            }
            if self.is_running(i) && self.now % ROUND_MS == self.nodes[i].phase {
                self.run_round(i);
            }
        }
        self.deliver();
        for i in (0..self.nodes.len())
            .filter(|&i| self.is_running(i))
            .collect::<Vec<_>>()
        {
            let uptime = self.uptime(i);
            let node = &mut self.nodes[i];
            node.held_sets = node.membership.held_member_sets(uptime);
            node.has_joined |= !node.held_sets.sets.is_empty();
            let mut is_occupied = false;
            for (slot, until) in node.busy_until.iter_mut().enumerate() {
                let may_use = node
                    .held_sets
                    .may_use(|members| assigns(members, slot, &node.vm));
                if *until <= self.now && may_use && self.rng.u8(0..4) == 0 {
                    *until = self.now + self.rng.u64(STEP_MS..3_000);
                }
                is_occupied |= *until > self.now && !may_use;
            }
            if !is_occupied {
                node.membership.announce_split();
            }
        }
    }

    fn update_vm_lists(&mut self) {
        let is_listed = |i: &usize| !self.is_dead(*i) && self.now >= self.nodes[*i].omitted_until;
        let listed = (0..self.nodes.len()).filter(is_listed);
        let list = listed.map(|i| self.nodes[i].vm.clone()).collect();
        self.vm_lists.push_front(list);
        self.vm_lists.truncate(VM_LIST_HISTORY);
    }

    fn run_round(&mut self, i: usize) {
        let uptime = self.uptime(i);
        if !self.vm_lists.is_empty() && self.rng.u8(0..4) == 0 {
            let list = self.vm_lists[self.rng.usize(0..self.vm_lists.len())].clone();
            self.nodes[i].vm_list.clone_from(&list);
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

    fn send(&mut self, from: usize, to: usize, expects_reply: bool) {
        let is_partitioned = |i: usize| self.now < self.nodes[i].partitioned_until;
        if is_partitioned(from)
            || is_partitioned(to)
            || self.is_dead(to)
            || self.rng.f64() < self.loss
        {
            return;
        }
        let uptime = self.uptime(from);
        let hb = self.nodes[from].membership.heartbeat(1, 0, uptime);
        let delay = if self.rng.u8(0..20) == 0 { 900 } else { 100 };
        let at = self.now + self.rng.u64(0..delay);
        self.messages_sent += 1;
        self.queue
            .insert((at, self.messages_sent), (to, hb, expects_reply));
    }

    /// Delivers heartbeats that are due; those to a frozen process wait until it resumes.
    fn deliver(&mut self) {
        let due = self.queue.range(..=(self.now, u64::MAX));
        let due: Vec<_> = due
            .filter(|(_, (to, ..))| self.is_running(*to))
            .map(|(k, _)| *k)
            .collect();
        for key in due {
            let (to, hb, expects_reply) = self.queue.remove(&key).unwrap();
            let uptime = self.uptime(to);
            self.nodes[to].membership.on_heartbeat(&hb, uptime);
            if expects_reply {
                let from = self.nodes.iter().position(|node| node.vm == hb.vm).unwrap();
                self.send(to, from, false);
            }
        }
    }
}
