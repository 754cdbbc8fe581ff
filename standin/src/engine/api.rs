//! The HTTP API of an engine.

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
    http::{
        Body, ConnectionAborted, HandlerResult, apply_response_faults, error_response,
        event_stream, json_response, parse_json, sleep_ms,
    },
};

/// The cache blocks of a request, as exported to and imported from other engines.
#[derive(Debug, Serialize, Deserialize)]
struct CacheExport {
    blocks: Vec<Block>,
}

pub(crate) async fn handle_request(shared: Arc<Shared>, req: Request<Bytes>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    // Tests read the counts, so injected faults do not apply to them.
    if let (&Method::GET, ["counts"]) = (req.method(), parts.as_slice()) {
        let counts = shared.lock().counts.clone();
        return Ok(json_response(StatusCode::OK, &counts));
    }
    if let (&Method::POST, ["orders"]) = (req.method(), parts.as_slice()) {
        // Runs in its own task, so that a received order takes effect even if the sender disconnects.
        let order = tokio::spawn(async move {
            let faults = apply_request_faults(&shared).await;
            let res = handle_order(&shared, req.body()).await;
            apply_response_faults(faults, res).await
        });
        return order.await.map_err(|_| ConnectionAborted)?;
    }
    let faults = apply_request_faults(&shared).await;
    let body = req.body();
    let res = match (req.method(), parts.as_slice()) {
        (&Method::POST, ["v1", "completions"]) => start_completion(shared, body),
        (&Method::POST, ["v1", "requests", id, "cancel"]) => cancel_request(&shared.lock(), id),
        (&Method::GET, ["v1", "requests", id, "cache"]) => export_cache(&shared.lock(), id),
        (&Method::POST, ["v1", "cache"]) => import_cache(&mut shared.lock(), body),
        (&Method::GET, ["load"]) => json_response(StatusCode::OK, &shared.lock().reported_load()),
        (&Method::GET, ["cache-events"]) => cache_events(&shared.lock(), req.uri().query()),
        _ => error_response(StatusCode::NOT_FOUND, "not_found", "no such path"),
    };
    apply_response_faults(faults, res).await
}

/// Applies the faults that take effect before a request runs, and returns all configured faults.
async fn apply_request_faults(shared: &Shared) -> Faults {
    let faults = shared.lock().params.faults;
    if faults.silent {
        pending::<()>().await;
    }
    sleep_ms(faults.execute_delay_ms).await;
    faults
}

fn start_completion(shared: Arc<Shared>, body: &[u8]) -> Response<Body> {
    let req: CompletionRequest = match parse_json(body) {
        Ok(req) => req,
        Err(res) => return *res,
    };
    match refusal(&shared, &req) {
        Some(res) => res,
        None => event_stream(generate(shared, req)),
    }
}

fn refusal(shared: &Shared, req: &CompletionRequest) -> Option<Response<Body>> {
    let state = shared.lock();
    if state.leaving {
        return Some(unavailable_response("leaving", "this engine is leaving"));
    }
    if !state.models.contains(&req.model) {
        let message = format!("model {} is not loaded", req.model);
        return Some(error_response(StatusCode::NOT_FOUND, "not_found", &message));
    }
    if !req.stream {
        let message = "this engine only streams; set \"stream\": true";
        return Some(error_response(
            StatusCode::BAD_REQUEST,
            "bad_request",
            message,
        ));
    }
    let queue_full =
        shared.slots.running() >= state.params.slots && shared.slots.queued() >= state.params.queue;
    queue_full.then(|| unavailable_response("busy", "the queue is full"))
}

fn unavailable_response(kind: &str, message: &str) -> Response<Body> {
    error_response(StatusCode::SERVICE_UNAVAILABLE, kind, message)
}

fn cancel_request(state: &State, id: &str) -> Response<Body> {
    if let Some(active) = state.active.get(id) {
        active.cancel.notify_one();
    }
    json_response(StatusCode::OK, &json!({}))
}

fn export_cache(state: &State, id: &str) -> Response<Body> {
    match state.active.get(id) {
        Some(active) => {
            let blocks = active.blocks.to_vec();
            json_response(StatusCode::OK, &CacheExport { blocks })
        }
        None => error_response(StatusCode::NOT_FOUND, "not_found", "no such request runs"),
    }
}

fn import_cache(state: &mut State, body: &[u8]) -> Response<Body> {
    match parse_json::<CacheExport>(body) {
        Ok(export) => {
            state.store_blocks(&export.blocks);
            json_response(StatusCode::OK, &json!({}))
        }
        Err(res) => *res,
    }
}

fn cache_events(state: &State, query: Option<&str>) -> Response<Body> {
    let after = query
        .and_then(|query| query.strip_prefix("after="))
        .and_then(|number| number.parse().ok());
    let Some(after) = after else {
        return error_response(StatusCode::BAD_REQUEST, "bad_request", "ask with ?after=N");
    };
    let lag = Duration::from_millis(state.params.event_lag_ms);
    let events = state
        .cache
        .events_after(after, lag, state.params.lose_event_every);
    json_response(StatusCode::OK, &events)
}

async fn handle_order(shared: &Shared, body: &[u8]) -> Response<Body> {
    let order: OrderRecord = match parse_json(body) {
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
    // An order with a newer fencing token may have arrived while the model was loading.
    match check_fence(&mut state, &order) {
        Some(res) => res,
        None => execute_order(&mut state, order),
    }
}

/// Rejects an order whose fencing token is lower than the highest one seen; records it otherwise.
fn check_fence(state: &mut State, order: &OrderRecord) -> Option<Response<Body>> {
    if state.params.ignore_fence {
        return None;
    }
    if order.fence < state.fence {
        state.counts.fenced += 1;
        let reply = json!({ "outcome": "fenced", "fence": state.fence });
        return Some(json_response(StatusCode::CONFLICT, &reply));
    }
    state.fence = order.fence;
    None
}

fn execute_order(state: &mut State, order: OrderRecord) -> Response<Body> {
    match (order.kind.as_str(), &order.model) {
        ("load", Some(model)) if !state.models.contains(model) => {
            state.models.push(model.clone());
        }
        ("load", Some(_)) => {}
        ("unload", Some(model)) => state.models.retain(|held| held != model),
        ("drain", _) => state.leaving = true,
        _ => return error_response(StatusCode::BAD_REQUEST, "bad_request", "no such order"),
    }
    state.counts.orders.push(order);
    state.publish_load();
    json_response(StatusCode::OK, &json!({ "outcome": "done" }))
}
