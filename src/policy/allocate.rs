//! Divides the capacity of each service among gateways and accounts.
//!
//! Paying accounts are served before free ones, by weight within a tier. See docs/DECISIONS.md,
//! "Shares of capacity", for the methods and for the measurement that chose the default.

use std::collections::HashMap;

use crate::domain::{AccountName, GatewayName, ServiceName};

use super::max_min;

/// Slots requested for each waiting request, so that a share grows faster than the queue drains.
const SLOTS_PER_WAITING_REQUEST: u32 = 2;

/// Slots in use for each extra slot that a paying account keeps free for a burst.
const SLOTS_PER_HEADROOM_SLOT: u32 = 4;

/// Demand of one account for one service at one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DemandRow {
    /// The gateway.
    pub gateway: GatewayName,
    /// The service.
    pub service: ServiceName,
    /// The account.
    pub account: AccountName,
    /// Whether the account pays.
    pub paying: bool,
    /// The account's weight within its tier.
    pub weight: u32,
    /// Requests in progress.
    pub running: u32,
    /// Requests waiting, or refused for lack of a share.
    pub waiting: u32,
}

/// The capacity of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The service.
    pub service: ServiceName,
    /// Concurrent requests over all its live instances.
    pub slots: u32,
}

/// Capacity leased to one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// The gateway.
    pub gateway: GatewayName,
    /// The service.
    pub service: ServiceName,
    /// The account.
    pub account: AccountName,
    /// Concurrent requests.
    pub slots: u32,
}

/// How capacity is divided.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Method {
    /// An equal share for every row, regardless of demand.
    Equal,
    /// By demand, as in dynamic equipartitioning: no row gets more than it demands.
    ByDemand,
    /// By demand of whole accounts, then of their gateways; capacity without demand becomes
    /// headroom.
    #[default]
    Headroom,
}

/// Divides every service's capacity by the default method. The sum for a service never exceeds its
/// slots. There is one row for each gateway, service and account that may use the service, also
/// without demand.
pub fn shares(rows: &[DemandRow], capacities: &[Capacity]) -> Vec<Allocation> {
    shares_by(Method::default(), rows, capacities)
}

/// Divides every service's capacity by a method. The sum for a service never exceeds its slots.
pub fn shares_by(method: Method, rows: &[DemandRow], capacities: &[Capacity]) -> Vec<Allocation> {
    capacities
        .iter()
        .flat_map(|capacity| {
            let rows: Vec<_> = rows
                .iter()
                .filter(|row| row.service == capacity.service)
                .collect();
            let slots = divide(method, &rows, capacity.slots);
            rows.into_iter().zip(slots).map(|(row, slots)| Allocation {
                gateway: row.gateway.clone(),
                service: row.service.clone(),
                account: row.account.clone(),
                slots,
            })
        })
        .collect()
}

fn divide(method: Method, rows: &[&DemandRow], slots: u32) -> Vec<u32> {
    match method {
        Method::Equal => vec![slots / (rows.len().max(1) as u32); rows.len()],
        Method::ByDemand => by_demand(rows, slots),
        Method::Headroom => with_headroom(rows, slots),
    }
}

/// Returns the slots that a row could use: those it runs, and more than one for each waiting
/// request.
fn demand(row: &DemandRow) -> u32 {
    let waiting = row.waiting.saturating_mul(SLOTS_PER_WAITING_REQUEST);
    row.running.saturating_add(waiting)
}

fn by_demand(rows: &[&DemandRow], slots: u32) -> Vec<u32> {
    let mut granted = vec![0; rows.len()];
    for paying in [true, false] {
        let busy = indices(rows, |row| row.paying == paying && demand(row) > 0);
        grant_rows(&mut granted, rows, &busy, slots);
        let idle = indices(rows, |row| row.paying == paying && demand(row) == 0);
        grant_rows(&mut granted, rows, &idle, slots);
    }
    granted
}

/// Grants the rows at `some` positions their demand from the slots not yet granted. A row without
/// demand counts as demanding one slot, as a job does in its first quantum.
fn grant_rows(granted: &mut [u32], rows: &[&DemandRow], some: &[usize], slots: u32) {
    let left = slots - granted.iter().sum::<u32>();
    let weights: Vec<_> = some.iter().map(|&i| rows[i].weight).collect();
    let demands: Vec<_> = some.iter().map(|&i| demand(rows[i]).max(1)).collect();
    for (&i, slots) in some.iter().zip(max_min::divide(&demands, &weights, left)) {
        granted[i] = slots;
    }
}

