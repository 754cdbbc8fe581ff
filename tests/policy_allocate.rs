//! Shares of capacity: invariants of every method, and the effect of a lag between gateways.

use std::collections::BTreeMap;

use flamingocroft::{
    domain::{AccountName, ServiceName},
    policy::allocate::{Allocation, Capacity, DemandRow, Method, limit_growth, shares, shares_by},
};
use proptest::prelude::*;

const METHODS: [Method; 3] = [Method::Equal, Method::ByDemand, Method::Headroom];
const BY_NEED: [Method; 2] = [Method::ByDemand, Method::Headroom];

/// Account, whether it pays, and its weight.
const ACCOUNTS: [(&str, bool, u32); 4] = [
    ("large", true, 3),
    ("small", true, 1),
    ("school", false, 2),
    ("visitor", false, 1),
];

fn service() -> ServiceName {
    "assistant".into()
}

fn capacity(slots: u32) -> Vec<Capacity> {
    vec![Capacity {
        service: service(),
        slots,
    }]
}

/// Makes a row for each gateway and account, gateway by gateway, from running and waiting requests.
fn rows(demand: &[(u32, u32)]) -> Vec<DemandRow> {
    demand
        .iter()
        .enumerate()
        .map(|(i, &(running, waiting))| {
            let (account, paying, weight) = ACCOUNTS[i % ACCOUNTS.len()];
            DemandRow {
                gateway: format!("gateway-{}", i / ACCOUNTS.len()).into(),
                service: service(),
                account: account.into(),
                paying,
                weight,
                running,
                waiting,
            }
        })
        .collect()
}

fn arbitrary_rows() -> impl Strategy<Value = Vec<DemandRow>> {
    let demand = (0..12_u32, prop_oneof![2 => Just(0), 1 => 0..12_u32]);
    (1..6_usize)
        .prop_flat_map(move |gateways| {
            proptest::collection::vec(demand.clone(), gateways * ACCOUNTS.len())
        })
        .prop_map(|demand| rows(&demand))
}

fn sum<'a>(allocations: impl IntoIterator<Item = &'a Allocation>) -> u32 {
    allocations.into_iter().map(|a| a.slots).sum()
}

