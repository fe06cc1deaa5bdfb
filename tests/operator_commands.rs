//! Tests the subcommands that use the platform against a test platform.

use std::net::SocketAddr;
use std::process::{Command, Output};

use config::{Configuration, Shares};
use standins::platform::{Platform, PlatformSettings, serve_platform};

const INVENTORY: &str = "examples/notensatz/inventory.json";
const RULES: &str = "examples/notensatz/rules.json";

/// Runs a test with a new test platform; the command line runs in child processes.
fn with_platform(test: impl FnOnce(&Platform, &CommandLine)) {
    let platform = Platform::new(PlatformSettings::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (running, stop) = async_channel::bounded(1);
    let served = platform.clone();
    let thread = std::thread::spawn(move || {
        runtime::block_on(1, async {
            let listener = async_net::TcpListener::try_from(listener).unwrap();
            serve_platform(listener, served, stop).await;
        });
    });
    test(&platform, &CommandLine(address));
    drop(running);
    thread.join().unwrap();
}

/// Runs the command line against the platform at an address.
struct CommandLine(SocketAddr);

/// Exit code and output of a command.
struct CommandOutput {
    code: i32,
    out: String,
    err: String,
}

impl CommandLine {
    fn run(&self, args: &[&str]) -> CommandOutput {
        let Output {
            status,
            stdout,
            stderr,
        } = Command::new(env!("CARGO_BIN_EXE_rosemaryglade"))
            .args(args)
            .args(["--platform", &self.0.to_string(), "--timeout-ms", "20000"])
            .output()
            .unwrap();
        CommandOutput {
            code: status.code().unwrap(),
            out: String::from_utf8(stdout).unwrap(),
            err: String::from_utf8(stderr).unwrap(),
        }
    }

    fn apply(&self, base: &str, author: &str) -> CommandOutput {
        let files = ["--inventory", INVENTORY, "--rules", RULES];
        self.run(&[&["apply", "--base", base, "--author", author], &files[..]].concat())
    }

    /// Runs a command that must succeed and returns its output.
    fn run_ok(&self, args: &[&str]) -> String {
        let output = self.run(args);
        assert_eq!(output.code, 0, "{args:?}: {}{}", output.out, output.err);
        output.out
    }

    fn in_force(&self) -> Configuration {
        let text = self.run_ok(&["show"]);
        let (_, json) = text.split_once('\n').unwrap();
        config::parse_configuration(json.as_bytes()).unwrap()
    }
}

fn inventory() -> config::Inventory {
    config::parse_inventory(INVENTORY, &std::fs::read_to_string(INVENTORY).unwrap()).unwrap()
}

/// Guards against a change that loses or alters parts of the configuration of an earlier change.
#[test]
fn drain_shift_and_revert() {
    with_platform(|platform, cli| {
        assert!(
            cli.apply("0", "anna")
                .out
                .contains("generation 1 is accepted")
        );
        let server = &*inventory().servers[0].id;
        let drain = ["drain", "server", server, "--author", "bert"];
        assert!(cli.run_ok(&drain).contains("generation 2 is accepted"));
        assert_eq!(*cli.in_force().rules.drains.servers[0], *server);
        assert!(cli.run_ok(&drain).contains("already drained"));

        let service = &*inventory().services[0].id;
        let mut to: Shares = config::slot_shares(&cli.in_force(), service);
        let names: Vec<_> = to.keys().cloned().collect();
        let moved = to[&names[0]];
        to.insert(names[0].clone(), 0.0);
        to.insert(names[1].clone(), to[&names[1]] + moved);
        let shares: Vec<String> = to.iter().map(|(d, s)| format!("{d}={s}")).collect();
        let mut shift = vec!["shift", service, "--author", "carl"];
        shift.extend(shares.iter().map(String::as_str));
        assert!(cli.run_ok(&shift).contains("generation 3 is accepted"));
        let started = cli.in_force().rules.shifts[service].clone();
        assert!((started.from[&names[0]] - moved).abs() < 1e-9 && started.start_ms > 0);

        let revert = cli.run_ok(&["revert-to", "1", "--author", "dora"]);
        assert!(revert.contains("generation 4 is accepted"));
        assert!(cli.in_force().rules.drains.servers.is_empty());
        let undrain = ["undrain", "server", server, "--author", "dora"];
        assert!(cli.run_ok(&undrain).contains("not drained"));
        let history = cli.run_ok(&["history", "--limit", "3"]);
        let authors: Vec<_> = history
            .lines()
            .filter_map(|l| l.split("author=").nth(1))
            .collect();
        assert_eq!(authors.len(), 3);
        assert!(authors[0].starts_with("\"bert\"") && authors[2].starts_with("\"dora\""));
        assert_eq!(platform.rows("config/history/").len(), 4);
        let first = cli.run_ok(&["show", "--generation", "1", "--part", "inventory"]);
        let first = config::parse_inventory("show", &first).unwrap();
        assert_eq!(first.servers.len(), inventory().servers.len());
    });
}

/// Guards against conflict messages without the author of the other change, and against changes on
/// an outdated base that are accepted.
#[test]
fn conflict_messages_name_other_author() {
    with_platform(|platform, cli| {
        cli.apply("0", "anna");
        cli.run_ok(&[
            "drain",
            "domain",
            &inventory().domains[0].id,
            "--author",
            "bert",
        ]);
        for output in [
            cli.apply("0", "carl"),
            cli.apply("1", "carl"),
            cli.run(&["revert-to", "1", "--base", "1", "--author", "carl"]),
        ] {
            assert_eq!(output.code, 3, "{}", output.err);
            assert!(
                output.err.contains("generation 2 was made by bert"),
                "{}",
                output.err
            );
        }
        assert_eq!(cli.apply("9", "carl").code, 3);
        assert_eq!(platform.rows("config/history/").len(), 2);
    });
}

/// Guards against changes that move traffic faster than its cap, and against traffic that does not
/// return after an undrain or a reversal.
#[test]
fn drains_and_reversals_stay_within_cap() {
    with_platform(|_, cli| {
        cli.apply("0", "anna");
        let start = cli.in_force();
        let domain = &*inventory().domains[0].id;
        let service = &*inventory().services[0].id;
        let final_shares = || config::shares(&cli.in_force(), service, u64::MAX);
        let drain = cli.run_ok(&["drain", "domain", domain, "--author", "anna"]);
        assert!(drain.contains("moves by a planned shift") && !drain.contains("EXCEEDS ITS CAP"));
        assert!(final_shares().get(domain).is_none_or(|share| *share == 0.0));
        let undrain = cli.run_ok(&["undrain", "domain", domain, "--author", "anna"]);
        assert!(!undrain.contains("EXCEEDS ITS CAP"), "{undrain}");
        let expected = config::slot_shares(&start, service);
        assert!(config::moved_share(&final_shares(), &expected) < 1e-9);
        cli.run_ok(&["drain", "domain", domain, "--author", "anna"]);
        let revert = cli.run_ok(&["revert-to", "1", "--author", "anna"]);
        assert!(!revert.contains("EXCEEDS ITS CAP"), "{revert}");
        assert!(config::moved_share(&final_shares(), &expected) < 1e-9);
    });
}

/// Guards against messages that do not state correctly whether the change took effect, or that give
/// no next step, when the platform is unreachable or its response is lost.
#[test]
fn unreachable_platform_and_lost_responses() {
    with_platform(|platform, cli| {
        platform.set_faults(|f| f.down = true);
        let output = cli.apply("0", "anna");
        assert_eq!(output.code, 4);
        assert!(
            output
                .err
                .contains("has no effect and will not take effect later"),
            "{}",
            output.err
        );
        platform.set_faults(|f| {
            (f.down, f.lose_only_transactions, f.lose_requests) = (false, true, 100);
        });
        let output = cli.apply("0", "anna");
        assert_eq!(output.code, 7);
        assert!(
            output.err.contains("may have taken effect as generation 1"),
            "{}",
            output.err
        );
        assert!(
            output.err.contains("rosemaryglade history"),
            "{}",
            output.err
        );
        platform.set_faults(|f| (f.lose_requests, f.lose_answers) = (0, 1));
        assert_eq!(cli.apply("0", "anna").code, 0);
        assert_eq!(platform.stats().lost_answers, 1);
        assert_eq!(platform.rows("config/history/").len(), 1);
    });
}

/// Guards against unknown names that are accepted, or rejected without a suggestion.
#[test]
fn unknown_names_are_rejected() {
    with_platform(|platform, cli| {
        assert_eq!(cli.run(&["show"]).code, 1);
        cli.apply("0", "anna");
        assert_eq!(cli.run(&["show", "--generation", "5"]).code, 1);
        let wrong = cli.run(&["drain", "server", "nobody", "--author", "anna"]);
        assert_eq!(wrong.code, 1);
        assert!(wrong.err.contains("use one of"), "{}", wrong.err);
        let shift = cli.run(&["shift", "werkdienst", "nowhere=1", "--author", "anna"]);
        assert_eq!(shift.code, 1, "{}", shift.err);
        let twice = [
            "shift",
            "werkdienst",
            "donau-1=1",
            "donau-1=0%",
            "--author",
            "anna",
        ];
        assert_eq!(cli.run(&twice).code, 2);
        assert_eq!(platform.rows("config/history/").len(), 1);
    });
}

/// Guards against a plan that is not computed from the configuration in force, and against a plan
/// that changes the configuration.
#[test]
fn plan_starts_from_configuration_in_force() {
    with_platform(|platform, cli| {
        let plan = |rules| cli.run(&["plan", "--inventory", INVENTORY, "--rules", rules]);
        assert_eq!(plan(RULES).code, 1);
        cli.apply("0", "anna");
        let same = plan(RULES);
        assert_eq!(same.code, 0, "{}", same.err);
        assert!(
            same.out
                .starts_with("compared with generation 1 in force\n")
        );
        let rules = std::fs::read_to_string(RULES).unwrap();
        let drained = rules.replace("\"domains\": []", "\"domains\": [\"donau-1\"]");
        assert_ne!(drained, rules);
        let path = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("plan-drained.json");
        std::fs::write(&path, drained).unwrap();
        let output = plan(path.to_str().unwrap());
        assert_eq!(output.code, 6, "{}", output.err);
        assert!(
            output
                .out
                .contains("moves 16.67 % at once, 16.67 % in a minute, cap 10.00 %"),
            "{}",
            output.out
        );
        assert_eq!(platform.rows("config/history/").len(), 1);
        platform.set_faults(|f| f.down = true);
        assert_eq!(plan(RULES).code, 4);
    });
}
