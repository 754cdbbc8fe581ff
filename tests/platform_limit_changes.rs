//! Limits for callers' connections that change while requests are in progress.

mod platform_support;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::StatusCode;
use platform_support::{API_KEY, Installation, ServerAction, TEST_TIMEOUT, document, post};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, sleep, timeout},
};

/// Time for which the limits change.
const DURATION: Duration = Duration::from_secs(6);
const CHANGE_INTERVAL: Duration = Duration::from_millis(5);
/// The limits that follow each other. The callers do not pause between requests.
const LIMITS_MS: [u64; 5] = [250, 15_000, 300, 1_000, 200];
/// Longer than the shortest limits.
const SLOW: Duration = Duration::from_millis(700);
const LONG_BYTES: usize = 12 * 1024 * 1024;
const CALLERS_PER_KIND: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Kind {
    /// A request and its answer are each in one piece.
    Quick,
    /// The server answers after [`SLOW`].
    SlowServer,
    /// The caller sends the body within [`SLOW`].
    SlowBody,
    /// The events of the answer take [`SLOW`].
    SlowStream,
    /// The caller takes [`SLOW`] and more for a long answer.
    SlowTaking,
}

const KINDS: [Kind; 5] = [
    Kind::Quick,
    Kind::SlowServer,
    Kind::SlowBody,
    Kind::SlowStream,
    Kind::SlowTaking,
];

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Self::Quick | Self::SlowBody => "/safe/quick",
            Self::SlowServer => "/once/slow",
            Self::SlowStream => "/resumed/slow",
            Self::SlowTaking => "/safe/long",
        }
    }
}

/// Sends one request over a kept connection and reads the whole answer.
async fn exchange(caller: &mut TcpStream, kind: Kind) -> std::io::Result<()> {
    const PIECES: u32 = 10;
    let body = [b'b'; 20_000];
    let head = format!(
        "POST {} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {API_KEY}\r\n\
         Content-Length: {}\r\n\r\n",
        kind.path(),
        body.len()
    );
    match kind {
        Kind::SlowBody => {
            caller.write_all(head.as_bytes()).await?;
            for piece in body.chunks(body.len() / PIECES as usize) {
                sleep(SLOW / PIECES).await;
                caller.write_all(piece).await?;
            }
        }
        _ => caller.write_all(&[head.as_bytes(), &body].concat()).await?,
    }
    let mut answer = Vec::new();
    let mut buf = vec![0; LONG_BYTES / 24];
    loop {
        if let Some(end) = answer.windows(4).position(|part| part == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&answer[..end]).to_lowercase();
            assert!(head.starts_with("http/1.1 200"), "{kind:?}: {head}");
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length: "));
            let is_whole = match length {
                Some(length) => answer.len() - end - 4 == length.parse::<usize>().unwrap(),
                None => answer.ends_with(b"0\r\n\r\n"),
            };
            if is_whole {
                return Ok(());
            }
        }
        if matches!(kind, Kind::SlowTaking) {
            sleep(SLOW / 16).await;
        }
        match caller.read(&mut buf).await? {
            0 => return Err(std::io::ErrorKind::UnexpectedEof.into()),
            read => answer.extend_from_slice(&buf[..read]),
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 3)]
async fn whole_requests_on_kept_connections_are_answered_while_the_limits_change() {
    let installation = Installation::start(2, |_, seen| match seen.path.as_str() {
        "/once/slow" => ServerAction::RespondAfter(SLOW),
        "/safe/long" => ServerAction::Respond(StatusCode::OK, vec![b'x'; LONG_BYTES]),
        "/resumed/slow" => {
            let events = (1..=7).map(|id| format!("id: {id}\ndata: x\n\n")).collect();
            ServerAction::Paced(events, SLOW / 7)
        }
        _ => ServerAction::Respond(StatusCode::OK, b"done".to_vec()),
    })
    .await;
    let mut table = document(1);
    for route in table["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!(15_000);
        route["TargetLatencyMs"] = json!(2000);
    }
    installation.publish(&table).await;
    let stopped = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let callers: Vec<_> = KINDS
        .into_iter()
        .flat_map(|kind| [kind; CALLERS_PER_KIND])
        .map(|kind| {
            let (stopped, answered) = (Arc::clone(&stopped), Arc::clone(&answered));
            let gateway = installation.caller_address;
            tokio::spawn(async move {
                let mut caller = TcpStream::connect(gateway).await.unwrap();
                while !stopped.load(Ordering::Relaxed) {
                    // The system holds the end of an answer that its caller has not taken, and the gateway sees an idle
                    // connection.
                    if matches!(kind, Kind::SlowTaking) {
                        caller = TcpStream::connect(gateway).await.unwrap();
                    }
                    let done = timeout(TEST_TIMEOUT, exchange(&mut caller, kind)).await;
                    let done = done.map_err(|_| "no answer in time".to_owned())?;
                    done.map_err(|e| format!("{kind:?}: {e}"))?;
                    answered.fetch_add(1, Ordering::Relaxed);
                }
                Ok::<(), String>(())
            })
        })
        .collect();
    let end = Instant::now() + DURATION;
    let mut version = 1;
    while Instant::now() < end {
        version += 1;
        table["Version"] = json!(version);
        let limit = LIMITS_MS[version % LIMITS_MS.len()];
        table["Limits"]["IdleTimeoutMs"] = json!(limit);
        table["Limits"]["HeaderTimeoutMs"] = json!(limit);
        let put = post(
            installation.control_address,
            "/api/config/put",
            table.to_string(),
        );
        assert_eq!(put.await.expect("no answer").status, StatusCode::OK);
        sleep(CHANGE_INTERVAL).await;
    }
    stopped.store(true, Ordering::Relaxed);
    let results = futures_util::future::join_all(callers).await;
    let failures: Vec<_> = results
        .into_iter()
        .filter_map(|done| done.unwrap().err())
        .collect();
    let (answered, changes) = (answered.load(Ordering::Relaxed), version - 1);
    assert!(
        failures.is_empty(),
        "{failures:?} of {answered} beside {changes} changes"
    );
    println!("{answered} requests beside {changes} changes");
    assert!(changes > 50, "only {changes} changes");
}
