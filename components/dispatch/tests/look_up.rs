//! Entry VMs that look-ups name.

use std::net::SocketAddr;
use std::time::Duration;

use dispatch::{Candidate, HostRoute, LookUp, Member, MemberState, Quality, Selection, select};
use proptest::prelude::*;

const SECOND: Duration = Duration::from_secs(1);
/// Failure domains, with their regions.
const DOMAINS: [(&str, &str); 6] = [
    ("d1", "donau"),
    ("d2", "donau"),
    ("a1", "alpen"),
    ("a2", "alpen"),
    ("k1", "kaernten"),
    ("k2", "kaernten"),
];

/// Failure domain, as an index, and state of an entry VM.
type Vm = (usize, State);

/// State of an entry VM.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Starting,
    Ready,
    CutOff,
    /// Takes requests for this time.
    Leaving(Duration),
}

fn member(index: usize, domain: usize, state: State) -> Member {
    let (domain, region) = DOMAINS[domain];
    let address: SocketAddr = ([127, 0, 0, 1], 1000 + index as u16).into();
    Member {
        id: format!("vm{index}").into(),
        incarnation: index as u64 + 1,
        domain: domain.into(),
        region: region.into(),
        callers: address,
        peers: address,
        state: match state {
            State::Starting => MemberState::Starting,
            State::Ready | State::CutOff => MemberState::Ready,
            State::Leaving(_) => MemberState::Leaving,
        },
        platform_connected: true,
    }
}

fn candidate(member: &Member, state: State) -> Candidate<'_> {
    Candidate {
        member,
        reaches_servers: state != State::CutOff,
        time_left: match state {
            State::Leaving(left) => Some(left),
            _ => None,
        },
    }
}

/// Answers a look-up of a caller in domain `d1`, and returns the quality and the named entry VMs.
fn look_up(
    vms: &[Vm],
    homes: &[&[&str]],
    evacuated: &[&str],
) -> Option<(Quality, Vec<usize>, Duration)> {
    let members = vms.iter().enumerate();
    let members: Vec<Member> = members.map(|(i, (d, s))| member(i, *d, *s)).collect();
    let candidates = members.iter().zip(vms);
    let candidates: Vec<Candidate> = candidates.map(|(m, (_, s))| candidate(m, *s)).collect();
    let homes: Vec<Vec<Box<str>>> = homes
        .iter()
        .map(|regions| regions.iter().map(|r| (*r).into()).collect())
        .collect();
    let routes = homes.iter().map(|regions| HostRoute {
        allowed_regions: regions,
        time_limit: SECOND,
    });
    let routes: Vec<HostRoute> = routes.collect();
    let evacuated: Vec<Box<str>> = evacuated.iter().map(|d| (*d).into()).collect();
    let query = LookUp {
        region: "donau",
        domain: "d1",
        routes: &routes,
        evacuated: &evacuated,
    };
    select(&query, &candidates).map(|selection| {
        let named = selection.members.iter().map(|m| m.incarnation as usize - 1);
        (
            selection.quality,
            named.collect(),
            selection.lifetime(SECOND),
        )
    })
}

const READY: State = State::Ready;
const CUT_OFF: State = State::CutOff;
const LEAVING: State = State::Leaving(Duration::from_secs(3));

