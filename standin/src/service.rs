//! A plain service that executes, counts and echoes every call.

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
    http::{
        ConnectionAborted, HandlerResult, Server, apply_response_faults, json_response, sleep_ms,
    },
};

/// Parameters of a plain service.
#[derive(Clone, Debug, clap::Args)]
pub struct ServiceParams {
    /// Address to listen on; port zero picks a free port.
    #[arg(long, default_value_t = ServiceParams::default().listen)]
    pub listen: SocketAddr,
    /// The service's name in its responses.
    #[arg(long, default_value_t = ServiceParams::default().name)]
    pub name: String,
    /// Capacity in concurrent calls, as reported; it is not enforced.
    #[arg(long, default_value_t = ServiceParams::default().slots)]
    pub slots: u32,
    /// Injected faults.
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

/// Counters of the calls that a plain service executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceCounts {
    /// All calls.
    pub executed: u64,
    /// Calls by idempotency key.
    pub by_key: BTreeMap<String, u32>,
    /// Calls by method and path.
    pub by_path: BTreeMap<String, u32>,
}

/// The response to an executed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The service's name.
    pub service: String,
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The idempotency key, if one was sent.
    pub key: Option<String>,
    /// Number of this execution among all of the service's, counted from one.
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
    let server = Server::start(listen, move |req| handle_request(Arc::clone(&shared), req)).await?;
    Ok(Service { server, state })
}

impl Service {
    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Returns the number of connections accepted so far.
    pub fn connections(&self) -> u64 {
        self.server.accepted()
    }

    /// Returns counters of the calls executed so far.
    pub fn counts(&self) -> ServiceCounts {
        lock(&self.state).counts.clone()
    }

    /// Replaces the injected faults. Requests that have already arrived keep the earlier ones.
    pub fn set_faults(&self, faults: Faults) {
        lock(&self.state).params.faults = faults;
    }

    /// Reports the service as leaving. It still serves new calls.
    pub fn set_leaving(&self) {
        lock(&self.state).leaving = true;
    }

    /// Silences all open connections permanently without closing them; new connections work.
    pub fn silence_open_connections(&self) {
        self.server.silence_open_connections();
    }

    /// Stops the service immediately.
    pub fn stop(&self) {
        lock(&self.state).stopped = true;
        self.server.stop();
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_request(state: Arc<Mutex<State>>, req: Request<Bytes>) -> HandlerResult {
    match (req.method(), req.uri().path()) {
        (&Method::GET, "/counts") => {
            let counts = lock(&state).counts.clone();
            Ok(json_response(StatusCode::OK, &counts))
        }
        (&Method::GET, "/load") => Ok(json_response(StatusCode::OK, &load_report(&lock(&state)))),
        // Runs in its own task, so that a received call is executed even if the caller disconnects.
        _ => tokio::spawn(handle_call(state, req))
            .await
            .map_err(|_| ConnectionAborted)?,
    }
}

fn load_report(state: &State) -> serde_json::Value {
    serde_json::json!({
        "running": state.running,
        "queued": 0,
        "slots": state.params.slots,
        "leaving": state.leaving,
        "age_ms": 0,
    })
}

async fn handle_call(state: Arc<Mutex<State>>, req: Request<Bytes>) -> HandlerResult {
    let faults = lock(&state).params.faults;
    if faults.silent {
        pending::<()>().await;
    }
    let _running = RunningGuard::begin(&state);
    sleep_ms(faults.execute_delay_ms).await;
    if lock(&state).stopped {
        return Err(ConnectionAborted);
    }
    let echo = execute(&mut lock(&state), &req);
    apply_response_faults(faults, json_response(StatusCode::OK, &echo)).await
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
    let operation = format!("{} {path}", req.method());
    *counts.by_path.entry(operation).or_default() += 1;
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

/// Counts a call as running until dropped.
struct RunningGuard(Arc<Mutex<State>>);

impl RunningGuard {
    fn begin(state: &Arc<Mutex<State>>) -> Self {
        lock(state).running += 1;
        Self(Arc::clone(state))
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        lock(&self.0).running -= 1;
    }
}
