//! A view with the read structures that the path of a request needs, computed once when the view is
//! published. Counters of accounts and instances live on from one snapshot to the next.

use std::{collections::HashMap, sync::Arc, time::Duration};

use subtle::ConstantTimeEq;

use super::upstream::UpstreamState;
use crate::{
    domain::{
        Account, AccountName, Incarnation, Instance, InstanceName, InstanceState, Intent,
        ModelName, Money, Operation, Priority, Purchase, Service, ServiceKind, ServiceName, Tier,
        View,
    },
    gateway::{
        admission::{AccountUsage, ServiceUsage},
        queue::Queue,
        retries::Retries,
    },
    ports::Target,
    telemetry::{AccountMetrics, Metrics},
};

const SECONDS_PER_HOUR: f64 = 3600.0;

/// A published view.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// The view.
    pub(crate) view: View,
    accounts: Vec<Arc<AccountEntry>>,
    models: HashMap<ModelName, Arc<ServiceEntry>>,
    services: HashMap<ServiceName, Arc<ServiceEntry>>,
}

/// An account that callers may use.
#[derive(Debug)]
pub(crate) struct AccountEntry {
    token_hash: Vec<u8>,
    /// The account's name.
    pub(crate) name: AccountName,
    /// Its tier.
    pub(crate) tier: Tier,
    /// Its metrics.
    pub(crate) metrics: AccountMetrics,
}

impl AccountEntry {
    /// Returns the priority of the account's requests.
    pub(crate) fn priority(&self) -> Priority {
        match self.tier.paying {
            true => Priority::Paying,
            false => Priority::Free,
        }
    }
}

/// A service with its instances.
#[derive(Debug)]
pub(crate) struct ServiceEntry {
    /// The service as declared.
    pub(crate) service: Service,
    /// Its instances.
    pub(crate) members: Vec<Arc<Member>>,
    /// The requests in progress and waiting.
    pub(crate) usage: Arc<ServiceUsage>,
    /// The requests that wait.
    pub(crate) queue: Queue,
    /// The budget of repeated attempts.
    pub(crate) retries: Retries,
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

    /// Returns the cost of using one place of an instance for a while.
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

    /// Returns the declared call that a method and path belong to.
    pub(crate) fn operation(&self, method: &str, path: &str) -> Option<&Operation> {
        let ServiceKind::Plain { operations } = &self.service.kind else {
            return None;
        };
        operations
            .iter()
            .filter(|operation| operation.method == method && continues(&operation.path, path))
            .max_by_key(|operation| operation.path.len())
    }
}

fn continues(declared: &str, path: &str) -> bool {
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
    /// What this gateway knows of it.
    pub(crate) state: Arc<UpstreamState>,
}

impl Member {
    /// Says whether the instance may get new work, by any of the sources.
    pub(crate) fn takes_work(&self) -> bool {
        self.instance.state == InstanceState::Live && !self.state.is_leaving()
    }

    /// Says whether this gateway knows of the leaving and the view does not.
    pub(crate) fn is_news(&self) -> bool {
        self.instance.state == InstanceState::Live && self.state.is_leaving()
    }

    /// Lets requests in progress at the instance know what the view says.
    pub(super) fn note_state(&self) {
        if self.instance.state != InstanceState::Live {
            self.state.mark_leaving();
        }
    }
}

impl Snapshot {
    /// Returns the account of a bearer token's hash. Every account is compared in constant time.
    pub(crate) fn account(&self, token_hash: &[u8; 32]) -> Option<&Arc<AccountEntry>> {
        self.accounts.iter().fold(None, |found, account| {
            let same: bool = account.token_hash.ct_eq(token_hash).into();
            if same { Some(account) } else { found }
        })
    }

    /// Returns an account by its name.
    pub(crate) fn account_named(&self, name: &AccountName) -> Option<&Arc<AccountEntry>> {
        self.accounts.iter().find(|account| account.name == *name)
    }

    /// Returns the service that serves a model.
    pub(crate) fn model(&self, name: &ModelName) -> Option<&Arc<ServiceEntry>> {
        self.models.get(name)
    }

    /// Returns a service by its name.
    pub(crate) fn service(&self, name: &ServiceName) -> Option<&Arc<ServiceEntry>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub(crate) fn services(&self) -> impl Iterator<Item = &Arc<ServiceEntry>> {
        self.services.values()
    }

    /// Returns all instances.
    pub(crate) fn members(&self) -> impl Iterator<Item = &Arc<Member>> {
        self.services.values().flat_map(|service| &service.members)
    }

    /// Builds the read structures of a view, keeping the counters of the one before.
    pub(super) fn build(view: View, before: &Self, metrics: &Metrics) -> Self {
        let accounts = accounts(&view, before, metrics);
        let services: HashMap<_, _> = view
            .intent
            .services
            .iter()
            .map(|service| {
                let entry = Arc::new(service_entry(service, &view, before));
                (service.name.clone(), entry)
            })
            .collect();
        let models = services
            .values()
            .flat_map(|entry| models_of(entry).map(|model| (model, Arc::clone(entry))))
            .collect();
        Self {
            view,
            accounts,
            models,
            services,
        }
    }
}

fn models_of(entry: &ServiceEntry) -> impl Iterator<Item = ModelName> {
    let models: &[ModelName] = match &entry.service.kind {
        ServiceKind::Engines { models, .. } => models,
        ServiceKind::Plain { .. } => &[],
    };
    models.iter().cloned()
}

fn accounts(view: &View, before: &Snapshot, metrics: &Metrics) -> Vec<Arc<AccountEntry>> {
    view.intent
        .accounts
        .iter()
        .filter_map(|account| account_entry(account, view, before, metrics))
        .collect()
}

fn account_entry(
    account: &Account,
    view: &View,
    before: &Snapshot,
    metrics: &Metrics,
) -> Option<Arc<AccountEntry>> {
    let tier = view
        .intent
        .tiers
        .iter()
        .find(|tier| tier.name == account.tier)?;
    let token_hash = decode_hex(&account.token_sha256)?;
    let old = before.accounts.iter().find(|old| old.name == account.name);
    let metrics = match old {
        Some(old) if old.tier.name == tier.name => old.metrics.clone(),
        _ => metrics.account(&account.name, &tier.name),
    };
    Some(Arc::new(AccountEntry {
        token_hash,
        name: account.name.clone(),
        tier: tier.clone(),
        metrics,
    }))
}

/// Reads hexadecimal digits; nothing for other text.
pub(crate) fn decode_hex(text: &str) -> Option<Vec<u8>> {
    if !text.len().is_multiple_of(2) || !text.is_ascii() {
        return None;
    }
    (0..text.len())
        .step_by(2)
        .map(|at| u8::from_str_radix(&text[at..at + 2], 16).ok())
        .collect()
}

fn service_entry(service: &Service, view: &View, before: &Snapshot) -> ServiceEntry {
    let old = before.services.get(&service.name);
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
    let retries = old.map_or_else(Retries::start, |old| old.retries.clone());
    ServiceEntry {
        service: service.clone(),
        members,
        usage,
        queue,
        retries,
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
    let known = old.and_then(|old| find(&old.members, &instance.name, instance.incarnation));
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

fn find<'a>(
    members: &'a [Arc<Member>],
    name: &InstanceName,
    incarnation: Incarnation,
) -> Option<&'a Arc<Member>> {
    members
        .iter()
        .find(|m| m.instance.name == *name && m.instance.incarnation == incarnation)
}
