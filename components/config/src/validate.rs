//! Validates JSON values against the schema of a file and reports all differences.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::diagnostic::Diagnostics;
use crate::json::JsonValue;
use crate::schema::{Field, ValueType};
use crate::suggest::suggest_names;

/// Result of [`repair`].
pub(crate) struct Repaired {
    /// The value without unknown fields and with placeholders for invalid values, so that the
    /// checks of the content can still run and all diagnostics are reported together.
    pub value: Value,
    /// Paths of the values that were replaced by placeholders.
    pub placeholders: Vec<Box<str>>,
}

/// Validates the content of a file against its fields and reports the differences.
pub(crate) fn validate(json: &JsonValue, fields: &'static [Field], diagnostics: &mut Diagnostics) {
    let mut validator = Validator {
        diagnostics,
        placeholders: Vec::new(),
        build_value: false,
    };
    validator.value("", ValueType::Object(fields), json);
}

/// Like [`validate`], and also builds the repaired content. This takes several times the memory of
/// `validate`.
pub(crate) fn repair(
    json: &JsonValue,
    fields: &'static [Field],
    diagnostics: &mut Diagnostics,
) -> Repaired {
    let mut validator = Validator {
        diagnostics,
        placeholders: Vec::new(),
        build_value: true,
    };
    let value = validator.value("", ValueType::Object(fields), json);
    Repaired {
        value,
        placeholders: validator.placeholders,
    }
}

struct Validator<'a> {
    diagnostics: &'a mut Diagnostics,
    placeholders: Vec<Box<str>>,
    /// False if only the diagnostics are needed; arrays and objects then stay empty.
    build_value: bool,
}

impl Validator<'_> {
    fn value(&mut self, path: &str, value_type: ValueType, json: &JsonValue) -> Value {
        match (value_type, json) {
            (ValueType::Object(fields), JsonValue::Object(entries)) => {
                self.object(path, fields, entries)
            }
            (ValueType::Map(inner), JsonValue::Object(entries)) => self.map(path, *inner, entries),
            (ValueType::Array(inner), JsonValue::Array(values)) => self.array(path, *inner, values),
            (ValueType::String | ValueType::Secret, JsonValue::String(text)) => {
                Value::String(text.to_string())
            }
            (ValueType::Integer(max), JsonValue::Unsigned(n)) if *n <= max => Value::from(*n),
            (ValueType::Number, JsonValue::Unsigned(n)) => Value::from(*n),
            (ValueType::Number, JsonValue::Number(n)) if n.is_finite() => Value::from(*n),
            (ValueType::Enum(choices), JsonValue::String(text)) => self.choice(path, choices, text),
            (ValueType::SocketAddress, JsonValue::String(text)) => match text.parse::<SocketAddr>()
            {
                Ok(address) => Value::String(address.to_string()),
                Err(_) => self.replace_invalid(path, value_type, json),
            },
            _ => self.replace_invalid(path, value_type, json),
        }
    }

    fn array(&mut self, path: &str, value_type: ValueType, values: &[JsonValue]) -> Value {
        let mut list = Vec::new();
        for (i, json) in values.iter().enumerate() {
            let value = self.value(&format!("{path}[{i}]"), value_type, json);
            if self.build_value {
                list.push(value);
            }
        }
        Value::Array(list)
    }

    fn object(
        &mut self,
        path: &str,
        fields: &'static [Field],
        entries: &[(Box<str>, JsonValue)],
    ) -> Value {
        let mut map = Map::new();
        let mut seen = Vec::with_capacity(entries.len().min(fields.len()));
        for (name, json) in entries {
            let Some(field) = fields.iter().find(|f| f.name == &**name) else {
                self.report_unknown_field(path, fields, name);
                continue;
            };
            let inner = join_path(path, name);
            if seen.contains(&field.name) {
                self.diagnostics
                    .error(&inner, "duplicate field", "keep one of the two");
                continue;
            }
            seen.push(field.name);
            let value = self.value(&inner, field.value_type, json);
            if self.build_value {
                map.insert(field.name.into(), value);
            }
        }
        for field in fields
            .iter()
            .filter(|f| f.required && !seen.contains(&f.name))
        {
            let inner = join_path(path, field.name);
            self.diagnostics.error(
                &inner,
                "field is missing",
                format!("add it with {}", expected(field.value_type)),
            );
            map.insert(field.name.into(), placeholder(field.value_type));
            self.placeholders.push(inner.into());
        }
        Value::Object(map)
    }

    fn map(
        &mut self,
        path: &str,
        value_type: ValueType,
        entries: &[(Box<str>, JsonValue)],
    ) -> Value {
        let mut map = Map::new();
        for (name, json) in entries {
            let inner = join_path(path, name);
            if map.contains_key(&**name) {
                self.diagnostics
                    .error(&inner, "duplicate name", "keep one of the two");
                continue;
            }
            let value = self.value(&inner, value_type, json);
            map.insert(name.to_string(), value);
        }
        Value::Object(map)
    }

    fn choice(&mut self, path: &str, choices: &'static [&'static str], text: &str) -> Value {
        if choices.contains(&text) {
            return Value::from(text);
        }
        let fix = suggest_names(text, choices.iter().copied());
        self.diagnostics.error(path, "unknown value", fix);
        self.placeholders.push(path.into());
        placeholder(ValueType::Enum(choices))
    }

    fn report_unknown_field(&mut self, path: &str, fields: &'static [Field], name: &str) {
        let fix = suggest_names(name, fields.iter().map(|f| f.name));
        // A misplaced secret could be parsed as a field name, so unknown fields of objects with
        // secrets are not named.
        if fields
            .iter()
            .any(|f| matches!(f.value_type, ValueType::Secret))
        {
            self.diagnostics
                .error(path, "object has an unknown field", fix);
        } else {
            self.diagnostics
                .error(&join_path(path, name), "unknown field", fix);
        }
    }

    fn replace_invalid(&mut self, path: &str, value_type: ValueType, json: &JsonValue) -> Value {
        let message = match (value_type, json) {
            (ValueType::SocketAddress, JsonValue::String(_)) => "not a socket address".into(),
            (ValueType::Integer(_), JsonValue::Unsigned(_)) => "integer is too large".into(),
            (ValueType::Integer(_), JsonValue::Number(_)) => "not a non-negative integer".into(),
            (ValueType::Number, JsonValue::Number(_)) => "not a finite number".into(),
            _ => format!("{} is not expected here", json.type_name()),
        };
        self.diagnostics
            .error(path, message, format!("give {}", expected(value_type)));
        self.placeholders.push(path.into());
        placeholder(value_type)
    }
}

