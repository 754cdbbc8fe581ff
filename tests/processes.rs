//! Failures of whole processes: the daemons are killed, stopped and continued by signals, and the
//! stand-ins, which run in the test process, report what was really executed.

#[path = "../examples/support/mod.rs"]
mod support;

use std::{collections::BTreeMap, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use flamingocroft::domain::Intent;
use hyper::StatusCode;
use nix::sys::signal::Signal;
use serde_json::{Value, json};
use standin::{
    Faults,
    engine::{EngineParams, answer_seed, answer_token},
};
use support::{
    http::{Call, EventReader, Response, open, send},
    intent::intent,
    processes::Processes,
    shape::{FREE_TOKEN, MODEL, PAYING_TOKEN, Shape},
};
use tokio::{
    sync::{Barrier, Semaphore},
    task::JoinSet,
    time::{Instant, sleep, timeout},
};
use uuid::Uuid;

/// Timeout for expected events; reaching it fails the test.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time within which a confirmed configuration must be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(3);

fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_flamingocroftd"))
}

/// Serializes the tests of this file, so that they don't disturb each other's timing.
static TEST_PERMIT: Semaphore = Semaphore::const_new(1);

async fn start(shape: &Shape, folder: &Path) -> Processes {
    let processes = Processes::start(shape, program(), folder).await.unwrap();
    let confirmed = processes.confirm(&intent(shape)).await.unwrap();
    assert!(confirmed.everywhere);
    processes.wait_ready().await.unwrap();
    processes
}

fn release(key: Uuid) -> Call {
    let body = json!({"truck": "TN-204"});
    Call::post("/v1/services/depot/releases", PAYING_TOKEN, &body).header("Idempotency-Key", key)
}

/// The final outcome of a release as its caller sees it.
#[derive(Debug, PartialEq, Eq)]
enum FinalOutcome {
    Ran(String),
    Unknown,
}

/// Sends a release to the gateways in turn until its outcome is final.
async fn release_until_final(gateways: &[SocketAddr], key: Uuid) -> FinalOutcome {
    let call = release(key);
    let start = Instant::now();
    for gateway in gateways.iter().cycle() {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "release {key} has no outcome"
        );
        let Ok(answer) = send(*gateway, &call).await else {
            sleep(POLL_INTERVAL).await;
            continue;
        };
        if answer.status.is_success() {
            return FinalOutcome::Ran(answer.text());
        }
        // `Retry-After` means that the key's claim was not settled and that a retry can succeed.
        if ran(&answer) == "unknown" && !answer.headers.contains_key("retry-after") {
            return FinalOutcome::Unknown;
        }
        sleep(POLL_INTERVAL).await;
    }
    unreachable!("the cycle does not end")
}

fn ran(answer: &Response) -> String {
    let body: Value = answer.json().unwrap();
    body["error"]["ran"].as_str().unwrap_or("").to_owned()
}

async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < EVENT_TIMEOUT, "never: {what}");
        sleep(POLL_INTERVAL).await;
    }
}

fn executions(processes: &Processes) -> BTreeMap<String, u32> {
    processes.upstreams.executions()
}

