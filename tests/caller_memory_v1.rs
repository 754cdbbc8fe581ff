//! Callers of `/v1` that send large bodies and stay: each process lives, stays within the memory and the descriptors of its
//! machine, and answers an ordinary request. See docs/design/CALLER_MEMORY.md.

mod crowd_support;
#[path = "../examples/support/mod.rs"]
mod support;

use std::path::Path;

use crowd_support::{
    Aim, BODIES, CROWD, Crowd, DESCRIPTORS, MAX_BODY_BYTES, MEMORY_MB, Watch, alone, send_all,
};
use flamingocroft::settings::Machine;
use hyper::StatusCode;
use serde_json::json;
use support::{
    http::{Call, send},
    intent::intent,
    processes::Processes,
    shape::{MODEL, PAYING_TOKEN, Shape},
};

async fn start(folder: &Path) -> Processes {
    let shape = Shape {
        controllers: 1,
        gateways: 1,
        machine: Some(Machine {
            memory_mb: Some(MEMORY_MB),
            descriptors: Some(DESCRIPTORS),
            ..Machine::default()
        }),
        ..Shape::default()
    };
    let program = Path::new(env!("CARGO_BIN_EXE_flamingocroftd"));
    let processes = Processes::start(&shape, program, folder).await.unwrap();
    processes.confirm(&intent(&shape)).await.unwrap();
    processes.wait_ready().await.unwrap();
    processes
}

async fn check(path: &str, kinds: &[Crowd], count: usize) {
    let _alone = alone().await;
    let folder = tempfile::tempdir().unwrap();
    let processes = start(folder.path()).await;
    let gateway = Watch::start("gateway", processes.gateways[0].pid());
    let controller = Watch::start("controller", processes.controllers[0].pid());
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: gateway\r\nAuthorization: Bearer {PAYING_TOKEN}\r\n"
    );
    let aim = Aim {
        address: processes.gateway(0),
        large_answer: head.clone(),
        head,
        max_body: MAX_BODY_BYTES,
    };
    let stay = send_all(&aim, kinds, count).await;
    gateway.settle().await;
    gateway.check();
    controller.check();
    let body = json!({"model": MODEL, "prompt": "an ordinary prompt", "max_tokens": 4, "seed": 1});
    let ordinary = Call::post("/v1/completions", PAYING_TOKEN, &body);
    let answer = send(aim.address, &ordinary).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    gateway.check();
    controller.check();
    drop(stay);
}

const COMPLETIONS: &str = "/v1/completions";

#[tokio::test(flavor = "multi_thread")]
async fn many_whole_bodies() {
    check(COMPLETIONS, &[Crowd::Whole], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_in_pieces() {
    check(COMPLETIONS, &[Crowd::Pieces], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_in_large_chunks() {
    check(COMPLETIONS, &[Crowd::LargeChunks], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_in_chunks_of_one_byte() {
    check(COMPLETIONS, &[Crowd::TinyChunks], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_announced_over_the_limit() {
    check(COMPLETIONS, &[Crowd::AnnouncedOver], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_sent_over_the_limit() {
    check(COMPLETIONS, &[Crowd::SentOver], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_mixed() {
    check(COMPLETIONS, &BODIES, CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_connections_that_only_open_or_send_a_head_byte_by_byte() {
    let kinds = [Crowd::OnlyOpens, Crowd::SlowHead];
    check(COMPLETIONS, &kinds, 3 * CROWD).await;
}
