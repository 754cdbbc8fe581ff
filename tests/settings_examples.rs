//! The example files of both users' sizes.

use std::path::{Path, PathBuf};

use flamingocroft::{
    domain::{Intent, Operation, ServiceKind},
    policy::place,
    settings::{Role, Settings, intent::read_intent},
};

fn example(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(file)
}

struct Size {
    user: &'static str,
    /// Model servers and plain servers that the placement wants.
    servers: [u32; 2],
    idempotent: &'static [&'static str],
    not_idempotent: &'static [&'static str],
}

const SIZES: [Size; 2] = [
    Size {
        user: "sabkha",
        servers: [20, 3],
        idempotent: &["GET /piles"],
        not_idempotent: &["POST /releases", "POST /slots"],
    },
    Size {
        user: "woolstead",
        servers: [10, 3],
        idempotent: &["GET /records", "PUT /records"],
        not_idempotent: &["POST /dispatches", "POST /pledges"],
    },
];

#[test]
fn the_intents_have_the_sizes_of_today() {
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
fn the_accounts_have_unequal_weights_and_one_is_free() {
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
fn the_settings_are_valid_and_agree_on_the_controllers() {
    for size in SIZES {
        let read = |role| {
            let file = example(&format!("{}/{role}.jsonc", size.user));
            Settings::read_without_files(&file).unwrap()
        };
        let (controller, gateway) = (read(Role::Controller), read(Role::Gateway));
        assert_eq!(controller.role, Role::Controller);
        assert_eq!(gateway.role, Role::Gateway);
        assert_eq!(controller.controllers, gateway.controllers);
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
