//! The two installations of the brief, at their current sizes.

use std::{sync::Arc, time::Duration};

use flamingocroft::domain::{
    ChangeLimits, Intent, MachineClass, Money, Price, RoutingWeights, Service, ServiceKind, Zone,
};

/// Target for the time to first token, from the brief.
pub const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(640);

/// Time between two tokens, constant in the model.
pub const BETWEEN_TOKENS: Duration = Duration::from_millis(20);

/// Prefill time of a thousand tokens.
pub const PREFILL_PER_THOUSAND: Duration = Duration::from_millis(120);

/// Gateways of a site.
pub const GATEWAYS: usize = 6;

/// Availability zones of a site.
pub const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The one service of the experiment.
pub const SERVICE: &str = "assistant";

/// A client account and its share of the load.
#[derive(Clone, Debug)]
pub struct AccountLoad {
    pub name: &'static str,
    pub paying: bool,
    pub weight: u32,
    /// Peak load, as a fraction of the site's capacity.
    pub load: f64,
    /// Tokens of the system prompt, which all its conversations share.
    pub system_tokens: u32,
}

/// An installation.
#[derive(Clone, Debug)]
pub struct Site {
    pub name: &'static str,
    pub servers: usize,
    pub slots: u32,
    pub zone_crossing: Duration,
    pub accounts: Vec<AccountLoad>,
    /// Minimum and maximum tokens that a caller adds per turn.
    pub turn_tokens: (u32, u32),
    /// Minimum and maximum tokens of an answer.
    pub answer_tokens: (u32, u32),
    /// Cache capacity of an engine, in tokens.
    pub cache_tokens: usize,
    pub weights: RoutingWeights,
    /// Factor on the reclaim rates in the prices.
    pub reclaim_factor: f64,
}

impl Site {
    /// Returns both sites.
    pub fn all() -> [Self; 2] {
        [Self::sabkha(), Self::woolstead()]
    }

    fn sabkha() -> Self {
        Self {
            name: "sabkha",
            servers: 20,
            slots: 8,
            zone_crossing: Duration::from_millis(3),
            accounts: vec![
                account("southern-depots", true, 3, 0.28, 320),
                account("weighbridges", true, 2, 0.16, 512),
                account("haulers", true, 1, 0.08, 192),
                account("visitors", false, 1, 0.22, 256),
                account("trial", false, 1, 0.08, 128),
            ],
            turn_tokens: (40, 400),
            answer_tokens: (60, 240),
            cache_tokens: 48_000,
            weights: RoutingWeights::default(),
            reclaim_factor: 1.0,
        }
    }

    fn woolstead() -> Self {
        Self {
            name: "woolstead",
            servers: 10,
            slots: 8,
            zone_crossing: Duration::from_millis(4),
            accounts: vec![
                account("shelters", true, 3, 0.26, 640),
                account("hospitals", true, 2, 0.16, 384),
                account("circles", true, 1, 0.08, 256),
                account("volunteers", false, 1, 0.20, 448),
                account("readers", false, 1, 0.10, 128),
            ],
            turn_tokens: (80, 700),
            answer_tokens: (60, 200),
            cache_tokens: 48_000,
            weights: RoutingWeights {
                ms_per_thousand_uncached_tokens: 240.0,
                ..RoutingWeights::default()
            },
            reclaim_factor: 1.0,
        }
    }

    /// Returns the zone of the `i`-th server or gateway.
    pub fn zone(i: usize) -> usize {
        i % ZONES.len()
    }

    /// Returns the requests per second that the servers can serve with all slots in use.
    pub fn capacity_per_second(&self) -> f64 {
        let tokens = f64::from(self.answer_tokens.0 + self.answer_tokens.1) / 2.0;
        let seconds = tokens * BETWEEN_TOKENS.as_secs_f64() + PREFILL_PER_THOUSAND.as_secs_f64();
        self.servers as f64 * f64::from(self.slots) / seconds
    }

    /// Returns the intent for placement, with prices.
    pub fn intent(&self) -> Intent {
        let paying = self.accounts.iter().filter(|a| a.paying).map(|a| a.load);
        let paying: f64 = paying.sum();
        let slots = self.servers as f64 * f64::from(self.slots);
        Intent {
            zones: ZONES
                .iter()
                .map(|&zone| Zone {
                    name: zone.into(),
                    region: self.name.into(),
                })
                .collect(),
            services: vec![Service {
                name: SERVICE.into(),
                kind: ServiceKind::Plain {
                    operations: Vec::new(),
                },
                zones: ZONES.iter().map(|&zone| zone.into()).collect(),
                class: class(),
                slots_per_instance: self.slots,
                expected_concurrency: (paying * slots).ceil() as u32,
            }],
            prices: vec![
                price(0, 4_200_000, 1_300_000, 2.0 * self.reclaim_factor),
                price(1, 4_200_000, 1_500_000, self.reclaim_factor),
                price(2, 4_600_000, 1_400_000, 4.0 * self.reclaim_factor),
            ],
            limits: ChangeLimits {
                max_instances: 1000,
                max_micros_per_hour: Money(i64::MAX),
            },
            ..Intent::default()
        }
    }
}

fn account(
    name: &'static str,
    paying: bool,
    weight: u32,
    load: f64,
    system_tokens: u32,
) -> AccountLoad {
    AccountLoad {
        name,
        paying,
        weight,
        load,
        system_tokens,
    }
}

fn class() -> MachineClass {
    MachineClass(Arc::from("gpu-8"))
}

fn price(zone: usize, on_demand: i64, reclaimable: i64, reclaims_per_day: f64) -> Price {
    Price {
        zone: ZONES[zone].into(),
        class: class(),
        on_demand_micros_per_hour: Money(on_demand),
        reclaimable_micros_per_hour: Money(reclaimable),
        reclaims_per_day,
    }
}
