//! Look-ups: which entry VMs a caller should use.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use binding::{ProcessIdentity, Ticket};
use config::{Class, DomainId, EntryVm, EntryVmId, Generation, RegionId, ServiceId};
use http::codes::{self, Code};
use http::{Request, Response, server};
use membership::ProcessState;
use routing::entry_vm::{self, EntryVmView, State};
use routing::shift::home_shares;
use serde::Serialize;

use crate::in_force::InForce;
use crate::node::Node;

/// Answer to a look-up.
#[derive(Debug, Serialize)]
struct Answer<'a> {
    /// Service.
    service: &'a str,
    /// Entry VMs, best first.
    entry_vms: Vec<NamedVm>,
    /// Time for which the answer may be cached, in milliseconds.
    lifetime_ms: u64,
    /// Ticket for one request to a binding service, to be sent to the first entry VM.
    #[serde(skip_serializing_if = "Option::is_none")]
    ticket: Option<String>,
}

/// One entry VM in an answer.
#[derive(Debug, Serialize)]
struct NamedVm {
    /// Name.
    id: EntryVmId,
    /// Address for callers.
    address: SocketAddr,
}

/// Query of a look-up.
#[derive(Debug, Default)]
struct Query {
    /// Service.
    service: Option<ServiceId>,
    /// Address of the client, when the caller asks for another one.
    client: Option<IpAddr>,
}

/// Time for which the view of the entry VMs is used again. Building it took 430 us at 600 entry
/// VMs, which 600 look-ups a second do not leave room for.
const VIEW_LIFETIME: Duration = Duration::from_millis(100);
/// Entry VMs considered in each domain that is neither the own nor the preferred one.
const MAX_ELSEWHERE: usize = 2;

/// Views of the entry VMs by service and preferred domain.
#[derive(Debug, Default)]
pub struct Views {
    /// Views built recently.
    known: Mutex<BTreeMap<(ServiceId, DomainId), View>>,
}

/// What was known of the entry VMs at one time.
#[derive(Debug)]
struct View {
    /// Uptime at which it was built.
    built: Duration,
    /// Generation in force then.
    generation: Generation,
    /// Whether the process was stopping then.
    stopping: bool,
    /// Entry VMs.
    vms: Arc<[EntryVmView]>,
}

impl Views {
    /// Returns what is known of the entry VMs; older by at most `VIEW_LIFETIME`.
    fn get(
        &self,
        node: &Node,
        cfg: &InForce,
        service: &ServiceId,
        domain: &DomainId,
    ) -> Arc<[EntryVmView]> {
        let (now, stopping) = (node.now(), node.is_stopping());
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        let is_valid = |v: &View| {
            v.generation == cfg.generation
                && v.stopping == stopping
                && now.saturating_sub(v.built) < VIEW_LIFETIME
        };
        let key = (service.clone(), domain.clone());
        if let Some(view) = known.get(&key).filter(|v| is_valid(v)) {
            return view.vms.clone();
        }
        // Services and domains that the configuration no longer names must not stay.
        known.retain(|_, v| v.generation == cfg.generation);
        let vms: Arc<[EntryVmView]> = views(node, cfg, service, domain).into();
        let view = View {
            built: now,
            generation: cfg.generation,
            stopping,
            vms: vms.clone(),
        };
        known.insert(key, view);
        vms
    }
}

