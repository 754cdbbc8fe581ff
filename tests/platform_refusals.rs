//! Requests that are refused before their body is read.

mod platform_support;

use std::{io, net::SocketAddr, time::Duration};

use platform_support::{
    API_KEY, Installation, PreparedInstallation, ServerAction, TEST_TIMEOUT, document, wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Lengths of request bodies; the table of the tests allows 65,536 bytes.
const LENGTHS: [usize; 4] = [2_000, 20_000, 60_000, 110_000];
const REPETITIONS: usize = 25;

/// How a caller sends the body.
#[derive(Clone, Copy, Debug)]
enum Sending {
    AtOnce,
    InPieces { count: usize, pause: Duration },
}

const SENDINGS: [Sending; 3] = [
    Sending::AtOnce,
    Sending::InPieces {
        count: 5,
        pause: Duration::from_millis(3),
    },
    Sending::InPieces {
        count: 4,
        pause: Duration::from_millis(60),
    },
];

fn head(path: &str, key: &str, length: usize) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {key}\r\n\
         X-Flamingocroft-Request-Id: refused\r\nContent-Length: {length}\r\n\r\n"
    )
}

/// Sends a whole request, also if its answer comes before its end, and then reads the status of the answer. As in most HTTP
/// clients, a failed write fails the request.
async fn send_whole(caller: &mut TcpStream, head: &str, length: usize, sending: Sending) -> Status {
    let body = vec![b'b'; length];
    let sent = async {
        match sending {
            Sending::AtOnce => caller.write_all(&[head.as_bytes(), &body].concat()).await?,
            Sending::InPieces { count, pause } => {
                caller.write_all(head.as_bytes()).await?;
                for piece in body.chunks(length.div_ceil(count)) {
                    caller.write_all(piece).await?;
                    sleep(pause).await;
                }
            }
        }
        io::Result::Ok(())
    };
    let sent = sent.await;
    if let Err(e) = sent {
        return Err(format!("sending failed: {e}"));
    }
    let mut answer = Vec::new();
    while !answer.windows(4).any(|part| part == b"\r\n\r\n") {
        match timeout(TEST_TIMEOUT, caller.read_buf(&mut answer)).await {
            Ok(Ok(1..)) => {}
            end => return Err(format!("{end:?} after {answer:?}")),
        }
    }
    let answer = String::from_utf8_lossy(&answer);
    let status = answer.split(' ').nth(1).unwrap_or_default();
    Ok(status.to_owned())
}

type Status = Result<String, String>;

/// Sends requests in all ways and returns what went wrong.
async fn failures(
    gateway: SocketAddr,
    path: &str,
    key: &str,
    expected: impl Fn(usize) -> &'static str,
) -> Vec<String> {
    let mut failures = Vec::new();
    for length in LENGTHS {
        for sending in SENDINGS {
            let tries = (0..REPETITIONS).map(|_| async {
                let mut caller = TcpStream::connect(gateway).await.unwrap();
                send_whole(&mut caller, &head(path, key, length), length, sending).await
            });
            for status in futures_util::future::join_all(tries).await {
                if status.as_deref() != Ok(expected(length)) {
                    failures.push(format!("{path}, {length} bytes {sending:?}: {status:?}"));
                }
            }
        }
    }
    failures
}

fn assert_none(failures: &[String]) {
    let first = failures.first();
    assert!(
        failures.is_empty(),
        "{} failed, the first: {first:?}",
        failures.len()
    );
}

async fn start() -> Installation {
    let installation = Installation::start(1, |_, _| {
        ServerAction::Respond(hyper::StatusCode::OK, b"done".to_vec())
    })
    .await;
    installation.publish(&document(1)).await;
    installation
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_without_a_route_reaches_a_caller_that_is_still_sending() {
    let gateway = start().await;
    assert_none(&failures(gateway.caller_address, "/nowhere/x", API_KEY, |_| "404").await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_a_key_reaches_a_caller_that_is_still_sending() {
    let gateway = start().await;
    assert_none(&failures(gateway.caller_address, "/safe/x", "wrong", |_| "401").await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_of_a_long_body_reaches_a_caller_that_is_still_sending() {
    let gateway = start().await;
    let expected = |length| match length > 65_536 {
        true => "413",
        false => "200",
    };
    assert_none(&failures(gateway.caller_address, "/safe/x", API_KEY, expected).await);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_without_a_table_reaches_a_caller_that_is_still_sending() {
    let prepared = PreparedInstallation::prepare(1, 1, |_, _| {
        ServerAction::Respond(hyper::StatusCode::OK, b"done".to_vec())
    })
    .await;
    let gateway = Installation::start_gateway_only(prepared).await;
    assert_none(&failures(gateway.caller_address, "/safe/x", API_KEY, |_| "503").await);
}

/// Guards against a connection that ends after a refusal although its request was read whole.
#[tokio::test]
async fn a_refused_request_that_was_sent_whole_leaves_its_connection_usable() {
    let gateway = start().await;
    let mut caller = TcpStream::connect(gateway.caller_address).await.unwrap();
    for length in LENGTHS.into_iter().chain(LENGTHS) {
        let refused = head("/nowhere/x", API_KEY, length);
        let status = send_whole(&mut caller, &refused, length, Sending::AtOnce).await;
        assert_eq!(status.as_deref(), Ok("404"), "{length}");
    }
}

#[tokio::test]
async fn a_refused_caller_that_waits_to_be_asked_for_its_body_is_not_asked() {
    let gateway = start().await;
    let mut caller = TcpStream::connect(gateway.caller_address).await.unwrap();
    let head = head("/nowhere/x", API_KEY, 20_000);
    let head = head.replace("\r\n\r\n", "\r\nExpect: 100-continue\r\n\r\n");
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let read = timeout(TEST_TIMEOUT, caller.read_to_string(&mut answer)).await;
    read.expect("the connection stays open").unwrap();
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert!(
        answer.to_lowercase().contains("connection: close"),
        "{answer}"
    );
}

/// Guards against callers that hold a connection for ever by not sending the rest of a refused request.
#[tokio::test]
async fn a_refused_caller_that_never_sends_the_rest_is_disconnected() {
    let gateway = start().await;
    let mut caller = TcpStream::connect(gateway.caller_address).await.unwrap();
    let head = head("/nowhere/x", API_KEY, 20_000);
    caller.write_all(head.as_bytes()).await.unwrap();
    let mut answer = String::new();
    let read = timeout(TEST_TIMEOUT, caller.read_to_string(&mut answer)).await;
    read.expect("the connection stays open").unwrap();
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    let caller = tokio::sync::Mutex::new(caller);
    wait_until("the gateway reads no more", || async {
        caller.lock().await.write_all(b"b").await.is_err()
    })
    .await;
}

#[tokio::test]
async fn the_refusal_of_a_large_head_reaches_a_caller_that_is_still_sending() {
    let gateway = start().await;
    for _ in 0..REPETITIONS {
        let mut caller = TcpStream::connect(gateway.caller_address).await.unwrap();
        let large = format!("GET /safe/x HTTP/1.1\r\nX-Large: {}", "x".repeat(60_000));
        // The bytes that follow are part of the same header.
        let more = 400;
        let sending = Sending::InPieces {
            count: 4,
            pause: Duration::from_millis(3),
        };
        let status = send_whole(&mut caller, &large, more, sending).await;
        assert_eq!(status.as_deref(), Ok("431"));
    }
}