fn with_headroom(rows: &[&DemandRow], slots: u32) -> Vec<u32> {
    let mut division = Division {
        rows,
        granted: vec![0; rows.len()],
        left: slots,
    };
    division.grant(true, |row, _| demand(row));
    division.grant(true, |_, granted| u32::from(granted == 0));
    division.grant(true, |_, granted| granted.div_ceil(SLOTS_PER_HEADROOM_SLOT));
    division.grant(false, |row, _| demand(row));
    division.grant(false, |_, granted| u32::from(granted == 0));
    division.grant(true, |_, _| slots);
    division.grant(false, |_, _| slots);
    division.granted
}

/// Slots granted so far, and those left.
struct Division<'a> {
    rows: &'a [&'a DemandRow],
    granted: Vec<u32>,
    left: u32,
}

impl Division<'_> {
    /// Grants the rows of one tier up to their extra demand: by weight among accounts, then evenly
    /// among the gateways of an account.
    fn grant(&mut self, paying: bool, extra_demand: impl Fn(&DemandRow, u32) -> u32) {
        let demands: Vec<_> = self
            .rows
            .iter()
            .zip(&self.granted)
            .map(|(row, &granted)| {
                if row.paying == paying {
                    extra_demand(row, granted)
                } else {
                    0
                }
            })
            .collect();
        let accounts = self.accounts(paying);
        let total = |rows: &Vec<usize>| {
            rows.iter()
                .fold(0, |sum: u32, &i| sum.saturating_add(demands[i]))
        };
        let totals: Vec<_> = accounts.iter().map(total).collect();
        let weights: Vec<_> = accounts
            .iter()
            .map(|rows| self.rows[rows[0]].weight)
            .collect();
        let by_account = max_min::divide(&totals, &weights, self.left);
        for (rows, slots) in accounts.iter().zip(by_account) {
            let demands: Vec<_> = rows.iter().map(|&i| demands[i]).collect();
            let by_gateway = max_min::divide(&demands, &vec![1; demands.len()], slots);
            for (&i, slots) in rows.iter().zip(by_gateway) {
                self.granted[i] += slots;
                self.left -= slots;
            }
        }
    }

    /// Returns the indices of a tier's rows, grouped by account in the order of their names.
    fn accounts(&self, paying: bool) -> Vec<Vec<usize>> {
        let mut tier = indices(self.rows, |row| row.paying == paying);
        tier.sort_by(|&a, &b| self.rows[a].account.cmp(&self.rows[b].account));
        tier.chunk_by(|&a, &b| self.rows[a].account == self.rows[b].account)
            .map(<[usize]>::to_vec)
            .collect()
    }
}

fn indices(rows: &[&DemandRow], keep: impl Fn(&DemandRow) -> bool) -> Vec<usize> {
    (0..rows.len()).filter(|&i| keep(rows[i])).collect()
}

/// Limits the growth of new shares to capacity that no gateway holds any more.
///
/// `held` is what each gateway may still use: the larger of the shares last sent to it and those it
/// last confirmed, also at a silent gateway whose lease is still valid. A share may shrink at once,
/// but it grows only into released capacity, so that gateways with views of different ages never
/// use more than the capacity together.
pub fn limit_growth(
    mut targets: Vec<Allocation>,
    held: &[Allocation],
    capacities: &[Capacity],
) -> Vec<Allocation> {
    let held_by: HashMap<AllocationKey, u32> = held
        .iter()
        .map(|a| (AllocationKey::of(a), a.slots))
        .collect();
    for capacity in capacities {
        let of_service = |a: &&Allocation| a.service == capacity.service;
        let all_held: u32 = held.iter().filter(of_service).map(|a| a.slots).sum();
        let mut released = capacity.slots.saturating_sub(all_held);
        let of_service = |a: &&mut Allocation| a.service == capacity.service;
        for target in targets.iter_mut().filter(of_service) {
            let held_here = held_by
                .get(&AllocationKey::of(target))
                .copied()
                .unwrap_or_default();
            let growth = target.slots.saturating_sub(held_here).min(released);
            target.slots = target.slots.min(held_here) + growth;
            released -= growth;
        }
    }
    targets
}

/// Key of an allocation.
#[derive(PartialEq, Eq, Hash)]
struct AllocationKey<'a> {
    gateway: &'a GatewayName,
    service: &'a ServiceName,
    account: &'a AccountName,
}

impl<'a> AllocationKey<'a> {
    fn of(allocation: &'a Allocation) -> Self {
        Self {
            gateway: &allocation.gateway,
            service: &allocation.service,
            account: &allocation.account,
        }
    }
}