/// Appends a field name to a path. Names with other than letters, digits, `_` and `-` are quoted
/// and escaped, so that a file cannot write control characters to the operator's terminal.
pub(crate) fn join_path(path: &str, name: &str) -> String {
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

/// Description of the values of a type, for messages.
fn expected(value_type: ValueType) -> String {
    match value_type {
        ValueType::String | ValueType::Secret => "a quoted string".into(),
        ValueType::SocketAddress => "an IP address with port, such as \"127.0.0.1:8080\"".into(),
        ValueType::Number => "a number".into(),
        ValueType::Integer(max) => format!("an integer from 0 to {max}"),
        ValueType::Enum(choices) => format!("one of: {}", choices.join(", ")),
        ValueType::Object(_) | ValueType::Map(_) => "an object { ... }".into(),
        ValueType::Array(_) => "an array [ ... ]".into(),
    }
}

/// Valid value that replaces an invalid or missing one.
fn placeholder(value_type: ValueType) -> Value {
    match value_type {
        ValueType::String | ValueType::Secret => Value::from(""),
        ValueType::SocketAddress => Value::from("0.0.0.0:0"),
        ValueType::Number => Value::from(0.0),
        ValueType::Integer(_) => Value::from(1),
        ValueType::Enum(choices) => Value::from(choices[0]),
        ValueType::Array(_) => Value::Array(Vec::new()),
        ValueType::Map(_) => Value::Object(Map::new()),
        ValueType::Object(fields) => {
            let required = fields.iter().filter(|f| f.required);
            Value::Object(
                required
                    .map(|f| (f.name.into(), placeholder(f.value_type)))
                    .collect(),
            )
        }
    }
}
