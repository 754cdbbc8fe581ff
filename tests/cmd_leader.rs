//! How the operator tool finds the leader, resends, and gives up.

mod cmd_support;

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::{Duration, Instant},
};

use cmd_support::{
    Answer::{Json, Lost},
    Fake, OPERATION, Tool, error, not_leader, plan,
};
use serde_json::{Value, json};

fn confirmed() -> Value {
    json!({ "revision": 5, "index": 42, "in_force": 1, "gateways": 1, "everywhere": true })
}

/// Returns an address of this process alone, where nothing listens.
fn closed_address() -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    (Ipv4Addr::new(127, 128 | high >> 1, low, 1), 7200).into()
}

#[tokio::test]
async fn it_follows_a_controller_that_does_not_lead_to_the_leader() {
    let (follower, leader) = (Fake::start().await, Fake::start().await);
    follower.on("POST /v1/confirm", [not_leader(leader.address)]);
    leader.on("POST /v1/confirm", [Json(200, confirmed())]);
    let tool = Tool::new(&[closed_address(), follower.address]);
    tool.file("plan.json", &plan().to_string());
    let outcome = tool.run(&["confirm", "plan.json"]).await;
    assert_eq!(outcome.code, 0, "{outcome:?}");
    assert_eq!(leader.received().len(), 1);
}

#[tokio::test]
async fn a_lost_answer_is_asked_for_again_with_the_same_operation() {
    let leader = Fake::start().await;
    leader.on(
        "POST /v1/confirm",
        [
            Lost,
            error(503, "no_quorum", "wait"),
            Json(200, confirmed()),
        ],
    );
    let tool = Tool::new(&[leader.address]);
    tool.file("plan.json", &plan().to_string());
    let outcome = tool.run(&["confirm", "plan.json"]).await;
    assert_eq!(outcome.code, 0, "{outcome:?}");
    let sent = leader.received();
    assert_eq!(sent.len(), 3);
    assert!(sent.iter().all(|sent| *sent == sent_first(&leader)));
    assert_eq!(sent[0].body["operation"], OPERATION);
}

fn sent_first(fake: &Fake) -> cmd_support::Received {
    fake.received()[0].clone()
}

#[tokio::test]
async fn a_drain_whose_answer_is_lost_is_resent_as_the_same_operation() {
    let leader = Fake::start().await;
    leader.on(
        "POST /v1/drain/assistants-1",
        [Lost, Json(200, json!({ "index": 43 }))],
    );
    let outcome = Tool::new(&[leader.address])
        .run(&["drain", "assistants-1"])
        .await;
    assert_eq!(outcome.code, 0, "{outcome:?}");
    let sent = leader.received();
    assert_eq!((sent.len(), &sent[0]), (2, &sent[1]));
}

#[tokio::test]
async fn final_answers_are_not_asked_for_again() {
    let cases = [
        (error(409, "conflict", "the revision is 5; plan again"), 3),
        (error(400, "bad_request", "the intent has no zones"), 2),
        (error(401, "unauthorized", "the token is wrong"), 1),
        (error(500, "internal", "the disk failed"), 1),
        (Json(404, json!("another server")), 1),
        (Json(200, json!("another version")), 1),
    ];
    for (answer, code) in cases {
        let leader = Fake::start().await;
        leader.on("POST /v1/confirm", [answer.clone()]);
        let tool = Tool::new(&[leader.address]);
        tool.file("plan.json", &plan().to_string());
        let outcome = tool.run(&["confirm", "plan.json"]).await;
        assert_eq!(outcome.code, code, "{answer:?}: {outcome:?}");
        assert_eq!(leader.received().len(), 1, "{answer:?}");
    }
}

#[tokio::test]
async fn it_gives_up_in_time_and_says_that_a_repeat_is_safe() {
    let follower = Fake::start().await;
    follower.on(
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
async fn followers_that_name_each_other_are_asked_with_pauses() {
    let (first, second) = (Fake::start().await, Fake::start().await);
    first.on("GET /v1/status", [not_leader(second.address)]);
    second.on("GET /v1/status", [not_leader(first.address)]);
    let tool = Tool::new(&[first.address, second.address]);
    let outcome = tool.run(&["status", "--timeout", "1"]).await;
    assert_eq!(outcome.code, 4, "{outcome:?}");
    let asked = first.received().len() + second.received().len();
    assert!((4..50).contains(&asked), "{asked}");
}

#[tokio::test]
async fn what_is_missing_is_named() {
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
