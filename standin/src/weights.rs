//! The rate-limited store of model weights.

use std::{
    collections::HashMap,
    future::pending,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde_json::json;

use crate::{
    Faults,
    http::{Reply, Server, apply, error, json, sleep_ms},
};

/// Parameters of the weight store.
#[derive(Clone, Debug, clap::Args)]
pub struct WeightParams {
    /// Where to listen; port zero takes a free one.
    #[arg(long, default_value_t = WeightParams::default().listen)]
    pub listen: SocketAddr,
    /// Mebibytes a second for all fetches together.
    #[arg(long, default_value_t = WeightParams::default().mib_per_second)]
    pub mib_per_second: u64,
    /// Size of each model, in mebibytes.
    #[arg(long, default_value_t = WeightParams::default().model_mib)]
    pub model_mib: u64,
    /// Fetches in progress from which on more are refused.
    #[arg(long, default_value_t = WeightParams::default().max_fetches)]
    pub max_fetches: usize,
    /// What it does wrong.
    #[command(flatten)]
    pub faults: Faults,
}

impl Default for WeightParams {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            mib_per_second: 1024,
            model_mib: 16384,
            max_fetches: 4,
            faults: Faults::default(),
        }
    }
}

/// A running weight store.
#[derive(Debug)]
pub struct Weights {
    server: Server,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    params: WeightParams,
    /// When each fetch in progress ends; they share the rate one after the other.
    fetches: Vec<Instant>,
    fetched: HashMap<String, u64>,
}

/// Starts a weight store.
pub async fn start(params: WeightParams) -> anyhow::Result<Weights> {
    let listen = params.listen;
    let state = Arc::new(Mutex::new(State {
        params,
        fetches: Vec::new(),
        fetched: HashMap::new(),
    }));
    let shared = Arc::clone(&state);
    let server = Server::start(listen, move |req| answer(Arc::clone(&shared), req)).await?;
    Ok(Weights { server, state })
}

impl Weights {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns how often a model's version was fetched.
    pub fn fetched(&self, model: &str, version: &str) -> u64 {
        let key = format!("{model}/{version}");
        lock(&self.state).fetched.get(&key).copied().unwrap_or(0)
    }

    /// Changes what it does wrong, for requests that arrive from now on.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).params.faults = faults;
    }

    /// Ends it at once.
    pub fn stop(&self) {
        self.server.stop();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(state: Arc<Mutex<State>>, req: Request<Bytes>) -> Reply {
    let faults = lock(&state).params.faults;
    if faults.silent {
        pending::<()>().await;
    }
    sleep_ms(faults.execute_delay_ms).await;
    let path = req.uri().path().trim_start_matches('/').to_owned();
    let parts: Vec<&str> = path.split('/').collect();
    let fetch = match (req.method(), parts.as_slice()) {
        (&Method::GET, ["fetch-time", _, _]) => lock(&state).estimate(),
        (&Method::POST, ["fetch", model, version]) => lock(&state).fetch(model, version),
        _ => return Ok(error(StatusCode::NOT_FOUND, "not_found", "no such path")),
    };
    let res = match fetch {
        Ok(time) => json(
            StatusCode::OK,
            &json!({ "fetch_ms": time.as_millis() as u64 }),
        ),
        Err(wait) => json(
            StatusCode::TOO_MANY_REQUESTS,
            &json!({ "retry_after_ms": wait.as_millis() as u64 }),
        ),
    };
    apply(faults, res).await
}

impl State {
    /// Returns how long a fetch would take, or how long to wait before asking for one.
    fn estimate(&mut self) -> Result<Duration, Duration> {
        let now = Instant::now();
        self.fetches.retain(|end| *end > now);
        if self.fetches.len() >= self.params.max_fetches {
            let first = self.fetches.iter().min().copied().unwrap_or(now);
            return Err(first - now);
        }
        let busy = self.fetches.iter().max().copied().unwrap_or(now) - now;
        let own_ms = self.params.model_mib * 1000 / self.params.mib_per_second.max(1);
        Ok(busy + Duration::from_millis(own_ms))
    }

    fn fetch(&mut self, model: &str, version: &str) -> Result<Duration, Duration> {
        let time = self.estimate()?;
        self.fetches.push(Instant::now() + time);
        let key = format!("{model}/{version}");
        *self.fetched.entry(key).or_default() += 1;
        Ok(time)
    }
}
