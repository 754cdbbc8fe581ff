//! Requests of an account that is known to have no room are refused before their body is read.

mod metric_text;
mod platform_support;

use std::{net::SocketAddr, path::Path, time::Duration};

use hyper::{Method, StatusCode};
use metric_text::value;
use platform_support::{Installation, PreparedInstallation, ServerAction, document, wait_until};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

const HOG_KEY: &str = "key-of-the-hog";
/// Shorter than the time for which a gateway waits for a body, which is the timeout of the route.
const PATIENCE: Duration = Duration::from_millis(1000);

fn share_room(settings: &Path) {
    let text = std::fs::read_to_string(settings).unwrap();
    let mut settings_value: Value = serde_json::from_str(&text).unwrap();
    settings_value["ingress"]["share_room"] = json!(true);
    std::fs::write(settings, settings_value.to_string()).unwrap();
}

/// Sends the head of a request and a part of its body, and returns the status of the answer, if one comes.
async fn send_part(gateway: SocketAddr, key: &str, body: &str, length: usize) -> Option<String> {
    let mut caller = TcpStream::connect(gateway).await.unwrap();
    let head = format!(
        "POST /safe/x HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {key}\r\n\
         X-Flamingocroft-Request-Id: part\r\nContent-Length: {length}\r\n\r\n{body}"
    );
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    while !answer.windows(4).any(|part| part == b"\r\n\r\n") {
        match timeout(PATIENCE, caller.read_buf(&mut answer)).await {
            Ok(Ok(1..)) => {}
            _ => return None,
        }
    }
    let answer = String::from_utf8_lossy(&answer);
    answer.split(' ').nth(1).map(str::to_owned)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_account_over_its_quota_is_refused_before_its_body_and_others_are_served() {
    let prepared = PreparedInstallation::prepare(1, 1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"done".to_vec())
    })
    .await;
    share_room(&prepared.gateway_file);
    let gateway = Installation::start_prepared(prepared).await;
    let mut table = document(1);
    let hog = json!({
        "Name": "hog", "ApiKeys": [HOG_KEY], "Unit": "requests", "RatePerS": 0.1, "Burst": 1,
    });
    table["Tenants"].as_array_mut().unwrap().push(hog);
    gateway.publish(&table).await;
    let address = gateway.caller_address;
    wait_until("a request without its body is refused", || async {
        // Whole requests use up the quota, and the leader says that it is used up.
        let whole = send_part(address, HOG_KEY, "body", 4).await;
        whole.as_deref() == Some("429")
            && send_part(address, HOG_KEY, "", 50_000).await.as_deref() == Some("429")
    })
    .await;
    let ran = gateway.log.requests().len();
    assert!(ran <= 3, "{ran} requests of the account ran");
    let ordinary = gateway.send(Method::GET, "/safe/x", "ordinary", "").await;
    assert_eq!(ordinary.status, StatusCode::OK);
    let text = gateway.metrics[1].render();
    assert!(value(&text, "ingress_room_refused_total{reason=\"over_quota\"}") >= 1.0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_the_setting_the_body_is_read_first() {
    let gateway = Installation::start(1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"done".to_vec())
    })
    .await;
    let mut table = document(1);
    let hog = json!({
        "Name": "hog", "ApiKeys": [HOG_KEY], "Unit": "requests", "RatePerS": 0.1, "Burst": 1,
    });
    table["Tenants"].as_array_mut().unwrap().push(hog);
    gateway.publish(&table).await;
    let address = gateway.caller_address;
    wait_until("the quota is used up", || async {
        let whole = send_part(address, HOG_KEY, "body", 4).await;
        whole.as_deref() == Some("429")
    })
    .await;
    assert_eq!(send_part(address, HOG_KEY, "", 50_000).await, None);
}
