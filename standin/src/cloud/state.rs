//! What the cloud API knows and counts.

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
    /// Where to listen; port zero takes a free one.
    #[arg(long, default_value_t = CloudParams::default().listen)]
    pub listen: SocketAddr,
    /// Age of the instance list, in milliseconds.
    #[arg(long, default_value_t = CloudParams::default().list_lag_ms)]
    pub list_lag_ms: u64,
    /// Milliseconds that an instance takes to start.
    #[arg(long, default_value_t = CloudParams::default().start_ms)]
    pub start_ms: u64,
    /// Refuses all starts.
    #[arg(long)]
    pub refuse_starts: bool,
    /// Gives no reclaim notices; instances only show up as leaving, late, in the list.
    #[arg(long)]
    pub hide_notices: bool,
    /// What it does wrong.
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

/// One row of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The instance's name.
    pub name: String,
    /// Distinguishes a replacement of the same name.
    pub incarnation: u64,
    /// The label given at the start.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Its machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub purchase: String,
    /// Where it accepts connections.
    pub address: SocketAddr,
    /// `live` or `leaving`.
    #[serde(default = "live")]
    pub state: String,
}

fn live() -> String {
    "live".to_owned()
}

/// An order for one more instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Makes a resent order harmless.
    pub operation: String,
    /// The label.
    pub service: String,
    /// The availability zone.
    pub zone: String,
    /// The machine class.
    pub class: String,
    /// `reclaimable` or `on_demand`.
    pub purchase: String,
    /// The fencing number of the sender.
    pub fence: u64,
}

/// What was ordered.
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
    /// The instance that each start order made, by operation.
    pub by_operation: BTreeMap<String, String>,
}

/// A reclaim notice.
#[derive(Debug, Serialize)]
pub(crate) struct Notice {
    instance: String,
    incarnation: u64,
    remaining_ms: u64,
}

pub(crate) type Stop = Box<dyn FnOnce() + Send>;

struct Machine {
    listing: Listing,
    ends: Option<Instant>,
    stop: Option<Stop>,
}

pub(crate) struct State {
    pub(crate) params: CloudParams,
    pub(crate) counts: CloudCounts,
    machines: BTreeMap<String, Machine>,
    list: Lagged<Vec<Listing>>,
    last_incarnation: u64,
}

impl State {
    pub(crate) fn new(params: CloudParams) -> Self {
        Self {
            params,
            counts: CloudCounts::default(),
            machines: BTreeMap::new(),
            list: Lagged::new(Vec::new()),
            last_incarnation: 0,
        }
    }

    pub(crate) fn next_incarnation(&mut self) -> u64 {
        self.last_incarnation += 1;
        self.last_incarnation
    }

    pub(crate) fn listings(&self) -> Vec<Listing> {
        self.machines
            .values()
            .map(|machine| machine.listing.clone())
            .collect()
    }

    pub(crate) fn listed(&self) -> Vec<Listing> {
        self.list.get(self.list_lag())
    }

    pub(crate) fn insert(&mut self, listing: Listing, stop: Option<Stop>) {
        self.last_incarnation = self.last_incarnation.max(listing.incarnation);
        let machine = Machine {
            listing,
            ends: None,
            stop,
        };
        self.machines.insert(machine.listing.name.clone(), machine);
        self.publish();
    }

    /// Marks an instance as leaving and returns its incarnation.
    pub(crate) fn announce(&mut self, instance: &str, notice: Duration) -> Option<u64> {
        let machine = self.machines.get_mut(instance)?;
        machine.listing.state = "leaving".to_owned();
        machine.ends = Some(Instant::now() + notice);
        let incarnation = machine.listing.incarnation;
        self.counts.reclaimed += 1;
        self.publish();
        Some(incarnation)
    }

    /// Takes an instance off the list and returns how to end it.
    pub(crate) fn remove(&mut self, instance: &str, incarnation: u64) -> Option<Stop> {
        let machine = self.machines.get(instance)?;
        if machine.listing.incarnation != incarnation {
            return None;
        }
        let stop = self.machines.remove(instance)?.stop;
        self.publish();
        stop
    }

    pub(crate) fn incarnation(&self, instance: &str) -> Option<u64> {
        let machine = self.machines.get(instance)?;
        Some(machine.listing.incarnation)
    }

    pub(crate) fn notices(&self) -> Vec<Notice> {
        if self.params.hide_notices {
            return Vec::new();
        }
        let now = Instant::now();
        self.machines
            .values()
            .filter_map(|machine| {
                let remaining = machine.ends?.saturating_duration_since(now);
                Some(Notice {
                    instance: machine.listing.name.clone(),
                    incarnation: machine.listing.incarnation,
                    remaining_ms: remaining.as_millis() as u64,
                })
            })
            .collect()
    }

    fn publish(&mut self) {
        let list = self.listings();
        let lag = self.list_lag();
        self.list.set(list, lag);
    }

    fn list_lag(&self) -> Duration {
        Duration::from_millis(self.params.list_lag_ms)
    }
}
