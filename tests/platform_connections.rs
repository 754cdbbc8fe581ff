//! The limits of a published table for callers' connections.

mod platform_support;

use std::{sync::atomic::Ordering, time::Duration};

use hyper::{Method, StatusCode};
use platform_support::{Installation, ServerAction, call, document, wait_until};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::Instant,
};

fn ok(_: usize, _: &platform_support::ReceivedRequest) -> ServerAction {
    ServerAction::Respond(StatusCode::OK, b"done".to_vec())
}

#[tokio::test]
async fn idle_connections_and_large_heads_are_limited_by_the_table() {
    let installation = Installation::start(1, ok).await;
    let mut limited = document(1);
    limited["Limits"]["IdleTimeoutMs"] = serde_json::json!(300);
    limited["Limits"]["MaxHeaderBytes"] = serde_json::json!(9000);
    installation.publish(&limited).await;
    let mut idle = TcpStream::connect(installation.caller_address)
        .await
        .unwrap();
    let begun = Instant::now();
    let mut rest = Vec::new();
    tokio::time::timeout(platform_support::TEST_TIMEOUT, idle.read_to_end(&mut rest))
        .await
        .expect("the connection stays open")
        .unwrap();
    assert!(
        begun.elapsed() >= Duration::from_millis(250),
        "{:?}",
        begun.elapsed()
    );
    // The limit is checked between reads, so a head that arrives in a single read may be somewhat larger.
    let large = "x".repeat(40_000);
    let headers = [("host", "depot.example"), ("x-large", &*large)];
    let res = installation.get("/safe/x", &headers).await;
    assert_eq!(res.status, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
    assert!(installation.log.requests().is_empty());
}

/// Guards against slow callers that hold a connection by sending a request head byte by byte.
#[tokio::test]
async fn a_request_head_that_takes_too_long_ends_its_connection() {
    let installation = Installation::start(1, ok).await;
    let mut limited = document(1);
    limited["Limits"]["HeaderTimeoutMs"] = serde_json::json!(400);
    installation.publish(&limited).await;
    let mut slow = TcpStream::connect(installation.caller_address)
        .await
        .unwrap();
    // The time before the first byte of a head is idle time and does not count.
    tokio::time::sleep(Duration::from_millis(600)).await;
    let begun = Instant::now();
    let trickle = async {
        for byte in b"GET /safe/x HTTP/1.1\r\nHost: depot.example\r\n"
            .iter()
            .cycle()
        {
            if slow.write_all(&[*byte]).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(platform_support::TEST_TIMEOUT, trickle)
        .await
        .expect("the connection stays open");
    let took = begun.elapsed();
    assert!(took >= Duration::from_millis(350), "{took:?}");
    assert!(took < Duration::from_millis(1500), "{took:?}");
    assert!(installation.log.requests().is_empty());
}

#[tokio::test]
async fn open_connections_get_the_limits_of_a_new_table() {
    let installation = Installation::start(1, ok).await;
    installation.publish(&document(1)).await;
    let mut open = TcpStream::connect(installation.caller_address)
        .await
        .unwrap();
    let head = format!(
        "GET /safe/x HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {}\r\n\r\n",
        platform_support::API_KEY
    );
    open.write_all(head.as_bytes()).await.unwrap();
    let mut limited = document(2);
    limited["Limits"]["IdleTimeoutMs"] = serde_json::json!(300);
    // Requests without a key succeed on this route only once the new table is in force.
    limited["Routes"][0]["Public"] = serde_json::json!(true);
    installation.publish(&limited).await;
    wait_until("the new table is in force", || async {
        let headers = [("host", "depot.example")];
        let res = call(
            installation.caller_address,
            Method::GET,
            "/safe/x",
            &headers,
            "",
        )
        .await;
        res.is_some_and(|res| res.status == StatusCode::OK)
    })
    .await;
    // A connection applies the limits that are in force when it becomes idle, here after this response.
    open.write_all(head.as_bytes()).await.unwrap();
    let mut answers = Vec::new();
    tokio::time::timeout(Duration::from_secs(5), open.read_to_end(&mut answers))
        .await
        .expect("the connection stays open")
        .unwrap();
    let answers = String::from_utf8(answers).unwrap();
    assert_eq!(answers.matches("200 OK").count(), 2, "{answers}");
}

/// Guards against callers that hold an upstream for ever by not reading its response.
#[tokio::test]
async fn a_response_that_its_caller_does_not_take_ends_after_its_deadline() {
    let installation = Installation::start(1, |_, _| ServerAction::Stream {
        chunks: vec!["x".repeat(1024 * 1024); 64],
        complete: true,
    })
    .await;
    let mut limited = document(1);
    limited["Limits"]["IdleTimeoutMs"] = serde_json::json!(300);
    limited["Routes"][0]["TimeoutMs"] = serde_json::json!(800);
    installation.publish(&limited).await;
    let mut deaf = TcpStream::connect(installation.caller_address)
        .await
        .unwrap();
    let head = format!(
        "GET /safe/x HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {}\r\n\r\n",
        platform_support::API_KEY
    );
    deaf.write_all(head.as_bytes()).await.unwrap();
    let in_progress = &installation.log.in_progress;
    wait_until("the response has begun", || async {
        in_progress.load(Ordering::Relaxed) == 1
    })
    .await;
    wait_until("the response has ended", || async {
        in_progress.load(Ordering::Relaxed) == 0
    })
    .await;
}
