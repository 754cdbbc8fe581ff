//! Tests the example files of both users.

use std::{
    collections::BTreeSet,
    path::{Path, PathBuf},
};

use flamingocroft::{
    domain::{Intent, Operation, ServiceKind},
    policy::place,
    settings::{Limits, Role, Settings, Timing, intent::read_intent},
};
use serde_json::Value;

fn example(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(file)
}

struct ExampleSize {
    user: &'static str,
    /// Model servers and plain servers that the placement plans.
    servers: [u32; 2],
    idempotent: &'static [&'static str],
    not_idempotent: &'static [&'static str],
}

const SIZES: [ExampleSize; 2] = [
    ExampleSize {
        user: "sabkha",
        servers: [20, 3],
        idempotent: &["GET /piles"],
        not_idempotent: &["POST /releases", "POST /slots"],
    },
    ExampleSize {
        user: "woolstead",
        servers: [10, 3],
        idempotent: &["GET /records", "PUT /records"],
        not_idempotent: &["POST /dispatches", "POST /pledges"],
    },
];

#[test]
fn example_intents_have_the_expected_sizes() {
    for size in SIZES {
        let intent = read_intent(&example(&format!("{}/intent.jsonc", size.user))).unwrap();
        assert_eq!(
            (intent.zones.len(), intent.accounts.len()),
            (3, 5),
            "{}",
            size.user
        );
        let plan = place::plan(&intent, &[]);
        assert_eq!(plan.shortfalls, [""; 0], "{}", size.user);
        let servers = [true, false].map(|engines| {
            let names: Vec<_> = services(&intent, engines).collect();
            let placed = plan
                .wanted
                .iter()
                .filter(|row| names.contains(&&row.service));
            placed.map(|row| row.count).sum::<u32>()
        });
        assert_eq!(servers, size.servers, "{}", size.user);
        assert_eq!(operations(&intent, true), size.idempotent);
        assert_eq!(operations(&intent, false), size.not_idempotent);
    }
}

fn services(
    intent: &Intent,
    engines: bool,
) -> impl Iterator<Item = &flamingocroft::domain::ServiceName> {
    let is_wanted =
        move |kind: &ServiceKind| matches!(kind, ServiceKind::Engines { .. }) == engines;
    let services = intent.services.iter();
    services
        .filter(move |service| is_wanted(&service.kind))
        .map(|service| &service.name)
}

fn operations(intent: &Intent, idempotent: bool) -> Vec<String> {
    let of = |kind: &ServiceKind| match kind {
        ServiceKind::Plain { operations } => operations.clone(),
        ServiceKind::Engines { .. } => Vec::new(),
    };
    let line = |operation: Operation| format!("{} {}", operation.method, operation.path);
    let operations = intent.services.iter().flat_map(|service| of(&service.kind));
    operations
        .filter(|operation| operation.idempotent == idempotent)
        .map(line)
        .collect()
}

#[test]
fn example_accounts_have_unequal_weights_and_one_is_free() {
    for size in SIZES {
        let intent = read_intent(&example(&format!("{}/intent.jsonc", size.user))).unwrap();
        let weights: Vec<u32> = intent
            .accounts
            .iter()
            .map(|account| account.weight)
            .collect();
        assert!(weights[0] >= 4 * weights[3], "{weights:?}");
        let is_free = |account: &&flamingocroft::domain::Account| {
            intent
                .tiers
                .iter()
                .any(|tier| tier.name == account.tier && !tier.paying)
        };
        assert_eq!(intent.accounts.iter().filter(is_free).count(), 1);
    }
}

#[test]
fn example_settings_are_valid_and_agree_on_the_controllers() {
    for size in SIZES {
        let read = |role| {
            let file = example(&format!("{}/{role}.jsonc", size.user));
            Settings::read_without_file_checks(&file).unwrap()
        };
        let (controller, gateway) = (read(Role::Controller), read(Role::Gateway));
        assert_eq!(controller.role, Role::Controller);
        assert_eq!(gateway.role, Role::Gateway);
        assert_eq!(controller.controllers, gateway.controllers);
        assert!(gateway.operator_token_sha256.is_some());
        assert_eq!(
            controller.operator_token_sha256,
            gateway.operator_token_sha256
        );
        let intent = read_intent(&example(&format!("{}/intent.jsonc", size.user))).unwrap();
        let zones: Vec<_> = intent.zones.iter().map(|zone| &zone.name).collect();
        let placed: Vec<_> = controller
            .controllers
            .iter()
            .map(|entry| &entry.zone)
            .collect();
        assert_eq!(placed, zones);
    }
}

/// Collects the names of all fields of a JSON value.
fn fields(value: &Value, names: &mut BTreeSet<String>) {
    match value {
        Value::Object(map) => {
            for (name, part) in map {
                names.insert(name.clone());
                fields(part, names);
            }
        }
        Value::Array(parts) => parts.iter().for_each(|part| fields(part, names)),
        _ => {}
    }
}

#[test]
fn the_settings_page_documents_each_field_and_default() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let page = std::fs::read_to_string(root.join("docs/SETTINGS.md")).unwrap();
    let mut names = BTreeSet::new();
    for size in SIZES {
        let file = |name: &str| example(&format!("{}/{name}.jsonc", size.user));
        let intent = read_intent(&file("intent")).unwrap();
        let settings = Settings::read_without_file_checks(&file("controller")).unwrap();
        fields(&serde_json::to_value(intent).unwrap(), &mut names);
        fields(&serde_json::to_value(settings).unwrap(), &mut names);
    }
    assert!(names.len() > 60, "{names:?}");
    let unnamed: Vec<_> = names
        .iter()
        .filter(|name| !page.contains(&format!("`{name}`")))
        .collect();
    assert_eq!(unnamed, [""; 0]);
    for defaults in [
        serde_json::to_value(Limits::default()).unwrap(),
        serde_json::to_value(Timing::default()).unwrap(),
    ] {
        for (name, value) in defaults.as_object().unwrap() {
            let row = format!("| `{name}` | {value} |");
            assert!(page.contains(&row), "{row}");
        }
    }
}

#[test]
fn the_files_of_the_local_installation_are_valid() {
    read_intent(&example("local/intent.jsonc")).unwrap();
    for name in [
        "controller-a",
        "controller-b",
        "controller-c",
        "gateway-a",
        "gateway-b",
    ] {
        let file = example(&format!("local/{name}.jsonc"));
        let settings = Settings::read_without_file_checks(&file).unwrap();
        assert_eq!(&*settings.name, name);
    }
}
