//! Tests of the operator commands against the platform stand-in.

use std::net::SocketAddr;
use std::process::{Command, Output};

use config::{Configuration, Shares};
use standins::platform::{Platform, PlatformSettings, serve_platform};

const INVENTORY: &str = "examples/notensatz/inventory.json";
const RULES: &str = "examples/notensatz/rules.json";

/// Runs a test against a fresh stand-in; commands run in child processes meanwhile.
fn run(test: impl FnOnce(&Platform, &Operator)) {
    let platform = Platform::new(PlatformSettings::default());
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (running, stop) = async_channel::bounded(1);
    let served = platform.clone();
    let thread = std::thread::spawn(move || {
        runtime::block_on(1, async {
            let listener = async_net::TcpListener::try_from(listener).unwrap();
            serve_platform(listener, served, stop).await;
        });
    });
    test(&platform, &Operator(addr));
    drop(running);
    thread.join().unwrap();
}

/// An operator at the command line.
struct Operator(SocketAddr);

/// What a command printed and its exit code.
struct Seen {
    code: i32,
    out: String,
    err: String,
}

impl Operator {
    fn run(&self, args: &[&str]) -> Seen {
        let Output {
            status,
            stdout,
            stderr,
        } = Command::new(env!("CARGO_BIN_EXE_rosemaryglade"))
            .args(args)
            .args(["--platform", &self.0.to_string(), "--timeout-ms", "20000"])
            .output()
            .unwrap();
        Seen {
            code: status.code().unwrap(),
            out: String::from_utf8(stdout).unwrap(),
            err: String::from_utf8(stderr).unwrap(),
        }
    }

    fn apply(&self, base: &str, author: &str) -> Seen {
        let files = ["--inventory", INVENTORY, "--rules", RULES];
        self.run(&[&["apply", "--base", base, "--author", author], &files[..]].concat())
    }

    /// Runs a command that must succeed.
    fn done(&self, args: &[&str]) -> String {
        let seen = self.run(args);
        assert_eq!(seen.code, 0, "{args:?}: {}{}", seen.out, seen.err);
        seen.out
    }

    fn in_force(&self) -> Configuration {
        let text = self.done(&["show"]);
        let (_, json) = text.split_once('\n').unwrap();
        config::parse_configuration(json.as_bytes()).unwrap()
    }
}

fn inventory() -> config::Inventory {
    config::parse_inventory(INVENTORY, &std::fs::read_to_string(INVENTORY).unwrap()).unwrap()
}

/// Guards against commands that lose or distort the configuration between each other.
#[test]
fn change_drain_shift_and_revert() {
    run(|platform, operator| {
        assert!(
            operator
                .apply("0", "anna")
                .out
                .contains("generation 1 is accepted")
        );
        let server = &*inventory().servers[0].id;
        let drain = ["drain", "server", server, "--author", "bert"];
        assert!(operator.done(&drain).contains("generation 2 is accepted"));
        assert_eq!(*operator.in_force().rules.drains.servers[0], *server);
        assert!(operator.done(&drain).contains("drained already"));

        let service = &*inventory().services[0].id;
        let mut to: Shares = config::slot_shares(&operator.in_force(), service);
        let names: Vec<_> = to.keys().cloned().collect();
        let moved = to[&names[0]];
        to.insert(names[0].clone(), 0.0);
        to.insert(names[1].clone(), to[&names[1]] + moved);
        let shares: Vec<String> = to.iter().map(|(d, s)| format!("{d}={s}")).collect();
        let mut shift = vec!["shift", service, "--author", "carl"];
        shift.extend(shares.iter().map(String::as_str));
        assert!(operator.done(&shift).contains("generation 3 is accepted"));
        let started = operator.in_force().rules.shifts[service].clone();
        assert!((started.from[&names[0]] - moved).abs() < 1e-9 && started.start_ms > 0);

        let revert = operator.done(&["revert-to", "1", "--author", "dora"]);
        assert!(revert.contains("generation 4 is accepted"));
        assert!(operator.in_force().rules.drains.servers.is_empty());
        let undrain = ["undrain", "server", server, "--author", "dora"];
        assert!(operator.done(&undrain).contains("not drained"));
        let history = operator.done(&["history", "--limit", "3"]);
        let authors: Vec<_> = history
            .lines()
            .filter_map(|l| l.split("author=").nth(1))
            .collect();
        assert_eq!(authors.len(), 3);
        assert!(authors[0].starts_with("\"bert\"") && authors[2].starts_with("\"dora\""));
        assert_eq!(platform.rows("config/history/").len(), 4);
        let first = operator.done(&["show", "--generation", "1", "--part", "inventory"]);
        let first = config::parse_inventory("show", &first).unwrap();
        assert_eq!(first.servers.len(), inventory().servers.len());
    });
}

