//! Compares a tree of JSON values with the shape of a file and reports every difference.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::fault::Faults;
use crate::near::use_one_of;
use crate::node::Node;
use crate::shape::{Field, Kind};

/// Result of the comparison.
pub(crate) struct Walked {
    /// The value with unknown fields left out and wrong values replaced by placeholders, so that
    /// the checks of the content can still run and report their faults together with these.
    pub value: Value,
    /// Paths of the placeholders.
    pub replaced: Vec<Box<str>>,
}

/// Compares the content of a file with its fields and reports the differences.
pub(crate) fn compare(node: &Node, fields: &'static [Field], faults: &mut Faults) {
    let mut walker = Walker {
        faults,
        replaced: Vec::new(),
        build: false,
    };
    walker.value("", Kind::Object(fields), node);
}

/// Compares the content of a file with its fields and repairs it. This takes several times the
/// memory of `compare`.
pub(crate) fn repair(node: &Node, fields: &'static [Field], faults: &mut Faults) -> Walked {
    let mut walker = Walker {
        faults,
        replaced: Vec::new(),
        build: true,
    };
    let value = walker.value("", Kind::Object(fields), node);
    Walked {
        value,
        replaced: walker.replaced,
    }
}

struct Walker<'a> {
    faults: &'a mut Faults,
    replaced: Vec<Box<str>>,
    /// False if only the faults are wanted, so that lists and objects stay empty.
    build: bool,
}

impl Walker<'_> {
    fn value(&mut self, path: &str, kind: Kind, node: &Node) -> Value {
        match (kind, node) {
            (Kind::Object(fields), Node::Map(entries)) => self.object(path, fields, entries),
            (Kind::Map(inner), Node::Map(entries)) => self.map(path, *inner, entries),
            (Kind::List(inner), Node::List(nodes)) => self.list(path, *inner, nodes),
            (Kind::Text | Kind::Secret, Node::Text(text)) => Value::String(text.to_string()),
            (Kind::Whole(max), Node::Whole(n)) if *n <= max => Value::from(*n),
            (Kind::Number, Node::Whole(n)) => Value::from(*n),
            (Kind::Number, Node::Number(n)) if n.is_finite() => Value::from(*n),
            (Kind::Choice(choices), Node::Text(text)) => self.choice(path, choices, text),
            (Kind::Address, Node::Text(text)) => match text.parse::<SocketAddr>() {
                Ok(address) => Value::String(address.to_string()),
                Err(_) => self.replace(path, kind, node),
            },
            _ => self.replace(path, kind, node),
        }
    }

    fn list(&mut self, path: &str, kind: Kind, nodes: &[Node]) -> Value {
        let mut list = Vec::new();
        for (i, node) in nodes.iter().enumerate() {
            let value = self.value(&format!("{path}[{i}]"), kind, node);
            if self.build {
                list.push(value);
            }
        }
        Value::Array(list)
    }

    fn object(
        &mut self,
        path: &str,
        fields: &'static [Field],
        entries: &[(Box<str>, Node)],
    ) -> Value {
        let mut map = Map::new();
        let mut seen = Vec::with_capacity(entries.len().min(fields.len()));
        for (name, node) in entries {
            let Some(field) = fields.iter().find(|f| f.name == &**name) else {
                self.unknown_field(path, fields, name);
                continue;
            };
            let inner = join(path, name);
            if seen.contains(&field.name) {
                self.faults
                    .error(&inner, "field is given twice", "keep one of the two");
                continue;
            }
            seen.push(field.name);
            let value = self.value(&inner, field.kind, node);
            if self.build {
                map.insert(field.name.into(), value);
            }
        }
        for field in fields
            .iter()
            .filter(|f| f.required && !seen.contains(&f.name))
        {
            let inner = join(path, field.name);
            self.faults.error(
                &inner,
                "field is missing",
                format!("add it with {}", expected(field.kind)),
            );
            map.insert(field.name.into(), placeholder(field.kind));
            self.replaced.push(inner.into());
        }
        Value::Object(map)
    }

    fn map(&mut self, path: &str, kind: Kind, entries: &[(Box<str>, Node)]) -> Value {
        let mut map = Map::new();
        for (name, node) in entries {
            let inner = join(path, name);
            if map.contains_key(&**name) {
                self.faults
                    .error(&inner, "name is given twice", "keep one of the two");
                continue;
            }
            let value = self.value(&inner, kind, node);
            map.insert(name.to_string(), value);
        }
        Value::Object(map)
    }

    fn choice(&mut self, path: &str, choices: &'static [&'static str], text: &str) -> Value {
        if choices.contains(&text) {
            return Value::from(text);
        }
        let fix = use_one_of(text, choices.iter().copied());
        self.faults.error(path, "unknown value", fix);
        self.replaced.push(path.into());
        placeholder(Kind::Choice(choices))
    }

    fn unknown_field(&mut self, path: &str, fields: &'static [Field], name: &str) {
        let fix = use_one_of(name, fields.iter().map(|f| f.name));
        // A misplaced secret must not be repeated, so objects with secrets do not name the field.
        if fields.iter().any(|f| matches!(f.kind, Kind::Secret)) {
            self.faults.error(path, "an unknown field", fix);
        } else {
            self.faults.error(&join(path, name), "unknown field", fix);
        }
    }

    fn replace(&mut self, path: &str, kind: Kind, node: &Node) -> Value {
        let message = match (kind, node) {
            (Kind::Address, Node::Text(_)) => "not a socket address".into(),
            (Kind::Whole(_), Node::Whole(_)) => "number is too large".into(),
            (Kind::Whole(_), Node::Number(_)) => "not a whole number of at least 0".into(),
            (Kind::Number, Node::Number(_)) => "not a finite number".into(),
            _ => format!("{} is not expected here", node.kind()),
        };
        self.faults
            .error(path, message, format!("give {}", expected(kind)));
        self.replaced.push(path.into());
        placeholder(kind)
    }
}

