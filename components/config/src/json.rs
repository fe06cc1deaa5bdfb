//! JSON values that keep duplicate object keys, so that they can be reported.

use std::fmt;

use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// Maximum nesting depth; valid files have at most 5 levels. The parser recurses for each level, so
/// without a limit input such as `[[[[...` overflows the stack.
const MAX_DEPTH: usize = 16;

#[derive(Clone, Debug, PartialEq)]
pub(crate) enum JsonValue {
    Null,
    Bool,
    /// A non-negative integer.
    Unsigned(u64),
    /// Any other number.
    Number(f64),
    String(Box<str>),
    Array(Vec<JsonValue>),
    /// The entries of an object in file order, duplicate keys included.
    Object(Vec<(Box<str>, JsonValue)>),
}

impl JsonValue {
    /// Name of the type with its article, for messages.
    pub fn type_name(&self) -> &'static str {
        match self {
            JsonValue::Null => "null",
            JsonValue::Bool => "a boolean",
            JsonValue::Unsigned(_) | JsonValue::Number(_) => "a number",
            JsonValue::String(_) => "a string",
            JsonValue::Array(_) => "an array",
            JsonValue::Object(_) => "an object",
        }
    }
}

/// Parses JSON with comments.
pub(crate) fn parse(text: &str) -> Result<JsonValue, json5::Error> {
    json5::from_str::<Root>(text).map(|root| root.0)
}

/// Top-level value of a document.
struct Root(JsonValue);

impl<'de> Deserialize<'de> for Root {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Root, D::Error> {
        Seed { depth: 0 }.deserialize(deserializer).map(Root)
    }
}

/// Deserializes one value at a nesting depth.
#[derive(Clone, Copy)]
struct Seed {
    /// Number of arrays and objects that enclose the value.
    depth: usize,
}

impl Seed {
    /// Seed for the elements of this value; fails beyond [`MAX_DEPTH`].
    fn inner<E: Error>(self) -> Result<Seed, E> {
        if self.depth >= MAX_DEPTH {
            return Err(E::custom(format!(
                "more than {MAX_DEPTH} levels of nesting"
            )));
        }
        Ok(Seed {
            depth: self.depth + 1,
        })
    }
}

impl<'de> DeserializeSeed<'de> for Seed {
    type Value = JsonValue;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<JsonValue, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed {
    type Value = JsonValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<JsonValue, E> {
        Ok(JsonValue::Null)
    }

    fn visit_bool<E: Error>(self, _value: bool) -> Result<JsonValue, E> {
        Ok(JsonValue::Bool)
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<JsonValue, E> {
        Ok(JsonValue::Unsigned(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<JsonValue, E> {
        Ok(u64::try_from(value).map_or(JsonValue::Number(value as f64), JsonValue::Unsigned))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<JsonValue, E> {
        Ok(JsonValue::Number(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<JsonValue, E> {
        Ok(JsonValue::String(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<JsonValue, A::Error> {
        let seed = self.inner()?;
        let mut list = Vec::new();
        while let Some(value) = seq.next_element_seed(seed)? {
            list.push(value);
        }
        Ok(JsonValue::Array(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<JsonValue, A::Error> {
        let seed = self.inner()?;
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Box<str>>()? {
            entries.push((key, map.next_value_seed(seed)?));
        }
        Ok(JsonValue::Object(entries))
    }
}
