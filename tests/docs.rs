//! The pages for callers and operators agree with the code.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use http::codes::Code;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join("docs").join(name)).expect("page")
}

/// The cells of the rows whose first cell is a number.
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

/// Guards against a result code that callers cannot look up, or look up with a wrong outcome.
#[test]
fn result_codes_agree_with_the_code() {
    let rows = numbered_rows(&page("RESULT-CODES.md"));
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

/// Guards against an exit code without its meaning.
#[test]
fn exit_codes_agree_with_the_code() {
    let source = fs::read_to_string(root().join("src/cmd/exit.rs")).expect("source");
    let of_source: Vec<&str> = source
        .lines()
        .filter_map(|line| {
            line.strip_prefix("pub const ")?
                .split_once(": Code = Code(")
        })
        .filter_map(|(_, rest)| rest.strip_suffix(");"))
        .collect();
    let rows = numbered_rows(&page("EXIT-CODES.md"));
    let of_page: Vec<&str> = rows.iter().map(|row| &*row[0]).collect();
    assert!(!of_page.is_empty());
    assert_eq!(of_page, of_source);
}

/// Collects the names of all metrics in the sources below a folder.
fn metrics_below(dir: &Path, found: &mut BTreeSet<String>) {
    for entry in fs::read_dir(dir).expect("folder").flatten() {
        let path = entry.path();
        if path.is_dir() {
            metrics_below(&path, found);
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

/// Guards against a metric whose meaning and labels operators cannot look up.
#[test]
fn every_metric_is_in_the_page() {
    let mut found = BTreeSet::new();
    metrics_below(&root().join("src"), &mut found);
    for component in fs::read_dir(root().join("components")).expect("folder") {
        metrics_below(&component.expect("entry").path().join("src"), &mut found);
    }
    metrics_below(&root().join("platform/src"), &mut found);
    assert!(found.len() > 20, "{found:?}");
    let page = page("OPERATING.md") + &page("OPERATIONS.md");
    for name in found {
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
}

/// Guards against a command that operators find nowhere but in the help.
#[test]
fn every_command_is_in_the_page() {
    let cli = fs::read_to_string(root().join("src/cli.rs")).expect("source");
    let page = page("OPERATING.md");
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
