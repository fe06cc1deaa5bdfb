//! HTTP API and faults of the platform stand-in.

use std::net::SocketAddr;
use std::time::Duration;

use http::client::{ClientOptions, build_request, json_request, parse_json, request};
use http::{Method, Request, Response};
use serde_json::{Value, json};
use standins::platform::{ObjectFault, Platform, PlatformSettings, VmState, serve_platform};

/// Runs a test against a new platform stand-in, then stops it.
fn run_with_platform<F: Future<Output = ()>>(test: impl FnOnce(Platform, SocketAddr) -> F) {
    runtime::block_on(1, async {
        let listener = async_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let platform = Platform::new(PlatformSettings {
            vm_list_lag: Duration::ZERO,
            ..PlatformSettings::default()
        });
        let (running, stop) = async_channel::bounded(1);
        let task = runtime::spawn(serve_platform(listener, platform.clone(), stop));
        test(platform, addr).await;
        drop(running);
        task.await;
    });
}

async fn send(addr: SocketAddr, req: Request) -> http::Result<Response> {
    request(addr, req, &ClientOptions::default()).await
}

async fn transact(addr: SocketAddr, writes: Value) -> http::Result<(u16, Value)> {
    let body = json!({ "writes": writes });
    let mut res = send(addr, json_request(Method::Post, "/table/transact", &body)?).await?;
    Ok((res.status().into(), parse_json(&mut res).await?))
}

async fn get(addr: SocketAddr, path: &str) -> (u16, Value) {
    let mut res = send(addr, build_request(Method::Get, path).unwrap())
        .await
        .unwrap();
    let status = res.status().into();
    assert!(res.header("x-platform-time-ms").is_some() || path == "/stats");
    (status, parse_json(&mut res).await.unwrap())
}

/// Guards against transactions that take effect in part or ignore a precondition.
#[test]
fn transactions_are_atomic_and_conditional() {
    run_with_platform(|_, addr| async move {
        let create = json!([{ "row": "a/1", "expect": "absent", "value": 1 }]);
        let (status, body) = transact(addr, create).await.unwrap();
        assert_eq!(status, 200);
        let version = body["version"].as_u64().unwrap();
        let one_outdated = json!([
            { "row": "a/2", "expect": "absent", "value": 2 },
            { "row": "a/1", "expect": { "version": version + 1 }, "value": 3 },
        ]);
        let (status, body) = transact(addr, one_outdated).await.unwrap();
        assert_eq!(status, 409);
        assert_eq!(
            body["conflicts"],
            json!([{ "row": "a/1", "version": version, "value": 1 }])
        );
        assert_eq!(get(addr, "/table/a/2").await.0, 404);
        let up_to_date = json!([
            { "row": "a/2", "expect": "absent", "value": 2 },
            { "row": "a/1", "expect": { "version": version }, "value": 3 },
            { "row": "b", "expect": "any", "value": 4 },
        ]);
        assert_eq!(transact(addr, up_to_date).await.unwrap().0, 200);
        let (_, listed) = get(addr, "/table?prefix=a/").await;
        assert_eq!(listed["rows"].as_array().unwrap().len(), 2);
        let (_, paged) = get(addr, "/table?prefix=a/&after=a/1&limit=1").await;
        assert_eq!(
            (&paged["rows"][0]["row"], &paged["more"]),
            (&json!("a/2"), &json!(false))
        );
        let removal = json!([{ "row": "a/1", "expect": "any" }]);
        assert_eq!(transact(addr, removal).await.unwrap().0, 200);
        assert_eq!(get(addr, "/table/a/1").await.0, 404);
    });
}

/// Guards against a lost request that takes effect, a lost response whose write has no effect, and
/// a platform that serves requests while down.
#[test]
fn lost_writes_and_outages() {
    run_with_platform(|platform, addr| async move {
        platform.set_faults(|f| (f.lose_answers, f.lose_requests) = (1, 1));
        let write = |row: &str| json!([{ "row": row, "expect": "absent", "value": 1 }]);
        assert!(transact(addr, write("never")).await.is_err());
        assert!(transact(addr, write("taken")).await.is_err());
        assert_eq!(get(addr, "/table/never").await.0, 404);
        assert_eq!(get(addr, "/table/taken").await.0, 200);
        platform.set_faults(|f| f.down = true);
        assert!(transact(addr, write("down")).await.is_err());
        let clear_faults = json_request(Method::Post, "/faults", &json!({})).unwrap();
        assert!(
            send(addr, clear_faults)
                .await
                .unwrap()
                .status()
                .is_success()
        );
        assert_eq!(get(addr, "/table/down").await.0, 404);
        let (_, stats) = get(addr, "/stats").await;
        let counts = (
            &stats["lost_answers"],
            &stats["lost_requests"],
            &stats["dropped"],
        );
        assert_eq!(counts, (&json!(1), &json!(1), &json!(1)));
    });
}

/// Guards against object faults that return the intact object, and against VM list changes that
/// become visible while the list is frozen.
#[test]
fn object_faults_and_frozen_vm_list() {
    run_with_platform(|platform, addr| async move {
        let read = || async {
            let req = build_request(Method::Get, "/objects/o").unwrap();
            send(addr, req).await.unwrap().body_bytes().await.unwrap()
        };
        let mut put = build_request(Method::Put, "/objects/o").unwrap();
        put.set_body(b"12345678".to_vec());
        assert!(send(addr, put).await.unwrap().status().is_success());
        assert_eq!(read().await, b"12345678");
        platform.set_faults(|f| f.objects = ObjectFault::Corrupt);
        let corrupt = read().await;
        assert_eq!((corrupt.len(), corrupt == b"12345678"), (8, false));
        platform.set_faults(|f| f.objects = ObjectFault::Truncate);
        assert_eq!(read().await, b"1234");

        platform.put_vm("vm-1", VmState::Live);
        platform.set_faults(|f| f.freeze_vms = true);
        let change = json_request(Method::Put, "/vms/vm-1", &json!({ "state": "leaving" }));
        assert!(
            send(addr, change.unwrap())
                .await
                .unwrap()
                .status()
                .is_success()
        );
        let live = json!([{ "id": "vm-1", "state": "live" }]);
        assert_eq!(get(addr, "/vms").await.1["vms"], live);
        platform.set_faults(|f| f.freeze_vms = false);
        assert_eq!(get(addr, "/vms").await.1["vms"][0]["state"], "leaving");
    });
}
