//! The stand-ins of an installation on loopback.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use futures_util::FutureExt;
use standin::{
    Faults,
    cloud::{Cloud, Listing},
    engine::{Engine, EngineParams},
    service::ServiceParams,
};

use super::shape::{CLASS, Shape, zone};

/// The running stand-ins: upstreams and the cloud.
pub struct Upstreams {
    /// The cloud API.
    pub cloud: Cloud,
    /// The initial engines.
    pub engines: Vec<Arc<Engine>>,
    /// The initial plain servers.
    pub services: Vec<Arc<standin::service::Service>>,
    launched: Arc<LaunchedServers>,
}

/// The servers that the cloud started by order.
#[derive(Default)]
struct LaunchedServers {
    engines: Mutex<Vec<Arc<Engine>>>,
    services: Mutex<Vec<Arc<standin::service::Service>>>,
}

impl Upstreams {
    /// Returns the number of executions of each idempotency key, over all plain servers.
    pub fn executions(&self) -> BTreeMap<String, u32> {
        let launched = lock(&self.launched.services);
        let mut by_key = BTreeMap::new();
        for service in self.services.iter().chain(launched.iter()) {
            for (key, count) in service.counts().by_key {
                *by_key.entry(key).or_insert(0) += count;
            }
        }
        by_key
    }

    /// Returns the number of generations started, over all engines.
    pub fn generations(&self) -> u64 {
        let launched = lock(&self.launched.engines);
        let engines = self.engines.iter().chain(launched.iter());
        engines.map(|engine| engine.counts().started).sum()
    }

    /// Sets the faults of all plain servers.
    pub fn set_service_faults(&self, faults: &Faults) {
        let launched = lock(&self.launched.services);
        for service in self.services.iter().chain(launched.iter()) {
            service.set_faults(*faults);
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Starts the stand-ins. The cloud starts more engines and plain servers when ordered to.
pub async fn start_upstreams(shape: &Shape) -> anyhow::Result<Upstreams> {
    let launched = Arc::new(LaunchedServers::default());
    let launch = {
        let params = shape.engine.clone();
        let launched = Arc::clone(&launched);
        Arc::new(move |order| launch_server(order, params.clone(), Arc::clone(&launched)).boxed())
    };
    let cloud = standin::cloud::start(shape.cloud.clone(), launch).await?;
    let mut engines = Vec::new();
    for i in 0..shape.engines {
        let engine = Arc::new(standin::engine::start(shape.engine.clone()).await?);
        let stop = Arc::clone(&engine);
        cloud.register(
            listing("engine", "assistant", i, engine.address()),
            move || stop.stop(),
        );
        engines.push(engine);
    }
    let mut services = Vec::new();
    for i in 0..shape.services {
        let service = Arc::new(standin::service::start(ServiceParams::default()).await?);
        let stop = Arc::clone(&service);
        cloud.register(listing("depot", "depot", i, service.address()), move || {
            stop.stop();
        });
        services.push(service);
    }
    Ok(Upstreams {
        cloud,
        engines,
        services,
        launched,
    })
}

async fn launch_server(
    order: standin::cloud::StartOrder,
    params: EngineParams,
    launched: Arc<LaunchedServers>,
) -> anyhow::Result<standin::cloud::StartedInstance> {
    if order.service == "assistant" {
        let engine = Arc::new(standin::engine::start(params).await?);
        lock(&launched.engines).push(Arc::clone(&engine));
        return Ok(standin::cloud::StartedInstance {
            address: engine.address(),
            stop: Box::new(move || engine.stop()),
        });
    }
    let service = Arc::new(standin::service::start(ServiceParams::default()).await?);
    lock(&launched.services).push(Arc::clone(&service));
    Ok(standin::cloud::StartedInstance {
        address: service.address(),
        stop: Box::new(move || service.stop()),
    })
}

fn listing(prefix: &str, service: &str, i: u8, address: SocketAddr) -> Listing {
    Listing {
        name: format!("{prefix}-{i}"),
        incarnation: 1,
        service: service.to_owned(),
        zone: zone(i).to_string(),
        class: CLASS.to_owned(),
        purchase: "reclaimable".to_owned(),
        address,
        state: "live".to_owned(),
    }
}