/// Guards against a conflict that doesn't say who changed the configuration, and against changes
/// on an outdated base.
#[test]
fn conflicts_name_the_other_operator() {
    run(|platform, operator| {
        operator.apply("0", "anna");
        operator.done(&[
            "drain",
            "domain",
            &inventory().domains[0].id,
            "--author",
            "bert",
        ]);
        for seen in [
            operator.apply("0", "carl"),
            operator.apply("1", "carl"),
            operator.run(&["revert-to", "1", "--base", "1", "--author", "carl"]),
        ] {
            assert_eq!(seen.code, 3, "{}", seen.err);
            assert!(
                seen.err.contains("generation 2 was made by bert"),
                "{}",
                seen.err
            );
        }
        assert_eq!(operator.apply("9", "carl").code, 3);
        assert_eq!(platform.rows("config/history/").len(), 2);
    });
}

/// Guards against changes whose traffic moves faster than its cap, and against drains and
/// reversals whose traffic never returns.
#[test]
fn drains_and_reversals_keep_the_cap() {
    run(|_, operator| {
        operator.apply("0", "anna");
        let start = operator.in_force();
        let domain = &*inventory().domains[0].id;
        let service = &*inventory().services[0].id;
        let in_the_end = || config::shares(&operator.in_force(), service, u64::MAX);
        let drain = operator.done(&["drain", "domain", domain, "--author", "anna"]);
        assert!(drain.contains("moves by a planned shift") && !drain.contains("EXCEEDS ITS CAP"));
        assert!(in_the_end().get(domain).is_none_or(|share| *share == 0.0));
        let undrain = operator.done(&["undrain", "domain", domain, "--author", "anna"]);
        assert!(!undrain.contains("EXCEEDS ITS CAP"), "{undrain}");
        let wanted = config::slot_shares(&start, service);
        assert!(config::moved_share(&in_the_end(), &wanted) < 1e-9);
        operator.done(&["drain", "domain", domain, "--author", "anna"]);
        let revert = operator.done(&["revert-to", "1", "--author", "anna"]);
        assert!(!revert.contains("EXCEEDS ITS CAP"), "{revert}");
        assert!(config::moved_share(&in_the_end(), &wanted) < 1e-9);
    });
}

/// Guards against an unreachable platform that leaves the operator without a true statement
/// about the change and a next step.
#[test]
fn unreachable_platform_and_lost_answers() {
    run(|platform, operator| {
        platform.set_faults(|f| f.down = true);
        let seen = operator.apply("0", "anna");
        assert_eq!(seen.code, 4);
        assert!(
            seen.err
                .contains("has no effect and will not take effect later"),
            "{}",
            seen.err
        );
        platform.set_faults(|f| {
            (f.down, f.lose_only_transactions, f.lose_requests) = (false, true, 100);
        });
        let seen = operator.apply("0", "anna");
        assert_eq!(seen.code, 7);
        assert!(
            seen.err.contains("may have taken effect as generation 1"),
            "{}",
            seen.err
        );
        assert!(seen.err.contains("rosemaryglade history"), "{}", seen.err);
        platform.set_faults(|f| (f.lose_requests, f.lose_answers) = (0, 1));
        assert_eq!(operator.apply("0", "anna").code, 0);
        assert_eq!(platform.stats().lost_answers, 1);
        assert_eq!(platform.rows("config/history/").len(), 1);
    });
}

/// Guards against requests for unknown objects that fail without a fix or change something.
#[test]
fn unknown_names_change_nothing() {
    run(|platform, operator| {
        assert_eq!(operator.run(&["show"]).code, 1);
        operator.apply("0", "anna");
        assert_eq!(operator.run(&["show", "--generation", "5"]).code, 1);
        let wrong = operator.run(&["drain", "server", "nobody", "--author", "anna"]);
        assert_eq!(wrong.code, 1);
        assert!(wrong.err.contains("use one of"), "{}", wrong.err);
        let shift = operator.run(&["shift", "werkdienst", "nowhere=1", "--author", "anna"]);
        assert_eq!(shift.code, 1, "{}", shift.err);
        let twice = [
            "shift",
            "werkdienst",
            "donau-1=1",
            "donau-1=0%",
            "--author",
            "anna",
        ];
        assert_eq!(operator.run(&twice).code, 2);
        assert_eq!(platform.rows("config/history/").len(), 1);
    });
}

/// Guards against a plan that differs from what the change does, and against a plan that changes
/// something.
#[test]
fn plans_compare_with_the_configuration_in_force() {
    run(|platform, operator| {
        let plan = |rules| operator.run(&["plan", "--inventory", INVENTORY, "--rules", rules]);
        assert_eq!(plan(RULES).code, 1);
        operator.apply("0", "anna");
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
        let seen = plan(path.to_str().unwrap());
        assert_eq!(seen.code, 6, "{}", seen.err);
        assert!(
            seen.out
                .contains("moves 16.67 % at once, 16.67 % in a minute, cap 10.00 %"),
            "{}",
            seen.out
        );
        assert_eq!(platform.rows("config/history/").len(), 1);
        platform.set_faults(|f| f.down = true);
        assert_eq!(plan(RULES).code, 4);
    });
}