/// Guards against answers that name a worse entry VM than there is: each row takes the best one away
/// from the row before. Routes have homes in the caller's region and in alpen.
#[test]
fn best_entry_vms_are_named() {
    let homes: &[&[&str]] = &[&["donau", "alpen"], &["donau", "alpen"]];
    let cases: [(&[Vm], &[usize], u64); 7] = [
        (&[(0, READY), (0, READY), (1, READY)], &[0, 1], 1000),
        (&[(0, CUT_OFF), (1, READY), (2, READY)], &[1], 1000),
        (
            &[(0, CUT_OFF), (1, LEAVING), (2, READY), (4, READY)],
            &[2],
            500,
        ),
        (&[(0, LEAVING), (1, CUT_OFF), (4, READY)], &[1], 500),
        (&[(0, LEAVING), (1, LEAVING), (4, READY)], &[0], 250),
        (&[(1, LEAVING), (2, LEAVING), (4, READY)], &[0], 250),
        (&[(0, State::Starting), (2, LEAVING), (4, READY)], &[1], 250),
    ];
    for (vms, expected, lifetime_ms) in cases {
        let (quality, named, lifetime) = look_up(vms, homes, &[]).expect("an answer");
        assert_eq!(named, expected, "{vms:?} {quality:?}");
        assert_eq!(lifetime, Duration::from_millis(lifetime_ms), "{vms:?}");
    }
}

/// Guards against requests that leave their homes (rule HOME) because a look-up named an entry VM of
/// another region, while one of the caller's region still takes them, and against an answer with an
/// entry VM that has nowhere to pass the requests on to.
#[test]
fn other_regions_are_named_only_if_they_can_pass_requests_on() {
    let homes: &[&[&str]] = &[&["donau"], &["alpen"]];
    let leaving = look_up(&[(0, LEAVING), (2, READY), (4, READY)], homes, &[]);
    assert_eq!(leaving.map(|l| l.1), Some(vec![0]));
    let elsewhere = look_up(&[(0, State::Starting), (2, READY), (4, READY)], homes, &[]);
    assert_eq!(
        elsewhere.map(|l| (l.0, l.1)),
        Some((Quality::OtherRegion, vec![1, 2]))
    );
    let nowhere = look_up(&[(0, State::Starting), (4, READY)], homes, &[]);
    assert_eq!(nowhere, None);
}

/// Guards against entry VMs of an evacuated failure domain in answers, also while no other is left.
#[test]
fn evacuated_domains_are_not_named() {
    let named = look_up(&[(0, READY), (1, LEAVING)], &[], &["d1"]);
    assert_eq!(named.map(|l| l.1), Some(vec![1]));
    assert_eq!(look_up(&[(0, READY), (1, READY)], &[], &["d1", "d2"]), None);
}

/// Guards against callers who are sent to an entry VM that refuses them, since it ends before their
/// deadlines, and against answers that outlive it.
#[test]
fn leaving_entry_vms_are_named_while_requests_end_in_time() {
    let leaving = |left| look_up(&[(0, State::Leaving(left))], &[&[]], &[]);
    assert_eq!(leaving(SECOND).map(|l| l.1), Some(vec![0]));
    assert_eq!(leaving(Duration::from_millis(999)), None);
    // Nothing is known of the requests of an unknown host.
    let soon = look_up(&[(0, State::Leaving(Duration::from_millis(100)))], &[], &[]);
    assert_eq!(soon.map(|l| l.2), Some(Duration::from_millis(100)));
}

/// Answers a look-up of a caller in domain `d1` with candidates that [`State`] does not describe.
fn select_from<'a>(routes: &[HostRoute], candidates: &[Candidate<'a>]) -> Option<Selection<'a>> {
    let query = LookUp {
        region: "donau",
        domain: "d1",
        routes,
        evacuated: &[],
    };
    select(&query, candidates)
}

/// Guards against callers who are sent to an entry VM that leaves and is cut off from the servers,
/// while another one that leaves reaches them.
#[test]
fn leaving_entry_vms_that_reach_servers_come_first() {
    let members = [member(0, 0, LEAVING), member(1, 1, LEAVING)];
    let cut_off = Candidate {
        reaches_servers: false,
        ..candidate(&members[0], LEAVING)
    };
    let candidates = [cut_off, candidate(&members[1], LEAVING)];
    let selection = select_from(&[], &candidates).expect("an answer");
    assert_eq!(selection.members, [&members[1]]);
    let selection = select_from(&[], &candidates[..1]).expect("an answer");
    assert_eq!(selection.members, [&members[0]]);
}

