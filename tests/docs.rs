//! Compares the documentation for callers and operators with the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use http::codes::Code;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read_page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("page")
}

/// Returns the cells of the table rows whose first cell is a number.
fn numbered_rows(page: &str) -> Vec<Vec<String>> {
    let cells = |line: &str| -> Vec<String> {
        let line = line.trim_matches('|');
        line.split('|').map(|cell| cell.trim().to_owned()).collect()
    };
    page.lines()
        .map(cells)
        .filter(|row| row[0].parse::<u16>().is_ok())
        .collect()
}

/// Guards against a result code that is undocumented or documented with a wrong name, status or
/// outcome.
#[test]
fn result_codes_match_documentation() {
    let rows = numbered_rows(&read_page("RESULT-CODES.md"));
    let row = |number: u16, name: String, status: u16, outcome: &str| {
        vec![
            number.to_string(),
            name,
            status.to_string(),
            outcome.to_owned(),
        ]
    };
    let entry = Code::ALL.iter().map(|c| {
        let outcome = c.outcome().as_str();
        row(c.number(), format!("{c:?}"), c.status(), outcome)
    });
    let gateway = gateway::Code::ALL.iter().map(|c| {
        let status = c.status().0;
        row(c.number(), format!("{c:?}"), status, c.outcome())
    });
    let expected: Vec<Vec<String>> = entry.chain(gateway).collect();
    let found: Vec<Vec<String>> = rows.iter().map(|row| row[..4].to_vec()).collect();
    assert_eq!(found, expected);
    for row in &rows {
        assert!(
            row.len() == 6 && row.iter().all(|cell| !cell.is_empty()),
            "{row:?}"
        );
    }
}

/// Guards against an undocumented exit code.
#[test]
fn exit_codes_match_documentation() {
    let source = fs::read_to_string(root().join("src/cmd/exit.rs")).expect("source");
    let source_codes: Vec<&str> = source
        .lines()
        .filter_map(|line| {
            line.strip_prefix("pub const ")?
                .split_once(": Code = Code(")
        })
        .filter_map(|(_, rest)| rest.strip_suffix(");"))
        .collect();
    let rows = numbered_rows(&read_page("EXIT-CODES.md"));
    let documented_codes: Vec<&str> = rows.iter().map(|row| &*row[0]).collect();
    assert!(!documented_codes.is_empty());
    assert_eq!(documented_codes, source_codes);
}

/// Collects the names of all metrics in the sources below a directory.
fn collect_metrics(dir: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(dir).expect("directory").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_metrics(&path, found);
        } else if path.extension().is_some_and(|e| e == "rs") {
            let text = fs::read_to_string(&path).expect("source");
            for kind in ["counter!(", "gauge!(", "histogram!("] {
                for rest in text.split(kind).skip(1) {
                    let name = rest.trim_start().strip_prefix('"');
                    let name = name.and_then(|rest| rest.split_once('"'));
                    let (name, _) = name.expect("the name of a metric is a literal");
                    found.insert(name.to_owned());
                }
            }
        }
    }
}

/// Guards against an undocumented metric.
#[test]
fn all_metrics_are_documented() {
    let mut found = BTreeSet::new();
    collect_metrics(&root().join("src"), &mut found);
    for component in fs::read_dir(root().join("components")).expect("directory") {
        collect_metrics(&component.expect("entry").path().join("src"), &mut found);
    }
    collect_metrics(&root().join("platform/src"), &mut found);
    assert!(found.len() > 20, "{found:?}");
    let page = read_page("OPERATING.md") + &read_page("OPERATIONS.md");
    for name in found {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
}

/// Guards against a subcommand that is documented only in the help.
#[test]
fn all_commands_are_documented() {
    let cli = fs::read_to_string(root().join("src/cli.rs")).expect("source");
    let page = read_page("OPERATING.md");
    let commands = cli.lines().filter_map(|line| {
        let module = line.trim().strip_prefix("run: cmd::")?;
        Some(module.strip_suffix("::run,")?.replace('_', "-"))
    });
    let commands: Vec<String> = commands.collect();
    assert!(commands.len() > 10, "{commands:?}");
    for command in commands {
        assert!(
            page.contains(&format!("rosemaryglade {command}")),
            "{command}"
        );
    }
}
