//! The HTTP calls of the cloud API.

use std::{future::pending, sync::Arc, time::Duration};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use serde_json::json;

use super::{Listing, Shared, StartOrder};
use crate::http::{Body, Refused, Reply, apply, error, json, parse, sleep_ms};

/// Answers one request.
pub(super) async fn answer(shared: Arc<Shared>, req: Request<Bytes>) -> Reply {
    let path = req.uri().path().to_owned();
    let parts: Vec<&str> = path.trim_start_matches('/').split('/').collect();
    // The counts are for tests, which must be able to read them whatever the faults.
    if let (&Method::GET, ["counts"]) = (req.method(), parts.as_slice()) {
        let counts = shared.lock().counts.clone();
        return Ok(json(StatusCode::OK, &counts));
    }
    let faults = shared.lock().params.faults;
    if faults.silent {
        pending::<()>().await;
    }
    sleep_ms(faults.execute_delay_ms).await;
    let res = match (req.method(), parts.as_slice()) {
        (&Method::GET, ["instances"]) => json(StatusCode::OK, &shared.lock().listed()),
        (&Method::GET, ["notices"]) => json(StatusCode::OK, &shared.lock().notices()),
        (&Method::POST, ["instances"]) => start(&shared, req.body()).await,
        (&Method::PUT, ["instances"]) => register(&shared, req.body()),
        (&Method::POST, ["instances", name, "stop"]) => stop(&shared, name),
        (&Method::POST, ["reclaim", name]) => reclaim(&shared, name, req.uri().query()),
        _ => error(StatusCode::NOT_FOUND, "not_found", "no such path"),
    };
    apply(faults, res).await
}

async fn start(shared: &Arc<Shared>, body: &[u8]) -> Response<Body> {
    let order: StartOrder = match parse(body) {
        Ok(order) => order,
        Err(res) => return *res,
    };
    let name = match reserve(shared, &order) {
        Ok(Reserved::New { name, incarnation }) => {
            // An order that has arrived is carried out even if its sender gives up meanwhile.
            let launch = launch(Arc::clone(shared), order, name.clone(), incarnation);
            match tokio::spawn(launch).await {
                Ok(Ok(())) => name,
                Ok(Err(res)) => return *res,
                Err(e) => return error(StatusCode::CONFLICT, "refused", &e.to_string()),
            }
        }
        Ok(Reserved::Known(name)) => name,
        Err(res) => return *res,
    };
    json(StatusCode::OK, &json!({ "name": name }))
}

enum Reserved {
    New { name: String, incarnation: u64 },
    Known(String),
}

/// Finds the instance of an operation or gives it a name, in one step, so that an order that is
/// sent twice at the same time starts one instance.
fn reserve(shared: &Shared, order: &StartOrder) -> Result<Reserved, Refused> {
    let mut state = shared.lock();
    if let Some(name) = state.counts.by_operation.get(&order.operation) {
        return Ok(Reserved::Known(name.clone()));
    }
    if state.params.refuse_starts {
        state.counts.refused += 1;
        return Err(error(
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
    Ok(Reserved::New { name, incarnation })
}

async fn launch(
    shared: Arc<Shared>,
    order: StartOrder,
    name: String,
    incarnation: u64,
) -> Result<(), Refused> {
    let delay = shared.lock().params.start_ms;
    sleep_ms(delay).await;
    let started = match (shared.launch)(order.clone()).await {
        Ok(started) => started,
        Err(e) => {
            let mut state = shared.lock();
            state.counts.started -= 1;
            state.counts.refused += 1;
            state.counts.by_operation.remove(&order.operation);
            return Err(error(StatusCode::CONFLICT, "refused", &format!("{e:#}")).into());
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

fn register(shared: &Shared, body: &[u8]) -> Response<Body> {
    match parse::<Listing>(body) {
        Ok(listing) => {
            shared.lock().insert(listing, None);
            json(StatusCode::OK, &json!({}))
        }
        Err(res) => *res,
    }
}

fn stop(shared: &Shared, name: &str) -> Response<Body> {
    let incarnation = shared.lock().incarnation(name);
    if let Some(incarnation) = incarnation {
        shared.lock().counts.stopped += 1;
        shared.end(name, incarnation);
    }
    json(StatusCode::OK, &json!({}))
}

fn reclaim(shared: &Arc<Shared>, name: &str, query: Option<&str>) -> Response<Body> {
    let notice = query
        .and_then(|query| query.strip_prefix("notice_ms="))
        .and_then(|ms| ms.parse().ok());
    let Some(ms) = notice else {
        return error(
            StatusCode::BAD_REQUEST,
            "bad_request",
            "ask with ?notice_ms=N",
        );
    };
    if shared.reclaim(name, Duration::from_millis(ms)) {
        return json(StatusCode::OK, &json!({}));
    }
    error(StatusCode::NOT_FOUND, "not_found", "no such instance")
}
