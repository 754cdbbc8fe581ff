//! Callers of published routes and of the controllers that send large bodies and stay: each process lives, stays within the
//! memory and the descriptors of its machine, and answers an ordinary request. See docs/design/CALLER_MEMORY.md.

mod crowd_support;
mod platform_support;

use std::{net::SocketAddr, path::Path, time::Duration};

use crowd_support::{
    Aim, BODIES, CROWD, Crowd, DESCRIPTORS, MAX_BODY_BYTES, MEMORY_MB, Watch, alone, send_all,
};
use hyper::{Method, StatusCode};
use platform_support::{
    API_KEY, PreparedInstallation, ServerAction, call, daemons::Daemons, document,
};
use serde_json::{Value, json};
use tokio::{io::AsyncReadExt, time::timeout};

/// Length of a large answer, in bytes.
const LARGE_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Wait for an answer that a connection may not get.
const READ_TIMEOUT: Duration = Duration::from_millis(50);
/// The largest configuration document, in bytes.
const MAX_DOCUMENT_BYTES: usize = 4 * 1024 * 1024;

fn limit_machine(file: &Path) {
    let text = std::fs::read_to_string(file).unwrap();
    let mut settings: Value = serde_json::from_str(&text).unwrap();
    settings["machine"] = json!({"memory_mb": MEMORY_MB, "descriptors": DESCRIPTORS});
    std::fs::write(file, settings.to_string()).unwrap();
}

/// Starts one controller and one gateway as processes on machines with little memory.
async fn start() -> Daemons {
    let prepared = PreparedInstallation::prepare(1, 1, |_, req| {
        let length = match req.path.ends_with("/large") {
            true => LARGE_ANSWER_BYTES,
            false => 4,
        };
        ServerAction::Respond(StatusCode::OK, vec![b'a'; length])
    })
    .await;
    limit_machine(&prepared.gateway_file);
    limit_machine(&prepared.controller_files[0]);
    let daemons = Daemons::start(prepared);
    let mut document = document(1);
    document["Limits"]["MaxBodyBytes"] = json!(MAX_BODY_BYTES);
    for route in document["Routes"].as_array_mut().unwrap() {
        route["TimeoutMs"] = json!(60_000);
    }
    daemons.publish(&document).await;
    daemons.installation.wait_until_served(&document).await;
    daemons
}

fn aim(daemons: &Daemons) -> Aim {
    let head = |path: &str| {
        format!(
            "POST {path} HTTP/1.1\r\nHost: depot.example\r\nAuthorization: Bearer {API_KEY}\r\n\
             X-Flamingocroft-Request-Id: crowd\r\n"
        )
    };
    Aim {
        address: daemons.installation.caller_address,
        head: head("/safe/small"),
        large_answer: head("/safe/large"),
        max_body: MAX_BODY_BYTES,
    }
}

async fn check(kinds: &[Crowd], count: usize) {
    let _alone = alone().await;
    let daemons = start().await;
    let gateway = Watch::start("gateway", daemons.gateway.id());
    let controller = Watch::start("controller", daemons.controllers[0].id());
    let stay = send_all(&aim(&daemons), kinds, count).await;
    gateway.settle().await;
    gateway.check();
    controller.check();
    let installation = &daemons.installation;
    let res = installation
        .send(Method::POST, "/safe/small", "ordinary", "an ordinary body")
        .await;
    assert_eq!(res.status, StatusCode::OK);
    gateway.check();
    controller.check();
    drop(stay);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_single_body_of_the_full_size_is_served_in_calm() {
    let _alone = alone().await;
    let daemons = start().await;
    let body = "b".repeat(MAX_BODY_BYTES);
    let installation = &daemons.installation;
    let res = installation
        .send(Method::POST, "/safe/small", "full", &body)
        .await;
    assert_eq!(res.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_whole_bodies() {
    check(&[Crowd::Whole], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_in_pieces() {
    check(&[Crowd::Pieces], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_in_large_chunks() {
    check(&[Crowd::LargeChunks], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_in_chunks_of_one_byte() {
    check(&[Crowd::TinyChunks], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_announced_over_the_limit() {
    check(&[Crowd::AnnouncedOver], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_bodies_sent_over_the_limit() {
    check(&[Crowd::SentOver], CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_that_read_nothing_of_a_large_answer() {
    check(&[Crowd::ReadsNothing], CROWD / 2).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_gives_its_memory_up_is_refused_as_not_run() {
    let _alone = alone().await;
    let daemons = start().await;
    let gateway = Watch::start("gateway", daemons.gateway.id());
    let stay = send_all(&aim(&daemons), &[Crowd::Whole], CROWD).await;
    gateway.settle().await;
    let mut refused = 0;
    for mut caller in stay {
        let mut answer = vec![0; 1024];
        // Those that keep their memory get no answer yet.
        if let Ok(read) = timeout(READ_TIMEOUT, caller.read(&mut answer)).await {
            let answer = String::from_utf8_lossy(&answer[..read.unwrap()]).to_lowercase();
            assert!(answer.starts_with("http/1.1 503 "), "{answer}");
            assert!(answer.contains("retry-after: "), "{answer}");
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert!(daemons.installation.log.requests().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn all_kinds_mixed() {
    let mut kinds = BODIES.to_vec();
    kinds.push(Crowd::ReadsNothing);
    check(&kinds, CROWD).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_connections_that_only_open_or_send_a_head_byte_by_byte() {
    check(&[Crowd::OnlyOpens, Crowd::SlowHead], 3 * CROWD).await;
}

async fn check_endpoint(address: impl Fn(&Daemons) -> SocketAddr, path: &str) {
    let _alone = alone().await;
    let daemons = start().await;
    let gateway = Watch::start("gateway", daemons.gateway.id());
    let aim = Aim {
        address: address(&daemons),
        ..aim(&daemons)
    };
    let stay = send_all(&aim, &[Crowd::OnlyOpens], 3 * CROWD).await;
    gateway.settle().await;
    gateway.check();
    let res = call(aim.address, Method::GET, path, &[], "").await;
    assert_eq!(res.unwrap().status, StatusCode::OK);
    let installation = &daemons.installation;
    let res = installation
        .send(Method::POST, "/safe/small", "ordinary", "an ordinary body")
        .await;
    assert_eq!(res.status, StatusCode::OK);
    gateway.check();
    drop(stay);
}

#[tokio::test(flavor = "multi_thread")]
async fn many_connections_that_only_open_at_the_address_resolution() {
    let address = |daemons: &Daemons| daemons.installation.directory_address;
    check_endpoint(address, "/api/resolve?Zone=a").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_connections_that_only_open_at_the_readiness_check() {
    let address = |daemons: &Daemons| daemons.installation.ready_address;
    check_endpoint(address, "/api/readiness").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_large_documents_at_a_controller() {
    let _alone = alone().await;
    let daemons = start().await;
    let aim = Aim {
        address: daemons.controls[0],
        head: "POST /api/config/put HTTP/1.1\r\nHost: control\r\n".into(),
        large_answer: "GET /api/config/get HTTP/1.1\r\nHost: control\r\n".into(),
        max_body: MAX_DOCUMENT_BYTES,
    };
    let controller = Watch::start("controller", daemons.controllers[0].id());
    let stay = send_all(&aim, &BODIES, CROWD / 2).await;
    controller.settle().await;
    controller.check();
    let path = "/api/config/get";
    let res = call(aim.address, Method::GET, path, &[], "").await;
    assert_eq!(res.unwrap().status, StatusCode::OK);
    controller.check();
    drop(stay);
}
