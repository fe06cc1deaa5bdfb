//! Tests the output and the exit codes of `check` and `plan`.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

/// Runs the command line and returns its exit code with standard output and standard error.
fn run(args: &[&str]) -> (i32, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rosemaryglade"));
    let Output {
        status,
        stdout,
        stderr,
    } = command.args(args).output().expect("command runs");
    let text = String::from_utf8_lossy(&stdout).into_owned() + &String::from_utf8_lossy(&stderr);
    (status.code().expect("exit code"), text)
}

fn example(deployment: &str, file: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples");
    root.join(deployment).join(file).display().to_string()
}

/// Writes a temporary file. File names must differ between tests, which run concurrently.
fn write_file(name: &str, text: impl AsRef<[u8]>) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).expect("temporary file");
    path.display().to_string()
}

fn plan(rules: &str, before_rules: &str, inventory: &str) -> (i32, String) {
    let before = example("al-sahl", "inventory.json");
    run(&[
        "plan",
        "--inventory",
        inventory,
        "--rules",
        rules,
        "--before-inventory",
        &before,
        "--before-rules",
        before_rules,
        "--at",
        "1700000000000",
    ])
}

/// Guards against examples with errors or warnings.
#[test]
fn examples_pass_check() {
    let mut args = vec!["check".to_owned()];
    for deployment in ["notensatz", "al-sahl"] {
        let files = ["settings.json", "inventory.json", "rules.json"];
        args.extend(files.map(|file| example(deployment, file)));
    }
    let (code, text) = run(&args.iter().map(String::as_str).collect::<Vec<_>>());
    assert_eq!(
        (code, &*text),
        (0, "0 errors, 0 warnings in 6 of 6 files\n")
    );
}

/// Guards against a check that stops at the first file with errors, and against secrets in its
/// output.
#[test]
fn errors_of_all_files_are_printed() {
    let rules = write_file(
        "faulty-rules.json",
        "{ drains: { domains: ['irbid-3'] }, retry_budget: 7 }",
    );
    let settings = write_file(
        "faulty-settings.json",
        "{ keys: [{ id: 1, secret: 's3cret' }] }",
    );
    let broken = write_file("broken-inventory.json", "{\n regions: [\n}");
    let inventory = example("al-sahl", "inventory.json");
    let (code, text) = run(&["check", &rules, &settings, &inventory]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("drains.domains[0]: error: failure domain \"irbid-3\" does not exist"));
    assert!(text.contains("retry_budget: error: 7 is not a share; give a number from 0 to 1"));
    assert!(text.contains("keys[0].secret: error: secret is too short"));
    assert!(text.contains("caller_address: error: field is missing"));
    assert!(
        text.contains("in 3 of 3 files") && !text.contains("s3cret"),
        "{text}"
    );
    let (code, text) = run(&["check", "--inventory", &broken, &rules]);
    assert!(
        code == 1 && text.contains("broken-inventory.json:3: error"),
        "{text}"
    );
}

/// Guards against exit codes that differ from docs/EXIT-CODES.md.
#[test]
fn exit_codes_match_failures() {
    let faulty = write_file("faulty.json", "{ retry_budget: 7 }");
    let binary = write_file("binary.json", [b'{', 0xff, b'}']);
    let unknown = write_file("unknown.json", "{ colour: 'red' }");
    for (expected, args) in [
        (1, vec!["check", &faulty]),
        (1, vec!["check", &binary]),
        (1, vec!["check", &unknown]),
        (2, vec!["check"]),
        (2, vec!["chekc"]),
        (2, vec!["plan", "--inventory", "x"]),
        (5, vec!["check", "no-such-file.json"]),
        (5, vec!["check", &faulty, "no-such-file.json", &binary]),
        (0, vec!["check", "--help"]),
    ] {
        let (code, text) = run(&args);
        assert_eq!(code, expected, "{args:?}: {text}");
    }
}

/// Guards against settings and configurations of the users' platform that pass the check but that
/// the gateway rejects, and against errors without their field.
#[test]
fn gateway_files_are_checked() {
    let settings = "self.node-name=entry-1\nself.zone=north\nself.region=donau\n\
        network.listen-addresses.frontend=10.1.0.15:8641\n\
        network.listen-addresses.readiness=10.1.0.15:8640\n\
        network.listen-addresses.directory=10.1.0.15:8644\n\
        network.internal-port-range=7620,7635\nplatform.platform.address=10.200.1.7:8642\n";
    let good = write_file("node.conf", settings);
    let bad = write_file("bad-node.conf", settings.replace("7620,7635", "7620"));
    let configuration = write_file("op-config.json", "{\"version\":\"7\"}");
    let (code, text) = run(&["check", "--gateway-settings", &good]);
    assert_eq!(
        (code, &*text),
        (0, "0 errors, 0 warnings in 1 of 1 files\n")
    );
    let (code, text) = run(&[
        "check",
        "--gateway-settings",
        &bad,
        "--gateway-configuration",
        &configuration,
    ]);
    assert_eq!(code, 1);
    assert!(
        text.contains("bad-node.conf: network.internal-port-range: error"),
        "{text}"
    );
    assert!(
        text.contains("op-config.json") && text.contains("2 errors"),
        "{text}"
    );
}

/// Guards against a plan that exceeds a cap without the exit code that scripts rely on.
#[test]
fn plan_shows_shares_and_exceeded_caps() {
    let inventory = example("al-sahl", "inventory.json");
    let rules = example("al-sahl", "rules.json");
    let (code, text) = plan(&rules, &rules, &inventory);
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("service bid-desk") && text.contains("16.67 %"),
        "{text}"
    );

    let text = fs::read_to_string(&rules)
        .expect("example")
        .replace("\"domains\": []", "domains: ['karak-1']");
    let drained = write_file("drained-rules.json", text);
    let (code, text) = plan(&drained, &rules, &inventory);
    assert_eq!(code, 6, "{text}");
    assert!(
        text.contains("drain starts: failure domain \"karak-1\""),
        "{text}"
    );
    assert!(
        text.contains("moves 16.67 % at once, 16.67 % in a minute, cap 5.00 %"),
        "{text}"
    );

    let (code, _) = plan("no-such-file.json", &rules, &inventory);
    assert_eq!(code, 5);
    let faulty = write_file("plan-faulty-rules.json", "{ retry_budget: 7 }");
    let (code, text) = plan(&faulty, &rules, &inventory);
    assert!(code == 1 && text.contains("7 is not a share"), "{text}");
}
