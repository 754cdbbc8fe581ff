//! A gateway that got SIGTERM leaves without a loss to callers that still hold its address.

mod platform_support;

use std::{net::SocketAddr, path::Path, time::Duration};

use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, Answer, PreparedInstallation, ReceivedRequest, ServerAction, TEST_TIMEOUT, call,
    daemons::Daemons, document, wait_until,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep, sleep_until};

const SHUTDOWN: Duration = Duration::from_millis(8000);
const TTL: Duration = Duration::from_millis(1500);
/// Some callers keep addresses three times as long as they are told.
const SLOWEST_CALLERS: Duration = Duration::from_millis(4500);
/// Time at the end of a shutdown in which the process closes its connections and ends.
const EXIT_TIME: Duration = Duration::from_millis(1300);

fn set_timing(file: &Path) {
    let mut settings: Value = serde_json::from_slice(&std::fs::read(file).unwrap()).unwrap();
    settings["timing"] = json!({
        "shutdown_ms": SHUTDOWN.as_millis() as u64, "address_ttl_ms": TTL.as_millis() as u64,
    });
    std::fs::write(file, settings.to_string()).unwrap();
}

fn long_document(version: u64) -> Value {
    let mut document = document(version);
    for route in document["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!(15_000);
    }
    document
}

/// Answers at once, or in ten events over the milliseconds that the path ends with.
fn paced(_: usize, req: &ReceivedRequest) -> ServerAction {
    let time = req.path.rsplit('-').next().and_then(|ms| ms.parse().ok());
    match time {
        Some(ms) => {
            let events = (1..=10).map(|n| format!("id: {n}\ndata: piece\n\n"));
            ServerAction::Paced(events.collect(), Duration::from_millis(ms) / 10)
        }
        None => ServerAction::Respond(StatusCode::OK, b"done".to_vec()),
    }
}

async fn start(document: &Value) -> Daemons {
    let prepared = PreparedInstallation::prepare(1, 1, paced).await;
    set_timing(&prepared.gateway_file);
    let daemons = Daemons::start(prepared);
    daemons.publish(document).await;
    daemons.installation.wait_until_served(document).await;
    daemons
}

async fn send(gateway: SocketAddr, path: &str, deadline_ms: u64) -> Option<Answer> {
    let (key, deadline) = (format!("Bearer {API_KEY}"), deadline_ms.to_string());
    let headers = [
        ("host", "depot.example"),
        ("x-flamingocroft-request-id", path),
        ("x-flamingocroft-deadline-ms", &deadline),
        ("authorization", &key),
    ];
    call(gateway, Method::POST, path, &headers, "").await
}

fn is_whole(answer: Option<Answer>) -> bool {
    answer.is_some_and(|res| res.status == StatusCode::OK && res.body.is_ok())
}

