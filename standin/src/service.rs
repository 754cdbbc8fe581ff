//! A plain service: it executes every call that it gets, counts it, and echoes it.

use std::{
    collections::BTreeMap,
    future::pending,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use hyper::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{
    Faults,
    http::{Fault, Reply, Server, apply, json, sleep_ms},
};

/// Parameters of a plain service.
#[derive(Clone, Debug, clap::Args)]
pub struct ServiceParams {
    /// Where to listen; port zero takes a free one.
    #[arg(long, default_value_t = ServiceParams::default().listen)]
    pub listen: SocketAddr,
    /// The name in its answers.
    #[arg(long, default_value_t = ServiceParams::default().name)]
    pub name: String,
    /// Calls at once that it reports as its capacity.
    #[arg(long, default_value_t = ServiceParams::default().slots)]
    pub slots: u32,
    /// What it does wrong.
    #[command(flatten)]
    pub faults: Faults,
}

impl Default for ServiceParams {
    fn default() -> Self {
        Self {
            listen: (Ipv4Addr::LOCALHOST, 0).into(),
            name: "service".to_owned(),
            slots: 64,
            faults: Faults::default(),
        }
    }
}

/// What a plain service executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// All calls.
    pub executed: u64,
    /// Calls by idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// Calls by method and path.
    pub by_path: BTreeMap<String, u32>,
}

/// Echo of an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service's name.
    pub service: String,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The idempotency key, if one was sent.
    pub key: Option<String>,
    /// Which execution of the service this is, from one.
    pub execution: u64,
    /// SHA-256 of the body, in hexadecimal.
    pub body_sha256: String,
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    server: Server,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    params: ServiceParams,
    running: u32,
    leaving: bool,
    stopped: bool,
    counts: ServiceCounts,
}

/// Starts a plain service.
pub async fn start(params: ServiceParams) -> anyhow::Result<Service> {
    let listen = params.listen;
    let state = Arc::new(Mutex::new(State {
        params,
        running: 0,
        leaving: false,
        stopped: false,
        counts: ServiceCounts::default(),
    }));
    let shared = Arc::clone(&state);
    let server = Server::start(listen, move |req| answer(Arc::clone(&shared), req)).await?;
    Ok(Service { server, state })
}

impl Service {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns how many connections were accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Returns what was executed so far.
    pub fn counts(&self) -> ServiceCounts {
        lock(&self.state).counts.clone()
    }

    /// Changes what it does wrong, for requests that arrive from now on.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).params.faults = faults;
    }

    /// Says in its load report that it is leaving. It still serves what arrives.
    pub fn set_leaving(&self) {
        lock(&self.state).leaving = true;
    }

    /// Makes all open connections silent for good.
    pub fn silence_open(&self) {
        self.server.silence_open();
    }

    /// Ends it at once.
    pub fn stop(&self) {
        lock(&self.state).stopped = true;
        self.server.stop();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn answer(state: Arc<Mutex<State>>, req: Request<Bytes>) -> Reply {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/counts") => {
            let counts = lock(&state).counts.clone();
            Ok(json(StatusCode::OK, &counts))
        }
        (&Method::GET, "/load") => Ok(json(StatusCode::OK, &load(&lock(&state)))),
        // A call that has arrived is executed even if its sender gives up meanwhile.
        _ => tokio::spawn(call(state, req)).await.map_err(|_| Fault)?,
    }
}

fn load(state: &State) -> serde_json::Value {
    serde_json::json!({
        "running": state.running,
        "queued": 0,
        "slots": state.params.slots,
        "leaving": state.leaving,
        "age_ms": 0,
    })
}

async fn call(state: Arc<Mutex<State>>, req: Request<Bytes>) -> Reply {
    let faults = lock(&state).params.faults;
    if faults.silent {
        pending::<()>().await;
    }
    let _running = Running::enter(&state);
    sleep_ms(faults.execute_delay_ms).await;
    if lock(&state).stopped {
        return Err(Fault);
    }
    let echo = execute(&mut lock(&state), &req);
    apply(faults, json(StatusCode::OK, &echo)).await
}

fn execute(state: &mut State, req: &Request<Bytes>) -> Echo {
    let key = req
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .map(str::to_owned);
    let path = req.uri().to_string();
    let counts = &mut state.counts;
    counts.executed += 1;
    let line = format!("{} {path}", req.method());
    *counts.by_path.entry(line).or_default() += 1;
    if let Some(key) = &key {
        *counts.by_key.entry(key.clone()).or_default() += 1;
    }
    Echo {
        service: state.params.name.clone(),
        method: req.method().to_string(),
        path,
        key,
        execution: state.counts.executed,
        body_sha256: hex(&Sha256::digest(req.body())),
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Counts a call as running until it is dropped.
struct Running(Arc<Mutex<State>>);

impl Running {
    fn enter(state: &Arc<Mutex<State>>) -> Self {
        lock(state).running += 1;
        Self(Arc::clone(state))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}