/// Path of a field. Names that are no plain words are quoted, so that a file cannot write control
/// characters to the operator's terminal.
pub(crate) fn join(path: &str, name: &str) -> String {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-');
    let name = if !name.is_empty() && name.bytes().all(plain) {
        name.to_owned()
    } else {
        format!("{name:?}")
    };
    if path.is_empty() {
        name
    } else {
        format!("{path}.{name}")
    }
}

/// What a value of a kind looks like, for messages.
fn expected(kind: Kind) -> String {
    match kind {
        Kind::Text | Kind::Secret => "a text in quotes".into(),
        Kind::Address => "an IP address with port, such as \"127.0.0.1:8080\"".into(),
        Kind::Number => "a number".into(),
        Kind::Whole(max) => format!("a whole number from 0 to {max}"),
        Kind::Choice(choices) => format!("one of: {}", choices.join(", ")),
        Kind::Object(_) | Kind::Map(_) => "an object { ... }".into(),
        Kind::List(_) => "a list [ ... ]".into(),
    }
}

/// Value that takes the place of a wrong one.
fn placeholder(kind: Kind) -> Value {
    match kind {
        Kind::Text | Kind::Secret => Value::from(""),
        Kind::Address => Value::from("0.0.0.0:0"),
        Kind::Number => Value::from(0.0),
        Kind::Whole(_) => Value::from(1),
        Kind::Choice(choices) => Value::from(choices[0]),
        Kind::List(_) => Value::Array(Vec::new()),
        Kind::Map(_) => Value::Object(Map::new()),
        Kind::Object(fields) => {
            let required = fields.iter().filter(|f| f.required);
            Value::Object(
                required
                    .map(|f| (f.name.into(), placeholder(f.kind)))
                    .collect(),
            )
        }
    }
}