#[tokio::test(flavor = "multi_thread")]
async fn releases_run_once_while_the_leader_is_killed() {
    let _alone = TEST_PERMIT.acquire().await.unwrap();
    const RELEASES: usize = 60;
    let folder = tempfile::tempdir().unwrap();
    let mut processes = start(&Shape::default(), folder.path()).await;
    let gateways = [processes.gateway(0), processes.gateway(1)];
    let begin = Arc::new(Barrier::new(RELEASES + 1));
    let mut callers = JoinSet::new();
    for i in 0..RELEASES {
        let begin = Arc::clone(&begin);
        let mut gateways = gateways;
        gateways.rotate_left(i % 2);
        callers.spawn(async move {
            let key = Uuid::now_v7();
            begin.wait().await;
            sleep(Duration::from_millis(5 * i as u64)).await;
            (key, release_until_final(&gateways, key).await)
        });
    }
    let leader = processes.leader().await.unwrap();
    begin.wait().await;
    wait_until("some releases ran", || executions(&processes).len() > 5).await;
    processes.controllers[leader].kill().unwrap();
    let known = callers.join_all().await;
    let executed = executions(&processes);
    for (key, known) in known {
        let count = executed.get(&key.to_string()).copied().unwrap_or(0);
        match known {
            FinalOutcome::Ran(_) => assert_eq!(count, 1, "{key} was answered as run"),
            FinalOutcome::Unknown => assert!(count <= 1, "{key} ran {count} times"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_release_of_a_killed_gateway_never_runs_again() {
    let _alone = TEST_PERMIT.acquire().await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let mut processes = start(&Shape::default(), folder.path()).await;
    processes.upstreams.set_service_faults(&Faults {
        answer_delay_ms: 30_000,
        ..Faults::default()
    });
    let key = Uuid::now_v7();
    let first = processes.gateway(0);
    let lost = tokio::spawn(async move { send(first, &release(key)).await });
    wait_until("the release ran", || {
        executions(&processes).get(&key.to_string()) == Some(&1)
    })
    .await;
    processes.gateways[0].kill().unwrap();
    assert!(lost.await.unwrap().is_err(), "the answer was lost");
    processes.upstreams.set_service_faults(&Faults::default());
    let known = release_until_final(&[processes.gateway(1)], key).await;
    assert_eq!(known, FinalOutcome::Unknown);
    processes.gateways[0].restart().unwrap();
    processes.wait_ready().await.unwrap();
    let known = release_until_final(&[processes.gateway(0)], key).await;
    assert_eq!(known, FinalOutcome::Unknown);
    assert_eq!(executions(&processes).get(&key.to_string()), Some(&1));
}

#[tokio::test(flavor = "multi_thread")]
async fn outcomes_outlive_a_restart_of_all_controllers() {
    let _alone = TEST_PERMIT.acquire().await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let mut processes = start(&Shape::default(), folder.path()).await;
    let gateways = [processes.gateway(0), processes.gateway(1)];
    let keys: Vec<Uuid> = (0..10).map(|_| Uuid::now_v7()).collect();
    let mut before = Vec::new();
    for key in &keys {
        before.push(release_until_final(&gateways, *key).await);
    }
    for controller in &mut processes.controllers {
        controller.kill().unwrap();
    }
    for controller in &mut processes.controllers {
        controller.restart().unwrap();
    }
    let status = processes.status().await.unwrap();
    assert_eq!(status.revision.0, 1, "the confirmed revision is in force");
    for (key, before) in keys.iter().zip(before) {
        let after = release_until_final(&gateways, *key).await;
        assert_eq!(after, before);
    }
    assert!(executions(&processes).values().all(|&count| count == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_gateway_takes_no_work_on_an_old_revision() {
    let _alone = TEST_PERMIT.acquire().await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let shape = Shape::default();
    let processes = start(&shape, folder.path()).await;
    let body = json!({"model": MODEL, "prompt": "hello", "max_tokens": 2});
    let call = Call::post("/v1/completions", FREE_TOKEN, &body);
    let answer = send(processes.gateway(1), &call).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    let executed_before = processes.upstreams.generations();

    processes.gateways[1].freeze().await.unwrap();
    let frozen = processes.gateway(1);
    let during = {
        let call = call.clone();
        tokio::spawn(async move { send(frozen, &call).await })
    };
    let start = Instant::now();
    let confirmed = processes
        .confirm(&without_trial_account(&shape))
        .await
        .unwrap();
    assert!(confirmed.everywhere);
    assert!(
        start.elapsed() < IN_FORCE_TIMEOUT,
        "took {:?}",
        start.elapsed()
    );

    processes.gateways[1].signal(Signal::SIGCONT).unwrap();
    let during = during.await.unwrap().unwrap();
    assert!(!during.status.is_success(), "{}", during.text());
    assert_eq!(ran(&during), "no");
    let after = send(frozen, &call).await.unwrap();
    assert!(!after.status.is_success(), "{}", after.text());
    assert_eq!(processes.upstreams.generations(), executed_before);
    processes.wait_ready().await.unwrap();
    let paying = Call::post("/v1/completions", PAYING_TOKEN, &body);
    let answer = send(frozen, &paying).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
}

fn without_trial_account(shape: &Shape) -> Intent {
    let mut intent = intent(shape);
    intent
        .accounts
        .retain(|account| account.name.as_str() != "trial");
    intent
}

/// What a caller has received of one streamed answer.
#[derive(Clone, Debug, Default)]
struct Received {
    id: String,
    texts: Vec<String>,
}

/// Reads a stream to its end mark. If it is cut off or moved, the caller resumes it at the next gateway
/// from the last event it received, as callers' libraries do.
async fn read_whole(gateways: &[SocketAddr], prompt: &str, tokens: u32, seed: u64) -> Received {
    let body = json!({
        "model": MODEL, "prompt": prompt, "max_tokens": tokens, "seed": seed, "stream": true,
    });
    let call = Call::post("/v1/completions", PAYING_TOKEN, &body);
    let response = open(gateways[0], &call).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let id = response.headers()["x-request-id"]
        .to_str()
        .unwrap()
        .to_owned();
    let mut received = Received {
        id,
        ..Received::default()
    };
    let start = Instant::now();
    let mut next = Some(response);
    for gateway in gateways.iter().cycle().skip(1) {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "{received:?} stays cut off"
        );
        if let Some(response) = next.take()
            && read_events(response, &mut received).await
        {
            return received;
        }
        let path = format!("/v1/requests/{}", received.id);
        let mut call = Call::get(path, PAYING_TOKEN).header("Accept", "text/event-stream");
        if let Some(last) = received.texts.len().checked_sub(1) {
            call = call.header("Last-Event-ID", last);
        }
        match open(*gateway, &call).await {
            Ok(response) if response.status() == StatusCode::OK => next = Some(response),
            _ => sleep(POLL_INTERVAL).await,
        }
    }
    unreachable!("the cycle does not end")
}

/// Reads events until the stream ends. Returns whether the end mark was received.
async fn read_events(response: hyper::Response<hyper::body::Incoming>, to: &mut Received) -> bool {
    let mut events = EventReader::new(response);
    while let Ok(Some(event)) = events.next().await {
        if event.data == "[DONE]" {
            return true;
        }
        if !event.name.is_empty() {
            return false;
        }
        let chunk: Value = serde_json::from_str(&event.data).unwrap();
        let choice = &chunk["choices"][0];
        if choice["finish_reason"].is_null() {
            assert_eq!(event.id, to.texts.len().to_string(), "offsets have no gaps");
            to.texts.push(choice["text"].as_str().unwrap().to_owned());
        }
    }
    false
}

fn expected(prompt: &str, tokens: u32, seed: u64) -> Vec<String> {
    let answer = answer_seed(prompt, seed);
    (0..tokens).map(|i| answer_token(answer, i)).collect()
}

const STREAM_COUNT: u64 = 40;
const TOKENS_PER_STREAM: u32 = 200;

/// Starts three gateways, the first of which serves streams that last two seconds, longer than its
/// graceful shutdown is allowed to.
async fn start_with_streams(folder: &Path) -> (Processes, JoinSet<(u64, Received)>) {
    let base = Shape::default();
    let shape = Shape {
        gateways: 3,
        engines: 6,
        engine: EngineParams {
            slots: 32,
            token_interval_us: 10_000,
            ..base.engine.clone()
        },
        timing: flamingocroft::settings::Timing {
            shutdown: Duration::from_millis(300),
            ..base.timing.clone()
        },
        ..base
    };
    let processes = start(&shape, folder).await;
    let callers = start_streams(&processes);
    wait_until("the streams run", || {
        processes.upstreams.generations() >= STREAM_COUNT
    })
    .await;
    (processes, callers)
}

/// Starts streams with different prompts at gateway 0 and returns the callers' tasks.
fn start_streams(processes: &Processes) -> JoinSet<(u64, Received)> {
    let gateways: Vec<_> = (0..processes.gateways.len())
        .map(|i| processes.gateway(i))
        .collect();
    let mut callers = JoinSet::new();
    for seed in 0..STREAM_COUNT {
        let gateways = gateways.clone();
        callers.spawn(async move {
            let prompt = format!("draft number {seed}");
            (
                seed,
                read_whole(&gateways, &prompt, TOKENS_PER_STREAM, seed).await,
            )
        });
    }
    callers
}

async fn check_streams(mut callers: JoinSet<(u64, Received)>) {
    let all = async {
        while let Some(result) = callers.join_next().await {
            let (seed, received) = result.unwrap();
            let prompt = format!("draft number {seed}");
            assert_eq!(
                received.texts,
                expected(&prompt, TOKENS_PER_STREAM, seed),
                "{prompt}"
            );
        }
    };
    timeout(EVENT_TIMEOUT, all).await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_hands_streams_over_whole() {
    let _alone = TEST_PERMIT.acquire().await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (mut processes, callers) = start_with_streams(folder.path()).await;
    processes.gateways[0].signal(Signal::SIGTERM).unwrap();
    check_streams(callers).await;
    let status = processes.gateways[0].wait().await.unwrap();
    assert!(status.success(), "{status}");
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_outlive_a_gateway_killed_in_the_middle_of_its_hand_over() {
    let _alone = TEST_PERMIT.acquire().await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (mut processes, callers) = start_with_streams(folder.path()).await;
    processes.gateways[0].signal(Signal::SIGTERM).unwrap();
    sleep(Duration::from_millis(310)).await;
    processes.gateways[0].kill().unwrap();
    check_streams(callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_outlive_the_reclaim_of_a_whole_zone() {
    let _alone = TEST_PERMIT.acquire().await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let (mut processes, callers) = start_with_streams(folder.path()).await;
    // Engines 0 and 3, gateway 0 and controller 0 are in the reclaimed zone.
    for engine in ["engine-0", "engine-3"] {
        assert!(
            processes
                .upstreams
                .cloud
                .reclaim(engine, Duration::from_secs(1))
        );
    }
    processes.gateways[0].signal(Signal::SIGTERM).unwrap();
    processes.controllers[0].kill().unwrap();
    sleep(Duration::from_millis(400)).await;
    processes.gateways[0].kill().unwrap();
    check_streams(callers).await;
}

/// How the gateways are notified that an upstream is leaving.
#[derive(Clone, Copy, Debug)]
enum Source {
    Notice,
    LateList,
    OwnReport,
}

const LIST_LAG: Duration = Duration::from_secs(1);

impl Source {
    fn announce(self, processes: &Processes, server: usize) {
        let cloud = &processes.upstreams.cloud;
        let name = format!("depot-{server}");
        match self {
            Self::Notice => assert!(cloud.reclaim(&name, EVENT_TIMEOUT)),
            Self::LateList => {
                cloud.update_params(|params| params.hide_notices = true);
                assert!(cloud.reclaim(&name, EVENT_TIMEOUT));
            }
            Self::OwnReport => processes.upstreams.services[server].set_leaving(),
        }
    }

    /// Returns how long after the announcement new work may still arrive.
    fn bound(self) -> Duration {
        match self {
            Self::LateList => LIST_LAG + NEW_WORK_TIMEOUT,
            Self::Notice | Self::OwnReport => NEW_WORK_TIMEOUT,
        }
    }
}

/// Time after which a leaving upstream must get no new work.
const NEW_WORK_TIMEOUT: Duration = Duration::from_secs(3);

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_new_work_after_three_seconds() {
    let _alone = TEST_PERMIT.acquire().await.unwrap();
    let folder = tempfile::tempdir().unwrap();
    let base = Shape::default();
    let shape = Shape {
        services: 4,
        cloud: standin::cloud::CloudParams {
            list_lag_ms: LIST_LAG.as_millis() as u64,
            ..base.cloud.clone()
        },
        ..base
    };
    let processes = start(&shape, folder.path()).await;
    let sources = [Source::OwnReport, Source::Notice, Source::LateList];
    for (server, source) in sources.into_iter().enumerate() {
        let last = last_new_work(&processes, server, source).await;
        println!("{source:?}: the last new work came after {last:?}");
        assert!(last < source.bound(), "{source:?}: new work after {last:?}");
    }
}

/// Sends calls for a while after the announcement. Returns how long after it the last one arrived at
/// the leaving server.
async fn last_new_work(processes: &Processes, server: usize, source: Source) -> Duration {
    let service = &processes.upstreams.services[server];
    let call = Call::get("/v1/services/depot/piles", PAYING_TOKEN);
    let start = Instant::now();
    while service.counts().executed == 0 {
        assert!(
            start.elapsed() < EVENT_TIMEOUT,
            "server {server} is never used"
        );
        send(processes.gateway(0), &call).await.unwrap();
    }
    source.announce(processes, server);
    let announced = Instant::now();
    let mut last = Duration::ZERO;
    let mut before = service.counts().executed;
    while announced.elapsed() < source.bound() + Duration::from_secs(1) {
        for gateway in [0, 1] {
            let answer = send(processes.gateway(gateway), &call).await.unwrap();
            assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        }
        let now = service.counts().executed;
        if now > before {
            last = announced.elapsed();
            before = now;
        }
    }
    last
}
