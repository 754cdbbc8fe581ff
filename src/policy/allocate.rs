//! Divides the capacity of each service among gateways and accounts.

use crate::domain::{AccountName, GatewayName, ServiceName};

/// What one account asks of one service at one gateway.
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
    /// Requests waiting or refused for lack of a share.
    pub waiting: u32,
}

/// The capacity of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// The service.
    pub service: ServiceName,
    /// Requests at once over all its live instances.
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
    /// Requests at once.
    pub slots: u32,
}

/// Divides every service's capacity; the sum for a service never exceeds its slots. There is one row
/// for each gateway, service and account that may use the service, also without demand.
pub fn shares(rows: &[DemandRow], capacities: &[Capacity]) -> Vec<Allocation> {
    capacities
        .iter()
        .flat_map(|capacity| {
            let rows: Vec<_> = rows
                .iter()
                .filter(|row| row.service == capacity.service)
                .collect();
            let each = capacity.slots / (rows.len().max(1) as u32);
            rows.into_iter().map(move |row| Allocation {
                gateway: row.gateway.clone(),
                service: row.service.clone(),
                account: row.account.clone(),
                slots: each,
            })
        })
        .collect()
}
