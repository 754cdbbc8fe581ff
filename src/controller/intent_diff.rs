//! Describes the differences between two intents in sentences for operators.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::domain::Intent;

/// The field whose values are not shown, since they are hashes of secrets.
const REDACTED_FIELD: &str = "token_sha256";

/// Returns one sentence for each difference.
pub fn describe(before: &Intent, after: &Intent) -> Vec<String> {
    let lists = [
        describe_list("zone", &before.zones, &after.zones, |z| z.name.to_string()),
        describe_list("tier", &before.tiers, &after.tiers, |t| t.name.to_string()),
        describe_list("account", &before.accounts, &after.accounts, |a| {
            a.name.to_string()
        }),
        describe_list("model", &before.models, &after.models, |m| {
            m.name.to_string()
        }),
        describe_list("service", &before.services, &after.services, |s| {
            s.name.to_string()
        }),
        describe_list("price of", &before.prices, &after.prices, |p| {
            format!("{} in {}", p.class.0, p.zone)
        }),
    ];
    let single = [
        describe_fields("routing", &before.routing, &after.routing),
        describe_fields("limits", &before.limits, &after.limits),
    ];
    lists.into_iter().chain(single).flatten().collect()
}

fn describe_list<T: Serialize + PartialEq>(
    noun: &str,
    before: &[T],
    after: &[T],
    name: impl Fn(&T) -> String,
) -> Vec<String> {
    let old: BTreeMap<_, _> = before.iter().map(|item| (name(item), item)).collect();
    let new: BTreeMap<_, _> = after.iter().map(|item| (name(item), item)).collect();
    let removed = old
        .keys()
        .filter(|name| !new.contains_key(*name))
        .map(|name| format!("Remove {noun} {name}."));
    let changed = new.iter().flat_map(|(name, item)| match old.get(name) {
        None => vec![format!("Add {noun} {name}.")],
        Some(old) => describe_fields(&format!("{noun} {name}"), old, item),
    });
    removed.chain(changed).collect()
}

fn describe_fields<T: Serialize + PartialEq>(subject: &str, before: &T, after: &T) -> Vec<String> {
    if before == after {
        return Vec::new();
    }
    let (old, new) = (json_fields(before), json_fields(after));
    let shown = |value: Option<&Value>| value.map_or("nothing".into(), Value::to_string);
    new.iter()
        .filter(|(field, value)| old.get(*field) != Some(value))
        .map(|(field, value)| match field.as_str() {
            REDACTED_FIELD => format!("Replace the token of {subject}."),
            field => format!(
                "Change {field} of {subject} from {} to {value}.",
                shown(old.get(field))
            ),
        })
        .collect()
}

fn json_fields<T: Serialize>(value: &T) -> Map<String, Value> {
    match serde_json::to_value(value) {
        Ok(Value::Object(map)) => map,
        _ => Map::new(),
    }
}
