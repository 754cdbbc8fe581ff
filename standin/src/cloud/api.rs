//! The HTTP API of the cloud.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use super::{Listing, Shared, StartOrder};
use crate::http::{
    Body, ErrorResponse, HandlerResult, apply_response_faults, error_response, json_response,
    parse_json, sleep_ms,
};

pub(super) async fn handle_request(shared: Arc<Shared>, req: Request<Bytes>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    // Tests read the counts, so injected faults do not apply to them.
    if let (&Method::GET, ["counts"]) = (req.method(), parts.as_slice()) {
        let counts = shared.lock().counts.clone();
        return Ok(json_response(StatusCode::OK, &counts));
    }
    let faults = shared.lock().params.faults;
    if faults.silent {
        pending::<()>().await;
    }
    sleep_ms(faults.execute_delay_ms).await;
    let res = match (req.method(), parts.as_slice()) {
        (&Method::GET, ["instances"]) => {
            json_response(StatusCode::OK, &shared.lock().lagged_listings())
        }
        (&Method::GET, ["notices"]) => json_response(StatusCode::OK, &shared.lock().notices()),
        (&Method::POST, ["instances"]) => start_instance(&shared, req.body()).await,
        (&Method::PUT, ["instances"]) => register_instance(&shared, req.body()),
        (&Method::POST, ["instances", name, "stop"]) => stop_instance(&shared, name),
        (&Method::POST, ["reclaim", name]) => reclaim_instance(&shared, name, req.uri().query()),
        _ => error_response(StatusCode::NOT_FOUND, "not_found", "no such path"),
    };
    apply_response_faults(faults, res).await
}

async fn start_instance(shared: &Arc<Shared>, body: &[u8]) -> Response<Body> {
    let order: StartOrder = match parse_json(body) {
        Ok(order) => order,
        Err(res) => return *res,
    };
    let name = match reserve_name(shared, &order) {
        Ok(Reservation::New { name, incarnation }) => {
            // Runs in its own task, so that a received order takes effect even if the sender
            // disconnects.
            let launch = launch_instance(Arc::clone(shared), order, name.clone(), incarnation);
            match tokio::spawn(launch).await {
                Ok(Ok(())) => name,
                Ok(Err(res)) => return *res,
                Err(e) => return error_response(StatusCode::CONFLICT, "refused", &e.to_string()),
            }
        }
        Ok(Reservation::Existing(name)) => name,
        Err(res) => return *res,
    };
    json_response(StatusCode::OK, &json!({ "name": name }))
}

enum Reservation {
    New { name: String, incarnation: u64 },
    Existing(String),
}

/// Looks up the instance of an operation or reserves a name for it. This is atomic, so that an order
/// sent twice concurrently starts one instance.
fn reserve_name(shared: &Shared, order: &StartOrder) -> Result<Reservation, ErrorResponse> {
    let mut state = shared.lock();
    if let Some(name) = state.counts.by_operation.get(&order.operation) {
        return Ok(Reservation::Existing(name.clone()));
    }
    if state.params.refuse_starts {
        state.counts.refused += 1;
        return Err(error_response(
            StatusCode::CONFLICT,
            "refused",
            "no capacity of this class in this zone",
        )
        .into());
    }
    let incarnation = state.next_incarnation();
    let name = format!("{}-{incarnation}", order.service);
    state.counts.started += 1;
    state
        .counts
        .by_operation
        .insert(order.operation.clone(), name.clone());
    Ok(Reservation::New { name, incarnation })
}

async fn launch_instance(
    shared: Arc<Shared>,
    order: StartOrder,
    name: String,
    incarnation: u64,
) -> Result<(), ErrorResponse> {
    let delay = shared.lock().params.start_ms;
    sleep_ms(delay).await;
    let started = match (shared.launch)(order.clone()).await {
        Ok(started) => started,
        Err(e) => {
            let mut state = shared.lock();
            state.counts.started -= 1;
            state.counts.refused += 1;
            state.counts.by_operation.remove(&order.operation);
            return Err(error_response(StatusCode::CONFLICT, "refused", &format!("{e:#}")).into());
        }
    };
    let listing = Listing {
        name,
        incarnation,
        service: order.service,
        zone: order.zone,
        class: order.class,
        purchase: order.purchase,
        address: started.address,
        state: "live".to_owned(),
    };
    shared.lock().insert(listing, Some(started.stop));
    Ok(())
}

fn register_instance(shared: &Shared, body: &[u8]) -> Response<Body> {
    match parse_json::<Listing>(body) {
        Ok(listing) => {
            shared.lock().insert(listing, None);
            json_response(StatusCode::OK, &json!({}))
        }
        Err(res) => *res,
    }
}

fn stop_instance(shared: &Shared, name: &str) -> Response<Body> {
    let incarnation = shared.lock().incarnation(name);
    if let Some(incarnation) = incarnation {
        shared.lock().counts.stopped += 1;
        shared.stop_instance(name, incarnation);
    }
    json_response(StatusCode::OK, &json!({}))
}

fn reclaim_instance(shared: &Arc<Shared>, name: &str, query: Option<&str>) -> Response<Body> {
    let notice = query
        .and_then(|query| query.strip_prefix("notice_ms="))
        .and_then(|ms| ms.parse().ok());
    let Some(ms) = notice else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "ask with ?notice_ms=N",
        );
    };
    if shared.reclaim(name, Duration::from_millis(ms)) {
        return json_response(StatusCode::OK, &json!({}));
    }
    error_response(StatusCode::NOT_FOUND, "not_found", "no such instance")
}
