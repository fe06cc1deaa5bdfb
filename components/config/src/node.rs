//! A tree of JSON values that keeps duplicate keys, so that they can be reported.

use std::fmt;

use serde::de::{DeserializeSeed, Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer};

/// Deepest nesting accepted; the deepest valid value has 5 levels. Without a limit, text such as
/// `[[[[...` overflows the stack, because the parser recurses for each level.
const MAX_DEPTH: usize = 16;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Node {
    /// `null`.
    Null,
    /// A truth value.
    Bool,
    /// A whole number of at least 0.
    Whole(u64),
    /// Any other number.
    Number(f64),
    /// A text.
    Text(Box<str>),
    /// A list.
    List(Vec<Node>),
    /// An object with its keys in file order.
    Map(Vec<(Box<str>, Node)>),
}

impl Node {
    /// What it is, for messages.
    pub fn kind(&self) -> &'static str {
        match self {
            Node::Null => "null",
            Node::Bool => "a truth value",
            Node::Whole(_) | Node::Number(_) => "a number",
            Node::Text(_) => "a text",
            Node::List(_) => "a list",
            Node::Map(_) => "an object",
        }
    }
}

/// Parses JSON with comments.
pub(crate) fn parse(text: &str) -> Result<Node, json5::Error> {
    json5::from_str::<Root>(text).map(|root| root.0)
}

/// The value of a whole text.
struct Root(Node);

impl<'de> Deserialize<'de> for Root {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Root, D::Error> {
        Seed { depth: 0 }.deserialize(deserializer).map(Root)
    }
}

/// Reads one value at a nesting depth.
#[derive(Clone, Copy)]
struct Seed {
    /// Number of lists and objects around the value.
    depth: usize,
}

impl Seed {
    /// Seed for the values inside this one.
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
    type Value = Node;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E: Error>(self, _value: bool) -> Result<Node, E> {
        Ok(Node::Bool)
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Node, E> {
        Ok(Node::Whole(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Node, E> {
        Ok(u64::try_from(value).map_or(Node::Number(value as f64), Node::Whole))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Node, E> {
        Ok(Node::Number(value))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Node, E> {
        Ok(Node::Text(value.into()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Node, A::Error> {
        let seed = self.inner()?;
        let mut list = Vec::new();
        while let Some(node) = seq.next_element_seed(seed)? {
            list.push(node);
        }
        Ok(Node::List(list))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Node, A::Error> {
        let seed = self.inner()?;
        let mut entries = Vec::new();
        while let Some(key) = map.next_key::<Box<str>>()? {
            entries.push((key, map.next_value_seed(seed)?));
        }
        Ok(Node::Map(entries))
    }
}
