//! Tests how the operator tool finds the leader, retries and times out.

mod cmd_support;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use cmd_support::{
    Answer::{ConnectionClosed, Json},
    FakeController, OPERATION, Tool, error, not_leader, plan,
};
use serde_json::{Value, json};

fn confirmed() -> Value {
    json!({ "revision": 5, "index": 42, "in_force": 1, "gateways": 1, "everywhere": true })
}

/// Returns an address where nothing listens and that no other test process uses.
fn closed_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 128 | high >> 1, low, 1), 7200).into()
}

#[tokio::test]
async fn a_follower_redirects_the_tool_to_the_leader() {
    let (follower, leader) = (FakeController::start().await, FakeController::start().await);
    follower.respond("POST /v1/confirm", [not_leader(leader.address)]);
    leader.respond("POST /v1/confirm", [Json(200, confirmed())]);
    let tool = Tool::new(&[closed_address(), follower.address]);
    tool.write_file("plan.json", &plan().to_string());
    let outcome = tool.run(&["confirm", "plan.json"]).await;
    assert_eq!(outcome.code, 0, "{outcome:?}");
    assert_eq!(leader.received().len(), 1);
}

#[tokio::test]
async fn a_lost_response_is_retried_with_the_same_operation() {
    let leader = FakeController::start().await;
    leader.respond(
        "POST /v1/confirm",
        [
            ConnectionClosed,
            error(503, "no_quorum", "wait"),
            Json(200, confirmed()),
        ],
    );
    let tool = Tool::new(&[leader.address]);
    tool.write_file("plan.json", &plan().to_string());
    let outcome = tool.run(&["confirm", "plan.json"]).await;
    assert_eq!(outcome.code, 0, "{outcome:?}");
    let sent = leader.received();
    assert_eq!(sent.len(), 3);
    assert!(sent.iter().all(|sent| *sent == first_request(&leader)));
    assert_eq!(sent[0].body["operation"], OPERATION);
}

fn first_request(fake: &FakeController) -> cmd_support::ReceivedRequest {
    fake.received()[0].clone()
}

#[tokio::test]
async fn a_drain_is_retried_with_the_same_operation() {
    let leader = FakeController::start().await;
    leader.respond(
        "POST /v1/drain/assistants-1",
        [ConnectionClosed, Json(200, json!({ "index": 43 }))],
    );
    let outcome = Tool::new(&[leader.address])
        .run(&["drain", "assistants-1"])
        .await;
    assert_eq!(outcome.code, 0, "{outcome:?}");
    let sent = leader.received();
    assert_eq!((sent.len(), &sent[0]), (2, &sent[1]));
}

#[tokio::test]
async fn permanent_errors_are_not_retried() {
    let cases = [
        (error(409, "conflict", "the revision is 5; plan again"), 3),
        (error(400, "bad_request", "the intent has no zones"), 2),
        (error(401, "unauthorized", "the token is wrong"), 1),
        (error(500, "internal", "the disk failed"), 1),
        (Json(404, json!("another server")), 1),
        (Json(200, json!("another version")), 1),
    ];
    for (answer, code) in cases {
        let leader = FakeController::start().await;
        leader.respond("POST /v1/confirm", [answer.clone()]);
        let tool = Tool::new(&[leader.address]);
        tool.write_file("plan.json", &plan().to_string());
        let outcome = tool.run(&["confirm", "plan.json"]).await;
        assert_eq!(outcome.code, code, "{answer:?}: {outcome:?}");
        assert_eq!(leader.received().len(), 1, "{answer:?}");
    }
}

#[tokio::test]
async fn the_tool_times_out_and_says_that_a_retry_is_safe() {
    let follower = FakeController::start().await;
    follower.respond(
        "GET /v1/status",
        [error(421, "not_leader", "there is no leader")],
    );
    let tool = Tool::new(&[follower.address, closed_address()]);
    let start = Instant::now();
    let outcome = tool.run(&["status", "--timeout", "1"]).await;
    assert_eq!(outcome.code, 4, "{outcome:?}");
    assert!(
        outcome.stderr.contains("run the same command again"),
        "{outcome:?}"
    );
    assert!(start.elapsed() < Duration::from_secs(5));
    assert!(follower.received().len() > 1);
}

#[tokio::test]
async fn followers_that_name_each_other_are_not_called_in_a_busy_loop() {
    let (first, second) = (FakeController::start().await, FakeController::start().await);
    first.respond("GET /v1/status", [not_leader(second.address)]);
    second.respond("GET /v1/status", [not_leader(first.address)]);
    let tool = Tool::new(&[first.address, second.address]);
    let outcome = tool.run(&["status", "--timeout", "1"]).await;
    assert_eq!(outcome.code, 4, "{outcome:?}");
    let asked = first.received().len() + second.received().len();
    assert!((4..50).contains(&asked), "{asked}");
}

#[tokio::test]
async fn errors_name_the_missing_file_or_invalid_address() {
    let tool = Tool::new(&[closed_address()]);
    let cases: [(&[&str], &str); 4] = [
        (
            &["status", "--token-file", "nowhere"],
            "could not read the token file nowhere",
        ),
        (
            &["confirm", "nowhere.json"],
            "could not read the plan nowhere.json",
        ),
        (&["plan", "nowhere.jsonc"], "could not read nowhere.jsonc"),
        (
            &["status", "--controller", "localhost"],
            "localhost is not an address",
        ),
    ];
    for (args, message) in cases {
        let outcome = tool.run(args).await;
        assert_eq!(outcome.code, 2, "{args:?}: {outcome:?}");
        assert!(outcome.stderr.contains(message), "{args:?}: {outcome:?}");
    }
}
