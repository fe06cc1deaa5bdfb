//! All errors and warnings are reported in one run, each with its location and a suggested fix.

mod common;

use common::{example, shares, text};
use config::parse::Error;
use config::{
    Configuration, Diagnostic, FileKind, Inventory, Shift, ShiftReason, Source, check, check_file,
    parse_configuration, parse_inventory, parse_rules, parse_settings, read_configuration,
};

/// Formats diagnostics for assertion messages.
fn lines(diagnostics: &[Diagnostic]) -> Vec<String> {
    diagnostics.iter().map(ToString::to_string).collect()
}

/// Asserts that a diagnostic has the path and contains both texts.
#[track_caller]
fn assert_reported(diagnostics: &[Diagnostic], path: &str, message: &str, fix: &str) {
    let found = diagnostics
        .iter()
        .any(|d| &*d.path == path && d.message.contains(message) && d.fix.contains(fix));
    assert!(
        found,
        "no {path}: {message}; {fix} in {:#?}",
        lines(diagnostics)
    );
}

fn rejected<T: std::fmt::Debug>(result: config::parse::Result<T>) -> Vec<Diagnostic> {
    let Error::Invalid(diagnostics) = result
        .expect_err("must be rejected")
        .current_context()
        .clone();
    diagnostics
}

/// Guards against reports that stop at the first error, and against further errors caused by an
/// invalid field.
#[test]
fn schema_and_content_errors_are_reported_together() {
    let text = r#"{
        regions: [{ id: "north" }, { id: "north", size: 3 }],
        domains: [{ id: "n1", region: "nroth" }],
        services: [{ id: "orders", class: "bindng" }],
        servers: [
            { id: "s1", service: "orders", domain: "n2", address: "localhost:80", slots: 0,
              connections: "many" },
            { id: "s2", service: "orders", domain: "n1", address: "127.0.0.1:9", slots: 1.5 },
        ],
        sevrers: [],
    }"#;
    let diagnostics = rejected(parse_inventory("inv.json", text));
    assert_reported(
        &diagnostics,
        "regions[1].size",
        "unknown field",
        "use one of: id, domain_delay_ms",
    );
    assert_reported(
        &diagnostics,
        "regions[1].id",
        "duplicate region name \"north\"",
        "unique name",
    );
    assert_reported(
        &diagnostics,
        "domains[0].region",
        "\"nroth\" does not exist",
        "use one of: north",
    );
    assert_reported(
        &diagnostics,
        "services[0].class",
        "unknown value",
        "use one of: binding",
    );
    assert_reported(
        &diagnostics,
        "servers[0].domain",
        "\"n2\" does not exist",
        "use one of: n1",
    );
    assert_reported(
        &diagnostics,
        "servers[0].address",
        "not a socket address",
        "127.0.0.1:8080",
    );
    assert_reported(
        &diagnostics,
        "servers[0].slots",
        "server has no slots",
        "at least 1",
    );
    assert_reported(
        &diagnostics,
        "servers[0].connections",
        "a string is not expected",
        "integer",
    );
    assert_reported(
        &diagnostics,
        "servers[1].slots",
        "not a non-negative integer",
        "integer",
    );
    assert_reported(
        &diagnostics,
        "servers[1].connections",
        "field is missing",
        "integer",
    );
    assert_reported(
        &diagnostics,
        "sevrers",
        "unknown field",
        "use one of: servers",
    );
    assert!(diagnostics.iter().all(|d| &*d.file == "inv.json"));
    // Placeholders of invalid fields must not cause further errors.
    assert_eq!(
        diagnostics.iter().filter(|d| d.is_error()).count(),
        11,
        "{:#?}",
        lines(&diagnostics)
    );
}

/// Guards against syntax errors that are reported without a line number.
#[test]
fn syntax_errors_have_line_numbers() {
    let diagnostics = rejected(parse_rules(
        "rules.json",
        "{\n  // comment\n  retry_budget 0.05\n}",
    ));
    assert_eq!(
        (diagnostics[0].line, diagnostics.len()),
        (Some(3), 1),
        "{:?}",
        lines(&diagnostics)
    );
    let diagnostics = rejected(parse_rules("rules.json", "{\n  drains: {\n"));
    assert_eq!(diagnostics[0].line, Some(2), "{:?}", lines(&diagnostics));
    assert!(
        rejected(parse_rules("r", "{} {}"))[0]
            .message
            .contains("trailing")
    );
}

