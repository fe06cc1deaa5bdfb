//! Tests `status` against the entry VMs of a deployment in the test process.

use std::net::TcpListener;
use std::process::Command;

use config::{Configuration, Inventory, Source};
use deployment::{Deployment, Options};
use serde_json::Value;
use standins::platform::{Platform, PlatformSettings, serve_platform};

fn configuration() -> Configuration {
    let read = |file: &str| std::fs::read_to_string(file).expect("example");
    let (inventory, rules) = (
        read("examples/notensatz/inventory.json"),
        read("examples/notensatz/rules.json"),
    );
    let source = |name, text| Source { name, text };
    let (configuration, diagnostics) =
        config::read_configuration(source("inventory", &inventory), source("rules", &rules));
    let mut configuration = configuration.unwrap_or_else(|| panic!("{diagnostics:?}"));
    // Only two failure domains, which start faster.
    let inventory = &mut configuration.inventory;
    inventory.domains.truncate(2);
    let kept: Vec<_> = inventory.domains.iter().map(|d| d.id.clone()).collect();
    inventory.entry_vms.retain(|v| kept.contains(&v.domain));
    inventory.servers.retain(|s| kept.contains(&s.domain));
    inventory.client_blocks.retain(|b| kept.contains(&b.domain));
    configuration
}

fn block_on<T>(test: impl Future<Output = T>) -> T {
    runtime::block_on(2, test)
}

async fn start_deployment() -> Deployment {
    let options = Options {
        configuration: configuration(),
        ..Options::default()
    };
    Deployment::start(options).await.expect("deployment starts")
}

fn run_status(args: &[&str]) -> (i32, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_rosemaryglade"))
        .arg("status")
        .args(args)
        .output()
        .expect("command runs");
    let text = String::from_utf8_lossy(&output.stdout).into_owned()
        + &String::from_utf8_lossy(&output.stderr);
    (output.status.code().expect("exit code"), text)
}

/// Runs the command on a separate thread, because it blocks and the entry VMs need the threads of
/// the executor.
async fn run_status_in_thread(source: &[&str]) -> (i32, String) {
    let source: Vec<String> = source.iter().map(ToString::to_string).collect();
    let (tx, rx) = async_channel::bounded(1);
    std::thread::spawn(move || {
        let mut args: Vec<&str> = source.iter().map(String::as_str).collect();
        args.extend(["--vm-timeout-ms", "20000", "--timeout-ms", "20000"]);
        // The receiver is open until the result arrives.
        let _ = tx.try_send(run_status(&args));
    });
    rx.recv().await.expect("result of the command")
}

/// Writes an inventory file. File names must differ between tests, which run concurrently.
fn write_inventory(name: &str, inventory: &Inventory) -> String {
    let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let text = serde_json::to_string(inventory).expect("json");
    std::fs::write(&path, text).expect("temporary file");
    path.display().to_string()
}

/// Guards against entry VMs that do not respond or are missing in the report, and against stopped
/// ones that count as reachable.
#[test]
fn all_entry_vms_are_reported() {
    block_on(async {
        let mut deployment = start_deployment().await;
        let platform = deployment.platform_address.to_string();
        let (code, text) = run_status_in_thread(&["--platform", &platform]).await;
        assert_eq!(code, 0, "{text}");
        assert!(text.starts_with("generation 1 is in force at the platform\n"));
        assert!(text.ends_with("4 of 4 entry VMs answer, 4 have the newest generation\n"));

        assert!(deployment.stop_entry_vm("donau-1-b").await);
        let (code, text) = run_status_in_thread(&["--platform", &platform, "--json"]).await;
        assert_eq!(code, 8, "{text}");
        let report: Value = serde_json::from_str(&text).expect("one document");
        assert_eq!(
            (&report["ok"], &report["answering"], &report["newest"]),
            (&Value::from(false), &Value::from(3), &Value::from(3))
        );
        let vms = &report["domains"][0]["entry_vms"];
        assert_eq!(vms[0]["id"], "donau-1-a");
        assert_eq!(
            vms[0]["status"]["servers"]["werkdienst-01"]["state"],
            "ready"
        );
        assert!(vms[0]["status"]["peers"]["donau-1-b"]["heard"].is_string());
        assert_eq!(
            (&vms[1]["id"], &vms[1]["reachable"]),
            (&"donau-1-b".into(), &false.into())
        );
        assert!(vms[1]["error"].is_string() && vms[1]["status"].is_null());
        deployment.stop().await;
    });
}

