//! Decides how many reclaimable and on-demand instances of each service run in each zone.

use crate::domain::{Instance, Intent, MachineClass, Money, Purchase, ServiceName, ZoneName};

/// Instances of one kind of one service in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Placement {
    /// The service.
    pub service: ServiceName,
    /// The zone.
    pub zone: ZoneName,
    /// The kind of machine.
    pub class: MachineClass,
    /// How they are paid for.
    pub purchase: Purchase,
    /// How many.
    pub count: u32,
    /// Price of all of them, an hour.
    pub per_hour: Money,
}

/// Where instances should run and what it costs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlacementPlan {
    /// The instances wanted; rows with a count of zero are left out.
    pub wanted: Vec<Placement>,
    /// The instances that run, priced the same way.
    pub running: Vec<Placement>,
    /// Services whose target cannot be met, with the reason and the remedy.
    pub shortfalls: Vec<String>,
}

impl PlacementPlan {
    /// Returns the cost an hour of what is wanted.
    pub fn cost_wanted(&self) -> Money {
        self.wanted.iter().map(|p| p.per_hour).sum()
    }

    /// Returns the cost an hour of what runs.
    pub fn cost_running(&self) -> Money {
        self.running.iter().map(|p| p.per_hour).sum()
    }
}

/// Plans the placement for an intent.
pub fn plan(intent: &Intent, instances: &[Instance]) -> PlacementPlan {
    let _ = (intent, instances);
    PlacementPlan::default()
}