/// Guards against a stack overflow in the recursive parser on deeply nested input.
#[test]
fn deep_nesting_is_an_error() {
    for open in ["[", "{a:", "{drains:[", "[{a:"] {
        let text = open.repeat(200_000);
        rejected(parse_inventory("i", &text));
        rejected(parse_rules("r", &text));
        rejected(parse_settings("s", &text));
        rejected(parse_configuration(text.as_bytes()));
    }
}

/// Guards against duplicate keys whose last value silently replaces the others.
#[test]
fn duplicate_keys_are_errors() {
    let diagnostics = rejected(parse_rules(
        "r",
        "{ retry_budget: 0.1, retry_budget: 0.2, shifts: { a: 1, a: 2 }, ticket_lifetime_ms: 0 }",
    ));
    assert_reported(&diagnostics, "retry_budget", "duplicate field", "keep one");
    assert_reported(&diagnostics, "shifts.a", "duplicate name", "keep one");
    assert_reported(
        &diagnostics,
        "shifts.a",
        "a number is not expected",
        "object",
    );
    assert_reported(&diagnostics, "ticket_lifetime_ms", "out of range", "from 1");
}

type Change = fn(&mut Configuration);

/// Changes of a valid configuration with the path, message and fix of the expected error.
#[rustfmt::skip] // One line per case.
const INVALID_CHANGES: &[(Change, &str, &str, &str)] = &[
    (|c| c.inventory.links[0].bytes_per_second = 0, "links[0].bytes_per_second", "0 bytes per second", "limit"),
    (|c| c.inventory.links[1] = c.inventory.links[0].clone(), "links[1]", "duplicate link", "keep one"),
    (|c| c.inventory.links[0].to = "donau".into(), "links[0]", "starts and ends", "two regions"),
    (|c| c.inventory.links[0].delay_ms = f64::NAN, "links[0].delay_ms", "out of range", "0 to 60000"),
    (|c| c.inventory.links[0].from = "doanu".into(), "links[0].from", "does not exist", "donau"),
    (|c| c.inventory.regions[0].domain_delay_ms = -1.0, "regions[0].domain_delay_ms", "out of range", ""),
    (|c| c.inventory.domains[0].id = "a b".into(), "domains[0].id", "not a valid name", "letters"),
    (|c| c.inventory.servers[0].slots = 0, "servers[0].slots", "server has no slots", "at least 1"),
    (|c| c.inventory.servers[0].connections = 2, "servers[0].connections", "fewer than", "at least 3"),
    (|c| c.inventory.servers[1].id = "werkdienst-01".into(), "servers[1].id", "duplicate server name", "unique name"),
    (|c| c.inventory.servers[1].service = "werk".into(), "servers[1].service", "does not exist", "werkdienst"),
    (|c| c.inventory.servers[1].address = c.inventory.entry_vms[0].peer_address, "servers[1].address", "used at entry_vms[0].peer_address", "own address"),
    (|c| c.inventory.servers[1].address.set_port(0), "servers[1].address", "cannot be connected", "port"),
    (|c| c.inventory.client_blocks[0].prefix = "10.0.0.1/8".into(), "client_blocks[0].prefix", "not a valid prefix", "write 10.0.0.0/8"),
    (|c| c.inventory.client_blocks[0].prefix = "10.0.0.0/33".into(), "client_blocks[0].prefix", "not a valid prefix", "at most 32"),
    (|c| c.inventory.client_blocks[0].prefix = "::/+0".into(), "client_blocks[0].prefix", "not a valid prefix", "address/bits"),
    (|c| c.inventory.client_blocks[1].prefix = c.inventory.client_blocks[0].prefix.clone(), "client_blocks[1].prefix", "duplicate client block", "keep one"),
    (|c| c.inventory.client_blocks[1].domain = "d".into(), "client_blocks[1].domain", "does not exist", "use one of"),
    (|c| c.rules.shift_cap_per_minute = 1.5, "shift_cap_per_minute", "not a share", "from 0 to 1"),
    (|c| c.rules.failover_cap_per_minute = -0.1, "failover_cap_per_minute", "not a share", "from 0 to 1"),
    (|c| c.rules.retry_budget = f64::NAN, "retry_budget", "not a share", "from 0 to 1"),
    (|c| c.rules.deferrable_slot_share = 2.0, "deferrable_slot_share", "not a share", "from 0 to 1"),
    (|c| c.rules.default_deadline_ms = 0, "default_deadline_ms", "out of range", "from 1"),
    (|c| c.rules.drains.regions = vec!["alpn".into()], "drains.regions[0]", "does not exist", "alpen"),
    (|c| c.rules.drains.domains = vec!["alpen".into()], "drains.domains[0]", "does not exist", "alpen-1"),
    (|c| c.rules.drains.entry_vms = vec!["x".into()], "drains.entry_vms[0]", "does not exist", "more"),
    (|c| c.rules.drains.domains = vec!["alpen-1".into(), "alpen-1".into()], "drains.domains[1]", "duplicate entry", "remove"),
    (|c| shift(c, "werk", &[("alpen-1", 1.0)]), "shifts.werk", "does not exist", "werkdienst"),
    (|c| shift(c, "werkdienst", &[("alpen-3", 1.0)]), "shifts.werkdienst.to.alpen-3", "does not exist", "alpen-1"),
    (|c| shift(c, "werkdienst", &[("alpen-1", 0.9)]), "shifts.werkdienst.to", "add up to 0.9", "add up to 1"),
    (|c| shift(c, "werkdienst", &[]), "shifts.werkdienst.to", "add up to 0", "add up to 1"),
    (|c| shift(c, "werkdienst", &[("alpen-1", 2.0), ("alpen-2", -1.0)]), "shifts.werkdienst.to.alpen-2", "not a share", "from 0 to 1"),
    (|c| shift(c, "werkdienst", &[("alpen-1", f64::NAN)]), "shifts.werkdienst.to", "add up to NaN", ""),
    (|c| { c.inventory.servers.retain(|s| &*s.domain != "alpen-1"); shift(c, "werkdienst", &[("alpen-1", 1.0)]); }, "shifts.werkdienst.to.alpen-1", "no servers of \"werkdienst\"", "with servers"),
];