/// Answers a look-up.
pub fn serve(node: &Arc<Node>, req: &Request) -> Response {
    let Some(cfg) = node.in_force() else {
        return codes::refusal(Code::NoConfiguration, "try another entry VM");
    };
    let query = match read_query(req) {
        Ok(query) => query,
        Err(detail) => return codes::refusal(Code::BadRequest, detail),
    };
    let Some(service) = query.service else {
        return codes::refusal(Code::BadRequest, "the query needs service=NAME");
    };
    let Some(class) = cfg.class(&service) else {
        return codes::refusal(Code::UnknownService, &service);
    };
    metrics::counter!("look_ups_total").increment(1);
    let (domain, region) = preferred(node, &cfg, &service, query.client);
    let views = node.views.get(node, &cfg, &service, &domain);
    let mut rng = fastrand::Rng::new();
    let settings = entry_vm::Settings {
        lifetime: Duration::from_millis(cfg.rules().look_up_lifetime_ms),
        ..entry_vm::Settings::default()
    };
    let mut order = entry_vm::order(&settings, &views, &domain, &region, &mut rng);
    let lifetime = entry_vm::lifetime(&settings, &views, &order, &mut rng);
    let ticket = (class == Class::Binding)
        .then(|| mint(node, &cfg, &service, &mut order))
        .flatten();
    let entry_vms = order.iter().filter_map(|id| named(&cfg, id)).collect();
    let lifetime_ms = u64::try_from(lifetime.as_millis()).unwrap_or(u64::MAX);
    server::json_response(
        200,
        &Answer {
            service: &service,
            entry_vms,
            lifetime_ms,
            ticket,
        },
    )
}

fn read_query(req: &Request) -> Result<Query, &'static str> {
    let mut query = Query::default();
    for (name, value) in req.url().query_pairs() {
        match &*name {
            "service" => query.service = Some(value.into()),
            "client" => {
                let address = value.parse().map_err(|_| "client must be an IP address")?;
                query.client = Some(address);
            }
            _ => return Err("the query knows service and client only"),
        }
    }
    Ok(query)
}

/// Returns the failure domain that a client prefers; without a matching block, this one.
///
/// Callers of a domain that has handed over its work go where that work went, so that moving
/// them does not move the work once more.
fn preferred(
    node: &Node,
    cfg: &InForce,
    service: &str,
    client: Option<IpAddr>,
) -> (DomainId, RegionId) {
    let mapped = client.and_then(|ip| cfg.domain_of_client(ip));
    let mut domain = mapped.unwrap_or(&node.settings.domain).clone();
    let now_ms = node.platform_ms();
    if cfg.has_left(&domain, now_ms) {
        let current = cfg.shares(service, now_ms);
        let shares = home_shares(cfg.nominal_shares(service), &current, &domain);
        let mut point = fastrand::f64();
        let drawn = shares.into_iter().find(|(_, share)| {
            point -= share;
            point < 0.0
        });
        domain = drawn.map_or(domain, |(taker, _)| taker);
    }
    let region = cfg.region(&domain).cloned().unwrap_or_default();
    (domain, region)
}

/// Returns the entry VMs of the own and the preferred domain, and a few of each other domain.
fn nearby<'a>(node: &Node, cfg: &'a InForce, preferred: &str) -> Vec<&'a EntryVm> {
    let mut vms: Vec<&EntryVm> = cfg.configuration.inventory.entry_vms.iter().collect();
    fastrand::shuffle(&mut vms);
    let mut elsewhere: BTreeMap<&str, usize> = BTreeMap::new();
    vms.retain(|vm| {
        let n = elsewhere.entry(&*vm.domain).or_default();
        *n += 1;
        let is_near = vm.domain == node.settings.domain || *vm.domain == *preferred;
        is_near || *n <= MAX_ELSEWHERE
    });
    vms
}

