//! Tables and request heads with odd but accepted values: every request that was sent whole gets an answer.

mod metric_text;
mod platform_support;

use std::{
    panic,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use hyper::StatusCode;
use metric_text::value;
use platform_support::{
    API_KEY, Installation, ServerAction, TEST_TIMEOUT, document, post, wait_until,
};
use proptest::{
    prelude::Strategy,
    sample::{Index, select},
    strategy::ValueTree,
    test_runner::{Config, RngSeed, TestRunner},
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

static PANICS: AtomicUsize = AtomicUsize::new(0);

const TABLES: u64 = 120;
const REQUESTS_PER_TABLE: usize = 12;

/// Durations in milliseconds at and beyond the ends of their ranges. A limit below a few milliseconds would close
/// connections before their request arrives.
const LIMITS_MS: [f64; 6] = [500.0, 15_000.0, 1e15, 1e19, 1e22, 1e300];
const TIMES_MS: [f64; 10] = [
    -1.0,
    0.0,
    1e-9,
    1.0,
    300.0,
    3000.0,
    1e15,
    1.8e22,
    1e25,
    f64::MAX,
];
const AMOUNTS: [f64; 7] = [-1.0, 0.0, f64::MIN_POSITIVE, 1e-3, 1e6, 1e300, f64::MAX];
const COUNTS: [u32; 4] = [0, 1, 100, u32::MAX];
const BIG_COUNTS: [u64; 4] = [0, 1, 65_536, u64::MAX];

const DEADLINES: [&str; 7] = ["0", "1", "3000", "18446744073709551615", "-1", "1e9", "x"];
const TOKENS: [&str; 6] = [
    "18446744073709551615,18446744073709551615",
    "0,0",
    "1,18446744073709551615",
    "4294967296,1",
    "5,",
    ",",
];
const PREFIXES: [&str; 5] = [
    "ffffffffffffffff:18446744073709551615,0:0",
    "1:18446744073709551615,2:18446744073709551615,3:18446744073709551615",
    "",
    ":",
    "1:1,1:1,1:1",
];
const EVENTS: [&str; 5] = [
    "18446744073709551615",
    "18446744073709551616",
    "0",
    "-1",
    "x",
];

fn ms() -> impl Strategy<Value = f64> {
    select(&TIMES_MS[..])
}

/// Returns a table whose numbers are odd.
fn odd_table() -> impl Strategy<Value = Value> {
    let route = (
        (ms(), ms(), proptest::option::of(ms())),
        (
            select(&[0u8, 1, 255][..]),
            select(&COUNTS[..]),
            select(&COUNTS[..]),
        ),
        (
            select(&AMOUNTS[..]),
            select(&AMOUNTS[..]),
            select(&AMOUNTS[..]),
        ),
        (select(&LIMITS_MS[..]), select(&LIMITS_MS[..])),
        (select(&BIG_COUNTS[..]), select(&BIG_COUNTS[..])),
        (
            select(&COUNTS[..]),
            select(&COUNTS[..]),
            select(&BIG_COUNTS[..]),
        ),
        proptest::bool::ANY,
        proptest::bool::ANY,
    );
    route.prop_map(
        |(times, ranks, amounts, limits, sizes, engine, is_engine, in_tokens)| {
            let mut table = document(1);
            for route in table["Routes"].as_array_mut().unwrap() {
                // A timeout of zero is not accepted, and an endless one is not what this test waits for.
                let is_accepted = times.0 >= 1.0;
                route["TimeoutMs"] = json!(if is_accepted { times.0 } else { 3000.0 });
                route["TargetLatencyMs"] = json!(times.1);
                if let Some(gap) = times.2 {
                    route["TargetGapMs"] = json!(gap);
                }
                route["Priority"] = json!(ranks.0);
                route["MaxAttempts"] = json!(ranks.1);
                route["Service"] = Value::Null;
                route["TrafficSplit"] = json!([
                    {"Service": "app", "Weight": ranks.2.max(1)},
                    {"Service": "app", "Weight": u32::MAX},
                ]);
            }
            table["Services"][0]["MaxConns"] = json!(engine.0);
            if is_engine {
                table["Services"][0]["Engine"] = json!({"Slots": engine.1, "KvCapacity": engine.2});
                table["Services"][0]["Scaling"] = json!({
                    "Min": 0, "Max": engine.0, "BootS": times.1, "SpotPrice": amounts.0,
                    "ZonePrices": {"a": amounts.1},
                });
            }
            table["Limits"] = json!({
                "MaxHeaderBytes": sizes.0, "MaxBodyBytes": sizes.1,
                "HeaderTimeoutMs": limits.0, "IdleTimeoutMs": limits.1,
            });
            let tenant = &mut table["Tenants"][0];
            tenant["Priority"] = json!(ranks.0);
            tenant["RatePerS"] = json!(amounts.0);
            tenant["Burst"] = json!(amounts.1);
            if in_tokens {
                tenant["Unit"] = json!("tokens");
                tenant["PlainTokens"] = json!(amounts.2);
            }
            table
        },
    )
}

/// Returns a whole request with odd headers.
fn odd_request() -> impl Strategy<Value = String> {
    let parts = (
        select(&["safe", "once", "stream", "resumed", "nowhere"][..]),
        proptest::option::of(select(&DEADLINES[..])),
        proptest::option::of((select(&TOKENS[..]), select(&PREFIXES[..]))),
        proptest::option::of(select(&EVENTS[..])),
        proptest::option::of(select(&["", "other", "\u{e9}"][..])),
        proptest::bool::ANY,
        proptest::num::u8::ANY,
        proptest::arbitrary::any::<Index>(),
    );
    parts.prop_map(|(route, deadline, prompt, event, resumes, is_chunked, length, index)| {
        let method = ["GET", "POST", "HEAD", "PUT"][index.index(4)];
        let mut head = format!(
            "{method} /{route}/x HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {API_KEY}\r\n\
             X-Flamingocroft-Request-Id: {length}\r\n"
        );
        let mut add = |name: &str, value: &str| head.push_str(&format!("{name}: {value}\r\n"));
        if let Some(deadline) = deadline {
            add("X-Flamingocroft-Deadline-Ms", deadline);
        }
        if let Some((tokens, prefixes)) = prompt {
            add("X-Flamingocroft-Model", "m");
            add("X-Flamingocroft-Token-Count", tokens);
            add("X-Flamingocroft-Prefix-Hash", prefixes);
        }
        if let Some(event) = event {
            add("Last-Event-Id", event);
        }
        if let Some(resumes) = resumes {
            add("Resumes", resumes);
        }
        let body = "b".repeat(length.into());
        match is_chunked {
            true if length > 0 => {
                add("Transfer-Encoding", "chunked");
                head + &format!("\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
            }
            _ => {
                add("Content-Length", &length.to_string());
                head + "\r\n" + &body
            }
        }
    })
}

/// Sends a request and returns its status line, or what came instead.
async fn status_line(installation: &Installation, req: &str) -> Result<String, String> {
    let mut caller = TcpStream::connect(installation.caller_address)
        .await
        .unwrap();
    let sent = caller.write_all(req.as_bytes()).await;
    sent.map_err(|e| format!("sending failed: {e}"))?;
    let mut answer = Vec::new();
    while !answer.windows(4).any(|part| part == b"\r\n\r\n") {
        match timeout(TEST_TIMEOUT, caller.read_buf(&mut answer)).await {
            Ok(Ok(1..)) => {}
            end => return Err(format!("{end:?} after {answer:?}")),
        }
    }
    let answer = String::from_utf8_lossy(&answer).into_owned();
    Ok(answer.lines().next().unwrap_or_default().to_owned())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn whole_requests_are_answered_under_tables_with_odd_numbers() {
    let installation = Installation::start(2, |server, seen| match server {
        _ if seen.path.starts_with("/resumed") => ServerAction::Stream {
            chunks: vec!["id: 1\ndata: x\n\n".into(), "id: 2\ndata: x\n\n".into()],
            complete: true,
        },
        0 => ServerAction::Respond(StatusCode::OK, b"done".to_vec()),
        _ => ServerAction::RespondAfter(Duration::from_millis(5)),
    })
    .await;
    installation.publish(&document(1)).await;
    let report = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        PANICS.fetch_add(1, Ordering::Relaxed);
        report(info);
    }));
    let config = Config {
        rng_seed: RngSeed::Fixed(57),
        ..Config::default()
    };
    let mut runner = TestRunner::new(config);
    let (mut accepted, mut failures) = (0, Vec::new());
    for version in 2..TABLES + 2 {
        let mut table = odd_table().new_tree(&mut runner).unwrap().current();
        table["Version"] = json!(version);
        let put = post(
            installation.control_address,
            "/api/config/put",
            table.to_string(),
        );
        let answer = put.await.expect("the controller does not answer");
        if answer.status != StatusCode::OK {
            assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{table}");
            continue;
        }
        accepted += 1;
        wait_until("the table is in force", || async {
            let text = installation.metrics[1].render();
            value(&text, "ingress_table_version") == version as f64
        })
        .await;
        let requests: Vec<String> = (0..REQUESTS_PER_TABLE)
            .map(|_| odd_request().new_tree(&mut runner).unwrap().current())
            .collect();
        let answers = requests.iter().map(|req| status_line(&installation, req));
        let answers = futures_util::future::join_all(answers).await;
        for (req, answer) in requests.iter().zip(answers) {
            let status = answer.as_deref().unwrap_or_default();
            if !status.starts_with("HTTP/1.1 ") {
                failures.push(format!("{answer:?} to {req:?} under {table}"));
            }
        }
    }
    assert!(accepted > TABLES / 2, "only {accepted} tables are accepted");
    assert_eq!(
        PANICS.load(Ordering::Relaxed),
        0,
        "panics, which are answered too"
    );
    let first = failures.first();
    assert!(
        failures.is_empty(),
        "{} failed, the first: {first:#?}",
        failures.len()
    );
}
