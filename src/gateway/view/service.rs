//! Services and their instances in the form that request handling reads.

use std::{collections::HashMap, sync::Arc, time::Duration};

use super::upstream::UpstreamState;
use crate::{
    domain::{
        AccountName, Incarnation, Instance, InstanceName, InstanceState, Intent, Money, Operation,
        Purchase, Service, ServiceKind, View,
    },
    gateway::{
        admission::{AccountUsage, ServiceUsage},
        queue::Queue,
        retry_budget::RetryBudgetHandle,
    },
    ports::Target,
};

const SECONDS_PER_HOUR: f64 = 3600.0;

/// A service with its instances and counters.
#[derive(Debug)]
pub(crate) struct ServiceEntry {
    /// The service as declared.
    pub(crate) service: Service,
    /// Its instances.
    pub(crate) members: Vec<Arc<Member>>,
    /// Counters of its requests in progress and waiting.
    pub(crate) usage: Arc<ServiceUsage>,
    /// Its queue of waiting requests.
    pub(crate) queue: Queue,
    /// Its retry budget.
    pub(crate) retry_budget: RetryBudgetHandle,
    accounts: HashMap<AccountName, Arc<AccountUsage>>,
}

impl ServiceEntry {
    /// Returns the account's counters for this service.
    pub(crate) fn account(&self, account: &AccountName) -> Option<&Arc<AccountUsage>> {
        self.accounts.get(account)
    }

    /// Returns the counters of all accounts.
    pub(crate) fn accounts(&self) -> impl Iterator<Item = (&AccountName, &Arc<AccountUsage>)> {
        self.accounts.iter()
    }

    /// Returns the cost of using one slot of an instance for a duration; zero if no price is
    /// declared.
    pub(crate) fn cost(&self, instance: &Instance, taken: Duration, intent: &Intent) -> Money {
        let price = intent
            .prices
            .iter()
            .find(|price| price.zone == instance.zone && price.class == instance.class);
        let per_hour = price.map_or(Money::default(), |price| match instance.purchase {
            Purchase::Reclaimable => price.reclaimable_micros_per_hour,
            Purchase::OnDemand => price.on_demand_micros_per_hour,
        });
        let slots = f64::from(self.service.slots_per_instance.max(1));
        let hours = taken.as_secs_f64() / SECONDS_PER_HOUR;
        Money((per_hour.0 as f64 * hours / slots).round() as i64)
    }

    /// Returns the declared operation with the longest path prefix that matches a method and path.
    pub(crate) fn operation(&self, method: &str, path: &str) -> Option<&Operation> {
        let ServiceKind::Plain { operations } = &self.service.kind else {
            return None;
        };
        operations
            .iter()
            .filter(|operation| operation.method == method && is_path_under(&operation.path, path))
            .max_by_key(|operation| operation.path.len())
    }
}

fn is_path_under(declared: &str, path: &str) -> bool {
    let declared = declared.trim_end_matches('/');
    path.strip_prefix(declared)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// An instance of a service.
#[derive(Debug)]
pub(crate) struct Member {
    /// The instance as the view shows it.
    pub(crate) instance: Arc<Instance>,
    /// Where to send requests.
    pub(crate) target: Target,
    /// This gateway's counters and reports for it.
    pub(crate) state: Arc<UpstreamState>,
}

impl Member {
    /// Returns whether the instance accepts new work, according to both the view and this gateway's
    /// own state.
    pub(crate) fn accepts_work(&self) -> bool {
        self.instance.state == InstanceState::Live && !self.state.is_leaving()
    }

    /// Returns whether this gateway knows that the instance is leaving while the view still shows
    /// it as live.
    pub(crate) fn is_leaving_unreported(&self) -> bool {
        self.instance.state == InstanceState::Live && self.state.is_leaving()
    }

    /// Marks the instance as leaving if the view says so, which notifies the requests in progress
    /// at it.
    pub(super) fn propagate_leaving(&self) {
        if self.instance.state != InstanceState::Live {
            self.state.mark_leaving();
        }
    }
}

/// Builds a service of a view and keeps the counters of the earlier entry.
pub(super) fn service_entry(
    service: &Service,
    view: &View,
    old: Option<&Arc<ServiceEntry>>,
) -> ServiceEntry {
    let members = view
        .instances
        .iter()
        .filter(|instance| instance.service == service.name)
        .map(|instance| Arc::new(member(instance, old)))
        .collect();
    let accounts: HashMap<_, _> = view
        .intent
        .accounts
        .iter()
        .map(|account| {
            let usage = account_usage(service, &account.name, view, old);
            (account.name.clone(), usage)
        })
        .collect();
    let usage = old.map_or_else(Arc::default, |old| Arc::clone(&old.usage));
    usage.set_capacity(capacity(service, view));
    let queue = old.map_or_else(|| Queue::start(&usage), |old| old.queue.clone());
    let retry_budget = old.map_or_else(RetryBudgetHandle::start, |old| old.retry_budget.clone());
    ServiceEntry {
        service: service.clone(),
        members,
        usage,
        queue,
        retry_budget,
        accounts,
    }
}

fn account_usage(
    service: &Service,
    account: &AccountName,
    view: &View,
    old: Option<&Arc<ServiceEntry>>,
) -> Arc<AccountUsage> {
    let known = old.and_then(|old| old.account(account));
    let usage = known.map_or_else(Arc::default, Arc::clone);
    let share = view
        .shares
        .iter()
        .find(|share| share.service == service.name && share.account == *account);
    usage.set_share(share.map(|share| share.slots));
    usage
}

fn capacity(service: &Service, view: &View) -> u32 {
    view.shares
        .iter()
        .filter(|share| share.service == service.name)
        .map(|share| share.slots)
        .sum()
}

fn member(instance: &Arc<Instance>, old: Option<&Arc<ServiceEntry>>) -> Member {
    let known = old.and_then(|old| find_member(&old.members, &instance.name, instance.incarnation));
    let state = known.map_or_else(Arc::default, |known| Arc::clone(&known.state));
    let target = Target {
        instance: instance.name.clone(),
        incarnation: instance.incarnation,
        address: instance.address,
    };
    Member {
        instance: Arc::clone(instance),
        target,
        state,
    }
}

fn find_member<'a>(
    members: &'a [Arc<Member>],
    name: &InstanceName,
    incarnation: Incarnation,
) -> Option<&'a Arc<Member>> {
    members
        .iter()
        .find(|m| m.instance.name == *name && m.instance.incarnation == incarnation)
}