/// Guards against a newest generation taken from the entry VMs although the platform has a newer
/// one.
#[test]
fn outdated_entry_vms_are_reported() {
    block_on(async {
        let deployment = start_deployment().await;
        // The entry VMs do not use this platform, which is one generation ahead.
        let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
        let address = listener.local_addr().expect("address");
        let (_running, stop) = async_channel::bounded(1);
        let listener = async_net::TcpListener::try_from(listener).expect("listener");
        let ahead = Platform::new(PlatformSettings::default());
        runtime::spawn(serve_platform(listener, ahead, stop)).detach();
        let client = platform::Client::new(platform::ClientSettings {
            addresses: vec![address],
            ..platform::ClientSettings::default()
        });
        let bytes = config::encode(&deployment.configuration);
        for base in 0..2 {
            let mut rng = fastrand::Rng::with_seed(base);
            platform::apply(&client, base, &bytes, "test", &mut rng)
                .await
                .expect("accepted");
        }
        let (code, text) = run_status_in_thread(&["--platform", &address.to_string()]).await;
        assert_eq!(code, 8, "{text}");
        assert!(text.contains("donau-2-a: generation 1 (BEHIND)"), "{text}");
        assert!(text.ends_with("4 of 4 entry VMs answer, 0 have the newest generation\n"));
        deployment.stop().await;
    });
}

/// Guards against a status that is reported for the wrong entry VM.
#[test]
fn status_of_other_entry_vm_is_rejected() {
    block_on(async {
        let deployment = start_deployment().await;
        let mut inventory = deployment.configuration.inventory.clone();
        let valid = write_inventory("status-right.json", &inventory);
        let (code, text) = run_status_in_thread(&["--inventory", &valid]).await;
        assert_eq!(code, 0, "{text}");
        let first_address = inventory.entry_vms[0].operator_address;
        inventory.entry_vms[0].operator_address = inventory.entry_vms[1].operator_address;
        inventory.entry_vms[1].operator_address = first_address;
        let swapped = write_inventory("status-swapped.json", &inventory);
        let (code, text) = run_status_in_thread(&["--inventory", &swapped]).await;
        assert_eq!(code, 8, "{text}");
        assert!(text.contains("answers as entry VM donau-1-b"), "{text}");
        assert!(text.contains("2 of 4 entry VMs answer"), "{text}");
        deployment.stop().await;
    });
}

/// Guards against a command that waits without end for an entry VM that accepts the connection and
/// sends no response.
#[test]
fn unresponsive_entry_vm_times_out() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("listener");
    let mut inventory = configuration().inventory;
    inventory.entry_vms.truncate(1);
    inventory.entry_vms[0].operator_address = listener.local_addr().expect("address");
    let file = write_inventory("status-silent.json", &inventory);
    let (code, text) = run_status(&[
        "--inventory",
        &file,
        "--vm-timeout-ms",
        "200",
        "--at-once",
        "1",
    ]);
    assert_eq!(code, 8, "{text}");
    assert!(text.contains("no entry VM answers\n"), "{text}");
    assert!(text.ends_with("0 of 1 entry VMs answer, 0 have the newest generation\n"));
    let (code, _) = run_status(&["--inventory", "no-such-file.json"]);
    assert_eq!(code, 5);
    assert_eq!(run_status(&[]).0, 2);
    assert_eq!(
        run_status(&["--inventory", &file, "--platform", "127.0.0.1:1"]).0,
        2
    );
}
