//! Connections with malformed, surplus or cut-off bytes: no bytes of one request or its response may reach
//! another (request smuggling and response desynchronization).

mod platform_support;

use std::{sync::atomic::Ordering, time::Duration};

use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, Installation, ServerAction, document, list_entry,
    raw::{RawBehavior, RawServer, SEND_DELAY, start_installation},
    wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Parses the bytes of a connection, which must consist of complete requests, and returns their
/// identifiers.
fn requests(bytes: &[u8]) -> Vec<String> {
    let text = String::from_utf8(bytes.to_vec()).unwrap();
    let mut rest = text.as_str();
    let mut ids = Vec::new();
    while !rest.is_empty() {
        let (head, after) = rest.split_once("\r\n\r\n").expect("a whole head");
        assert!(
            head.starts_with("POST /") || head.starts_with("GET /"),
            "not a request head: {head}"
        );
        let field = |name: &str| {
            let line = head
                .lines()
                .find(|line| line.to_lowercase().starts_with(name));
            line.and_then(|line| line.split_once(':'))
                .map(|(_, value)| value.trim())
        };
        ids.push(
            field("x-flamingocroft-request-id:")
                .unwrap_or_default()
                .to_owned(),
        );
        let length = field("content-length:").map_or(0, |length| length.parse().unwrap());
        rest = after.get(length..).unwrap_or_default();
    }
    ids
}

#[tokio::test]
async fn bytes_after_a_response_reach_no_other_caller() {
    for behavior in [RawBehavior::ExtraResponse, RawBehavior::LateExtraResponse] {
        let (installation, _server) = start_installation(behavior).await;
        for i in 0..20 {
            let id = format!("r{i}");
            let res = installation.send(Method::POST, "/once/x", &id, "").await;
            let got = (res.status, res.body);
            match got.0 {
                StatusCode::OK => {
                    assert_eq!(
                        got.1.unwrap(),
                        format!("answer to {id}").as_bytes(),
                        "{behavior:?}"
                    );
                }
                // A connection with surplus bytes may lose the response, but never change it.
                StatusCode::BAD_GATEWAY => {}
                other => panic!("{behavior:?}: {other}"),
            }
            sleep(SEND_DELAY / 20 * (i % 3)).await;
        }
    }
}

#[tokio::test]
async fn a_server_that_responds_early_gets_the_rest_of_the_body_and_nothing_else() {
    let (installation, server) = start_installation(RawBehavior::EarlyResponse).await;
    let long = "b".repeat(60_000);
    for i in 0..10 {
        let id = format!("r{i}");
        let res = installation.send(Method::POST, "/once/x", &id, &long).await;
        assert_eq!(res.status, StatusCode::OK);
        assert_eq!(res.text(), format!("answer to {id}"));
    }
    sleep(SEND_DELAY * 4).await;
    let received = server.received.lock().unwrap().clone();
    for bytes in received {
        requests(&bytes);
    }
}

#[tokio::test]
async fn a_response_without_length_is_complete_only_if_its_connection_was_not_reset() {
    let (unbroken, _server) = start_installation(RawBehavior::NoLength).await;
    let res = unbroken.send(Method::POST, "/once/x", "r1", "").await;
    assert_eq!(res.status, StatusCode::OK);
    assert_eq!(res.text(), "answer to r1");
    let (reset, _server) = start_installation(RawBehavior::NoLengthReset).await;
    let res = reset.send(Method::POST, "/once/x", "r1", "").await;
    assert!(res.body.is_err(), "{res:?}");
}

/// Guards against requests that reach the wrong server: addresses are reused by later servers, so pooled
/// connections must be closed once their server is no longer listed.
#[tokio::test]
async fn connections_to_a_server_end_when_it_is_no_longer_listed() {
    let (installation, server) = start_installation(RawBehavior::Correct).await;
    installation.send(Method::POST, "/once/x", "r1", "").await;
    assert!(server.open.load(Ordering::Relaxed) > 0);
    let other = RawServer::start(
        &installation.control_address.ip().to_string(),
        RawBehavior::Correct,
    )
    .await;
    *installation.listed.lock().unwrap() = vec![list_entry("i-other", other.address)];
    wait_until("the connections are closed", || async {
        server.open.load(Ordering::Relaxed) == 0
    })
    .await;
}

#[tokio::test]
async fn a_request_body_is_never_parsed_as_a_request() {
    let installation = Installation::start(1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"done".to_vec())
    })
    .await;
    installation.publish(&document(1)).await;
    let hidden = format!(
        "GET /once/hidden HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {API_KEY}\r\n\r\n"
    );
    let chunk = format!("{:x}\r\n{hidden}\r\n0\r\n\r\n", hidden.len());
    let length = format!("Content-Length: {}", hidden.len());
    let chunked = "Transfer-Encoding: chunked".to_owned();
    let cases = [
        (vec![length.clone()], hidden.clone()),
        (vec![chunked.clone()], chunk.clone()),
        // Both headers, in either order: gateway and server could each follow a different one.
        (
            vec!["Content-Length: 4".to_owned(), chunked.clone()],
            chunk.clone(),
        ),
        (vec![chunked, "Content-Length: 0".to_owned()], chunk),
        (vec!["Content-Length: 0".to_owned(), length], hidden.clone()),
        (vec!["Transfer-Encoding: identity, x".to_owned()], hidden),
    ];
    for (i, (headers, body)) in cases.into_iter().enumerate() {
        let mut caller = TcpStream::connect(installation.caller_address)
            .await
            .unwrap();
        let request = format!(
            "POST /once/shown{i} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {API_KEY}\r\n\
             X-Flamingocroft-Request-Id: s{i}\r\nConnection: close\r\n{}\r\n\r\n{body}",
            headers.join("\r\n")
        );
        caller.write_all(request.as_bytes()).await.unwrap();
        let mut answer = Vec::new();
        let read = timeout(Duration::from_secs(5), caller.read_to_end(&mut answer));
        // The gateway may reject such a request by closing the connection.
        let _ = read.await.expect("the connection stays open");
    }
    sleep(Duration::from_millis(100)).await;
    let seen = installation.log.requests();
    assert!(seen.len() <= 6, "{seen:?}");
    let hidden: Vec<_> = seen
        .iter()
        .filter(|seen| seen.path.contains("hidden"))
        .collect();
    assert!(hidden.is_empty(), "{hidden:?}");
    assert!(
        seen.iter()
            .filter(|seen| seen.path.contains("shown"))
            .count()
            >= 2,
        "{seen:?}"
    );
}
