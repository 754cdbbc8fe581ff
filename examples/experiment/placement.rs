//! Placement: the compared fleets, their cost, and a simulated year of reclaims.

use flamingocroft::{
    domain::{Intent, Purchase},
    policy::place,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    decision::PlacementPolicy,
    engine::Engine,
    naive,
    scenario::RUN_DURATION,
    site::{Site, ZONES},
};

/// Range of the minutes until reclaimed instances are replaced.
const REPLACEMENT_MINUTES: std::ops::Range<u32> = 5..30;

/// Mean days between losses of a whole zone, on-demand instances included.
const ZONE_LOSS_DAYS: f64 = 120.0;

const MINUTES_A_DAY: u32 = 24 * 60;
const DAYS: u32 = 365;

/// Instances of one purchase type in one zone.
#[derive(Clone, Copy, Debug)]
struct Group {
    zone: usize,
    purchase: Purchase,
    count: u32,
    micros_per_hour: i64,
}

/// Returns the engines of a placement.
pub fn engines(site: &Site, placement: PlacementPolicy) -> Vec<Engine> {
    let each = |group: Group| {
        let reclaimable = group.purchase == Purchase::Reclaimable;
        (0..group.count).map(move |_| (group.zone, reclaimable))
    };
    groups(site, placement)
        .into_iter()
        .flat_map(each)
        .enumerate()
        .map(|(i, (zone, reclaimable))| {
            Engine::new(i, zone, reclaimable, site.slots, site.cache_tokens)
        })
        .collect()
}

/// Returns the cost of a placement over a run, in millionths of the currency unit.
pub fn cost_micros(site: &Site, placement: PlacementPolicy) -> f64 {
    let per_hour: i64 = groups(site, placement)
        .iter()
        .map(|g| g.micros_per_hour)
        .sum();
    per_hour as f64 * RUN_DURATION.as_secs_f64() / 3600.0
}

fn groups(site: &Site, placement: PlacementPolicy) -> Vec<Group> {
    let intent = site.intent();
    let needed = naive::place::needed(&intent.services[0]);
    let others = ZONES.len() as u32 - 1;
    match placement {
        PlacementPolicy::CurrentFleet => (0..ZONES.len())
            .map(|zone| {
                let count = (0..site.servers).filter(|&i| Site::zone(i) == zone).count();
                group(&intent, zone, Purchase::Reclaimable, count as u32)
            })
            .collect(),
        PlacementPolicy::OnDemandOnly => (0..ZONES.len())
            .map(|zone| group(&intent, zone, Purchase::OnDemand, needed.div_ceil(others)))
            .collect(),
        PlacementPolicy::CheapestOnly => {
            let price = |zone: &usize| intent.prices[*zone].reclaimable_micros_per_hour;
            let zone = (0..ZONES.len()).min_by_key(price).unwrap_or(0);
            vec![group(&intent, zone, Purchase::Reclaimable, needed)]
        }
        PlacementPolicy::Planned => place::plan(&intent, &[])
            .wanted
            .iter()
            .map(|p| {
                let zone = ZONES.iter().position(|zone| *zone == p.zone.as_str());
                group(&intent, zone.unwrap_or(0), p.purchase, p.count)
            })
            .collect(),
    }
}

fn group(intent: &Intent, zone: usize, purchase: Purchase, count: u32) -> Group {
    let price = &intent.prices[zone];
    let each = match purchase {
        Purchase::Reclaimable => price.reclaimable_micros_per_hour,
        Purchase::OnDemand => price.on_demand_micros_per_hour,
    };
    Group {
        zone,
        purchase,
        count,
        micros_per_hour: each.times(count).0,
    }
}

/// Prints the cost of each placement and its capacity for paying requests over a year of reclaims.
pub fn print_table() {
    println!(
        "\n## place, a year of reclaims (reclaims as in the prices, and as often six times)\n"
    );
    println!(
        "| site | reclaims | placement | instances | on-demand | cost/h | minutes short | at worst, slots of need |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for site in Site::all() {
        for factor in [1.0, 6.0] {
            for (name, placement) in [
                ("cheapest only", PlacementPolicy::CheapestOnly),
                ("on-demand only", PlacementPolicy::OnDemandOnly),
                ("planned", PlacementPolicy::Planned),
            ] {
                print_year(&site, factor, name, placement);
            }
        }
    }
}

fn print_year(site: &Site, factor: f64, name: &str, placement: PlacementPolicy) {
    let mut site = site.clone();
    site.reclaim_factor = factor;
    let groups = groups(&site, placement);
    let intent = site.intent();
    let year = Year::simulate(&intent, &groups, 5);
    let instances: u32 = groups.iter().map(|g| g.count).sum();
    let on_demand = groups.iter().filter(|g| g.purchase == Purchase::OnDemand);
    let on_demand: u32 = on_demand.map(|g| g.count).sum();
    let cost: i64 = groups.iter().map(|g| g.micros_per_hour).sum();
    println!(
        "| {} | x{factor} | {name} | {instances} | {on_demand} | {:.2} | {} ({:.3}%) | {} of {} |",
        site.name,
        cost as f64 / 1e6,
        year.minutes_short,
        f64::from(year.minutes_short) * 100.0 / f64::from(DAYS * MINUTES_A_DAY),
        year.fewest_instances * site.slots,
        intent.services[0].expected_concurrency,
    );
}

/// The capacity that remains over a year of reclaims and zone losses.
struct Year {
    minutes_short: u32,
    fewest_instances: u32,
}

impl Year {
    /// Simulates a year minute by minute. All reclaimable instances of a zone are reclaimed together.
    fn simulate(intent: &Intent, groups: &[Group], seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let need = naive::place::needed(&intent.services[0]);
        let mut reclaimed_until = [0; ZONES.len()];
        let mut lost_until = [0; ZONES.len()];
        let mut year = Self {
            minutes_short: 0,
            fewest_instances: u32::MAX,
        };
        for minute in 1..=DAYS * MINUTES_A_DAY {
            for zone in 0..ZONES.len() {
                let a_day = intent.prices[zone].reclaims_per_day;
                if rng.random_bool(a_day / f64::from(MINUTES_A_DAY)) {
                    reclaimed_until[zone] = minute + rng.random_range(REPLACEMENT_MINUTES);
                }
                if rng.random_bool(1.0 / ZONE_LOSS_DAYS / f64::from(MINUTES_A_DAY)) {
                    lost_until[zone] = minute + 4 * rng.random_range(REPLACEMENT_MINUTES);
                }
            }
            let is_available = |group: &&Group| {
                let reclaimed =
                    group.purchase == Purchase::Reclaimable && reclaimed_until[group.zone] > minute;
                !reclaimed && lost_until[group.zone] <= minute
            };
            let left = groups.iter().filter(is_available).map(|g| g.count).sum();
            year.fewest_instances = year.fewest_instances.min(left);
            year.minutes_short += u32::from(left < need);
        }
        year
    }
}
