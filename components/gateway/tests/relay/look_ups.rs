//! Which entry VMs look-ups name while those of a region leave, are cut off or start.

use std::io::Write;
use std::thread;
use std::time::{Duration, Instant};

use crate::cut_off::{Cut, begin, send_for, start_servers};
use crate::forward::RemoteEntryVm;
use crate::harness::{
    TestEntryVm, TestServer, ok_response, read_response, request_with_deadline, routes,
};

/// Time for which a stopping entry VM of these tests takes requests: the grace period less the time
/// that the process needs to end.
const TAKES_REQUESTS: Duration = Duration::from_millis(2400);
/// Deadline of the orders; shorter than the timeouts of the routes.
const DEADLINE_MS: u32 = 1500;
/// Time after which a starting entry VM does not let look-ups wait.
const START_WAIT: Duration = Duration::from_millis(800);
/// Allowance for scheduling.
const SLACK: Duration = Duration::from_millis(200);

fn send(entry_vm: &TestEntryVm, path: &str, id: &str, deadline_ms: u32) -> (u16, String) {
    let mut stream = entry_vm.connect();
    let bytes = request_with_deadline("POST", path, id, deadline_ms);
    stream.write_all(&bytes).unwrap();
    let (status, head, _) = read_response(&mut stream).unwrap();
    (status, head)
}

