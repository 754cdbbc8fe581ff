//! The HTTP calls of an engine.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::{
    cache::Block,
    generate::{CompletionRequest, generate},
    state::{OrderRecord, Shared, State},
};
use crate::{
    Faults,
    http::{Body, Fault, Reply, apply, error, json, parse, sleep_ms, stream},
};

/// The exported cache of a request.
#[derive(Debug, Serialize, Deserialize)]
struct CacheExport {
    blocks: Vec<Block>,
}

/// Answers one request.
pub(crate) async fn answer(shared: Arc<Shared>, req: Request<Bytes>) -> Reply {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    // The counts are for tests, which must be able to read them whatever the faults.
    if let (&Method::GET, ["counts"]) = (req.method(), parts.as_slice()) {
        let counts = shared.lock().counts.clone();
        return Ok(json(StatusCode::OK, &counts));
    }
    if let (&Method::POST, ["orders"]) = (req.method(), parts.as_slice()) {
        // An order that has arrived is carried out even if its sender gives up meanwhile.
        let order = tokio::spawn(async move {
            let faults = begin(&shared).await;
            let res = order(&shared, req.body()).await;
            apply(faults, res).await
        });
        return order.await.map_err(|_| Fault)?;
    }
    let faults = begin(&shared).await;
    let body = req.body();
    let res = match (req.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "completions"]) => complete(shared, body),
        (&Method::POST, ["v1", "requests", id, "cancel"]) => cancel(&shared.lock(), id),
        (&Method::GET, ["v1", "requests", id, "cache"]) => export(&shared.lock(), id),
        (&Method::POST, ["v1", "cache"]) => import(&mut shared.lock(), body),
        (&Method::GET, ["load"]) => json(StatusCode::OK, &shared.lock().reported_load()),
        (&Method::GET, ["cache-events"]) => cache_events(&shared.lock(), req.uri().query()),
        _ => error(StatusCode::NOT_FOUND, "not_found", "no such path"),
    };
    apply(faults, res).await
}

/// Shows the faults that come before the execution and returns the others.
async fn begin(shared: &Shared) -> Faults {
    let faults = shared.lock().params.faults;
    if faults.silent {
        pending::<()>().await;
    }
    sleep_ms(faults.execute_delay_ms).await;
    faults
}

fn complete(shared: Arc<Shared>, body: &[u8]) -> Response<Body> {
    let req: CompletionRequest = match parse(body) {
        Ok(req) => req,
        Err(res) => return *res,
    };
    match refuse(&shared, &req) {
        Some(res) => res,
        None => stream(generate(shared, req)),
    }
}

fn refuse(shared: &Shared, req: &CompletionRequest) -> Option<Response<Body>> {
    let state = shared.lock();
    if state.leaving {
        return Some(unavailable("leaving", "this engine is leaving"));
    }
    if !state.models.contains(&req.model) {
        let message = format!("model {} is not loaded", req.model);
        return Some(error(StatusCode::NOT_FOUND, "not_found", &message));
    }
    if !req.stream {
        let message = "this engine only streams; set \"stream\": true";
        return Some(error(StatusCode::BAD_REQUEST, "bad_request", message));
    }
    let full =
        shared.slots.running() >= state.params.slots && shared.slots.queued() >= state.params.queue;
    full.then(|| unavailable("busy", "the queue is full"))
}

fn unavailable(kind: &str, message: &str) -> Response<Body> {
    error(StatusCode::SERVICE_UNAVAILABLE, kind, message)
}

fn cancel(state: &State, id: &str) -> Response<Body> {
    if let Some(active) = state.active.get(id) {
        active.cancel.notify_one();
    }
    json(StatusCode::OK, &json!({}))
}

fn export(state: &State, id: &str) -> Response<Body> {
    match state.active.get(id) {
        Some(active) => {
            let blocks = active.blocks.to_vec();
            json(StatusCode::OK, &CacheExport { blocks })
        }
        None => error(StatusCode::NOT_FOUND, "not_found", "no such request runs"),
    }
}

fn import(state: &mut State, body: &[u8]) -> Response<Body> {
    match parse::<CacheExport>(body) {
        Ok(export) => {
            state.store(&export.blocks);
            json(StatusCode::OK, &json!({}))
        }
        Err(res) => *res,
    }
}

fn cache_events(state: &State, query: Option<&str>) -> Response<Body> {
    let after = query
        .and_then(|query| query.strip_prefix("after="))
        .and_then(|number| number.parse().ok());
    let Some(after) = after else {
        return error(StatusCode::BAD_REQUEST, "bad_request", "ask with ?after=N");
    };
    let lag = Duration::from_millis(state.params.event_lag_ms);
    let events = state
        .cache
        .events_after(after, lag, state.params.lose_event_every);
    json(StatusCode::OK, &events)
}

async fn order(shared: &Shared, body: &[u8]) -> Response<Body> {
    let order: OrderRecord = match parse(body) {
        Ok(order) => order,
        Err(res) => return *res,
    };
    if let Some(res) = check_fence(&mut shared.lock(), &order) {
        return res;
    }
    if order.kind == "load" {
        let delay = shared.lock().params.load_model_ms;
        sleep_ms(delay).await;
    }
    let mut state = shared.lock();
    // A newer order may have come while the model was loaded.
    match check_fence(&mut state, &order) {
        Some(res) => res,
        None => carry_out(&mut state, order),
    }
}

/// Refuses an order whose number is older than one seen before.
fn check_fence(state: &mut State, order: &OrderRecord) -> Option<Response<Body>> {
    if state.params.ignore_fence {
        return None;
    }
    if order.fence < state.fence {
        state.counts.fenced += 1;
        let reply = json!({ "outcome": "fenced", "fence": state.fence });
        return Some(json(StatusCode::CONFLICT, &reply));
    }
    state.fence = order.fence;
    None
}

fn carry_out(state: &mut State, order: OrderRecord) -> Response<Body> {
    match (order.kind.as_str(), &order.model) {
        ("load", Some(model)) if !state.models.contains(model) => {
            state.models.push(model.clone());
        }
        ("load", Some(_)) => {}
        ("unload", Some(model)) => state.models.retain(|held| held != model),
        ("drain", _) => state.leaving = true,
        _ => return error(StatusCode::BAD_REQUEST, "bad_request", "no such order"),
    }
    state.counts.orders.push(order);
    state.publish();
    json(StatusCode::OK, &json!({ "outcome": "done" }))
}
