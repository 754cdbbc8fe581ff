//! Routes by host and path prefix: which service answers a request, and whether the request may be
//! repeated. A table is published as a whole; the one with the highest version is in force.

use std::{
    collections::{BTreeSet, HashMap, HashSet},
    sync::Arc,
    time::Duration,
};

use super::{AccountName, ServiceName, ZoneName};

/// Whether a request may run more than once, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestClass {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// Answered by a stream of events; runs at most once.
    Stream,
    /// Answered by a stream of events; may be resumed at another upstream.
    ResumableStream,
}

impl RequestClass {
    /// Returns whether a request may be sent to a second upstream after the first may have run it.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host, in lower case and without a port.
    pub host: Arc<str>,
    /// The path prefix, which begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether its requests may be repeated.
    pub class: RequestClass,
    /// Timeout for a complete answer.
    pub timeout: Duration,
    /// Latency target for the first byte of the answer.
    pub target: Duration,
    /// Target for the longest pause between two events of a stream.
    pub gap: Duration,
    /// Priority relative to other routes; zero is the most urgent.
    pub priority: u8,
    /// The services that answer, with their weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Most attempts per request, each at another upstream.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

/// A service that routes refer to.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutedService {
    /// Its name.
    pub name: ServiceName,
    /// Path of its health check.
    pub health_path: Arc<str>,
    /// Connections that one upstream accepts from all gateways together.
    pub max_connections: u32,
    /// Properties of its model engines, if its upstreams are engines.
    pub engine: Option<EngineSpec>,
    /// Bounds and prices for ordering upstreams, if the system may order them.
    pub scaling: Option<ScalingSpec>,
}

/// Properties of the model engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that one engine runs concurrently.
    pub slots: u32,
    /// Tokens that the KV cache of one engine holds.
    pub kv_cache_tokens: u64,
}

/// Bounds and prices for ordering a service's upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ScalingSpec {
    /// Fewest upstreams in one zone.
    pub min: u32,
    /// Most upstreams in one zone.
    pub max: u32,
    /// Time from an order until the upstream serves.
    pub boot: Duration,
    /// Price of a reclaimable upstream as a fraction of an on-demand one's, if there are any.
    pub reclaimable_price_ratio: Option<f64>,
    /// Price of one on-demand upstream per second, by zone.
    pub zone_prices: Vec<(ZoneName, f64)>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest request head, in bytes.
    pub head_bytes: usize,
    /// Largest request body, in bytes.
    pub body_bytes: usize,
    /// Timeout for the arrival of a request head.
    pub head_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A client account with its API keys.
#[derive(Clone, Debug, PartialEq)]
pub struct KeyedAccount {
    /// Its name.
    pub name: AccountName,
    /// The keys that its callers send.
    pub keys: Vec<Arc<str>>,
    /// Priority that takes precedence over the route's, if set.
    pub priority: Option<u8>,
    /// Its quota, if it has one.
    pub quota: Option<Quota>,
}

/// Quota of an account, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// Units gained per second.
    pub per_second: f64,
    /// Most units that can be saved up for a burst.
    pub burst: f64,
    /// What it counts.
    pub unit: QuotaUnit,
}

/// What a quota counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QuotaUnit {
    /// Each request is one unit.
    Requests,
    /// A request counts as many units as it has tokens.
    Tokens {
        /// Units of a request that does not state its number of tokens.
        plain: f64,
    },
}

/// A published table of routes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RouteTable {
    /// Its version; the highest is in force.
    pub version: u64,
    /// The routes.
    pub routes: Vec<Route>,
    /// The services that they refer to.
    pub services: Vec<RoutedService>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// The client accounts; if there is none, requests need no key.
    pub accounts: Vec<KeyedAccount>,
}

/// Why a table cannot take effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTable {
    /// A document that is not a table.
    #[error("the document cannot be read: {0}; correct it and publish it again")]
    Unreadable(String),
    /// A route refers to a service that the table does not contain.
    #[error("route {route} names the unknown service {service}; add the service or correct it")]
    UnknownService {
        /// The route.
        route: Arc<str>,
        /// The service.
        service: ServiceName,
    },
    /// Two routes match the same requests.
    #[error("two routes have host {host} and prefix {prefix}; remove one of them")]
    DuplicateRoute {
        /// The host.
        host: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// The weights of a route add up to zero.
    #[error("the weights of route {0} add up to zero; give one service a weight")]
    ZeroWeights(Arc<str>),
    /// The timeout of a route is zero.
    #[error("route {0} has a timeout of zero; give it at least a millisecond")]
    ZeroTimeout(Arc<str>),
    /// Two accounts have the same API key.
    #[error("accounts {0} and {1} share a key; give each its own")]
    SharedKey(AccountName, AccountName),
}