/// Guards against callers without an entry VM while all of their region leave at once: each is named
/// for as long as it takes requests, and serves them.
#[test]
fn entry_vms_that_all_leave_are_named_while_they_take_requests() {
    let server = TestServer::start(|_, id| ok_response(id, "served"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let other = TestServer::start(|_, id| ok_response(id, "other"));
    let _other = RemoteEntryVm::start_leaving("south", TAKES_REQUESTS * 2, &entry_vm, &other);
    thread::sleep(SLACK);
    let own = format!("[{}]", entry_vm.callers);
    assert_eq!(entry_vm.look_up(), (200, own.clone()));
    let stop = entry_vm.start_stop();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(entry_vm.look_up(), (200, own), "takes requests");
    assert_eq!(send(&entry_vm, "/order/1", "order", DEADLINE_MS).0, 200);
    thread::sleep(TAKES_REQUESTS.saturating_sub(Duration::from_millis(DEADLINE_MS.into())));
    let other = format!("[{}]", other.address);
    assert_eq!(
        entry_vm.look_up(),
        (200, other),
        "ends before the deadlines"
    );
    stop.join().unwrap();
}

/// Guards against an entry VM that is not named by others while it leaves, and against one that is
/// named although it no longer takes requests.
#[test]
fn leaving_entry_vm_tells_others_until_when_it_takes_requests() {
    let server = TestServer::start(|_, id| ok_response(id, "served"));
    let leaving = TestEntryVm::start(&[&server]);
    let other = TestEntryVm::launch("other", "south", &[&server]);
    other.node.add_member(leaving.node.own());
    thread::sleep(START_WAIT + SLACK);
    let named = format!("[{}]", leaving.callers);
    assert_eq!(other.look_up(), (200, named.clone()), "ready");
    let stop = leaving.start_stop();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(other.look_up(), (200, named), "leaving");
    stop.join().unwrap();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(other.look_up().0, 503, "gone");
}

/// Guards against callers that are not served while the only entry VM that reaches the servers leaves
/// and the other one is cut off from them.
#[test]
fn cut_off_entry_vm_passes_requests_on_to_one_that_leaves() {
    let servers = start_servers();
    let servers = servers.each_ref();
    let entry_vm = TestEntryVm::start(&servers);
    let relay = TestServer::start(|_, id| ok_response(id, "passed on"));
    let left = Duration::from_secs(3);
    let _relay = RemoteEntryVm::start_leaving("south", left, &entry_vm, &relay);
    begin(Cut::Reset, &servers);
    send_for(Duration::from_secs(1), &entry_vm, "first");
    let named = format!("[{}]", entry_vm.callers);
    assert_eq!(entry_vm.look_up(), (200, named));
    let before = relay.count();
    for i in 0..10 {
        let (status, head) = send(&entry_vm, "/order/1", &format!("in-time{i}"), 1000);
        assert_eq!(status, 200, "{head}");
    }
    assert_eq!(relay.count(), before + 10);
    let (status, head) = send(&entry_vm, "/order/1", "too-long", 2000);
    assert!(
        status == 503 && head.contains("x-outcome: not-run"),
        "{head}"
    );
    assert_eq!(
        relay.count(),
        before + 10,
        "passed on although the other ends first"
    );
}

/// Guards against an empty answer while one entry VM leaves and the other is cut off from the store.
#[test]
fn entry_vm_that_is_cut_off_from_the_store_is_named() {
    let server = TestServer::start(|_, id| ok_response(id, "served"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let other = TestServer::start(|_, id| ok_response(id, "other"));
    let _other = RemoteEntryVm::start_leaving("north", TAKES_REQUESTS, &entry_vm, &other);
    entry_vm.node.set_platform_connected(false);
    thread::sleep(SLACK);
    let named = format!("[{}]", entry_vm.callers);
    assert_eq!(entry_vm.look_up(), (200, named));
    assert_eq!(send(&entry_vm, "/order/1", "order", 1000).0, 200);
}

/// Guards against empty answers while all entry VMs of a region start at once: each look-up waits for
/// the first one that is ready, or fails in time for the caller to ask elsewhere.
#[test]
fn look_ups_wait_while_all_entry_vms_start() {
    let server = TestServer::start(|_, id| ok_response(id, "served"));
    let vms = ["a", "b", "c"].map(|id| TestEntryVm::launch(id, "north", &[&server]));
    for vm in &vms {
        let others = vms.iter().filter(|o| o.callers != vm.callers);
        others.for_each(|other| vm.node.add_member(other.node.own()));
    }
    let asked = Instant::now();
    let answers: Vec<(u16, String)> = thread::scope(|scope| {
        let look_ups: Vec<_> = vms.iter().map(|vm| scope.spawn(|| vm.look_up())).collect();
        thread::sleep(SLACK);
        vms[0].become_ready();
        look_ups.into_iter().map(|l| l.join().unwrap()).collect()
    });
    assert!(asked.elapsed() < START_WAIT, "{:?}", asked.elapsed());
    let named = format!("[{}]", vms[0].callers);
    assert!(
        answers.iter().all(|a| *a == (200, named.clone())),
        "{answers:?}"
    );
}

/// Guards against requests that leave their homes (rule HOME) because a starting entry VM, which does not
/// know the routes yet, named one of another region.
#[test]
fn starting_entry_vm_does_not_name_another_region_at_once() {
    let entry_vm = TestEntryVm::launch("entry", "north", &[]);
    let other = TestServer::start(|_, id| ok_response(id, "other region"));
    let _other = RemoteEntryVm::start_in("west", "alpen", &entry_vm, &other);
    let named = thread::scope(|scope| {
        let look_up = scope.spawn(|| entry_vm.look_up());
        thread::sleep(SLACK);
        entry_vm.become_ready();
        look_up.join().unwrap()
    });
    assert_eq!(named, (200, format!("[{}]", entry_vm.callers)));
}

/// Guards against look-ups that wait at a starting entry VM until callers give up, and so ask no other.
#[test]
fn look_ups_at_a_starting_entry_vm_fail_in_time() {
    let entry_vm = TestEntryVm::launch("entry", "north", &[]);
    let asked = Instant::now();
    assert_eq!(entry_vm.look_up().0, 503);
    assert!(
        asked.elapsed() < START_WAIT + SLACK / 2,
        "{:?}",
        asked.elapsed()
    );
    let asked = Instant::now();
    assert_eq!(entry_vm.look_up().0, 503);
    assert!(
        asked.elapsed() < SLACK,
        "waits after the start: {:?}",
        asked.elapsed()
    );
}

/// Guards against callers who are sent to an evacuated failure domain.
#[test]
fn entry_vms_of_an_evacuated_domain_are_not_named() {
    let server = TestServer::start(|_, id| ok_response(id, "served"));
    let entry_vm = TestEntryVm::start(&[&server]);
    let other = TestServer::start(|_, id| ok_response(id, "other"));
    let _other = RemoteEntryVm::start_in("south", "donau", &entry_vm, &other);
    thread::sleep(SLACK);
    entry_vm.node.evacuate(vec!["north".into()]);
    assert_eq!(entry_vm.look_up(), (200, format!("[{}]", other.address)));
    entry_vm.node.evacuate(Vec::new());
    assert_eq!(entry_vm.look_up(), (200, format!("[{}]", entry_vm.callers)));
}

/// Guards against answers that name an entry VM which is stopped before it was ready: without a
/// configuration or the members it takes no requests, however much of its grace period is left.
#[test]
fn entry_vm_that_leaves_before_it_is_ready_is_not_named() {
    let starting = TestEntryVm::launch("starting", "north", &[]);
    let other = TestEntryVm::launch("other", "south", &[]);
    other.node.add_member(starting.node.own());
    thread::sleep(START_WAIT + SLACK);
    let stop = starting.start_stop();
    thread::sleep(Duration::from_millis(50));
    assert_eq!(starting.look_up().0, 503, "answer of the leaving one");
    assert_eq!(other.look_up().0, 503, "answer of another");
    stop.join().unwrap();
}

/// Guards against an entry VM that grants slots on its own while it loads its tables: callers with an
/// older answer reach a restarted one at once, and the owner of the pool grants the same slots.
#[test]
fn entry_vm_takes_no_requests_before_it_knows_the_members() {
    let server = TestServer::start(|_, id| ok_response(id, "served"));
    let entry_vm = TestEntryVm::launch("entry", "north", &[&server]);
    assert!(entry_vm.node.set_routes(routes()));
    let (status, head) = send(&entry_vm, "/order/1", "early", 1000);
    assert!(
        status == 503 && head.contains("x-outcome: not-run"),
        "{head}"
    );
    assert_eq!(server.count(), 0);
    entry_vm.node.mark_members_known();
    assert_eq!(send(&entry_vm, "/order/1", "ready", 1000).0, 200);
}

/// Guards against a late copy of an earlier datagram that makes an entry VM named again which has said
/// that it takes no more requests.
#[test]
fn late_announcement_does_not_extend_the_time_of_a_leaving_entry_vm() {
    let entry_vm = TestEntryVm::launch("entry", "north", &[]);
    let gone = TestServer::start(|_, id| ok_response(id, "gone"));
    thread::sleep(START_WAIT);
    let exit = RemoteEntryVm::start_leaving("south", Duration::ZERO, &entry_vm, &gone);
    thread::sleep(SLACK);
    assert_eq!(entry_vm.look_up().0, 503);
    drop(exit);
    thread::sleep(Duration::from_millis(60));
    let _late = RemoteEntryVm::start_leaving("south", TAKES_REQUESTS, &entry_vm, &gone);
    thread::sleep(SLACK);
    assert_eq!(entry_vm.look_up().0, 503);
}