async fn wait_for_end(daemons: &mut Daemons) {
    let begun = Instant::now();
    while !daemons.gateway.has_ended_well() {
        assert!(begun.elapsed() < TEST_TIMEOUT, "the gateway does not end");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn other_directories_stop_naming_a_stopped_gateway_at_once() {
    let mut daemons = Daemons::start(PreparedInstallation::prepare(3, 1, paced).await);
    let stopped = daemons.installation.caller_address.to_string();
    let mut directory = daemons.installation.add_gateway().await;
    directory.set_port(daemons.installation.directory_address.port());
    daemons.publish(&document(1)).await;
    let is_named = || async {
        let path = "/api/resolve?Name=depot.example&Zone=a";
        let res = call(directory, Method::GET, path, &[], "").await.unwrap();
        res.text().contains(&format!("\"{stopped}\""))
    };
    let mut waited = Vec::new();
    for round in 0..5 {
        wait_until("the gateway is named", is_named).await;
        sleep(Duration::from_millis(1000 + 140 * round)).await;
        let begun = Instant::now();
        daemons.gateway.terminate();
        wait_until("the gateway is not named", || async { !is_named().await }).await;
        waited.push(begun.elapsed());
        daemons.gateway.restart();
    }
    let total: Duration = waited.iter().sum();
    assert!(total < Duration::from_millis(750), "{waited:?}");
}

#[tokio::test]
async fn a_request_that_may_not_end_before_the_shutdown_is_refused_before_it_is_passed_on() {
    let daemons = start(&long_document(1)).await;
    let gateway = daemons.installation.caller_address;
    let begun = Instant::now();
    daemons.gateway.terminate();
    for at_ms in [200, 3500] {
        sleep_until(begun + Duration::from_millis(at_ms)).await;
        let res = send(gateway, &format!("/stream/{at_ms}-4200"), 15_000).await;
        let res = res.expect("the connection was closed");
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE, "{at_ms}");
        assert!(res.headers.contains_key("retry-after"), "{res:?}");
        assert_eq!(res.headers["connection"], "close");
    }
    assert!(daemons.installation.log.requests().is_empty());
    assert!(is_whole(send(gateway, "/stream/x-1000", 2000).await));
}

#[tokio::test]
async fn a_gateway_serves_until_the_slowest_callers_have_dropped_its_address() {
    let mut daemons = start(&document(1)).await;
    let gateway = daemons.installation.caller_address;
    let begun = Instant::now();
    daemons.gateway.terminate();
    sleep_until(begun + SLOWEST_CALLERS).await;
    assert!(is_whole(send(gateway, "/once/x", 1000).await));
    wait_for_end(&mut daemons).await;
    assert!(begun.elapsed() < SHUTDOWN, "an idle gateway ends early");
}

#[tokio::test]
async fn an_answer_is_cut_only_at_the_end_of_the_shutdown() {
    let mut daemons = start(&long_document(1)).await;
    let gateway = daemons.installation.caller_address;
    let begun = Instant::now();
    let long = tokio::spawn(async move {
        let res = send(gateway, "/stream/long-14000", 15_000).await;
        (res.unwrap().body, Instant::now())
    });
    wait_until("the request is passed on", || async {
        !daemons.installation.log.requests().is_empty()
    })
    .await;
    let terminated = Instant::now();
    daemons.gateway.terminate();
    sleep_until(terminated + SLOWEST_CALLERS).await;
    assert!(is_whole(send(gateway, "/stream/late-2000", 2500).await));
    let (body, ended) = long.await.unwrap();
    assert!(body.is_err(), "{:?}", begun.elapsed());
    assert!(ended - terminated > SHUTDOWN - EXIT_TIME);
    wait_for_end(&mut daemons).await;
    assert!(terminated.elapsed() < SHUTDOWN);
}

#[tokio::test]
async fn a_request_that_begins_late_in_an_idle_shutdown_is_not_cut() {
    let mut daemons = start(&document(1)).await;
    let gateway = daemons.installation.caller_address;
    let begun = Instant::now();
    daemons.gateway.terminate();
    sleep_until(begun + Duration::from_millis(4000)).await;
    assert!(is_whole(send(gateway, "/stream/x-2400", 2900).await));
    wait_for_end(&mut daemons).await;
}

#[tokio::test]
async fn further_signals_and_a_new_table_during_a_shutdown_cut_nothing() {
    let mut daemons = start(&long_document(1)).await;
    let gateway = daemons.installation.caller_address;
    let running = tokio::spawn(send(gateway, "/stream/x-5000", 15_000));
    wait_until("the request is passed on", || async {
        !daemons.installation.log.requests().is_empty()
    })
    .await;
    let begun = Instant::now();
    daemons.gateway.hang_up();
    daemons.gateway.terminate();
    daemons.gateway.hang_up();
    let mut changed = long_document(2);
    changed["Routes"][0]["PathPrefix"] = json!("/added/");
    daemons.publish(&changed).await;
    daemons.gateway.terminate();
    wait_until("the new table is in force", || async {
        is_whole(send(gateway, "/added/x", 1000).await)
    })
    .await;
    assert!(begun.elapsed() < Duration::from_secs(3));
    assert!(is_whole(running.await.unwrap()));
    wait_for_end(&mut daemons).await;
    assert!(begun.elapsed() < SHUTDOWN);
}
