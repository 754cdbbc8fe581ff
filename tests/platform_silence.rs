//! Upstreams that are silent for a while and go on: an answer ends only when its upstream, its caller or its time does.

mod platform_support;

use std::{
    collections::HashSet,
    sync::{Mutex, atomic::Ordering},
    time::Duration,
};

use hyper::{Method, StatusCode};
use platform_support::{
    Installation, ReceivedRequest, ServerAction, document, requests_per_server, wait_until,
};
use serde_json::json;
use tokio::time::sleep;

/// Shorter than the patience of callers, which is 2.4 s with a longest pause of 300 ms, and longer than any silence after
/// which another upstream is tried.
const SILENCE: Duration = Duration::from_millis(1600);
const PAUSE: Duration = Duration::from_millis(20);
/// Time that a request spends in an upstream's queue before it is rejected: longer than both upstreams may work on a stream.
const TIME_IN_QUEUE: Duration = Duration::from_millis(600);
/// Events of a stream.
const EVENTS: u64 = 8;
/// Events of one upstream before it falls silent.
const EVENTS_BEFORE_SILENCE: u64 = 3;

fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

fn events(ids: std::ops::RangeInclusive<u64>) -> Vec<String> {
    ids.map(event).collect()
}

fn resumed_after(seen: &ReceivedRequest) -> u64 {
    let after = seen.headers.get("last-event-id");
    after.map_or(0, |id| id.to_str().unwrap().parse().unwrap())
}

/// Streams the rest of the events with one silence in it.
fn with_silence(seen: &ReceivedRequest) -> ServerAction {
    let first = resumed_after(seen) + 1;
    let silent_before = first + EVENTS_BEFORE_SILENCE;
    let chunks = (first..=EVENTS).map(|id| match id == silent_before {
        true => (SILENCE, event(id)),
        false => (PAUSE, event(id)),
    });
    ServerAction::Timed(chunks.collect())
}

async fn start(
    servers: usize,
    script: impl Fn(usize, &ReceivedRequest) -> ServerAction + Send + Sync + 'static,
) -> Installation {
    let installation = Installation::start(servers, script).await;
    let mut patient = document(1);
    for route in patient["Routes"].as_array_mut().unwrap() {
        route["TargetGapMs"] = json!(300);
        route["TimeoutMs"] = json!(8000);
    }
    installation.publish(&patient).await;
    installation
}

async fn stream(installation: &Installation, id: &str) -> Result<String, String> {
    let res = installation
        .send(Method::POST, "/resumed/x", id, "prompt")
        .await;
    assert_eq!(res.status, StatusCode::OK);
    res.body
        .map(|body| String::from_utf8(body.to_vec()).unwrap())
}

#[tokio::test]
async fn a_stream_is_not_cut_when_its_only_upstream_is_silent_for_a_while() {
    let installation = start(1, |_, seen| with_silence(seen)).await;
    let body = stream(&installation, "r1").await;
    assert_eq!(body, Ok(events(1..=EVENTS).concat()));
    assert_eq!(installation.log.requests().len(), 1);
}

#[tokio::test]
async fn a_stream_is_not_cut_when_all_upstreams_are_silent_for_a_while() {
    let installation = start(3, |_, seen| with_silence(seen)).await;
    let body = stream(&installation, "r1").await;
    assert_eq!(body, Ok(events(1..=EVENTS).concat()));
    let seen = installation.log.requests();
    assert!(seen.len() <= 2, "more upstreams than the route allows");
}

#[tokio::test]
async fn a_stream_stays_with_a_silent_upstream_when_the_others_reject_it() {
    let begun = Mutex::new(HashSet::new());
    let installation = start(3, move |_, seen| {
        let id = seen.headers["x-flamingocroft-request-id"].clone();
        match begun.lock().unwrap().insert(id) {
            true => with_silence(seen),
            false => ServerAction::NotExecuted,
        }
    })
    .await;
    let body = stream(&installation, "r1").await;
    assert_eq!(body, Ok(events(1..=EVENTS).concat()));
}

/// Guards against a stream that leaves its silent upstream for one that has only queued it.
#[tokio::test]
async fn a_stream_stays_with_a_silent_upstream_when_the_others_reject_it_late() {
    let begun = Mutex::new(HashSet::new());
    let installation = start(3, move |_, seen| {
        let id = seen.headers["x-flamingocroft-request-id"].clone();
        match begun.lock().unwrap().insert(id) {
            true => with_silence(seen),
            false => ServerAction::NotExecutedAfter(TIME_IN_QUEUE),
        }
    })
    .await;
    let body = stream(&installation, "r1").await;
    assert_eq!(body, Ok(events(1..=EVENTS).concat()));
}

