//! Views and leases: which ones a gateway applies, and how it behaves without a valid one.

mod gateway_support;

use flamingocroft::wire::GatewayRecord;
use gateway_support::{
    Bench, Options, eventually,
    http::{Call, Events},
    instance, intent, shares,
};
use uuid::Uuid;

async fn status(bench: &Bench, path: &str) -> u16 {
    Call::get(path).send(bench.address(0)).await.status
}

/// Returns the engines that answer a few requests.
async fn used_engines(bench: &Bench) -> Vec<String> {
    let before = bench.upstreams.attempts().len();
    for at in 0..6 {
        let call = Call::complete(&format!("use {at}"), 1, false);
        assert_eq!(call.send(bench.address(0)).await.status, 200);
    }
    let mut used: Vec<String> = bench
        .upstreams
        .attempts()
        .drain(before..)
        .map(|a| a.instance)
        .collect();
    used.sort_unstable();
    used.dedup();
    used
}

/// Starts a gateway whose leader is silent.
async fn start_without_view() -> Bench {
    let mut bench = Bench::start(Options {
        gateways: 0,
        ..Options::default()
    })
    .await;
    bench.leader.set_silent(true);
    bench.add_gateway(0).await;
    bench
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_serves_nothing_before_its_first_leased_view() {
    let bench = start_without_view().await;
    let reply = Call::complete("p", 1, false).send(bench.address(0)).await;
    assert_eq!(reply.error(), ("no_lease".to_owned(), "no".to_owned()));
    assert_eq!(status(&bench, "/readyz").await, 503);
    assert_eq!(status(&bench, "/v1/addresses").await, 503);
    assert_eq!(status(&bench, "/healthz").await, 200);
    bench.leader.set_silent(false);
    bench.wait_until_ready().await;
    assert_eq!(bench.upstreams.reached(), 0);
    let reply = Call::complete("p", 1, false).send(bench.address(0)).await;
    assert_eq!(reply.status, 200);
}

/// A caller that resumes a stream at a gateway that was just started must come back, not give up.
#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_without_a_view_calls_no_token_invalid() {
    let bench = start_without_view().await;
    let resume = || Call::resume(&Uuid::now_v7().to_string(), None);
    let calls = [
        ("resume", resume()),
        ("complete", Call::complete("p", 1, false)),
        ("service", Call::get("/v1/services/depot/piles/7")),
    ];
    for (what, call) in calls {
        let reply = call.send(bench.address(0)).await;
        assert_eq!(reply.status, 503, "{what}: {}", reply.text);
        assert_eq!(
            reply.error(),
            ("no_lease".to_owned(), "no".to_owned()),
            "{what}"
        );
        assert!(reply.header("retry-after").is_some(), "{what}");
    }
    bench.leader.set_silent(false);
    bench.wait_until_ready().await;
    assert_eq!(resume().send(bench.address(0)).await.status, 404);
    let invalid = resume().token(Some("no such token"));
    assert_eq!(invalid.send(bench.address(0)).await.status, 401);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lease_takes_effect_only_with_the_view_that_it_requires() {
    let bench = Bench::start(Options::default()).await;
    bench.leader.require_index_ahead(1);
    // The lease of the current view runs until it expires; after that no new work is accepted.
    assert_eq!(status(&bench, "/readyz").await, 200);
    let bench = &bench;
    eventually("the lease expires", || async {
        status(bench, "/readyz").await == 503
    })
    .await;
    let reply = Call::complete("p", 1, false).send(bench.address(0)).await;
    assert_eq!(reply.error(), ("no_lease".to_owned(), "no".to_owned()));
    bench.leader.set_intent(&intent(), shares(64));
    bench.leader.require_index_ahead(0);
    bench.wait_until_ready().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_older_view_is_never_applied() {
    let bench = Bench::start(Options::default()).await;
    bench.leader.set_intent(&intent(), shares(64));
    bench
        .leader
        .set_instances(vec![instance("e1", "chat", "a", 1)]);
    let bench = &bench;
    eventually("only e1 is in use", || async {
        used_engines(bench).await == ["e1"]
    })
    .await;
    // A deposed leader may have a higher sequence of its own with an older index.
    let old = bench
        .leader
        .answer_with_older_index(vec![instance("e0", "chat", "a", 0)]);
    let mut sent = old.subscribe();
    sent.wait_for(|sent| *sent >= 3).await.unwrap();
    assert_eq!(used_engines(bench).await, ["e1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_incarnation_never_becomes_live_again() {
    let bench = Bench::start(Options::default()).await;
    bench.leader.set_leaving("e0");
    let bench = &bench;
    eventually("only e1 is in use", || async {
        used_engines(bench).await == ["e1"]
    })
    .await;
    // A delayed list shows e0 as live again. The third engine, e2, shows when that list is applied.
    let mut delayed = vec![
        instance("e0", "chat", "a", 0),
        instance("e1", "chat", "b", 1),
        instance("e2", "chat", "a", 2),
    ];
    bench.leader.set_instances(delayed.clone());
    eventually("the delayed list is applied", || async {
        used_engines(bench).await.contains(&"e2".to_owned())
    })
    .await;
    for _ in 0..5 {
        assert!(!used_engines(bench).await.contains(&"e0".to_owned()));
    }
    // A replacement with the same name is another incarnation.
    delayed[0].incarnation = 2;
    bench.leader.set_instances(delayed);
    eventually("the replacement is in use", || async {
        used_engines(bench).await.contains(&"e0".to_owned())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_without_a_leader_is_notified_of_leaving_instances_by_its_peers() {
    let bench = Bench::start(Options {
        gateways: 2,
        ..Options::default()
    })
    .await;
    // The second gateway gets the leaving from the engine's load report, the first one only from
    // the second gateway.
    bench.upstreams.hide_leaving_from(0);
    bench.leader.set_silent(true);
    bench.upstreams.set_leaving("e0");
    let bench = &bench;
    eventually("only e1 is in use", || async {
        used_engines(bench).await == ["e1"]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_leader_is_found_by_hints_and_after_timeouts() {
    let mut bench = Bench::start(Options {
        gateways: 0,
        ..Options::default()
    })
    .await;
    bench.add_other_controllers().await;
    bench.add_gateway(0).await;
    bench.wait_until_ready().await;
    let reply = Call::complete("p", 1, false).send(bench.address(0)).await;
    assert_eq!(reply.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_copy_is_sent_when_the_backup_leaves() {
    let mut bench = Bench::start(Options {
        gateways: 3,
        ..Options::default()
    })
    .await;
    bench.upstreams.allow_tokens(2);
    let call = Call::complete("p", 6, true);
    let mut events = Events::open(&call, bench.address(0)).await;
    events.tokens(2).await;
    let id = events.request_id.clone();
    let first = events.backup.clone().expect("a backup");
    let first = bench.gateway_index(&first);
    bench.gateways[first].kill().await;
    let record = bench
        .leader
        .gateways()
        .into_iter()
        .find(|g| g.name == bench.gateways[first].name);
    bench.leader.replace_gateway(GatewayRecord {
        leaving: true,
        ..record.unwrap()
    });
    let other = 3 - first;
    let address = bench.address(0);
    eventually("the address list excludes the backup", || async move {
        let reply = Call::get("/v1/addresses").send(address).await;
        reply.json()["addresses"].as_array().unwrap().len() == 2
    })
    .await;
    // The next token detects that the backup has left.
    bench.upstreams.allow_tokens(3);
    events.tokens(1).await;
    let held = bench.address(other);
    let mut known = Call::resume(&id, Some(2)).open(held).await.status() == 200;
    for tokens in [4, 5] {
        bench.upstreams.allow_tokens(tokens);
        events.tokens(1).await;
        known |= Call::resume(&id, Some(2)).open(held).await.status() == 200;
    }
    assert!(known, "the other gateway holds a copy");
}
