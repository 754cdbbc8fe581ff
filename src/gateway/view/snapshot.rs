//! A view with the lookup structures for request handling, computed once when the view is
//! published. The counters of accounts and instances are carried over from one snapshot to the
//! next.

use std::{collections::HashMap, sync::Arc};

use subtle::ConstantTimeEq;

use super::{
    account::{AccountEntry, account_entries},
    service::{Member, ServiceEntry, service_entry},
};
use crate::{
    domain::{AccountName, ModelName, ServiceKind, ServiceName, View},
    telemetry::Metrics,
};

/// A published view.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// The view.
    pub(crate) view: View,
    accounts: Vec<Arc<AccountEntry>>,
    models: HashMap<ModelName, Arc<ServiceEntry>>,
    services: HashMap<ServiceName, Arc<ServiceEntry>>,
}

impl Snapshot {
    /// Returns the account with a bearer token's hash. Every account is compared in constant time,
    /// so that the timing reveals nothing about the tokens.
    pub(crate) fn account_by_token_hash(
        &self,
        token_hash: &[u8; 32],
    ) -> Option<&Arc<AccountEntry>> {
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
    pub(crate) fn service_for_model(&self, name: &ModelName) -> Option<&Arc<ServiceEntry>> {
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

    /// Builds the lookup structures of a view and carries over the counters of the earlier
    /// snapshot.
    pub(super) fn build(view: View, before: &Self, metrics: &Metrics) -> Self {
        let accounts = account_entries(&view, &before.accounts, metrics);
        let services: HashMap<_, _> = view
            .intent
            .services
            .iter()
            .map(|service| {
                let old = before.services.get(&service.name);
                let entry = Arc::new(service_entry(service, &view, old));
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
