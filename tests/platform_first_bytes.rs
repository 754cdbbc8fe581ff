//! Answers that break off, or are silent, before a byte of their body has gone to the caller.

mod platform_support;

use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, Answer, Installation, ReceivedRequest, ServerAction, call, document, list_entry,
    raw::{RawBehavior, RawServer, start_installation},
    wait_until,
};
use serde_json::json;
use tokio::time::sleep;

const CUTS: [RawBehavior; 3] = [
    RawBehavior::CutLength,
    RawBehavior::CutChunks,
    RawBehavior::CutNoLength,
];
const PATHS: [&str; 4] = ["/safe/x", "/once/x", "/stream/x", "/resumed/x"];
/// Paths of requests that may be repeated.
const REPEATABLE: [&str; 2] = ["/safe/x", "/resumed/x"];
/// Paths of requests that may run once only.
const ONCE: [&str; 2] = ["/once/x", "/stream/x"];
/// Longer than any silence after which another upstream is tried.
const SILENCE: Duration = Duration::from_millis(1600);

/// Sends a request; returns `None` if its connection ends without an answer.
async fn try_send(installation: &Installation, path: &str, id: &str) -> Option<Answer> {
    let key = format!("Bearer {API_KEY}");
    let headers = [
        ("host", "depot.example"),
        ("x-flamingocroft-request-id", id),
        ("x-flamingocroft-deadline-ms", "3000"),
        ("authorization", &key),
    ];
    let gateway = installation.caller_address;
    call(gateway, Method::POST, path, &headers, "").await
}

/// Starts an installation with a server that cuts its answers off and a sound one.
async fn start_with_cutting_server(behavior: RawBehavior) -> (Installation, RawServer) {
    let installation = Installation::start(1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"id: 1\ndata: done\n\n".to_vec())
    })
    .await;
    let host = installation.control_address.ip().to_string();
    let server = RawServer::start(&host, behavior).await;
    installation.publish(&document(1)).await;
    let entry = list_entry("i-raw", server.address);
    installation.listed.lock().unwrap().push(entry);
    (installation, server)
}

fn with_each_cut(paths: [&str; 2]) -> impl Iterator<Item = (RawBehavior, &str)> {
    CUTS.into_iter()
        .flat_map(move |behavior| paths.map(|path| (behavior, path)))
}

fn received(server: &RawServer, id: &str) -> usize {
    let all = server.received.lock().unwrap();
    let all = all.iter().map(|bytes| String::from_utf8_lossy(bytes));
    all.map(|text| text.matches(&format!(": {id}\r\n")).count())
        .sum()
}

#[tokio::test]
async fn an_answer_that_breaks_off_before_its_first_byte_is_a_502() {
    for behavior in CUTS {
        let (installation, _server) = start_installation(behavior).await;
        for path in PATHS {
            let answer = try_send(&installation, path, "r1").await;
            let status = answer.map(|answer| answer.status);
            assert_eq!(status, Some(StatusCode::BAD_GATEWAY), "{behavior:?} {path}");
        }
    }
}

/// Sends requests until the cutting server has got one of them. Calls `check` with each answer, and with how often the
/// cutting server and the sound one got its request.
async fn send_until_cut(path: &str, behavior: RawBehavior, check: impl Fn(&Answer, usize, usize)) {
    let (installation, server) = start_with_cutting_server(behavior).await;
    let sent = AtomicUsize::new(0);
    wait_until("the server cuts an answer", || async {
        let id = format!("r{}", sent.fetch_add(1, Ordering::Relaxed));
        let answer = try_send(&installation, path, &id).await;
        let answer = answer.unwrap_or_else(|| panic!("{behavior:?} {path}: no answer"));
        let cut = received(&server, &id);
        let all = installation.log.requests();
        let is_same =
            |seen: &&ReceivedRequest| seen.headers["x-flamingocroft-request-id"] == id.as_str();
        check(&answer, cut, all.iter().filter(is_same).count());
        cut > 0
    })
    .await;
}

#[tokio::test]
async fn a_resumable_stream_that_breaks_off_inside_its_first_event_is_a_502() {
    let (installation, _server) = start_installation(RawBehavior::CutEvent).await;
    let answer = try_send(&installation, "/resumed/x", "r1").await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
}

#[tokio::test]
async fn a_head_without_a_body_shortly_before_the_deadline_is_a_504() {
    let installation = Installation::start(1, |_, seen| {
        match seen.headers["x-flamingocroft-request-id"] == "probe" {
            true => ServerAction::Respond(StatusCode::OK, Vec::new()),
            false => ServerAction::HeadAfter(Duration::from_millis(450)),
        }
    })
    .await;
    let mut short = document(1);
    for route in short["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!(500);
    }
    installation.publish(&short).await;
    for path in PATHS {
        let answer = try_send(&installation, path, "r1").await;
        let status = answer.map(|answer| answer.status);
        assert_eq!(status, Some(StatusCode::GATEWAY_TIMEOUT), "{path}");
    }
}

#[tokio::test]
async fn an_answer_that_breaks_off_before_its_first_byte_is_made_elsewhere_if_it_may_be_repeated() {
    for (behavior, path) in with_each_cut(REPEATABLE) {
        send_until_cut(path, behavior, |answer, _, _| {
            assert_eq!(answer.status, StatusCode::OK, "{behavior:?} {path}");
            assert!(answer.text().contains("done"), "{behavior:?} {path}");
        })
        .await;
    }
}

