//! Confirming intents: conflicting confirms, resent requests, lost leaders, lost quorums, restarts
//! and lost disks.

mod controllers;

use std::{
    sync::atomic::Ordering,
    time::{Duration, Instant},
};

use controllers::{
    Cluster, FakeGateway, POLL_INTERVAL, confirm_request, intent, new_confirm_request,
};
use flamingocroft::{
    domain::{Intent, MemberId, Ran},
    operator::{Confirmed, MemberChanged, MemberRequest},
    settings::Timing,
};
use hyper::{Method, StatusCode};
use tokio::{io::AsyncWriteExt, net::TcpStream, time::sleep};

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_confirms_on_the_same_revision_wins() {
    let cluster = Cluster::start(3).await;
    let (leader, _) = cluster.leader().await;
    let plans = [
        cluster.plan(leader, &intent(1)).await,
        cluster.plan(leader, &intent(2)).await,
    ];
    let (a, b) = tokio::join!(
        cluster.confirm(leader, &plans[0]),
        cluster.confirm(leader, &plans[1])
    );
    let (won, lost) = if a.status == StatusCode::OK {
        (a, b)
    } else {
        (b, a)
    };
    assert_eq!(won.read::<Confirmed>().revision.0, 1);
    assert_eq!(lost.status, StatusCode::CONFLICT);
    assert_eq!(&*lost.error().error.kind, "conflict");
    assert_eq!(lost.error().error.ran, Ran::No);
    assert_eq!(cluster.leader().await.1.revision.0, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resent_confirm_gets_the_first_reply_even_from_a_new_leader() {
    let mut cluster = Cluster::start(3).await;
    let (leader, _) = cluster.leader().await;
    let plan = cluster.plan(leader, &intent(1)).await;
    let first: Confirmed = cluster.confirm(leader, &plan).await.read();
    let second: Confirmed = cluster.confirm(leader, &plan).await.read();
    assert_eq!(first, second);
    cluster.plan_and_confirm(&intent(2)).await;
    cluster.stop(leader).await;
    let (leader, _) = cluster.leader().await;
    let third: Confirmed = cluster.confirm(leader, &plan).await.read();
    assert_eq!((third.revision, third.index), (first.revision, first.index));
    let history = cluster.history(leader).await;
    assert_eq!(history.len(), 2, "{history:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_confirm_resent_after_the_leader_stopped_takes_effect_once() {
    let mut cluster = Cluster::start(3).await;
    let gateway = FakeGateway::start(&cluster, "g0", "z0", 1);
    gateway.wait_for_state(|state| state.lease.is_some()).await;
    // The confirm waits for a gateway that drops its views, so the leader stops before it answers.
    gateway.shared.drops_views.store(true, Ordering::Relaxed);
    let (leader, _) = cluster.leader().await;
    let plan = cluster.plan(leader, &intent(1)).await;
    let address = cluster.controllers[leader].settings.http_address;
    let lost = tokio::spawn(controllers::post_call(
        address,
        "confirm",
        confirm_request(&plan),
    ));
    cluster
        .wait_for_status(|status| status.revision.0 == 1)
        .await;
    assert!(!lost.is_finished());
    lost.abort();
    cluster.stop(leader).await;
    let (next, _) = cluster.leader().await;
    let answer: Confirmed = cluster.confirm(next, &plan).await.read();
    assert_eq!(answer.revision.0, 1);
    let history = cluster.history(next).await;
    assert_eq!(history.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_without_a_quorum_answers_503_and_confirms_nothing() {
    let mut cluster = Cluster::start(3).await;
    cluster.plan_and_confirm(&intent(1)).await;
    let (leader, _) = cluster.leader().await;
    for index in (0..3).filter(|index| *index != leader) {
        cluster.stop(index).await;
    }
    let request = new_confirm_request(1, intent(2));
    let answer = cluster.post(leader, "confirm", &request).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(&*answer.error().error.kind, "no_quorum");
    for call in ["status", "history"] {
        let answer = cluster.get(leader, call).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{call}");
        assert_eq!(&*answer.error().error.kind, "no_quorum");
        assert_eq!(answer.error().error.ran, Ran::No);
    }
    let answer = cluster.post(leader, "plan", &intent(3)).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_follower_answers_503_and_never_shows_stale_state() {
    let mut cluster = Cluster::start(3).await;
    cluster.plan_and_confirm(&intent(1)).await;
    let (leader, _) = cluster.leader().await;
    let isolated = (leader + 1) % 3;
    cluster.stop((leader + 2) % 3).await;
    cluster.stop(leader).await;
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = cluster.get(isolated, "status").await;
        match answer.status {
            StatusCode::SERVICE_UNAVAILABLE => break,
            // It may not have noticed the loss of the leader yet, but must not show its state as
            // current.
            status => assert_eq!(status, StatusCode::MISDIRECTED_REQUEST),
        }
        assert!(
            Instant::now() < deadline,
            "the isolated follower still names a leader"
        );
        sleep(POLL_INTERVAL).await;
    }
    let answer = cluster
        .post(isolated, "confirm", &new_confirm_request(1, intent(2)))
        .await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(&*answer.error().error.kind, "no_quorum");
    // An earlier attempt may have been carried out; only the log knows the operation.
    assert_eq!(answer.error().error.ran, Ran::Unknown);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_follower_names_the_leader() {
    let cluster = Cluster::start(3).await;
    let (leader, _) = cluster.leader().await;
    let other = (leader + 1) % 3;
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = cluster.get(other, "status").await;
        if answer.status == StatusCode::MISDIRECTED_REQUEST {
            let address = cluster.controllers[leader].settings.http_address;
            assert_eq!(answer.error().error.leader, Some(address));
            return;
        }
        assert!(Instant::now() < deadline, "{:?}", answer.body);
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn restarting_all_controllers_keeps_the_configuration_and_claims() {
    let mut cluster = Cluster::start(3).await;
    let gateway = FakeGateway::start(&cluster, "g0", "z0", 1);
    cluster.plan_and_confirm(&intent(1)).await;
    let last = cluster.plan_and_confirm(&intent(2)).await;
    gateway.wait_for_state(|state| state.lease.is_some()).await;
    let key = uuid::Uuid::now_v7();
    let granted = gateway
        .shared
        .claim(&gateway.claim_request(key, 1, 1))
        .await;
    assert_eq!(granted.status(), flamingocroft::wire::ClaimStatus::Granted);
    drop(gateway);
    cluster.stop_all().await;
    for index in 0..3 {
        cluster.start_controller(index).await;
    }
    let (_, status) = cluster.leader().await;
    assert_eq!(status.revision, last.revision);
    let gateway = FakeGateway::start(&cluster, "g1", "z0", 1);
    gateway.wait_for_state(|state| state.revision == 2).await;
    let other = gateway
        .shared
        .claim(&gateway.claim_request(key, 1, 1))
        .await;
    assert_ne!(other.status(), flamingocroft::wire::ClaimStatus::Granted);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_controller_that_lost_its_disk_must_be_added_as_a_new_member() {
    let mut cluster = Cluster::start(3).await;
    cluster.plan_and_confirm(&intent(1)).await;
    let (leader, status) = cluster.leader().await;
    let lost = (leader + 1) % 3;
    let name = cluster.controllers[lost].settings.name.clone();
    let old = cluster
        .wait_for_status(|status| status.members.iter().any(|m| m.name == name))
        .await
        .members
        .into_iter()
        .find(|member| member.name == name)
        .unwrap()
        .member;
    cluster.stop(lost).await;
    std::fs::remove_dir_all(cluster.data_folder(lost)).unwrap();
    cluster.start_controller(lost).await;
    let new = cluster.member(lost).await;
    assert_ne!(new, old);
    assert!(!status.members.iter().any(|member| member.member == new));
    for request in [
        MemberRequest::AddLearner(new),
        MemberRequest::Promote(new),
        MemberRequest::Remove(old),
    ] {
        change_members(&cluster, leader, request).await;
    }
    let status = cluster
        .wait_for_status(|status| status.members.iter().all(|m| m.voter && m.member != old))
        .await;
    assert_eq!(status.members.len(), 3);
    cluster.stop((leader + 2) % 3).await;
    assert_eq!(cluster.plan_and_confirm(&intent(5)).await.revision.0, 2);
}

/// Retries a refused membership change, since a learner must catch up before it can be promoted.
async fn change_members(cluster: &Cluster, leader: usize, request: MemberRequest) -> MemberChanged {
    let deadline = Instant::now() + Duration::from_secs(10);
    loop {
        let answer = cluster.post(leader, "members", &request).await;
        if answer.status == StatusCode::OK {
            return answer.read();
        }
        assert_eq!(answer.status, StatusCode::CONFLICT, "{:?}", answer.body);
        assert!(Instant::now() < deadline, "{request:?} is still refused");
        sleep(POLL_INTERVAL).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_and_wrong_tokens_are_refused() {
    let cluster = Cluster::start(1).await;
    cluster.leader().await;
    let answer = cluster.post(0, "plan", &Intent::default()).await;
    assert_eq!(&*answer.error().error.kind, "bad_intent");
    let send = |method, call: &'static str, token: &'static str, body: &'static [u8]| {
        cluster.send(0, method, call, token, body.into())
    };
    let token = controllers::OPERATOR_TOKEN;
    let table = [
        (Method::GET, "status", "wrong", &b""[..], 401),
        (Method::GET, "status", "", b"", 401),
        (Method::POST, "confirm", token, b"{", 400),
        (Method::POST, "plan", token, br#"{"unknown": 1}"#, 400),
        (Method::GET, "nothing", token, b"", 404),
        (Method::GET, "explain/revision/7", token, b"", 404),
        (Method::GET, "explain/revision/x", token, b"", 400),
        (Method::GET, "explain/instance/x", token, b"", 404),
        (Method::POST, "plan", token, &[b' '; 1024 * 1024 + 1], 413),
    ];
    for (method, call, token, body, status) in table {
        let answer = send(method, call, token, body).await;
        assert_eq!(answer.status.as_u16(), status, "{call}");
        assert_eq!(answer.error().error.ran, Ran::No);
    }
    let _: MemberId = cluster.member(0).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_incomplete_request_does_not_block_shutdown() {
    let timing = Timing {
        shutdown: Duration::from_millis(200),
        ..Timing::default()
    };
    let mut cluster = Cluster::start_with(1, timing, None).await;
    cluster.leader().await;
    let address = cluster.controllers[0].settings.http_address;
    let mut caller = TcpStream::connect(address).await.unwrap();
    caller
        .write_all(b"GET /v1/status HTTP/1.1\r\n")
        .await
        .unwrap();
    // A response to a later request proves that the connection has been accepted.
    cluster.leader().await;
    cluster.stop(0).await;
}
