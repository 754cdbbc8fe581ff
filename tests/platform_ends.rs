//! How answers end: an answer looks complete to its caller only if its server showed that it is.

mod platform_support;

use std::{net::SocketAddr, time::Duration};

use hyper::StatusCode;
use platform_support::{
    API_KEY, Installation, PreparedInstallation, ServerAction, TEST_TIMEOUT,
    daemons::Daemons,
    document, list_entry,
    raw::{EVENTS, RawBehavior, RawServer, event, start_installation},
    wait_until,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// How a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Closed,
    Reset,
}

/// The bytes of an answer and the end of its connection.
#[derive(Debug)]
struct RawAnswer {
    head: String,
    body: String,
    end: End,
}

impl RawAnswer {
    fn has_header(&self, name: &str) -> bool {
        let mut lines = self.head.lines();
        lines.any(|line| line.to_lowercase().starts_with(name))
    }

    fn is_chunked(&self) -> bool {
        self.has_header("transfer-encoding:")
    }

    /// Returns whether the answer looks complete to a caller that does not know what it should hold.
    fn looks_complete(&self) -> bool {
        match self.is_chunked() {
            true => self.body.ends_with("\r\n0\r\n\r\n"),
            false => self.end == End::Closed,
        }
    }
}

async fn request(gateway: SocketAddr, path: &str, id: &str) -> TcpStream {
    let mut caller = TcpStream::connect(gateway).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         X-Flamingocroft-Request-Id: {id}\r\nX-Flamingocroft-Deadline-Ms: 3000\r\n\
         Connection: close\r\nContent-Length: 0\r\n\r\n"
    );
    caller.write_all(request.as_bytes()).await.unwrap();
    caller
}

async fn read_answer(mut caller: TcpStream) -> RawAnswer {
    let mut bytes = Vec::new();
    let read = timeout(TEST_TIMEOUT, caller.read_to_end(&mut bytes));
    let end = match read.await.expect("the connection stays open") {
        Ok(_) => End::Closed,
        Err(_) => End::Reset,
    };
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or((&text, ""));
    RawAnswer {
        head: head.to_owned(),
        body: body.to_owned(),
        end,
    }
}

async fn send(gateway: SocketAddr, path: &str, id: &str) -> RawAnswer {
    read_answer(request(gateway, path, id).await).await
}

/// Returns all events of a raw server's stream.
fn events() -> String {
    (1..=EVENTS).map(event).collect()
}

#[tokio::test]
async fn an_answer_that_ends_with_its_connection_is_not_framed_as_complete() {
    let (installation, _server) = start_installation(RawBehavior::NoLengthStream).await;
    for path in ["/safe/x", "/once/x", "/stream/x", "/resumed/x"] {
        let answer = send(installation.caller_address, path, "r1").await;
        let framed = answer.is_chunked() || answer.has_header("content-length:");
        assert!(!framed, "{path}: {answer:?}");
        assert!(answer.head.contains("200 OK"), "{path}: {answer:?}");
        let seen = (answer.body.as_str(), answer.end);
        assert_eq!(seen, (events().as_str(), End::Closed), "{path}");
    }
}

#[tokio::test]
async fn an_answer_whose_connection_is_reset_does_not_look_complete() {
    let (installation, _server) = start_installation(RawBehavior::NoLengthStreamReset).await;
    for path in ["/safe/x", "/once/x", "/stream/x", "/resumed/x"] {
        let answer = send(installation.caller_address, path, "r1").await;
        assert!(!answer.looks_complete(), "{path}: {answer:?}");
    }
}

#[tokio::test]
async fn a_stream_whose_rest_ends_with_its_connection_is_not_framed_as_complete() {
    let installation = Installation::start(1, |_, _| ServerAction::Stream {
        chunks: vec![event(1), "id: 2\ndata: pie".into()],
        complete: false,
    })
    .await;
    let host = installation.control_address.ip().to_string();
    let server = RawServer::start(&host, RawBehavior::NoLengthStream).await;
    installation.publish(&document(1)).await;
    let entry = list_entry("i-raw", server.address);
    installation.listed.lock().unwrap().push(entry);
    let (mut resumed, begun) = (0, Instant::now());
    for number in 0.. {
        let waited = begun.elapsed();
        assert!(
            waited < TEST_TIMEOUT,
            "{resumed} streams were resumed at the server"
        );
        let path = "/resumed/x";
        let answer = send(installation.caller_address, path, &format!("r{number}")).await;
        if answer.is_chunked() && answer.body.contains(&event(EVENTS)) {
            assert!(!answer.looks_complete(), "{answer:?}");
            resumed += 1;
        }
        if resumed == 3 {
            break;
        }
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn an_answer_without_length_does_not_look_complete_when_its_gateway_is_killed() {
    let prepared = PreparedInstallation::prepare(1, 1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"done".to_vec())
    })
    .await;
    let mut daemons = Daemons::start(prepared);
    let installation = &daemons.installation;
    let host = installation.control_address.ip().to_string();
    let server = RawServer::start(&host, RawBehavior::NoLengthStreamOpen).await;
    daemons.publish(&document(1)).await;
    installation.wait_until_served(&document(1)).await;
    *installation.listed.lock().unwrap() = vec![list_entry("i-raw", server.address)];
    let gateway = installation.caller_address;
    let mut waiting = Vec::new();
    wait_until("the server is used", || async {
        let caller = request(gateway, "/stream/x", "r0").await;
        let is_used = !server.received.lock().unwrap().is_empty();
        drop(caller);
        is_used
    })
    .await;
    for path in ["/stream/x", "/resumed/x"] {
        let caller = request(gateway, path, "r1").await;
        // The head and the first event have arrived.
        timeout(TEST_TIMEOUT, async {
            let mut buf = [0; 4096];
            loop {
                let n = caller.peek(&mut buf).await.unwrap();
                if String::from_utf8_lossy(&buf[..n]).contains(&event(EVENTS)) {
                    return;
                }
                sleep(Duration::from_millis(10)).await;
            }
        })
        .await
        .expect("no events");
        waiting.push((path, caller));
    }
    daemons.gateway.kill();
    for (path, caller) in waiting {
        let answer = read_answer(caller).await;
        assert!(!answer.looks_complete(), "{path}: {answer:?}");
        assert!(answer.body.contains(&event(EVENTS)), "{path}: {answer:?}");
    }
}