fn shift(c: &mut Configuration, service: &str, to: &[(&str, f64)]) {
    let from = shares(&[("alpen-1", 1.0)]);
    let shift = Shift {
        from,
        to: shares(to),
        start_ms: 0,
        reason: ShiftReason::Planned,
    };
    c.rules.shifts.insert(service.into(), shift);
}

/// Guards against checks that miss an invalid configuration: the operator's check and the parser of
/// the entry VMs must both reject it.
#[test]
fn each_error_is_reported() {
    let valid = example("notensatz");
    assert_eq!(check(&valid), []);
    for (change, path, message, fix) in INVALID_CHANGES {
        let mut changed = valid.clone();
        change(&mut changed);
        let diagnostics = check(&changed);
        assert_reported(&diagnostics, path, message, fix);
        assert!(diagnostics.iter().any(Diagnostic::is_error), "{path}");
        rejected(parse_configuration(&config::encode(&changed)));
    }
}

#[rustfmt::skip] // One line per case.
const WARNINGS: &[(Change, &str, &str)] = &[
    (|c| c.rules.drains.regions = ["donau", "alpen", "kaernten"].map(Into::into).into(), "drains", "all servers of service \"bestelldienst\""),
    (|c| c.rules.drains.regions = ["donau", "alpen", "kaernten"].map(Into::into).into(), "drains", "all entry VMs"),
    (|c| c.inventory.entry_vms.retain(|v| &*v.domain != "alpen-1"), "domains[2]", "no entry VM"),
    (|c| c.inventory.servers.retain(|s| &*s.service != "werkdienst"), "services[0]", "no servers"),
    (|c| c.inventory.links.retain(|l| &*l.from != "donau"), "regions[0]", "no link starts"),
    (|c| c.inventory.links.retain(|l| &*l.from != "donau"), "links", "no link leads back"),
    (|c| c.rules.shift_cap_per_minute = 0.0, "shift_cap_per_minute", "never move"),
    (|c| { c.rules.drains.domains = vec!["alpen-1".into()]; shift(c, "werkdienst", &[("alpen-1", 1.0)]); }, "shifts.werkdienst.to.alpen-1", "which is drained"),
];

