//! Tells in sentences what differs between two intents.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::domain::Intent;

/// Fields whose values are not shown.
const HIDDEN: &str = "token_sha256";

/// Returns a sentence for each difference.
pub fn describe(before: &Intent, after: &Intent) -> Vec<String> {
    let lists = [
        list("zone", &before.zones, &after.zones, |z| z.name.to_string()),
        list("tier", &before.tiers, &after.tiers, |t| t.name.to_string()),
        list("account", &before.accounts, &after.accounts, |a| {
            a.name.to_string()
        }),
        list("model", &before.models, &after.models, |m| {
            m.name.to_string()
        }),
        list("service", &before.services, &after.services, |s| {
            s.name.to_string()
        }),
        list("price of", &before.prices, &after.prices, |p| {
            format!("{} in {}", p.class.0, p.zone)
        }),
    ];
    let single = [
        fields("routing", &before.routing, &after.routing),
        fields("limits", &before.limits, &after.limits),
    ];
    lists.into_iter().chain(single).flatten().collect()
}

fn list<T: Serialize + PartialEq>(
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
        Some(old) => fields(&format!("{noun} {name}"), old, item),
    });
    removed.chain(changed).collect()
}

fn fields<T: Serialize + PartialEq>(subject: &str, before: &T, after: &T) -> Vec<String> {
    if before == after {
        return Vec::new();
    }
    let (old, new) = (object(before), object(after));
    let shown = |value: Option<&Value>| value.map_or("nothing".into(), Value::to_string);
    new.iter()
        .filter(|(field, value)| old.get(*field) != Some(value))
        .map(|(field, value)| match field.as_str() {
            HIDDEN => format!("Replace the token of {subject}."),
            field => format!(
                "Change {field} of {subject} from {} to {value}.",
                shown(old.get(field))
            ),
        })
        .collect()
}

fn object<T: Serialize>(value: &T) -> Map<String, Value> {
    match serde_json::to_value(value) {
        Ok(Value::Object(map)) => map,
        _ => Map::new(),
    }
}
