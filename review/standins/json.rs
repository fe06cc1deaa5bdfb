//! A small JSON reader for the bodies of the store's calls.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Value {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(BTreeMap<String, Value>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Table(t) => t.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Value::Text(t) => t,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Value::Number(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(l) => l,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let mut at = 0;
    let value = value(bytes, &mut at)?;
    space(bytes, &mut at);
    (at == bytes.len()).then_some(value)
}

fn space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn eat(b: &[u8], at: &mut usize, c: u8) -> Option<()> {
    space(b, at);
    (b.get(*at) == Some(&c)).then(|| *at += 1)
}

fn word(b: &[u8], at: &mut usize, text: &str, value: Value) -> Option<Value> {
    b[*at..].starts_with(text.as_bytes()).then(|| {
        *at += text.len();
        value
    })
}

fn value(b: &[u8], at: &mut usize) -> Option<Value> {
    space(b, at);
    match b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut table = BTreeMap::new();
            if eat(b, at, b'}').is_some() {
                return Some(Value::Table(table));
            }
            loop {
                space(b, at);
                let name = text(b, at)?;
                eat(b, at, b':')?;
                table.insert(name, value(b, at)?);
                if eat(b, at, b',').is_none() {
                    eat(b, at, b'}')?;
                    return Some(Value::Table(table));
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            if eat(b, at, b']').is_some() {
                return Some(Value::List(list));
            }
            loop {
                list.push(value(b, at)?);
                if eat(b, at, b',').is_none() {
                    eat(b, at, b']')?;
                    return Some(Value::List(list));
                }
            }
        }
        b'"' => text(b, at).map(Value::Text),
        b't' => word(b, at, "true", Value::Bool),
        b'f' => word(b, at, "false", Value::Bool),
        b'n' => word(b, at, "null", Value::Null),
        _ => {
            let start = *at;
            while b
                .get(*at)
                .is_some_and(|c| c.is_ascii_digit() || b"+-.eE".contains(c))
            {
                *at += 1;
            }
            let number = std::str::from_utf8(&b[start..*at]).ok()?.parse().ok()?;
            Some(Value::Number(number))
        }
    }
}

/// Reads a string; escapes other than those of single characters are not used by the gateway.
fn text(b: &[u8], at: &mut usize) -> Option<String> {
    if b.get(*at) != Some(&b'"') {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        match b.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(out).ok();
            }
            b'\\' => {
                out.push(*b.get(*at + 1)?);
                *at += 2;
            }
            c => {
                out.push(*c);
                *at += 1;
            }
        }
    }
}
