//! Orders to roll a software version out, and how they ended. The last order of each service is kept, since a version
//! that was rolled back stays excluded.

use std::collections::BTreeMap;

use crate::wire::RolloutState;

/// An order of an operator.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StartRollout {
    /// The service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// The software version to which its requests move.
    #[prost(string, tag = "2")]
    pub target: String,
    /// Time in which that must be done, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub duration_ms: u64,
}

/// The end of an order.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct SettleRollout {
    /// The log index of the order.
    #[prost(uint64, tag = "1")]
    pub order: u64,
    /// How it ended.
    #[prost(enumeration = "RolloutState", tag = "2")]
    pub state: i32,
}

/// An order and its end.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RolloutOrder {
    /// The log index of the order.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The order.
    #[prost(message, required, tag = "2")]
    pub order: StartRollout,
    /// When it was given, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "3")]
    pub started_unix_ms: u64,
    /// How far it is.
    #[prost(enumeration = "RolloutState", tag = "4")]
    pub state: i32,
    /// When it ended, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "5")]
    pub ended_unix_ms: u64,
    /// The log index of the last change.
    #[prost(uint64, tag = "6")]
    pub changed_index: u64,
}

/// The last order of each service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rollouts(BTreeMap<String, RolloutOrder>);

impl Rollouts {
    /// Returns the log index of the last change.
    pub fn index(&self) -> u64 {
        let changes = self.0.values().map(|order| order.changed_index);
        changes.max().unwrap_or_default()
    }

    /// Returns the last order of a service.
    pub fn get(&self, service: &str) -> Option<&RolloutOrder> {
        self.0.get(service)
    }

    /// Returns the last order of each service.
    pub fn iter(&self) -> impl Iterator<Item = &RolloutOrder> {
        self.0.values()
    }

    /// Returns whether servers of a version are a service's own: those of a target are beside them until it serves alone.
    pub fn is_in_service(&self, service: &str, software: &str) -> bool {
        self.0.get(service).is_none_or(|held| {
            held.state() == RolloutState::Completed || held.order.target != software
        })
    }

    /// Records an order. Returns whether it is the service's order now: another one that runs stays.
    pub fn start(&mut self, index: u64, unix_ms: u64, order: &StartRollout) -> bool {
        if let Some(held) = self.0.get(&order.service)
            && held.state() == RolloutState::Running
        {
            return held.order == *order;
        }
        let started = RolloutOrder {
            index,
            order: order.clone(),
            started_unix_ms: unix_ms,
            state: RolloutState::Running.into(),
            ended_unix_ms: 0,
            changed_index: index,
        };
        self.0.insert(order.service.clone(), started);
        true
    }

    /// Records the end of an order. Returns whether it was in progress.
    pub fn settle(&mut self, index: u64, unix_ms: u64, settle: &SettleRollout) -> bool {
        let mut held = self.0.values_mut();
        let Some(held) = held.find(|held| held.index == settle.order) else {
            return false;
        };
        if held.state() != RolloutState::Running {
            return false;
        }
        held.state = settle.state;
        held.ended_unix_ms = unix_ms;
        held.changed_index = index;
        true
    }

    /// Returns the orders for a snapshot.
    pub fn records(&self) -> Vec<RolloutOrder> {
        self.0.values().cloned().collect()
    }

    /// Restores the orders of a snapshot.
    pub fn from_records(records: Vec<RolloutOrder>) -> Self {
        let records = records.into_iter();
        Self(
            records
                .map(|record| (record.order.service.clone(), record))
                .collect(),
        )
    }
}
