//! Validates the fields of a file against a schema, one by one, so that all errors are reported at
//! once. A deserializer stops at the first error.

use std::net::SocketAddr;

use serde_json::{Map, Value};

use super::problem::Problems;

/// The type of a field and the bounds of its value.
#[derive(Debug)]
pub(super) enum FieldType {
    /// A string that is not blank.
    Text,
    /// An IP address and a port.
    Address,
    /// True or false.
    Bool,
    /// A SHA-256 hash in hexadecimal.
    Sha256,
    /// An integer within inclusive bounds.
    Integer {
        /// The smallest.
        min: u64,
        /// The largest.
        max: u64,
    },
    /// A number within inclusive bounds.
    Decimal {
        /// The smallest.
        min: f64,
        /// The largest.
        max: f64,
    },
    /// One of a fixed set of strings.
    OneOf(&'static [&'static str]),
    /// A list of at least `min` elements.
    List {
        /// The type of its elements.
        element: &'static FieldType,
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
    field_type: FieldType,
}

/// Declares a field that must be present.
pub(super) const fn required(name: &'static str, field_type: FieldType) -> Field {
    Field {
        name,
        is_required: true,
        field_type,
    }
}

/// Declares a field that may be left out.
pub(super) const fn optional(name: &'static str, field_type: FieldType) -> Field {
    Field {
        name,
        is_required: false,
        field_type,
    }
}

/// Validates an object and repairs it, so that it can be deserialized and rules across its valid fields
/// can be checked as well. Unknown fields and invalid optional ones are removed; invalid or missing
/// required ones are replaced by placeholders.
pub(super) fn check_object(
    fields: &[Field],
    path: &str,
    value: &mut Value,
    problems: &mut Problems,
) {
    let Value::Object(map) = value else {
        problems.add(describe_path(path), &*value, "write an object in braces");
        *value = FieldType::placeholders(fields);
        return;
    };
    remove_unknown_fields(fields, path, map, problems);
    for field in fields {
        check_field(field, path, map, problems);
    }
}

fn check_field(field: &Field, path: &str, map: &mut Map<String, Value>, problems: &mut Problems) {
    let path = join_path(path, field.name);
    let is_valid = match map.get_mut(field.name) {
        Some(Value::Null) if !field.is_required => {
            map.remove(field.name);
            true
        }
        Some(value) => field.field_type.validate(&path, value, problems),
        None if field.is_required => {
            let remedy = format!("add it; it takes {}", field.field_type.describe());
            problems.add(path, "missing", remedy);
            false
        }
        None => true,
    };
    if is_valid {
        return;
    }
    if field.is_required {
        map.insert(field.name.to_owned(), field.field_type.placeholder());
    } else {
        map.remove(field.name);
    }
}

fn remove_unknown_fields(
    fields: &[Field],
    path: &str,
    map: &mut Map<String, Value>,
    problems: &mut Problems,
) {
    map.retain(|name, value| {
        let is_known = fields.iter().any(|field| field.name == name);
        if !is_known {
            let remedy = format!("remove it, or use one of {}", field_names(fields));
            problems.add(join_path(path, name), &*value, remedy);
        }
        is_known
    });
}

fn field_names(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_owned()
    } else {
        format!("{path}.{name}")
    }
}

fn describe_path(path: &str) -> &str {
    if path.is_empty() { "the file" } else { path }
}

impl FieldType {
    /// Validates a value and repairs its parts. Returns whether the value can be kept; otherwise the
    /// caller replaces or removes it.
    fn validate(&self, path: &str, value: &mut Value, problems: &mut Problems) -> bool {
        if !self.matches(value) {
            problems.add(path, &*value, format!("write {}", self.describe()));
            return false;
        }
        match (self, value) {
            (Self::Object(fields), value) => check_object(fields, path, value, problems),
            (Self::Choice(fields), Value::Object(map)) => {
                return check_choice(fields, path, map, problems);
            }
            (Self::List { element, .. }, Value::Array(elements)) => {
                check_elements(element, path, elements, problems);
            }
            _ => {}
        }
        true
    }

    fn matches(&self, value: &Value) -> bool {
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
            Self::List { min, .. } => value.as_array().is_some_and(|list| list.len() >= *min),
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
            Self::Object(fields) => format!("an object with the fields {}", field_names(fields)),
            Self::Choice(fields) => {
                format!("an object with one of the fields {}", field_names(fields))
            }
        }
    }

    /// Returns a valid value that replaces one that was reported as invalid.
    fn placeholder(&self) -> Value {
        match self {
            Self::Text => "?".into(),
            Self::Address => "0.0.0.0:0".into(),
            Self::Bool => false.into(),
            Self::Sha256 => "0".repeat(SHA256_HEX_DIGITS).into(),
            Self::Integer { min, .. } => (*min).into(),
            Self::Decimal { min, .. } => (*min).into(),
            Self::OneOf(words) => words[0].into(),
            Self::List { element, min } => (0..*min).map(|_| element.placeholder()).collect(),
            Self::Object(fields) => Self::placeholders(fields),
            Self::Choice(fields) => Self::placeholders(&fields[..1]),
        }
    }

    fn placeholders(fields: &[Field]) -> Value {
        fields
            .iter()
            .filter(|field| field.is_required)
            .map(|field| (field.name, field.field_type.placeholder()))
            .collect()
    }
}

const SHA256_HEX_DIGITS: usize = 64;

/// Returns whether a string is a SHA-256 hash in hexadecimal.
pub(super) fn is_sha256(text: &str) -> bool {
    text.len() == SHA256_HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

fn check_elements(
    element_type: &FieldType,
    path: &str,
    elements: &mut [Value],
    problems: &mut Problems,
) {
    for (i, element) in elements.iter_mut().enumerate() {
        if !element_type.validate(&format!("{path}[{i}]"), element, problems) {
            *element = element_type.placeholder();
        }
    }
}

fn check_choice(
    fields: &[Field],
    path: &str,
    map: &mut Map<String, Value>,
    problems: &mut Problems,
) -> bool {
    remove_unknown_fields(fields, path, map, problems);
    let mut chosen = fields.iter().filter(|field| map.contains_key(field.name));
    if let (Some(field), None) = (chosen.next(), chosen.next()) {
        check_field(field, path, map, problems);
        return true;
    }
    let value = format!("{} of them", map.len());
    problems.add(
        path,
        value,
        format!("write exactly one of {}", field_names(fields)),
    );
    false
}
