//! The state and counters of the cloud API.

use std::{
    collections::BTreeMap,
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use crate::{Faults, lagged::Lagged};

/// Parameters of the cloud API.
#[derive(Clone, Debug, clap::Args)]
pub struct CloudParams {
    /// Address to listen on; port zero picks a free port.
    #[arg(long, default_value_t = CloudParams::default().listen)]
    pub listen: SocketAddr,
    /// Age of the instance list, in milliseconds.
    #[arg(long, default_value_t = CloudParams::default().list_lag_ms)]
    pub list_lag_ms: u64,
    /// Time to start an instance, in milliseconds.
    #[arg(long, default_value_t = CloudParams::default().start_ms)]
    pub start_ms: u64,
    /// Refuses all start orders.
    #[arg(long)]
    pub refuse_starts: bool,
    /// Sends no reclaim notices; reclaimed instances only appear as leaving in the lagged list.
    #[arg(long)]
    pub hide_notices: bool,
    /// Injected faults.
    #[command(flatten)]
    pub faults: Faults,
}

impl Default for CloudParams {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            list_lag_ms: 0,
            start_ms: 0,
            refuse_starts: false,
            hide_notices: false,
            faults: Faults::default(),
        }
    }
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The instance's name.
    pub name: String,
    /// Distinguishes successive instances of the same name.
    pub incarnation: u64,
    /// The service it was started for.
    pub service: String,
    /// The availability zone.
    pub zone: String,
    /// The machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub purchase: String,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    #[serde(default = "live")]
    pub state: String,
}

fn live() -> String {
    "live".to_owned()
}

/// An order to start one instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Idempotency key: an order that is sent again starts no second instance.
    pub operation: String,
    /// The service to start it for.
    pub service: String,
    /// The availability zone.
    pub zone: String,
    /// The machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub purchase: String,
    /// The sender's fencing token.
    pub fence: u64,
}

/// Counters of the orders that the cloud API executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudCounts {
    /// Instances started by order.
    pub started: u64,
    /// Starts refused.
    pub refused: u64,
    /// Instances stopped by order.
    pub stopped: u64,
    /// Instances reclaimed.
    pub reclaimed: u64,
    /// Names of the started instances, by operation.
    pub by_operation: BTreeMap<String, String>,
}

/// A reclaim notice.
#[derive(Debug, Serialize)]
pub(crate) struct Notice {
    instance: String,
    incarnation: u64,
    remaining_ms: u64,
}

pub(crate) type StopFn = Box<dyn FnOnce() + Send>;

struct Instance {
    listing: Listing,
    ends_at: Option<Instant>,
    stop: Option<StopFn>,
}

pub(crate) struct State {
    pub(crate) params: CloudParams,
    pub(crate) counts: CloudCounts,
    instances: BTreeMap<String, Instance>,
    list: Lagged<Vec<Listing>>,
    last_incarnation: u64,
}

impl State {
    pub(crate) fn new(params: CloudParams) -> Self {
        Self {
            params,
            counts: CloudCounts::default(),
            instances: BTreeMap::new(),
            list: Lagged::new(Vec::new()),
            last_incarnation: 0,
        }
    }

    pub(crate) fn next_incarnation(&mut self) -> u64 {
        self.last_incarnation += 1;
        self.last_incarnation
    }

    pub(crate) fn listings(&self) -> Vec<Listing> {
        self.instances
            .values()
            .map(|entry| entry.listing.clone())
            .collect()
    }

    pub(crate) fn lagged_listings(&self) -> Vec<Listing> {
        self.list.get(self.list_lag())
    }

    pub(crate) fn insert(&mut self, listing: Listing, stop: Option<StopFn>) {
        self.last_incarnation = self.last_incarnation.max(listing.incarnation);
        let entry = Instance {
            listing,
            ends_at: None,
            stop,
        };
        self.instances.insert(entry.listing.name.clone(), entry);
        self.publish_list();
    }

    /// Marks an instance as leaving and returns its incarnation.
    pub(crate) fn announce_reclaim(&mut self, instance: &str, notice: Duration) -> Option<u64> {
        let entry = self.instances.get_mut(instance)?;
        entry.listing.state = "leaving".to_owned();
        entry.ends_at = Some(Instant::now() + notice);
        let incarnation = entry.listing.incarnation;
        self.counts.reclaimed += 1;
        self.publish_list();
        Some(incarnation)
    }

    /// Removes an instance, unless its incarnation differs, and returns its stop function.
    pub(crate) fn remove(&mut self, instance: &str, incarnation: u64) -> Option<StopFn> {
        let entry = self.instances.get(instance)?;
        if entry.listing.incarnation != incarnation {
            return None;
        }
        let stop = self.instances.remove(instance)?.stop;
        self.publish_list();
        stop
    }

    pub(crate) fn incarnation(&self, instance: &str) -> Option<u64> {
        let entry = self.instances.get(instance)?;
        Some(entry.listing.incarnation)
    }

    pub(crate) fn notices(&self) -> Vec<Notice> {
        if self.params.hide_notices {
            return Vec::new();
        }
        let now = Instant::now();
        self.instances
            .values()
            .filter_map(|entry| {
                let remaining = entry.ends_at?.saturating_duration_since(now);
                Some(Notice {
                    instance: entry.listing.name.clone(),
                    incarnation: entry.listing.incarnation,
                    remaining_ms: remaining.as_millis() as u64,
                })
            })
            .collect()
    }

    fn publish_list(&mut self) {
        let list = self.listings();
        let lag = self.list_lag();
        self.list.set(list, lag);
    }

    fn list_lag(&self) -> Duration {
        Duration::from_millis(self.params.list_lag_ms)
    }
}
