//! Servers that answer a request before they have read it.

mod platform_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use futures_util::future::join_all;
use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, Installation, ServerAction, call, document, list_entry, wait_until,
};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// Length of a body of which a server that reads none of it cannot receive all.
const LONG_BYTES: usize = 6 * 1024 * 1024;
const LONG_REQUESTS: usize = 8;
const SHORT_REQUESTS: usize = 24;
/// `TimeoutMs` of the routes of the short requests.
const TIMEOUT: Duration = Duration::from_millis(800);
/// `TimeoutMs` of the route of the long requests.
const LONG_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that a response may take beyond the deadline on a loaded machine.
const SLACK: Duration = Duration::from_millis(700);

/// How a server reads on after an early answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadsOn {
    After(Duration),
    Never,
    ByteBySecond,
}

/// What a server received.
#[derive(Default)]
struct Received {
    requests: AtomicUsize,
    long_bodies_read: AtomicUsize,
    /// Request heads and bodies that are not what the callers sent.
    foreign: Mutex<Vec<String>>,
}

async fn start_server(host: &str, reads_on: ReadsOn) -> (SocketAddr, Arc<Received>) {
    let listener = TcpListener::bind((host, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Arc::<Received>::default();
    let all = Arc::clone(&received);
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            let all = Arc::clone(&all);
            tokio::spawn(async move {
                // An error ends the connection, which is all that the server does about it.
                let _ = serve(stream, reads_on, &all).await;
            });
        }
    });
    (address, received)
}

async fn serve(mut stream: TcpStream, reads_on: ReadsOn, all: &Received) -> std::io::Result<()> {
    let mut buf = Vec::new();
    loop {
        let end = loop {
            if let Some(end) = buf.windows(4).position(|part| part == b"\r\n\r\n") {
                break end + 4;
            }
            if stream.read_buf(&mut buf).await? == 0 {
                return Ok(());
            }
        };
        let head = String::from_utf8_lossy(&buf[..end]).into_owned();
        if !head.starts_with("GET ") && !head.starts_with("POST ") {
            all.foreign.lock().unwrap().push(head);
            return Ok(());
        }
        all.requests.fetch_add(1, Ordering::Relaxed);
        let body = buf.split_off(end);
        let length: usize = header(&head, "content-length").map_or(0, |v| v.parse().unwrap());
        let id = header(&head, "x-flamingocroft-request-id").unwrap_or_default();
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Flamingocroft-Request-Id: {id}\r\n\
             X-Flamingocroft-Response-Seal: seal\r\nContent-Length: 4\r\n\r\ndone"
        );
        if length < LONG_BYTES {
            buf = body;
            while buf.len() < length {
                stream.read_buf(&mut buf).await?;
            }
            buf.drain(..length);
            stream.write_all(answer.as_bytes()).await?;
            continue;
        }
        sleep(Duration::from_millis(300)).await;
        stream.write_all(answer.as_bytes()).await?;
        buf = read_on(&mut stream, reads_on, body, length, all).await?;
    }
}

/// Reads the rest of a long body, and returns the bytes after it.
async fn read_on(
    stream: &mut TcpStream,
    reads_on: ReadsOn,
    mut body: Vec<u8>,
    length: usize,
    all: &Received,
) -> std::io::Result<Vec<u8>> {
    match reads_on {
        ReadsOn::After(pause) => sleep(pause).await,
        ReadsOn::Never => std::future::pending().await,
        ReadsOn::ByteBySecond => loop {
            sleep(Duration::from_secs(1)).await;
            stream.read_u8().await?;
        },
    }
    while body.len() < length {
        if stream.read_buf(&mut body).await? == 0 {
            return Ok(Vec::new());
        }
    }
    let rest = body.split_off(length);
    if body.iter().any(|byte| *byte != b'b') {
        let foreign = "a body with other bytes".to_owned();
        all.foreign.lock().unwrap().push(foreign);
    }
    all.long_bodies_read.fetch_add(1, Ordering::Relaxed);
    Ok(rest)
}

fn header(head: &str, name: &str) -> Option<String> {
    let lines = head.lines().filter_map(|line| line.split_once(':'));
    let mut found = lines.filter(|(other, _)| other.eq_ignore_ascii_case(name));
    found.next().map(|(_, value)| value.trim().to_owned())
}