#[tokio::test]
async fn a_stream_leaves_a_dead_upstream_as_soon_as_another_is_there() {
    let installation = start(2, |_, seen| match resumed_after(seen) {
        0 => ServerAction::StallAfter(events(1..=2)),
        after => ServerAction::Stream {
            chunks: events(after + 1..=EVENTS),
            complete: true,
        },
    })
    .await;
    let all = installation.listed.lock().unwrap().clone();
    installation.listed.lock().unwrap().truncate(1);
    sleep(Duration::from_millis(500)).await;
    let (body, ()) = tokio::join!(stream(&installation, "r1"), async {
        sleep(Duration::from_millis(1300)).await;
        *installation.listed.lock().unwrap() = all;
    });
    assert_eq!(body, Ok(events(1..=EVENTS).concat()));
}

#[tokio::test]
async fn the_upstream_that_was_left_stops_when_another_has_the_stream() {
    let installation = start(2, |_, seen| match resumed_after(seen) {
        0 => ServerAction::StallAfter(events(1..=2)),
        after => {
            let chunks = (after + 1..=EVENTS).map(|id| (Duration::from_millis(250), event(id)));
            ServerAction::Timed(chunks.collect())
        }
    })
    .await;
    let (body, ()) = tokio::join!(stream(&installation, "r1"), async {
        wait_until("another upstream has the stream", || async {
            installation.log.requests().len() == 2
        })
        .await;
        // The bound of the users' pages.
        sleep(Duration::from_millis(400)).await;
        let in_progress = installation.log.in_progress.load(Ordering::Relaxed);
        assert_eq!(in_progress, 1, "both upstreams work on the stream");
    });
    assert_eq!(body, Ok(events(1..=EVENTS).concat()));
    let servers = requests_per_server(&installation.log.requests());
    assert_eq!(servers.len(), 2);
}

/// Events of the second upstream could be cut in other places, or come from other software.
#[tokio::test]
async fn a_stream_that_goes_on_while_another_upstream_is_tried_is_not_joined_from_two() {
    let second = "a piece of the other upstream";
    for before in [0, 2] {
        let begun = Mutex::new(HashSet::new());
        let installation = start(2, move |_, seen| {
            let id = seen.headers["x-flamingocroft-request-id"].clone();
            if begun.lock().unwrap().insert(id) {
                let chunks = (1..=EVENTS).map(|id| match id == before + 1 {
                    true => (Duration::from_millis(750), event(id)),
                    false => (PAUSE, event(id)),
                });
                return ServerAction::Timed(chunks.collect());
            }
            let after = resumed_after(seen);
            let chunks = (after + 1..=EVENTS).map(|id| format!("id: {id}\ndata: {second}\n\n"));
            ServerAction::StreamAfter(Duration::from_millis(250), chunks.collect())
        })
        .await;
        let body = stream(&installation, "r1").await.unwrap();
        let joined = body.contains(second) && body.contains("data: piece 8");
        assert!(
            !joined && body.matches("id: ").count() == EVENTS as usize,
            "{body}"
        );
        if before > 0 {
            assert_eq!(body, events(1..=EVENTS).concat());
        }
        assert_eq!(installation.log.requests().len(), 2);
    }
}

#[tokio::test]
async fn a_stream_goes_on_elsewhere_when_its_silent_upstream_breaks_off_meanwhile() {
    let tries = Mutex::new(0);
    let installation = start(3, move |_, seen| {
        let mut tries = tries.lock().unwrap();
        *tries += 1;
        let after = resumed_after(seen);
        match *tries {
            1 => ServerAction::StallAfter(events(1..=2)),
            2 => ServerAction::Reset,
            _ => ServerAction::Stream {
                chunks: events(after + 1..=EVENTS),
                complete: true,
            },
        }
    })
    .await;
    let mut more = document(2);
    for route in more["Routes"].as_array_mut().unwrap() {
        route["TargetGapMs"] = json!(300);
        route["TimeoutMs"] = json!(8000);
        route["MaxAttempts"] = json!(3);
    }
    installation.publish(&more).await;
    sleep(Duration::from_millis(500)).await;
    let body = stream(&installation, "r1").await;
    assert_eq!(body, Ok(events(1..=EVENTS).concat()));
}

#[tokio::test]
async fn a_slow_first_byte_is_awaited_when_no_other_upstream_is_left() {
    let installation = start(1, |_, _| ServerAction::RespondAfter(SILENCE)).await;
    for path in ["/safe/x", "/resumed/x"] {
        let res = installation.send(Method::POST, path, "r1", "").await;
        assert_eq!((res.status, res.text()), (StatusCode::OK, "late".into()));
    }
}
