//! Orders to start instances. An order is committed before it is sent to the cloud, so that a new leader
//! resends it under the same operation id and no instance is started twice.

use std::collections::BTreeMap;

use super::command::{SettleStart, StartOrder};

/// Maximum number of open orders.
const MAX_OPEN_ORDERS: usize = 1024;

/// An open order: its instance is not in the instance list yet.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct StartRecord {
    /// The log index of the order.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The leader's time at the order, in milliseconds since the Unix epoch.
    #[prost(uint64, tag = "2")]
    pub at_unix_ms: u64,
    /// The order.
    #[prost(message, optional, tag = "3")]
    pub order: Option<StartOrder>,
    /// The cloud's name for the instance; empty until the cloud has answered the order.
    #[prost(string, tag = "4")]
    pub instance: String,
}

/// The open orders.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Starts {
    records: BTreeMap<u64, StartRecord>,
}

impl Starts {
    /// Returns the open orders, oldest first.
    pub fn open_orders(&self) -> impl Iterator<Item = &StartRecord> {
        self.records.values()
    }

    /// Opens an order. Returns false if too many orders are open.
    pub fn open_order(&mut self, index: u64, at_unix_ms: u64, order: &StartOrder) -> bool {
        if self.records.len() >= MAX_OPEN_ORDERS {
            return false;
        }
        let record = StartRecord {
            index,
            at_unix_ms,
            order: Some(order.clone()),
            instance: String::new(),
        };
        self.records.insert(index, record);
        true
    }

    /// Records the cloud's answer to an order. The order is closed if the answer has no instance name or the
    /// instance is already listed. Returns whether the order was open.
    pub fn settle(&mut self, settle: &SettleStart, listed: bool) -> bool {
        if listed || settle.instance.is_empty() {
            return self.records.remove(&settle.index).is_some();
        }
        let Some(record) = self.records.get_mut(&settle.index) else {
            return false;
        };
        record.instance.clone_from(&settle.instance);
        true
    }

    /// Closes the order of an instance that has appeared in the instance list.
    pub fn close_listed(&mut self, instance: &str) {
        self.records.retain(|_, record| record.instance != instance);
    }

    /// Builds the orders from a snapshot.
    pub fn from_records(records: Vec<StartRecord>) -> Self {
        let records = records.into_iter().map(|record| (record.index, record));
        Self {
            records: records.collect(),
        }
    }
}
