//! At-most-once calls: every result of a claim, and what the caller gets.

mod gateway_support;

use std::time::Duration;

use flamingocroft::{
    ports::{Sent, UpstreamErrorKind},
    wire::ClaimStatus,
};
use gateway_support::{
    Bench, Options, VIEW_LEASE, eventually,
    http::{Call, Events, Reply},
    leader::ClaimMode,
    upstreams::Fault,
};
use uuid::{NoContext, Timestamp, Uuid};

async fn bench(gateways: usize) -> Bench {
    Bench::start(Options {
        gateways,
        ..Options::default()
    })
    .await
}

fn refused(reply: &Reply) -> (u16, String, String) {
    let (kind, ran) = reply.error();
    (reply.status, kind, ran)
}

fn refusal(status: u16, kind: &str, ran: &str) -> (u16, String, String) {
    (status, kind.to_owned(), ran.to_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_once_and_its_answer_is_replayed_at_every_gateway() {
    let bench = bench(2).await;
    let call = Call::release(Uuid::now_v7(), "truck 1");
    let first = call.send(bench.address(0)).await;
    assert_eq!(first.status, 200);
    assert_eq!(first.text, "1: POST /releases truck 1");
    assert_eq!(first.header("x-replayed"), None);
    for at in [0, 1] {
        let again = call.send(bench.address(at)).await;
        assert_eq!((again.status, &again.text), (200, &first.text));
        assert_eq!(again.header("x-replayed"), Some("true"));
    }
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_key_at_two_gateways_runs_once() {
    let bench = bench(2).await;
    bench.upstreams.set_calls_open(false);
    let call = Call::release(Uuid::now_v7(), "truck 2");
    let (first, second) = (call.clone(), call.clone());
    let (a, b) = (bench.address(0), bench.address(1));
    let tasks = [
        tokio::spawn(async move { first.send(a).await }),
        tokio::spawn(async move { second.send(b).await }),
    ];
    // One gateway dispatches; the other reports that the call is in progress.
    let upstreams = &bench.upstreams;
    eventually("one call runs", || async { upstreams.calls().len() == 1 }).await;
    let leader = &bench.leader;
    eventually("both gateways have sent claims", || async {
        leader.claim_attempts().len() >= 2
    })
    .await;
    bench.upstreams.set_calls_open(true);
    let mut statuses = Vec::new();
    for task in tasks {
        let reply = task.await.unwrap();
        if reply.status != 200 {
            assert_eq!(refused(&reply), refusal(409, "in_progress", "unknown"));
            assert_eq!(reply.header("retry-after"), Some("1"));
        }
        statuses.push(reply.status);
    }
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409]);
    assert_eq!(
        call.send(bench.address(1)).await.text,
        "1: POST /releases truck 2"
    );
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_body_under_the_same_key_is_a_conflict() {
    let bench = bench(1).await;
    let key = Uuid::now_v7();
    Call::release(key, "truck 3").send(bench.address(0)).await;
    let reply = Call::release(key, "truck 4").send(bench.address(0)).await;
    assert_eq!(refused(&reply), refusal(409, "key_conflict", "no"));
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_leaders_refusals_reach_the_caller_and_nothing_runs() {
    for (status, expected) in [
        (
            ClaimStatus::InProgress,
            refusal(409, "in_progress", "unknown"),
        ),
        (
            ClaimStatus::Unknown,
            refusal(502, "upstream_failed", "unknown"),
        ),
        (ClaimStatus::Conflict, refusal(409, "key_conflict", "no")),
        (ClaimStatus::Expired, refusal(410, "key_expired", "unknown")),
        (
            ClaimStatus::Done,
            refusal(502, "upstream_failed", "unknown"),
        ),
    ] {
        let bench = bench(1).await;
        bench.leader.set_claim_mode(ClaimMode::Always(status));
        let reply = Call::release(Uuid::now_v7(), "x")
            .send(bench.address(0))
            .await;
        assert_eq!(refused(&reply), expected, "{status:?}");
        assert_eq!(bench.upstreams.reached(), 0, "{status:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_status_of_a_later_build_is_not_read_as_granted() {
    const LATER_STATUS: i32 = 99;
    let bench = bench(1).await;
    let mode = ClaimMode::AlwaysCode(LATER_STATUS);
    bench.leader.set_claim_mode(mode);
    let call = Call::release(Uuid::now_v7(), "x");
    let reply = call.send(bench.address(0)).await;
    assert_eq!(bench.upstreams.reached(), 0, "it ran: {}", reply.text);
    assert_eq!(refused(&reply), refusal(503, "no_quorum", "unknown"));
    assert_eq!(reply.header("retry-after"), Some("2"));
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_outside_the_accepted_time_are_refused_without_a_claim() {
    let bench = bench(1).await;
    let now = std::time::UNIX_EPOCH.elapsed().unwrap().as_secs();
    let key = |seconds| Uuid::new_v7(Timestamp::from_unix(NoContext, seconds, 0));
    let old = Call::release(key(now - 25 * 3600), "x")
        .send(bench.address(0))
        .await;
    assert_eq!(refused(&old), refusal(410, "key_expired", "unknown"));
    let early = Call::release(key(now + 3600), "x")
        .send(bench.address(0))
        .await;
    assert_eq!(refused(&early), refusal(400, "bad_request", "no"));
    assert!(bench.leader.claim_attempts().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unanswered_claim_is_released_and_its_attempt_never_dispatched() {
    let bench = bench(1).await;
    bench.leader.set_claim_mode(ClaimMode::Silent);
    let call = Call::release(Uuid::now_v7(), "truck 5");
    let reply = call.send(bench.address(0)).await;
    // This attempt did not run, but an earlier one with the same key may have.
    assert_eq!(refused(&reply), refusal(503, "no_quorum", "unknown"));
    assert_eq!(reply.header("retry-after"), Some("2"));
    let asked = bench.leader.claim_attempts();
    assert!(asked.len() > 1, "the claim was resent: {asked:?}");
    assert!(asked.iter().all(|attempt| *attempt == asked[0]));
    assert_eq!(bench.upstreams.reached(), 0);
    let leader = &bench.leader;
    eventually("the claim is released", || async {
        leader.releases().contains(&asked[0])
    })
    .await;
    bench.leader.set_claim_mode(ClaimMode::Settled);
    let reply = call.send(bench.address(0)).await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    assert_ne!(bench.leader.claim_attempts().last(), asked.first());
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_suspended_past_its_lease_does_not_dispatch() {
    let bench = bench(1).await;
    bench.leader.grants_open.send_replace(false);
    let address = bench.address(0);
    let call = Call::release(Uuid::now_v7(), "truck 6");
    let sent = call.clone();
    let reply = tokio::spawn(async move { sent.send(address).await });
    let mut granted = bench.leader.granted.subscribe();
    granted.wait_for(|granted| *granted > 0).await.unwrap();
    // The process is suspended for longer than its lease while the grant is in transit.
    bench.leader.set_silent(true);
    bench.gateways[0].clock.advance(VIEW_LEASE * 2);
    bench.leader.grants_open.send_replace(true);
    let reply = reply.await.unwrap();
    assert_eq!(refused(&reply), refusal(503, "no_lease", "no"));
    assert_eq!(bench.upstreams.reached(), 0);
    let leader = &bench.leader;
    eventually("the claim is released", || async {
        !leader.releases().is_empty()
    })
    .await;
    bench.leader.set_silent(false);
    bench.wait_until_ready().await;
    assert_eq!(call.send(address).await.status, 200);
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_a_lost_answer_stays_unknown() {
    let bench = bench(2).await;
    for instance in ["d0", "d1"] {
        let fault = Fault::Refuse(UpstreamErrorKind::Cut, Sent::Maybe);
        bench.upstreams.fail(instance, fault);
    }
    let call = Call::release(Uuid::now_v7(), "truck 7");
    let reply = call.send(bench.address(0)).await;
    assert_eq!(refused(&reply), refusal(502, "upstream_failed", "unknown"));
    bench.upstreams.fail("d0", Fault::None);
    bench.upstreams.fail("d1", Fault::None);
    for at in [1, 0] {
        let again = call.send(bench.address(at)).await;
        assert_eq!(refused(&again), refusal(502, "upstream_failed", "unknown"));
    }
    assert_eq!(bench.upstreams.reached(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_never_sent_may_be_repeated() {
    let bench = bench(1).await;
    for instance in ["d0", "d1"] {
        let fault = Fault::Refuse(UpstreamErrorKind::Connect, Sent::No);
        bench.upstreams.fail(instance, fault);
    }
    let call = Call::release(Uuid::now_v7(), "truck 8");
    let reply = call.send(bench.address(0)).await;
    assert_eq!(refused(&reply), refusal(502, "upstream_failed", "no"));
    let leader = &bench.leader;
    eventually("the claim is released", || async {
        !leader.releases().is_empty()
    })
    .await;
    bench.upstreams.fail("d0", Fault::None);
    bench.upstreams.fail("d1", Fault::None);
    assert_eq!(call.send(bench.address(0)).await.status, 200);
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_outcome_is_resent_until_it_is_committed() {
    let bench = bench(2).await;
    bench.leader.lose_outcomes(2);
    let call = Call::release(Uuid::now_v7(), "truck 9");
    let reply = call.send(bench.address(0)).await;
    assert_eq!(
        reply.status, 200,
        "the answer is not delayed until the commit"
    );
    let leader = &bench.leader;
    eventually("the outcome is resent", || async { leader.outcomes() >= 3 }).await;
    let again = call.send(bench.address(1)).await;
    assert_eq!(again.header("x-replayed"), Some("true"));
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_disconnects_gets_the_recorded_answer_later() {
    let bench = bench(2).await;
    bench.upstreams.set_calls_open(false);
    let call = Call::release(Uuid::now_v7(), "truck 10");
    let (address, sent) = (bench.address(0), call.clone());
    let caller = tokio::spawn(async move { sent.send(address).await });
    let upstreams = &bench.upstreams;
    eventually("the call runs", || async { upstreams.calls().len() == 1 }).await;
    caller.abort();
    let _ = caller.await;
    bench.upstreams.set_calls_open(true);
    let leader = &bench.leader;
    eventually("the outcome is recorded", || async {
        leader.outcomes() == 1
    })
    .await;
    let again = call.send(bench.address(1)).await;
    assert_eq!(again.text, "1: POST /releases truck 10");
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_too_large_to_keep_is_replayed_as_having_run() {
    let mut options = Options::default();
    options.limits.outcome_bytes = 10;
    let bench = Bench::start(options).await;
    let call = Call::release(Uuid::now_v7(), "truck 11");
    assert_eq!(call.send(bench.address(0)).await.status, 200);
    let again = call.send(bench.address(0)).await;
    assert_eq!(refused(&again), refusal(502, "upstream_failed", "yes"));
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_waits_for_a_claimed_call() {
    let mut bench = bench(1).await;
    bench.upstreams.set_calls_open(false);
    let call = Call::release(Uuid::now_v7(), "truck 12");
    let address = bench.address(0);
    let reply = tokio::spawn(async move { call.send(address).await });
    let upstreams = &bench.upstreams;
    eventually("the call runs", || async { upstreams.calls().len() == 1 }).await;
    bench.gateways[0].stop.cancel();
    eventually("the gateway refuses new work", || async move {
        Call::get("/readyz").send(address).await.status == 503
    })
    .await;
    bench.upstreams.set_calls_open(true);
    assert_eq!(reply.await.unwrap().status, 200);
    let ended = tokio::time::timeout(
        Duration::from_secs(5),
        bench.gateways[0].wait_until_stopped(),
    )
    .await;
    ended.expect("the gateway shuts down").unwrap();
    assert_eq!(bench.leader.outcomes(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn no_retry_of_an_executed_call_is_refused_as_not_run() {
    let bench = bench(3).await;
    let call = Call::release(Uuid::now_v7(), "truck 13");
    assert_eq!(call.send(bench.address(0)).await.status, 200);
    let check = |what: &'static str, reply: Reply| {
        assert_eq!(refused(&reply), refusal(503, what, "unknown"));
        assert!(reply.header("retry-after").is_some(), "{what}");
    };
    bench.leader.set_claim_mode(ClaimMode::Silent);
    check("no_quorum", call.send(bench.address(0)).await);
    bench.leader.set_silent(true);
    bench.gateways[1].clock.advance(VIEW_LEASE);
    check("no_lease", call.send(bench.address(1)).await);
    // An unfinished request keeps the gateway running.
    bench.leader.set_silent(false);
    bench.wait_until_ready().await;
    bench.upstreams.allow_tokens(1);
    let generation = Call::complete("p", 9, true);
    let _running = Events::open(&generation, bench.address(2)).await;
    bench.gateways[2].stop.cancel();
    let address = bench.address(2);
    eventually("the gateway refuses new work", || async move {
        Call::get("/readyz").send(address).await.status == 503
    })
    .await;
    check("leaving", call.send(address).await);
    assert_eq!(bench.upstreams.calls().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_answer_that_ended_with_its_connection_is_never_framed_as_complete() {
    let bench = bench(2).await;
    for body in ["truck 9 without length", "truck 10"] {
        let call = Call::release(Uuid::now_v7(), body);
        let replies = [
            call.send(bench.address(0)).await,
            call.send(bench.address(0)).await,
            call.send(bench.address(1)).await,
        ];
        for reply in replies {
            assert!(reply.text.ends_with(body), "{reply:?}");
            let names = ["content-length", "transfer-encoding"];
            let is_framed = names.iter().any(|name| reply.header(name).is_some());
            assert_eq!(is_framed, !body.contains("without length"), "{reply:?}");
        }
    }
}
