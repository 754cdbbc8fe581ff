//! Reduces the placement of all services until it fits the operator's limits.

use crate::domain::{ChangeLimits, Money};

use super::{
    place::{Need, Placement},
    spread::{self, ZoneCount},
};

/// Coverage is compared in thousandths of the load.
const COVERAGE_UNIT: u64 = 1000;

/// What a service's placement survives, from the most to the least.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Goal {
    /// The loss of any zone, and simultaneous reclaims in several zones for all but a small part of
    /// the time.
    Safe,
    /// The loss of any zone.
    ZoneLoss,
    /// Not the loss of any zone: this many instances fewer than that needs.
    Fewer(u32),
}

/// A service's placement while it is reduced to fit.
struct Choice<'a> {
    need: &'a Need<'a>,
    goal: Goal,
    counts: Vec<ZoneCount>,
}

/// Returns the placements that fit the limits, and a message for each service that gets less than
/// it needs.
pub(super) fn within_limits(
    needs: &[Need],
    limits: &ChangeLimits,
) -> (Vec<Placement>, Vec<String>) {
    let mut choices: Vec<_> = needs.iter().map(Choice::best).collect();
    let wanted = Total::of(&choices);
    while !Total::of(&choices).fits(limits) {
        let Some(choice) = next_to_reduce(&mut choices) else {
            break;
        };
        choice.reduce();
    }
    let shortfalls = choices
        .iter()
        .flat_map(|choice| choice.shortfall(wanted))
        .collect();
    let placements = choices.iter().flat_map(Choice::placements).collect();
    (placements, shortfalls)
}

/// Returns the service that survives the most and, among those, has the highest coverage of its
/// load.
fn next_to_reduce<'a, 'b>(choices: &'b mut [Choice<'a>]) -> Option<&'b mut Choice<'a>> {
    choices
        .iter_mut()
        .filter(|choice| choice.running() > 0)
        .max_by_key(|choice| {
            let need = u64::from(choice.need.instances.max(1));
            let coverage = u64::from(choice.running()) * COVERAGE_UNIT / need;
            (choice.goal == Goal::Safe, coverage)
        })
}

/// Instances and cost of all services.
#[derive(Clone, Copy)]
struct Total {
    instances: u32,
    per_hour: Money,
}

impl Total {
    fn of(choices: &[Choice]) -> Self {
        Self {
            instances: choices.iter().map(Choice::running).sum(),
            per_hour: choices
                .iter()
                .flat_map(Choice::placements)
                .map(|p| p.per_hour)
                .sum(),
        }
    }

    fn fits(self, limits: &ChangeLimits) -> bool {
        self.instances <= limits.max_instances && self.per_hour <= limits.max_micros_per_hour
    }
}

impl<'a> Choice<'a> {
    fn best(need: &'a Need<'a>) -> Self {
        let mut choice = Self {
            need,
            goal: Goal::Safe,
            counts: Vec::new(),
        };
        choice.place();
        choice
    }

    fn reduce(&mut self) {
        self.goal = match self.goal {
            Goal::Safe => Goal::ZoneLoss,
            Goal::ZoneLoss => Goal::Fewer(1),
            Goal::Fewer(count) => Goal::Fewer(count + 1),
        };
        self.place();
    }

    fn place(&mut self) {
        let (offers, need) = (&self.need.offers, self.need.instances);
        let safe = || {
            spread::zone_safe(offers, need)
                .unwrap_or_else(|| spread::widest_affordable(offers, need))
        };
        self.counts = match self.goal {
            Goal::Safe => spread::harden(offers, safe(), need),
            Goal::ZoneLoss => safe(),
            Goal::Fewer(count) => {
                let all = spread::total(&safe());
                spread::even(offers, all.saturating_sub(count))
            }
        };
    }

    fn running(&self) -> u32 {
        spread::total(&self.counts)
    }

    fn placements(&self) -> Vec<Placement> {
        self.need.placements(&self.counts)
    }

    /// Describes what the placement does not survive, why, and what the operator can do.
    fn shortfall(&self, wanted: Total) -> Option<String> {
        let name = &self.need.service.name;
        let (slots, load) = (
            self.need.service.slots_per_instance,
            self.need.service.expected_concurrency,
        );
        let running = self.running();
        let lost = self.counts.iter().map(|c| c.total()).max().unwrap_or(0);
        let (all, left) = (running * slots, (running - lost) * slots);
        let remedy = self.remedy(wanted);
        if all < load {
            return Some(format!(
                "service {name}: {running} instances carry {all} of {load} requests at once; {remedy}"
            ));
        }
        if left < load {
            return Some(format!(
                "service {name}: after the loss of a zone, {left} of {load} requests at once fit; \
                 {remedy}"
            ));
        }
        let overload_fraction =
            spread::overload_fraction(&self.need.offers, &self.counts, self.need.instances);
        (overload_fraction > spread::MAX_OVERLOAD_FRACTION).then(|| {
            let percent = overload_fraction * 100.0;
            format!(
                "service {name}: reclaims in several zones leave too few instances for \
                 {percent:.1}% of the time; {remedy}"
            )
        })
    }

    fn remedy(&self, wanted: Total) -> String {
        let class = &self.need.service.class.0;
        if self.goal != Goal::Safe {
            return format!(
                "raise limits.max_instances to {} and limits.max_micros_per_hour to {}",
                wanted.instances, wanted.per_hour.0
            );
        }
        match self.need.prices.len() {
            0 => format!("add a price of class {class} for each of its zones"),
            1 => format!("add a second zone with a price of class {class}"),
            _ => format!("starts of class {class} are refused: add a zone or change the class"),
        }
    }
}