fn by_account(rows: &[DemandRow], allocations: &[Allocation]) -> BTreeMap<AccountName, (u32, u32)> {
    let mut sums = BTreeMap::new();
    for (row, allocation) in rows.iter().zip(allocations) {
        let (demand, given): &mut (u32, u32) = sums.entry(row.account.clone()).or_default();
        *demand += row.running + row.waiting;
        *given += allocation.slots;
    }
    sums
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(5),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_more_than_the_capacity(rows in arbitrary_rows(), slots in 0..200_u32) {
        for method in METHODS {
            let allocations = shares_by(method, &rows, &capacity(slots));
            prop_assert_eq!(allocations.len(), rows.len());
            prop_assert!(sum(&allocations) <= slots, "{:?}", method);
        }
    }

    #[test]
    fn free_rows_get_only_what_paying_rows_leave(rows in arbitrary_rows(), slots in 0..200_u32) {
        for method in BY_NEED {
            let allocations = shares_by(method, &rows, &capacity(slots));
            let free = rows.iter().zip(&allocations).filter(|(row, _)| !row.paying);
            let free_slots: u32 = free.map(|(_, a)| a.slots).sum();
            for (row, allocation) in rows.iter().zip(&allocations).filter(|(row, _)| row.paying) {
                let demand = row.running + row.waiting;
                prop_assert!(free_slots == 0 || allocation.slots >= demand, "{:?} {:?}", method, row);
            }
        }
    }

    #[test]
    fn no_row_gets_nothing_while_others_of_its_tier_exceed_their_demand(
        rows in arbitrary_rows(),
        slots in 0..200_u32,
    ) {
        for method in BY_NEED {
            let allocations = shares_by(method, &rows, &capacity(slots));
            let pairs: Vec<_> = rows.iter().zip(&allocations).collect();
            for (row, _) in pairs.iter().filter(|(_, a)| a.slots == 0) {
                // A row without demand may be left without a slot that similar rows got.
                let idle = u32::from(row.running + row.waiting == 0);
                let richer = pairs.iter().find(|(other, a)| {
                    let demand = other.running + 2 * other.waiting;
                    other.paying == row.paying && a.slots > demand + idle
                });
                prop_assert!(richer.is_none(), "{:?} {:?} {:?}", method, row, richer);
            }
        }
    }

    #[test]
    fn accounts_of_a_tier_get_their_weight_or_their_demand(
        rows in arbitrary_rows(),
        slots in 0..200_u32,
    ) {
        let allocations = shares_by(Method::Headroom, &rows, &capacity(slots));
        let sums = by_account(&rows, &allocations);
        for (name, paying, weight) in ACCOUNTS {
            let (demand, given) = sums[&AccountName::from(name)];
            if given >= demand {
                continue;
            }
            for (other, _, other_weight) in ACCOUNTS.iter().filter(|other| other.1 == paying) {
                let other_given = sums[&AccountName::from(*other)].1;
                let fair = f64::from(given + 1) / f64::from(weight);
                let theirs = f64::from(other_given.saturating_sub(1)) / f64::from(*other_weight);
                prop_assert!(theirs <= fair, "{name} {given} of {demand}, {other} {other_given}");
            }
        }
    }

    #[test]
    fn light_demand_is_met_by_every_method(gateways in 1..6_usize) {
        let rows = rows(&vec![(1, 1); gateways * ACCOUNTS.len()]);
        let slots = 4 * rows.len() as u32;
        for method in METHODS {
            for allocation in shares_by(method, &rows, &capacity(slots)) {
                prop_assert!(allocation.slots >= 2, "{:?}", method);
            }
        }
    }

    #[test]
    fn gateways_with_views_of_different_ages_stay_within_the_capacity(
        demands in proptest::collection::vec(arbitrary_rows(), 1..8),
        lagging in proptest::collection::vec(any::<bool>(), 8 * 24),
        slots in 0..120_u32,
    ) {
        let capacity = capacity(slots);
        // What each row's gateway uses now, and the largest share that it may still use.
        let mut used: BTreeMap<String, u32> = BTreeMap::new();
        let mut held: BTreeMap<String, Allocation> = BTreeMap::new();
        let mut lagging = lagging.into_iter();
        for rows in demands {
            let now: Vec<_> = held.values().cloned().collect();
            let sent = limit_growth(shares(&rows, &capacity), &now, &capacity);
            for allocation in sent {
                let key = format!("{}/{}", allocation.gateway, allocation.account);
                let before = used.get(&key).copied().unwrap_or_default();
                if lagging.next().unwrap_or_default() {
                    let most = Allocation { slots: allocation.slots.max(before), ..allocation };
                    held.insert(key, most);
                } else {
                    used.insert(key.clone(), allocation.slots);
                    held.insert(key, allocation);
                }
            }
            prop_assert!(used.values().sum::<u32>() <= slots);
            prop_assert!(sum(held.values()) <= slots);
        }
    }
}

#[test]
fn unlimited_growth_exceeds_the_capacity_during_a_lag() {
    let shares_for = |busy: usize| {
        let mut demand = vec![(0, 0); 2 * ACCOUNTS.len()];
        demand[busy * ACCOUNTS.len()] = (20, 0);
        shares(&rows(&demand), &capacity(24))
    };
    let (before, after) = (shares_for(0), shares_for(1));
    let at = |allocations: &[Allocation], gateway: &str| {
        let here = |a: &&Allocation| a.gateway.as_str() == gateway;
        sum(allocations.iter().filter(here))
    };
    // The first gateway still uses its old shares while the second one already has its new ones.
    assert!(at(&before, "gateway-0") + at(&after, "gateway-1") > 24);
    let kept = limit_growth(after, &before, &capacity(24));
    assert!(at(&before, "gateway-0") + at(&kept, "gateway-1") <= 24);
}

#[test]
fn shares_held_by_a_silent_gateway_are_not_reassigned() {
    let held = vec![Allocation {
        gateway: "silent".into(),
        service: service(),
        account: "large".into(),
        slots: 10,
    }];
    let targets = shares(&rows(&[(30, 0), (0, 0), (0, 0), (0, 0)]), &capacity(24));
    let sent = limit_growth(targets, &held, &capacity(24));
    assert_eq!(sum(&sent), 14);
}
