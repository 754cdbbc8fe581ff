//! Checks the fields of a file one by one against a table, so that all errors are found at once.
//! A deserialiser stops at the first.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use super::Problem;

/// What a field may hold.
#[derive(Debug)]
pub(super) enum Shape {
    /// Text that is not empty.
    Text,
    /// An address and a port.
    Address,
    /// True or false.
    Bool,
    /// A SHA-256 hash in hexadecimal.
    Sha256,
    /// A whole number within bounds.
    Integer {
        /// The smallest.
        min: u64,
        /// The largest.
        max: u64,
    },
    /// A number within bounds.
    Decimal {
        /// The smallest.
        min: f64,
        /// The largest.
        max: f64,
    },
    /// One of a few words.
    OneOf(&'static [&'static str]),
    /// A list of at least `min`.
    List {
        /// What its elements hold.
        of: &'static Shape,
        /// The smallest length.
        min: usize,
    },
    /// An object with these fields and no others.
    Object(&'static [Field]),
    /// An object with exactly one of these fields.
    Choice(&'static [Field]),
}

/// One field of an object.
#[derive(Debug)]
pub(super) struct Field {
    name: &'static str,
    is_required: bool,
    shape: Shape,
}

/// A field that must be there.
pub(super) const fn required(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        is_required: true,
        shape,
    }
}

/// A field with a default.
pub(super) const fn optional(name: &'static str, shape: Shape) -> Field {
    Field {
        name,
        is_required: false,
        shape,
    }
}

/// Checks an object. Unknown fields and wrong optional ones are taken out, so that what depends on
/// the other fields can be checked as well. Returns whether the rest can be deserialised.
pub(super) fn check_object(
    fields: &[Field],
    path: &str,
    value: &mut Value,
    problems: &mut Vec<Problem>,
) -> bool {
    let Value::Object(map) = value else {
        problems.push(Problem::new(
            place(path),
            &*value,
            "write an object in braces",
        ));
        return false;
    };
    remove_unknown(fields, path, map, problems);
    let mut is_valid = true;
    for field in fields {
        is_valid &= check_field(field, path, map, problems);
    }
    is_valid
}

fn check_field(
    field: &Field,
    path: &str,
    map: &mut Map<String, Value>,
    problems: &mut Vec<Problem>,
) -> bool {
    let path = join(path, field.name);
    let Some(value) = map.get_mut(field.name) else {
        if field.is_required {
            let remedy = format!("add it; it takes {}", field.shape.describe());
            problems.push(Problem::new(path, "missing", remedy));
        }
        return !field.is_required;
    };
    if field.shape.check(&path, value, problems) {
        return true;
    }
    if !field.is_required {
        map.remove(field.name);
    }
    !field.is_required
}

fn remove_unknown(
    fields: &[Field],
    path: &str,
    map: &mut Map<String, Value>,
    problems: &mut Vec<Problem>,
) {
    map.retain(|name, value| {
        let is_known = fields.iter().any(|field| field.name == name);
        if !is_known {
            let remedy = format!("remove it, or use one of {}", names(fields));
            problems.push(Problem::new(join(path, name), &*value, remedy));
        }
        is_known
    });
}

fn names(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn place(path: &str) -> &str {
    if path.is_empty() { "the file" } else { path }
}

impl Shape {
    fn check(&self, path: &str, value: &mut Value, problems: &mut Vec<Problem>) -> bool {
        match self {
            Self::Object(fields) => check_object(fields, path, value, problems),
            Self::Choice(fields) => check_choice(fields, path, value, problems),
            Self::List { of, min } => check_list(of, *min, path, value, problems),
            leaf => {
                let is_valid = leaf.accepts(value);
                if !is_valid {
                    let remedy = format!("write {}", leaf.describe());
                    problems.push(Problem::new(path, &*value, remedy));
                }
                is_valid
            }
        }
    }

    fn accepts(&self, value: &Value) -> bool {
        match self {
            Self::Text => value.as_str().is_some_and(|text| !text.trim().is_empty()),
            Self::Address => value
                .as_str()
                .is_some_and(|text| text.parse::<SocketAddr>().is_ok()),
            Self::Bool => value.is_boolean(),
            Self::Sha256 => value.as_str().is_some_and(is_sha256),
            Self::Integer { min, max } => {
                value.as_u64().is_some_and(|n| (*min..=*max).contains(&n))
            }
            Self::Decimal { min, max } => {
                value.as_f64().is_some_and(|n| (*min..=*max).contains(&n))
            }
            Self::OneOf(words) => value.as_str().is_some_and(|text| words.contains(&text)),
            Self::List { .. } => value.is_array(),
            Self::Object(_) | Self::Choice(_) => value.is_object(),
        }
    }

    fn describe(&self) -> String {
        match self {
            Self::Text => "a text that is not empty".to_owned(),
            Self::Address => "an IP address and a port, such as \"10.0.0.1:7000\"".to_owned(),
            Self::Bool => "true or false".to_owned(),
            Self::Sha256 => {
                "the 64 hexadecimal digits that `flamingocroft token` prints".to_owned()
            }
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Decimal { min, max } => format!("a number from {min} to {max}"),
            Self::OneOf(words) => format!("one of \"{}\"", words.join("\", \"")),
            Self::List { min: 0, .. } => "a list".to_owned(),
            Self::List { min, .. } => format!("a list of at least {min}"),
            Self::Object(fields) => format!("an object with the fields {}", names(fields)),
            Self::Choice(fields) => format!("an object with one of the fields {}", names(fields)),
        }
    }
}

/// Returns whether a text is a SHA-256 hash in hexadecimal.
pub(super) fn is_sha256(text: &str) -> bool {
    const DIGITS: usize = 64;
    text.len() == DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn check_list(
    of: &Shape,
    min: usize,
    path: &str,
    value: &mut Value,
    problems: &mut Vec<Problem>,
) -> bool {
    let Value::Array(elements) = value else {
        problems.push(Problem::new(path, &*value, "write a list in brackets"));
        return false;
    };
    if elements.len() < min {
        let remedy = format!("list at least {min}");
        problems.push(Problem::new(path, "too short", remedy));
        return false;
    }
    let mut is_valid = true;
    for (i, element) in elements.iter_mut().enumerate() {
        is_valid &= of.check(&format!("{path}[{i}]"), element, problems);
    }
    is_valid
}

fn check_choice(
    fields: &[Field],
    path: &str,
    value: &mut Value,
    problems: &mut Vec<Problem>,
) -> bool {
    let Value::Object(map) = value else {
        let remedy = format!("write an object with one of {}", names(fields));
        problems.push(Problem::new(path, &*value, remedy));
        return false;
    };
    remove_unknown(fields, path, map, problems);
    let chosen: Vec<&Field> = fields
        .iter()
        .filter(|field| map.contains_key(field.name))
        .collect();
    match chosen.as_slice() {
        [field] => check_field(field, path, map, problems),
        _ => {
            let remedy = format!("write exactly one of {}", names(fields));
            problems.push(Problem::new(
                path,
                format!("{} of them", chosen.len()),
                remedy,
            ));
            false
        }
    }
}