/// Guards against an empty answer while requests of one route still end in time, and those of another
/// do not.
#[test]
fn leaving_entry_vms_are_named_for_the_shortest_time_limit() {
    let members = [member(0, 0, LEAVING)];
    let candidates = [candidate(&members[0], LEAVING)];
    let routes = [5, 1].map(|seconds| HostRoute {
        allowed_regions: &[],
        time_limit: SECOND * seconds,
    });
    assert!(select_from(&routes, &candidates).is_some());
    assert!(select_from(&routes[..1], &candidates).is_none());
}

/// Guards against answers that outlive one of the entry VMs that they name, or that name one which has
/// ended, also if its state has not arrived.
#[test]
fn answers_end_with_the_first_entry_vm_that_leaves() {
    let left = |ms| State::Leaving(Duration::from_millis(ms));
    let lifetime = |vms: &[Vm]| look_up(vms, &[], &[]).map(|l| l.2);
    let first = Some(Duration::from_millis(100));
    assert_eq!(lifetime(&[(0, left(200)), (0, left(100))]), first);
    assert_eq!(lifetime(&[(0, left(100)), (0, left(200))]), first);
    assert_eq!(lifetime(&[(0, left(0))]), None);
    let members = [member(0, 0, READY)];
    let ended = Candidate {
        time_left: Some(Duration::ZERO),
        ..candidate(&members[0], READY)
    };
    assert!(select_from(&[], &[ended]).is_none());
}

/// Whether an entry VM may take requests of a route: the statement of what a look-up promises, written
/// apart from the selection.
fn may_take(vm: Vm, all: &[Vm], route: &[&str]) -> bool {
    let allows = |domain: usize| route.is_empty() || route.contains(&DOMAINS[domain].1);
    let in_time = match vm.1 {
        State::Starting => false,
        State::Ready | State::CutOff => true,
        State::Leaving(left) => left >= SECOND,
    };
    let ready_elsewhere = all.iter().any(|(domain, state)| {
        *state == State::Ready && DOMAINS[*domain].1 != DOMAINS[vm.0].1 && allows(*domain)
    });
    in_time && (allows(vm.0) || ready_elsewhere)
}

fn state() -> impl Strategy<Value = State> {
    prop_oneof![
        Just(State::Starting),
        Just(State::Ready),
        Just(State::CutOff),
        (0..4000u64).prop_map(|ms| State::Leaving(Duration::from_millis(ms))),
    ]
}

fn homes() -> impl Strategy<Value = Vec<&'static str>> {
    prop::sample::subsequence(vec!["donau", "alpen", "kaernten"], 0..=3)
}

proptest! {
    /// Guards against an empty answer while an entry VM may take requests of the host, and against one
    /// that names an entry VM which takes none or is in an evacuated failure domain.
    #[test]
    fn answer_is_empty_only_if_no_entry_vm_may_take_requests(
        vms in prop::collection::vec((0..DOMAINS.len(), state()), 0..8),
        homes in prop::collection::vec(homes(), 1..4),
        evacuated in prop::sample::subsequence(vec!["d1", "d2", "a1", "k1"], 0..=4),
    ) {
        let routes: Vec<&[&str]> = homes.iter().map(Vec::as_slice).collect();
        let can_be_named: Vec<usize> = (0..vms.len())
            .filter(|i| !evacuated.contains(&DOMAINS[vms[*i].0].0))
            .filter(|i| routes.iter().any(|route| may_take(vms[*i], &vms, route)))
            .collect();
        match look_up(&vms, &routes, &evacuated) {
            None => prop_assert!(can_be_named.is_empty(), "{can_be_named:?} may take requests"),
            Some((_, named, lifetime)) => {
                prop_assert!(!named.is_empty() && lifetime <= SECOND);
                for i in named {
                    prop_assert!(can_be_named.contains(&i), "{i} cannot take any request");
                }
            }
        }
    }
}
