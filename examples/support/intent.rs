//! The intent for an installation on loopback.

use std::time::Duration;

use flamingocroft::domain::{
    Account, AccountName, ChangeLimits, Fencing, Intent, MachineClass, Model, Money, Operation,
    Price, RoutingWeights, Service, ServiceKind, Tier, Zone, ZoneName,
};

use super::shape::{CLASS, FREE_TOKEN, MODEL, PAYING_TOKEN, Shape, ZONES, hash};

/// Returns the intent for an installation of this shape.
pub fn intent(shape: &Shape) -> Intent {
    let zones: Vec<ZoneName> = ZONES.map(ZoneName::from).to_vec();
    let class = MachineClass(CLASS.into());
    let tier = |name: &str, paying| Tier {
        name: name.into(),
        paying,
        first_token: Duration::from_millis(640),
        between_tokens: Duration::from_millis(26),
    };
    let account = |name: &str, tier: &str, token: &str| Account {
        name: AccountName::from(name),
        tier: tier.into(),
        token_sha256: hash(token),
        weight: 1,
    };
    let operation = |method: &str, path: &str, idempotent| Operation {
        method: method.into(),
        path: path.into(),
        idempotent,
    };
    Intent {
        zones: zones
            .iter()
            .map(|name| Zone {
                name: name.clone(),
                region: "south".into(),
            })
            .collect(),
        tiers: vec![tier("paying", true), tier("free", false)],
        accounts: vec![
            account("sabkha", "paying", PAYING_TOKEN),
            account("trial", "free", FREE_TOKEN),
        ],
        models: vec![Model {
            name: MODEL.into(),
            version: "1".into(),
            weights_mib: 1024,
        }],
        services: vec![
            Service {
                name: "assistant".into(),
                kind: ServiceKind::Engines {
                    models: vec![MODEL.into()],
                    fencing: Fencing::Checked,
                },
                zones: zones.clone(),
                class: class.clone(),
                slots_per_instance: shape.engine.slots,
                expected_concurrency: shape.engine.slots * u32::from(shape.engines) / 2,
            },
            Service {
                name: "depot".into(),
                kind: ServiceKind::Plain {
                    operations: vec![
                        operation("GET", "/piles", true),
                        operation("POST", "/releases", false),
                    ],
                },
                zones: zones.clone(),
                class: class.clone(),
                slots_per_instance: 64,
                expected_concurrency: 32,
            },
        ],
        prices: zones
            .iter()
            .map(|zone| Price {
                zone: zone.clone(),
                class: class.clone(),
                on_demand_micros_per_hour: Money(900_000),
                reclaimable_micros_per_hour: Money(300_000),
                reclaims_per_day: 0.5,
            })
            .collect(),
        routing: RoutingWeights::default(),
        limits: ChangeLimits::default(),
    }
}
