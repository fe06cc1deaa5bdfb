//! The settings reference documents every field.

mod common;

use std::collections::BTreeSet;
use std::path::Path;

use common::{example, shares, text};
use config::{Shift, ShiftReason, parse_settings};
use serde_json::Value;

/// Collects the paths of all fields.
fn collect_paths(value: &Value, path: &str, found: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (name, inner) in map {
                let path = if path.is_empty() {
                    name.clone()
                } else {
                    format!("{path}.{name}")
                };
                collect_paths(inner, &path, found);
            }
        }
        Value::Array(list) if list.iter().any(Value::is_object) => {
            for inner in list {
                collect_paths(inner, &format!("{path}[]"), found);
            }
        }
        _ => {
            found.insert(path.to_owned());
        }
    }
}

/// Guards against a new field that is missing in the reference, which gives units, defaults and
/// limits.
#[test]
fn every_field_is_documented() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let page = std::fs::read_to_string(root.join("docs/SETTINGS.md")).expect("reference");
    let settings = parse_settings("s", &text("al-sahl", "settings.json")).expect("valid");
    let mut configuration = example("al-sahl");
    let (from, to) = (shares(&[("D", 1.0)]), shares(&[("D", 1.0)]));
    let shift = Shift {
        from,
        to,
        start_ms: 0,
        reason: ShiftReason::Planned,
    };
    configuration.rules.shifts.insert("S".into(), shift);
    let mut found = BTreeSet::new();
    collect_paths(
        &serde_json::to_value(&settings).expect("json"),
        "",
        &mut found,
    );
    collect_paths(
        &serde_json::to_value(&configuration.inventory).expect("json"),
        "",
        &mut found,
    );
    collect_paths(
        &serde_json::to_value(&configuration.rules).expect("json"),
        "",
        &mut found,
    );
    assert!(found.len() > 40, "{found:?}");
    for name in found {
        let name = name.trim_end_matches(".D");
        assert!(page.contains(&format!("| `{name}` |")), "{name}");
    }
}
