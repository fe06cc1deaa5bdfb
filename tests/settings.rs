//! Tests `settings` and `list`, whose output entry VMs and scripts read.

use std::path::Path;
use std::process::Command;

use config::FileKind;

const INVENTORY: &str = "examples/notensatz/inventory.json";
const SECRET: &str = "a secret of this test";

fn run(args: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_rosemaryglade"))
        .args(args)
        .output()
        .expect("command runs");
    let text = |bytes| String::from_utf8(bytes).expect("text");
    let code = output.status.code().expect("exit code");
    (code, text(output.stdout), text(output.stderr))
}

/// Writes a key file. File names must differ between tests, which run concurrently.
fn write_key_file(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("temporary file");
    path.display().to_string()
}

fn run_settings(vm: &str, keys: &str) -> (i32, String, String) {
    let platform = "127.0.0.1:18010";
    run(&[
        "settings",
        "--inventory",
        INVENTORY,
        "--vm",
        vm,
        "--platform",
        platform,
        "--key-file",
        keys,
    ])
}

/// Guards against settings that the entry VM or the check against the inventory rejects.
#[test]
fn settings_of_all_entry_vms_pass_check() {
    let text = std::fs::read_to_string(INVENTORY).expect("example");
    let inventory = config::parse_inventory(INVENTORY, &text).expect("valid");
    let keys = write_key_file("keys.json", &format!("[{{ id: 7, secret: '{SECRET}' }},]"));
    for vm in &inventory.entry_vms {
        let (code, out, err) = run_settings(&vm.id, &keys);
        assert_eq!(code, 0, "{err}");
        let source = config::Source {
            name: "settings",
            text: &out,
        };
        let diagnostics = config::check_file(FileKind::Settings, source, Some(&inventory));
        assert!(diagnostics.is_empty(), "{diagnostics:?}");
        let settings = config::parse_settings("settings", &out).expect("valid");
        assert_eq!(
            (settings.keys[0].id, &*settings.keys[0].secret),
            (7, SECRET)
        );
        let mut others = inventory.entry_vms.iter().filter(|v| v.id != vm.id);
        let peer = others.find(|v| v.domain == vm.domain).expect("peer");
        assert_eq!(settings.seeds[0], peer.peer_address);
        assert!(settings.seeds.len() == 4 && !settings.seeds.contains(&vm.peer_address));
    }
}

/// Guards against a secret in an error message, and against settings printed from invalid input.
#[test]
fn invalid_input_is_rejected_without_secrets() {
    let keys = write_key_file(
        "good-keys.json",
        &format!("[{{ id: 1, secret: '{SECRET}' }}]"),
    );
    assert_eq!(run_settings("nobody", &keys).0, 1);
    assert_eq!(run_settings("donau-1-a", "no-such-file.json").0, 5);
    for (name, text) in [
        ("cut-keys.json", "[{ id: 1, secret: 'a secret of this test'"),
        ("typed-keys.json", "[{ id: 'a secret of this test' }]"),
        ("short-keys.json", "[{ id: 1, secret: 'of this test' }]"),
        ("no-keys.json", "[]"),
    ] {
        let (code, out, err) = run_settings("donau-1-a", &write_key_file(name, text));
        assert_eq!((code, &*out), (1, ""), "{name}: {err}");
        assert!(
            err.contains("error") && !err.contains("of this test"),
            "{name}: {err}"
        );
    }
}

/// Guards against a list without entry VMs, servers or fields that scripts need.
#[test]
fn list_prints_all_entry_vms_and_servers() {
    let (code, out, _) = run(&["list", "--inventory", INVENTORY, "servers"]);
    assert_eq!((code, out.lines().count()), (0, 48));
    assert_eq!(
        out.lines().nth(12),
        Some(
            "id=bestelldienst-01 service=bestelldienst class=binding domain=donau-1 \
             address=127.0.0.1:18421 slots=3 connections=330"
        )
    );
    let (code, out, _) = run(&["list", "--inventory", INVENTORY, "entry-vms"]);
    assert_eq!((code, out.lines().count()), (0, 12));
    assert!(out.starts_with("id=donau-1-a domain=donau-1 caller_address=127.0.0.1:18101 "));
}