/// Guards against rejecting a configuration that is unusual but valid, such as one with everything
/// drained.
#[test]
fn unusual_configurations_are_accepted_with_warnings() {
    for (change, path, message) in WARNINGS {
        let mut changed = example("notensatz");
        change(&mut changed);
        let diagnostics = check(&changed);
        assert_reported(&diagnostics, path, message, "");
        assert!(
            !diagnostics.iter().any(Diagnostic::is_error),
            "{:?}",
            lines(&diagnostics)
        );
        parse_configuration(&config::encode(&changed)).expect("accepted");
    }
}

/// Guards against errors in one file that hide those of the other.
#[test]
fn both_files_are_reported_in_one_run() {
    let inventory = text("notensatz", "inventory.json").replace("\"alpen-2\" }", "\"alpen-9\" }");
    let (configuration, diagnostics) = read_configuration(
        Source {
            name: "inventory.json",
            text: &inventory,
        },
        Source {
            name: "rules.json",
            text: "{ drains: { servers: ['nobody'] }, caps: 1 }",
        },
    );
    assert_eq!(configuration, None);
    assert_reported(
        &diagnostics,
        "client_blocks[3].domain",
        "does not exist",
        "alpen-1",
    );
    assert_reported(
        &diagnostics,
        "drains.servers[0]",
        "does not exist",
        "and 43 more",
    );
    assert_reported(&diagnostics, "caps", "unknown field", "drains");
}

#[rustfmt::skip] // One line per case.
const INVALID_SETTINGS: &[(&str, &str, &str, &str)] = &[
    ("\"threads\": 2", "\"threads\": 0", "threads", "out of range"), ("\"id\": 1, ", "\"id\": -1, ", "keys[0].id", "not a non-negative integer"), ( "[\"127.0.0.1:18010\"]", "[\"127.0.0.1:0\"]", "platform[0]", "cannot be connected"),
    ("127.0.0.1:18201", "127.0.0.1:18101", "peer_address", "already used for caller_address"),
    ("127.0.0.1:18101", "127.0.0.1:0", "caller_address", "port 0"), ( "127.0.0.1:18301", "127.0.0.1:18302", "operator_address", "inventory gives"),
    ("\"domain\": \"donau-1\"", "\"domain\": \"donau-2\"", "domain", "inventory places"),
    ("\"id\": \"donau-1-a\"", "\"id\": \"donau-1-x\"", "id", "not in the inventory"),
    ("\"max_request_body\": 1048576", "\"max_request_body\": 0", "max_request_body", "out of range"),
    ("\"keys\"", "\"kyes\"", "keys", "missing"),
];

/// Guards against an entry VM that starts with invalid settings.
#[test]
fn settings_errors_are_reported() {
    let inventory: Inventory = example("notensatz").inventory;
    let valid = text("notensatz", "settings.json");
    for (old, new, path, message) in INVALID_SETTINGS {
        assert!(valid.contains(old), "{old}");
        let text = valid.replace(old, new);
        let source = Source {
            name: "settings.json",
            text: &text,
        };
        assert_reported(
            &check_file(FileKind::Settings, source, Some(&inventory)),
            path,
            message,
            "",
        );
    }
}

/// Guards against secrets in messages and debug output, also if they are in the wrong place of the
/// file.
#[test]
fn secrets_are_never_shown() {
    let secret = "s3cret-do-not-show";
    let base = text("notensatz", "settings.json");
    let valid = base.replace("example-secret-replace-me", secret);
    let settings = parse_settings("s", &valid).expect("valid");
    assert!(!format!("{settings:?} {settings:#?}").contains(secret));
    for text in [
        valid.replace("\"threads\": 2", "\"threads\": 0"),
        valid.replace("\"secret\"", &format!("\"{secret}\"")),
        valid.replace("\"id\": 1,", &format!("\"id\": \"{secret}\",")),
        valid.replace(&format!("\"{secret}\""), &format!("[\"{secret}\"]")),
        valid.replace(&format!("\"{secret}\""), &format!("\"{secret}")),
        valid.replace(&format!("\"{secret}\""), secret),
        valid.replace(secret, &secret[..9]),
        valid.replace("\"keys\"", "\"threads\""),
        valid.replace("\"platform\": [", &format!("\"platform\": [\"{secret}\", ")),
    ] {
        let report = parse_settings("s", &text).expect_err("must be rejected");
        let shown = format!("{report} {report:?} {report:#?}");
        assert!(!shown.contains(&secret[..9]), "{shown}");
    }
}
