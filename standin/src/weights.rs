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
    http::{HandlerResult, Server, apply_response_faults, error_response, json_response, sleep_ms},
};

/// Parameters of the weight store.
#[derive(Clone, Debug, clap::Args)]
pub struct WeightParams {
    /// Address to listen on; port zero picks a free port.
    #[arg(long, default_value_t = WeightParams::default().listen)]
    pub listen: SocketAddr,
    /// Total bandwidth of all fetches, in MiB per second.
    #[arg(long, default_value_t = WeightParams::default().mib_per_second)]
    pub mib_per_second: u64,
    /// Size of each model, in MiB.
    #[arg(long, default_value_t = WeightParams::default().model_mib)]
    pub model_mib: u64,
    /// Maximum number of fetches in progress; further ones are refused.
    #[arg(long, default_value_t = WeightParams::default().max_fetches)]
    pub max_fetches: usize,
    /// Injected faults.
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
    /// End times of the fetches in progress, which run one after the other at the full rate.
    fetch_ends: Vec<Instant>,
    fetch_counts: HashMap<String, u64>,
}

/// Starts a weight store.
pub async fn start(params: WeightParams) -> anyhow::Result<Weights> {
    let listen = params.listen;
    let state = Arc::new(Mutex::new(State {
        params,
        fetch_ends: Vec::new(),
        fetch_counts: HashMap::new(),
    }));
    let shared = Arc::clone(&state);
    let server = Server::start(listen, move |req| handle_request(Arc::clone(&shared), req)).await?;
    Ok(Weights { server, state })
}

impl Weights {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns how many times a version of a model was fetched.
    pub fn fetched(&self, model: &str, version: &str) -> u64 {
        let key = format!("{model}/{version}");
        lock(&self.state)
            .fetch_counts
            .get(&key)
            .copied()
            .unwrap_or(0)
    }

    /// Replaces the injected faults. Requests that have already arrived keep the earlier ones.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).params.faults = faults;
    }

    /// Stops the store immediately.
    pub fn stop(&self) {
        self.server.stop();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_request(state: Arc<Mutex<State>>, req: Request<Bytes>) -> HandlerResult {
    let faults = lock(&state).params.faults;
    if faults.silent {
        pending::<()>().await;
    }
    sleep_ms(faults.execute_delay_ms).await;
    let path = req.uri().path().trim_start_matches('/').to_owned();
    let parts: Vec<&str> = path.split('/').collect();
    let fetch = match (req.method(), parts.as_slice()) {
        (&Method::GET, ["fetch-time", _, _]) => lock(&state).fetch_time(),
        (&Method::POST, ["fetch", model, version]) => lock(&state).begin_fetch(model, version),
        _ => {
            return Ok(error_response(
                StatusCode::NOT_FOUND,
                "not_found",
                "no such path",
            ));
        }
    };
    let res = match fetch {
        Ok(time) => json_response(
            StatusCode::OK,
            &json!({ "fetch_ms": time.as_millis() as u64 }),
        ),
        Err(wait) => json_response(
            StatusCode::TOO_MANY_REQUESTS,
            &json!({ "retry_after_ms": wait.as_millis() as u64 }),
        ),
    };
    apply_response_faults(faults, res).await
}

impl State {
    /// Returns how long a fetch would take, queueing included, or, if too many are in progress, the
    /// time until the next one ends.
    fn fetch_time(&mut self) -> Result<Duration, Duration> {
        let now = Instant::now();
        self.fetch_ends.retain(|end| *end > now);
        if self.fetch_ends.len() >= self.params.max_fetches {
            let next_end = self.fetch_ends.iter().min().copied().unwrap_or(now);
            return Err(next_end - now);
        }
        let queued = self.fetch_ends.iter().max().copied().unwrap_or(now) - now;
        let transfer_ms = self.params.model_mib * 1000 / self.params.mib_per_second.max(1);
        Ok(queued + Duration::from_millis(transfer_ms))
    }

    fn begin_fetch(&mut self, model: &str, version: &str) -> Result<Duration, Duration> {
        let time = self.fetch_time()?;
        self.fetch_ends.push(Instant::now() + time);
        let key = format!("{model}/{version}");
        *self.fetch_counts.entry(key).or_default() += 1;
        Ok(time)
    }
}
