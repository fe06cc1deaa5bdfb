//! Servers that end, and others that take over their addresses.

use std::sync::{Arc, Mutex};

use crate::harness::{
    ServerAction, TestEntryVm, TestServer, header_value, ok_response, server_entry,
};

/// Starts a machine that serves as the server named by the returned value, which may change, and
/// refuses requests for others. Ids of the requests that ran are put into `ran`.
fn start_machine(ran: &Arc<Mutex<Vec<String>>>) -> (TestServer, Arc<Mutex<String>>) {
    let name = Arc::new(Mutex::new("s0".to_owned()));
    let heads = Arc::new(Mutex::new(Arc::<Mutex<Vec<String>>>::default()));
    let (ran, current, received) = (ran.clone(), name.clone(), heads.clone());
    let server = TestServer::start(move |n, id| {
        let expected = header_value(&received.lock().unwrap().lock().unwrap()[n], "x-server");
        if expected.as_ref() != Some(&*current.lock().unwrap()) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Id: {id}\r\nX-Not-Run: 1\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            return vec![ServerAction::Send(text.into_bytes())];
        }
        ran.lock().unwrap().push(id.to_owned());
        ok_response(id, id)
    });
    *heads.lock().unwrap() = server.requests.clone();
    (server, name)
}

/// Guards against requests that fail, or run twice, because connections are kept by address: the server
/// that ends leaves one to that which takes over its address, and an entry VM that does not know it yet
/// gets a refusal there.
#[test]
fn kept_connection_to_a_reused_address_loses_and_repeats_nothing() {
    for other_service in [false, true] {
        let ran = Arc::default();
        let (machine, name) = start_machine(&ran);
        let (spare, spare_name) = start_machine(&ran);
        *spare_name.lock().unwrap() = "s2".to_owned();
        let entry_vm = TestEntryVm::start(&[&machine]);
        assert_eq!(entry_vm.send("POST", "/order/1", "a0").0, 200);
        "s1".clone_into(&mut name.lock().unwrap());
        // Without another server, the refusal is passed on as one.
        let (status, head, _) = entry_vm.send("POST", "/order/1", "a1");
        assert_eq!(status, 503, "{head}");
        assert!(head.contains("x-outcome: not-run"), "{head}");
        entry_vm.node.put_server(server_entry(2, spare.address));
        for (i, method) in ["POST", "GET"].into_iter().cycle().take(8).enumerate() {
            let path = if method == "POST" {
                "/order/1"
            } else {
                "/read/1"
            };
            let id = format!("b{i}");
            let (status, head, body) = entry_vm.send(method, path, &id);
            assert_eq!((status, body), (200, id), "{head}");
        }
        // The refused order comes back while the connection of its refusal is idle.
        entry_vm.node.remove_server("s0");
        entry_vm.node.put_server(dispatch::Server {
            service: if other_service { "rest" } else { "work" }.into(),
            ..server_entry(1, machine.address)
        });
        entry_vm.node.remove_server("s2");
        let (status, head, _) = entry_vm.send("POST", "/order/1", "a1");
        if other_service {
            // No server of the service is left.
            assert_eq!(status, 503, "{head}");
            assert!(head.contains("x-outcome: not-run"), "{head}");
        } else {
            assert_eq!(status, 200, "{head}");
        }
        let mut ran: Vec<String> = ran.lock().unwrap().clone();
        let count = ran.len();
        ran.sort();
        ran.dedup();
        assert_eq!(ran.len(), count, "{ran:?}");
        assert_eq!(count, if other_service { 9 } else { 10 });
    }
}