impl RouteTable {
    /// Returns the first reason why this table cannot take effect, if any.
    pub fn check(&self) -> Result<(), InvalidTable> {
        let known: HashSet<&ServiceName> = self.services.iter().map(|s| &s.name).collect();
        let mut by_host = HashSet::new();
        for route in &self.routes {
            let unknown = route
                .services
                .iter()
                .find(|(name, _)| !known.contains(name));
            if let Some((service, _)) = unknown {
                return Err(InvalidTable::UnknownService {
                    route: Arc::clone(&route.name),
                    service: service.clone(),
                });
            }
            if route.services.iter().all(|(_, weight)| *weight == 0) {
                return Err(InvalidTable::ZeroWeights(Arc::clone(&route.name)));
            }
            if route.timeout.is_zero() {
                return Err(InvalidTable::ZeroTimeout(Arc::clone(&route.name)));
            }
            if !by_host.insert((&route.host, &route.prefix)) {
                return Err(InvalidTable::DuplicateRoute {
                    host: Arc::clone(&route.host),
                    prefix: Arc::clone(&route.prefix),
                });
            }
        }
        self.check_keys()
    }

    fn check_keys(&self) -> Result<(), InvalidTable> {
        let mut owners: HashMap<&str, &AccountName> = HashMap::new();
        for account in &self.accounts {
            for key in &account.keys {
                let before = owners.insert(key, &account.name);
                if let Some(other) = before.filter(|other| **other != account.name) {
                    return Err(InvalidTable::SharedKey(other.clone(), account.name.clone()));
                }
            }
        }
        Ok(())
    }
}

/// A route table with indexes by host, prefix and key.
#[derive(Debug, Default)]
pub struct RouteIndex {
    /// The table.
    pub table: RouteTable,
    /// Indices of routes by host, then by prefix.
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    /// Indices of accounts by key.
    keys: HashMap<Arc<str>, usize>,
}

impl RouteIndex {
    /// Builds the indexes of a table that passed [`RouteTable::check`].
    pub fn new(table: RouteTable) -> Self {
        let mut by_host: HashMap<_, HashMap<_, _>> = HashMap::new();
        for (i, route) in table.routes.iter().enumerate() {
            let host = by_host.entry(Arc::clone(&route.host)).or_default();
            host.insert(Arc::clone(&route.prefix), i);
        }
        let keys = table
            .accounts
            .iter()
            .enumerate()
            .flat_map(|(i, account)| account.keys.iter().map(move |key| (Arc::clone(key), i)))
            .collect();
        Self {
            table,
            by_host,
            keys,
        }
    }

    /// Returns the route of a host with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let mut rest = path;
        loop {
            let end = rest.rfind('/')?;
            if let Some(i) = prefixes.get(&rest[..=end]) {
                return self.table.routes.get(*i);
            }
            rest = &rest[..end];
        }
    }

    /// Returns a request's urgency rank within a service, from zero for the most urgent requests to
    /// one for the least. An account's priority takes precedence over its route's.
    pub fn urgency(
        &self,
        service: &ServiceName,
        route: &Route,
        account: Option<&AccountName>,
    ) -> f64 {
        let own = account.and_then(|name| {
            let account = self.table.accounts.iter().find(|held| held.name == *name);
            account.and_then(|account| account.priority)
        });
        let priorities: BTreeSet<Option<u8>> = self
            .table
            .accounts
            .iter()
            .map(|account| account.priority)
            .collect();
        let routes: BTreeSet<u8> = self
            .table
            .routes
            .iter()
            .filter(|route| route.services.iter().any(|(name, _)| name == service))
            .map(|route| route.priority)
            .collect();
        let of_account = priorities.range(..own).count();
        let of_route = routes.range(..route.priority).count();
        let by_host = priorities.len().max(1) * routes.len().max(1);
        let place = of_account * routes.len().max(1) + of_route;
        match by_host {
            1 => 1.0,
            _ => place as f64 / (by_host - 1) as f64,
        }
    }

    /// Returns the account that has a key.
    pub fn account(&self, key: &str) -> Option<&KeyedAccount> {
        self.table.accounts.get(*self.keys.get(key)?)
    }
}

impl Route {
    /// Returns a service chosen by weight, for a random number uniform between zero and one.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u64 = self
            .services
            .iter()
            .map(|(_, weight)| u64::from(*weight))
            .sum();
        let mut left = (draw.clamp(0.0, 1.0) * total as f64) as u64;
        for (service, weight) in &self.services {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(service);
            }
            left -= weight;
        }
        self.services
            .iter()
            .rfind(|(_, weight)| *weight > 0)
            .map(|(service, _)| service)
    }
}