async fn start(reads_on: ReadsOn) -> (Installation, Arc<Received>) {
    let installation = Installation::start(1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"done".to_vec())
    })
    .await;
    let mut table = document(1);
    table["Limits"]["MaxBodyBytes"] = json!(LONG_BYTES);
    let mut long = table["Routes"][1].clone();
    long["Name"] = json!("long");
    long["PathPrefix"] = json!("/long/");
    long["TimeoutMs"] = json!(LONG_TIMEOUT.as_millis() as u64);
    let routes = table["Routes"].as_array_mut().unwrap();
    for route in routes.iter_mut() {
        route["TimeoutMs"] = json!(TIMEOUT.as_millis() as u64);
    }
    routes.push(long);
    installation.publish(&table).await;
    let host = installation.control_address.ip().to_string();
    let (address, received) = start_server(&host, reads_on).await;
    *installation.listed.lock().unwrap() = vec![list_entry("i-early", address)];
    wait_until("the server is used", || async {
        installation.send(Method::GET, "/safe/x", "first", "").await;
        received.requests.load(Ordering::Relaxed) > 0
    })
    .await;
    (installation, received)
}

/// Sends a request; returns `None` if it has no answer soon after its deadline.
async fn send(installation: &Installation, request: (Method, &str, &str, Duration)) -> Outcome {
    let (method, path, body, deadline) = request;
    let key = format!("Bearer {API_KEY}");
    let deadline_ms = deadline.as_millis().to_string();
    let headers = [
        ("host", "depot.example"),
        ("x-flamingocroft-request-id", path),
        ("x-flamingocroft-deadline-ms", &deadline_ms),
        ("authorization", &key),
    ];
    let sent = call(installation.caller_address, method, path, &headers, body);
    let res = timeout(deadline + SLACK, sent).await.ok().flatten();
    res.map(|res| res.status)
}

type Outcome = Option<StatusCode>;

/// Sends long requests, which are answered early, and then short ones; returns the outcomes of both.
async fn send_all(installation: &Installation) -> (Vec<Outcome>, Vec<Outcome>) {
    let body = "b".repeat(LONG_BYTES);
    let paths: Vec<_> = (0..LONG_REQUESTS).map(|n| format!("/long/{n}")).collect();
    let long = paths
        .iter()
        .map(|path| send(installation, (Method::POST, path, &body, LONG_TIMEOUT)));
    let long = join_all(long).await;
    sleep(Duration::from_millis(100)).await;
    let paths: Vec<_> = (0..SHORT_REQUESTS / 2)
        .flat_map(|n| {
            [
                (Method::GET, format!("/safe/{n}")),
                (Method::POST, format!("/once/{n}")),
            ]
        })
        .collect();
    let short = paths
        .iter()
        .map(|(method, path)| send(installation, (method.clone(), path, "", TIMEOUT)));
    (long, join_all(short).await)
}

/// Checks that an early answer costs neither a later request nor the server's standing.
async fn check_later_requests(reads_on: ReadsOn) -> Arc<Received> {
    let (installation, received) = start(reads_on).await;
    let (long, short) = send_all(&installation).await;
    let lost = |outcomes: &[Outcome]| {
        let lost = outcomes.iter().filter(|res| **res != Some(StatusCode::OK));
        lost.count()
    };
    let all_lost = (lost(&long), lost(&short));
    assert_eq!(all_lost, (0, 0), "long {long:?}, short {short:?}");
    assert_eq!(*received.foreign.lock().unwrap(), Vec::<String>::new());
    received
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_after_an_early_answer_do_not_wait_for_a_server_that_reads_on_later() {
    let received = check_later_requests(ReadsOn::After(Duration::from_secs(3))).await;
    // The rest of each body still arrives, as the server expects.
    wait_until("the long bodies are read", || async {
        received.long_bodies_read.load(Ordering::Relaxed) == LONG_REQUESTS
    })
    .await;
    assert_eq!(*received.foreign.lock().unwrap(), Vec::<String>::new());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_after_an_early_answer_do_not_wait_for_a_server_that_never_reads_on() {
    check_later_requests(ReadsOn::Never).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_after_an_early_answer_do_not_wait_for_a_server_that_reads_a_byte_a_second() {
    check_later_requests(ReadsOn::ByteBySecond).await;
}