#[tokio::test]
async fn an_answer_that_breaks_off_before_its_first_byte_is_not_made_twice_if_it_may_not() {
    for (behavior, path) in with_each_cut(ONCE) {
        send_until_cut(path, behavior, |answer, cut, elsewhere| {
            let expected = match cut {
                0 => StatusCode::OK,
                _ => StatusCode::BAD_GATEWAY,
            };
            assert_eq!(answer.status, expected, "{behavior:?} {path}");
            assert_eq!(cut + elsewhere, 1, "{behavior:?} {path}");
        })
        .await;
    }
}

#[tokio::test]
async fn requests_get_an_answer_while_upstreams_break_off_and_the_configuration_changes() {
    for behavior in CUTS {
        let (installation, server) = start_with_cutting_server(behavior).await;
        let installation = Arc::new(installation);
        let callers = PATHS.map(|path| {
            let installation = Arc::clone(&installation);
            tokio::spawn(async move {
                for number in 0..40 {
                    let id = format!("r{number}{}", path.len());
                    let answer = try_send(&installation, path, &id).await;
                    let answer = answer.unwrap_or_else(|| panic!("{behavior:?} {path}: no answer"));
                    assert!(answer.body.is_ok(), "{behavior:?} {path}: {answer:?}");
                    sleep(Duration::from_millis(20)).await;
                }
            })
        });
        for version in 2..10 {
            let mut changed = document(version);
            for route in changed["Routes"].as_array_mut().unwrap() {
                route["TimeoutMs"] = json!(2000 + version);
            }
            changed["Limits"]["IdleTimeoutMs"] = json!(15000 - version * 1000);
            let put = platform_support::post(
                installation.control_address,
                "/api/config/put",
                changed.to_string(),
            );
            assert_eq!(put.await.unwrap().status, StatusCode::OK);
            sleep(Duration::from_millis(100)).await;
        }
        for caller in callers {
            caller.await.unwrap();
        }
        assert!(!server.received.lock().unwrap().is_empty());
    }
}

/// Returns a script by which the upstream that sees a request first acts otherwise than those that see it later.
fn first_and_others(
    first: impl Fn() -> ServerAction + Send + Sync,
    others: impl Fn() -> ServerAction + Send + Sync,
) -> impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync {
    let begun = Mutex::new(HashSet::new());
    move |_, seen| {
        let id = seen.headers["x-flamingocroft-request-id"].clone();
        if id == "probe" {
            return ServerAction::Respond(StatusCode::OK, Vec::new());
        }
        match begun.lock().unwrap().insert(id) {
            true => first(),
            false => others(),
        }
    }
}

async fn start(
    script: impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync + 'static,
) -> Installation {
    let installation = Installation::start(3, script).await;
    installation.publish(&document(1)).await;
    installation
}

#[tokio::test]
async fn a_silent_upstream_answers_whole_when_the_others_reject_the_request() {
    for late in [Duration::ZERO, Duration::from_millis(600)] {
        let script = first_and_others(
            || ServerAction::RespondAfter(SILENCE),
            move || ServerAction::NotExecutedAfter(late),
        );
        let installation = start(script).await;
        for path in REPEATABLE {
            let id = format!("r{}", path.len());
            let answer = try_send(&installation, path, &id).await.unwrap();
            let seen = (answer.status, answer.text());
            assert_eq!(seen, (StatusCode::OK, "late".into()), "{path} {late:?}");
        }
    }
}

#[tokio::test]
async fn a_silent_upstream_is_not_left_for_a_head_without_a_body() {
    let script = first_and_others(
        || ServerAction::RespondAfter(SILENCE),
        || ServerAction::HeadAfter(Duration::ZERO),
    );
    let installation = start(script).await;
    for path in REPEATABLE {
        let id = format!("r{}", path.len());
        let answer = try_send(&installation, path, &id).await.unwrap();
        let seen = (answer.status, answer.body);
        assert_eq!(seen, (StatusCode::OK, Ok("late".into())), "{path}");
    }
}

#[tokio::test]
async fn a_silent_upstream_is_left_when_another_has_answered() {
    let script = first_and_others(
        || ServerAction::Silent,
        || ServerAction::Respond(StatusCode::OK, b"done".to_vec()),
    );
    let installation = start(script).await;
    for path in REPEATABLE {
        let id = format!("r{}", path.len());
        let answer = try_send(&installation, path, &id).await.unwrap();
        let seen = (answer.status, answer.text());
        assert_eq!(seen, (StatusCode::OK, "done".into()), "{path}");
    }
    wait_until("the silent upstreams are left", || async {
        installation.log.in_progress.load(Ordering::Relaxed) == 0
    })
    .await;
}

#[tokio::test]
async fn a_request_that_all_upstreams_reject_has_not_run_though_one_was_silent_first() {
    let script = first_and_others(
        || ServerAction::NotExecutedAfter(SILENCE),
        || ServerAction::NotExecuted,
    );
    let installation = start(script).await;
    for path in REPEATABLE {
        let id = format!("r{}", path.len());
        let answer = try_send(&installation, path, &id).await.unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(answer.headers.contains_key("retry-after"), "{path}");
    }
}