/// Returns what is known of the entry VMs that an answer may name.
fn views(node: &Node, cfg: &InForce, service: &str, preferred: &str) -> Vec<EntryVmView> {
    let now = node.now();
    let platform_ms = node.platform_ms();
    let membership = node.lock_membership();
    let candidates = membership.look_up_candidates(now);
    let free = node
        .admission
        .free_slots()
        .get(service)
        .copied()
        .unwrap_or(0);
    nearby(node, cfg, preferred)
        .into_iter()
        .map(|vm| {
            let own = vm.id == node.identity.vm;
            let state = if cfg.is_entry_vm_drained(&vm.id) || cfg.has_left(&vm.domain, platform_ms)
            {
                State::Leaving
            } else if own {
                if node.is_stopping() {
                    State::Leaving
                } else {
                    State::Ready
                }
            } else if vm.domain == node.settings.domain {
                let heard = membership.last_heartbeat(&vm.id).map(|(_, hb)| hb.state);
                match heard {
                    Some(ProcessState::Leaving) => State::Leaving,
                    _ if candidates.contains(&vm.id) => State::Ready,
                    _ => State::Uncertain,
                }
            } else if membership.digests.get(&vm.domain, now).is_some() {
                State::Ready
            } else {
                State::Uncertain
            };
            let free = if own {
                free
            } else {
                membership
                    .last_heartbeat(&vm.id)
                    .map_or(1, |(_, hb)| hb.free_slots)
            };
            let region = cfg.region(&vm.domain).cloned().unwrap_or_default();
            EntryVmView {
                id: vm.id.clone(),
                domain: vm.domain.clone(),
                region,
                state,
                free_slots: free,
            }
        })
        .collect()
}

/// Issues a ticket for the first entry VM whose process is known, and names that VM first.
///
/// An answer may name entry VMs of other domains only, whose processes are not known here, when
/// the client prefers another domain or this one is drained. The ticket is then for an entry VM of
/// this domain, which passes the work on.
fn mint(node: &Node, cfg: &InForce, service: &str, order: &mut entry_vm::Order) -> Option<String> {
    let lifetime = Duration::from_millis(cfg.rules().ticket_lifetime_ms);
    let named = order.iter().find_map(|id| process_of(node, id));
    let (owner, uptime) = named.or_else(|| {
        let peers = node.lock_membership().look_up_candidates(node.now());
        let own = node.identity.vm.clone();
        let (first, rest) = if cfg.is_entry_vm_drained(&own) {
            (peers, vec![own])
        } else {
            (vec![own], peers)
        };
        first
            .iter()
            .chain(&rest)
            .find_map(|id| process_of(node, id))
    })?;
    order.retain(|id| *id != owner.vm);
    order.insert(0, owner.vm.clone());
    let expires = uptime + lifetime;
    if owner == node.identity {
        node.lock_work().records.track_expiry(expires);
    }
    let ticket = Ticket::mint(&node.keys, service, &owner, expires, node.next_nonce()).ok()?;
    Some(ticket.encode())
}

/// Returns the process of an entry VM and a lower bound of its uptime.
fn process_of(node: &Node, id: &EntryVmId) -> Option<(ProcessIdentity, Duration)> {
    if *id == node.identity.vm {
        return (!node.is_stopping()).then(|| (node.identity.clone(), node.now()));
    }
    let membership = node.lock_membership();
    let (_, hb) = membership.last_heartbeat(id)?;
    let identity = ProcessIdentity {
        vm: id.clone(),
        incarnation: hb.incarnation,
    };
    (hb.state == ProcessState::Ready).then_some((identity, hb.uptime))
}

fn named(cfg: &InForce, id: &EntryVmId) -> Option<NamedVm> {
    let vm = cfg.entry_vm(id)?;
    Some(NamedVm {
        id: vm.id.clone(),
        address: vm.caller_address,
    })
}

/// Returns another entry VM for a caller that this one refuses.
pub fn other_vm(node: &Node) -> Option<SocketAddr> {
    let cfg = node.in_force()?;
    let candidates = node.lock_membership().look_up_candidates(node.now());
    let other = candidates.iter().find(|id| **id != node.identity.vm);
    let other = other.and_then(|id| cfg.entry_vm(id));
    let elsewhere = || {
        let mut vms = cfg.configuration.inventory.entry_vms.iter();
        vms.find(|v| v.domain != node.settings.domain && !cfg.is_domain_drained(&v.domain))
    };
    other.or_else(elsewhere).map(|v| v.caller_address)
}
