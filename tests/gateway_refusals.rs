//! The content of refusals: `ran: no` only if nothing has reached an upstream.

mod gateway_support;

use std::{net::SocketAddr, time::Duration};

use flamingocroft::{
    domain::RefusalKind,
    ports::{Sent, UpstreamErrorKind},
    settings::Timing,
    wire::ShareRecord,
};
use gateway_support::{
    Bench, Options, VIEW_LEASE, eventually, hash,
    http::{Call, Events, FREE_TOKEN, PAYING_TOKEN, Reply},
    instance, intent, shares,
    upstreams::Fault,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{Instant, timeout},
};
use uuid::Uuid;

/// Checks the properties that every refusal must have.
fn check_refusal(what: &str, reply: &Reply, reached: u32) {
    let (kind, ran) = reply.error();
    assert!(!kind.is_empty(), "{what}: {}", reply.text);
    assert_eq!(ran == "no", reached == 0, "{what}: {ran} with {reached}");
    let kind: RefusalKind = serde_json::from_value(kind.into()).unwrap();
    assert_eq!(reply.status, kind.status(), "{what}");
    let message = reply.json()["error"]["message"].as_str().unwrap().len();
    assert!(message > 20, "{what}: the message names no remedy");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_says_no_only_if_nothing_arrived() {
    let kinds = [
        UpstreamErrorKind::Connect,
        UpstreamErrorKind::Busy,
        UpstreamErrorKind::Leaving,
        UpstreamErrorKind::Rejected,
        UpstreamErrorKind::Silent,
        UpstreamErrorKind::Cut,
        UpstreamErrorKind::Protocol,
    ];
    let calls = [
        Call::complete("p", 2, false),
        Call::complete("p", 2, true),
        Call::get("/v1/services/depot/piles/7"),
        Call::release(Uuid::now_v7(), "x"),
    ];
    for kind in kinds {
        for sent in [Sent::No, Sent::Maybe] {
            let bench = Bench::start(Options::default()).await;
            for instance in ["e0", "e1", "d0", "d1"] {
                bench.upstreams.fail(instance, Fault::Refuse(kind, sent));
            }
            for call in &calls {
                let before = bench.upstreams.reached();
                let reply = call.send(bench.address(0)).await;
                let what = format!("{kind:?} {sent:?} {}", call.path);
                if kind == UpstreamErrorKind::Leaving && before > 0 {
                    continue;
                }
                check_refusal(&what, &reply, bench.upstreams.reached() - before);
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_call_is_tried_elsewhere_and_another_one_is_not() {
    let bench = Bench::start(Options::default()).await;
    bench
        .upstreams
        .fail("d0", Fault::Refuse(UpstreamErrorKind::Cut, Sent::Maybe));
    let mut once = 0;
    for _ in 0..8 {
        let reply = Call::get("/v1/services/depot/piles")
            .send(bench.address(0))
            .await;
        assert_eq!(reply.status, 200, "{}", reply.text);
        let before = bench.upstreams.reached();
        let reply = Call::release(Uuid::now_v7(), "x")
            .send(bench.address(0))
            .await;
        assert_eq!(bench.upstreams.reached(), before + 1);
        once += u32::from(reply.status == 200);
    }
    assert!(once > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_moved_before_its_first_token_may_have_run() {
    let bench = Bench::start(Options::default()).await;
    bench.upstreams.allow_tokens(0);
    let address = bench.address(0);
    let caller = tokio::spawn(async move { Call::complete("p", 2, false).send(address).await });
    let upstreams = &bench.upstreams;
    eventually("an engine receives the request", || async {
        upstreams.open_streams() == 1
    })
    .await;
    let first = upstreams.attempts()[0].instance.clone();
    let other = if first == "e0" { "e1" } else { "e0" };
    upstreams.fail(other, Fault::Refuse(UpstreamErrorKind::Connect, Sent::No));
    bench.leader.set_leaving(&first);
    let reply = caller.await.unwrap();
    let expected = ("upstream_failed".to_owned(), "unknown".to_owned());
    assert_eq!(reply.error(), expected, "{}", reply.text);
    assert!(reply.header("x-request-id").is_some());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_without_instances_is_refused() {
    let bench = Bench::start(Options::default()).await;
    bench
        .leader
        .set_instances(vec![instance("x", "none", "a", 1)]);
    let address = bench.address(0);
    eventually("the instances are gone", || async move {
        let reply = Call::complete("p", 1, false).send(address).await;
        reply.status == 503
    })
    .await;
    let before = bench.upstreams.reached();
    for call in [
        Call::complete("p", 1, true),
        Call::get("/v1/services/depot/piles"),
        Call::release(Uuid::now_v7(), "x"),
    ] {
        let reply = call.send(address).await;
        assert_eq!(reply.error(), ("no_upstream".to_owned(), "no".to_owned()));
        assert_eq!(reply.header("retry-after"), Some("1"));
    }
    assert_eq!(bench.upstreams.reached(), before);
    let leader = &bench.leader;
    eventually("the claim is released", || async {
        !leader.releases().is_empty()
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn work_beyond_the_share_is_refused_with_a_time_to_come_back() {
    let bench = Bench::start(Options::default()).await;
    // All of the gateway's capacity is one slot of the free account, so that nothing can be borrowed.
    let share = ShareRecord {
        service: "chat".to_owned(),
        account: "free".to_owned(),
        slots: 1,
    };
    bench.leader.set_intent(&intent(), vec![share]);
    bench.upstreams.allow_tokens(1);
    let call = Call::complete("p", 2, true).token(Some(FREE_TOKEN));
    let mut running = Events::open(&call, bench.address(0)).await;
    running.tokens(1).await;
    let address = bench.address(0);
    eventually("the share is in force", || async move {
        let probe = Call::complete("probe", 1, false).token(Some(FREE_TOKEN));
        probe.send(address).await.status != 200
    })
    .await;
    let reached = bench.upstreams.reached();
    let reply = call.send(bench.address(0)).await;
    check_refusal("over share", &reply, 0);
    assert_eq!(reply.error().0, "over_share");
    assert!(reply.header("retry-after").is_some());
    assert_eq!(bench.upstreams.reached(), reached);
    let leader = &bench.leader;
    eventually("the leader receives the demand", || async {
        leader.demand() >= 2
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_without_time_left_ends_with_its_deadline() {
    let timing = Timing {
        request_timeout: Duration::from_millis(400),
        ..Options::default().timing
    };
    let bench = Bench::start(Options {
        timing,
        ..Options::default()
    })
    .await;
    bench.upstreams.allow_tokens(0);
    let reply = Call::complete("p", 2, false).send(bench.address(0)).await;
    let (kind, ran) = reply.error();
    assert!(
        kind == "deadline_exceeded" || kind == "upstream_failed",
        "{kind}"
    );
    assert_eq!(ran, "unknown");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_refuses_while_its_lease_is_over_and_comes_back_by_itself() {
    let bench = Bench::start(Options {
        gateways: 2,
        ..Options::default()
    })
    .await;
    let address = bench.address(0);
    bench.leader.set_silent(true);
    bench.gateways[0].clock.advance(VIEW_LEASE);
    for (call, ran) in [
        (Call::complete("p", 1, true), "no"),
        (Call::get("/v1/services/depot/piles"), "no"),
        // An earlier attempt with the key may have run; only its claim could show that.
        (Call::release(Uuid::now_v7(), "x"), "unknown"),
    ] {
        let reply = call.send(address).await;
        assert_eq!(reply.error(), ("no_lease".to_owned(), ran.to_owned()));
        assert_eq!(reply.json()["error"]["addresses"][0]["name"], "g1");
        assert!(reply.header("retry-after").is_some());
    }
    assert_eq!(bench.upstreams.reached(), 0);
    let addresses = Call::get("/v1/addresses").send(address).await;
    assert_eq!(addresses.status, 200, "addresses are given without a lease");
    bench.leader.set_silent(false);
    bench.wait_until_ready().await;
    let reply = Call::complete("p", 1, false).send(address).await;
    assert_eq!(reply.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_takes_a_bounded_number_of_requests() {
    let mut options = Options::default();
    options.limits.requests = 1;
    let bench = Bench::start(options).await;
    bench.upstreams.allow_tokens(1);
    let call = Call::complete("p", 2, true);
    let mut running = Events::open(&call, bench.address(0)).await;
    running.tokens(1).await;
    for call in [call.clone(), Call::get("/v1/services/depot/piles")] {
        let reply = call.send(bench.address(0)).await;
        assert_eq!(reply.error(), ("overloaded".to_owned(), "no".to_owned()));
        assert_eq!(reply.header("retry-after"), Some("1"));
    }
    assert_eq!(bench.upstreams.reached(), 1);
    bench.upstreams.allow_tokens(2);
    while running.next().await.is_some() {}
    let address = bench.address(0);
    eventually("the gateway accepts requests again", || async move {
        let call = Call::get("/v1/services/depot/piles");
        call.send(address).await.status == 200
    })
    .await;
}

/// Guards against attempts of a plain call that each get the whole time again.
#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_at_silent_servers_ends_by_the_request_timeout() {
    let mut options = Options::default();
    options.timing.first_byte_timeout = Duration::from_millis(1000);
    options.timing.request_timeout = Duration::from_millis(1200);
    let bench = Bench::start(options).await;
    for instance in ["d0", "d1"] {
        bench.upstreams.fail(instance, Fault::Silent(0));
    }
    let begun = Instant::now();
    let call = Call::get("/v1/services/depot/piles");
    let reply = call.send(bench.address(0)).await;
    assert_eq!(reply.error().1, "unknown");
    assert!(bench.upstreams.reached() > 1, "the call is not retried");
    let took = begun.elapsed();
    assert!(took < Duration::from_millis(1700), "{took:?}");
}

/// Sends a request head without its body and waits until the request occupies the gateway's only slot.
/// If a probe occupies the slot at that moment, the head is refused and sent again.
async fn begin_request(address: SocketAddr, head: &str, probe: &Call) -> TcpStream {
    const MAX_ATTEMPTS: u32 = 100;
    const REFUSAL_TIMEOUT: Duration = Duration::from_millis(100);
    for _ in 0..MAX_ATTEMPTS {
        let mut caller = TcpStream::connect(address).await.unwrap();
        caller.write_all(head.as_bytes()).await.unwrap();
        let refused = timeout(REFUSAL_TIMEOUT, caller.peek(&mut [0]))
            .await
            .is_ok();
        if !refused && probe.send(address).await.status == 503 {
            return caller;
        }
    }
    panic!("the request never occupies the only slot");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_account_that_is_revoked_while_its_request_arrives_is_refused() {
    let mut options = Options::default();
    options.limits.requests = 1;
    options.timing.caller_timeout = Duration::from_secs(20);
    let bench = Bench::start(options).await;
    let address = bench.address(0);
    let body = r#"{"model": "m", "prompt": "p", "max_tokens": 1}"#;
    for (path, body) in [("completions", body), ("services/depot/piles", "x")] {
        let method = if path == "completions" { "POST" } else { "GET" };
        bench.leader.set_intent(&intent(), shares(64));
        let probe = Call::get("/v1/services/depot/piles");
        let answers = |status| {
            let probe = probe.clone();
            move || {
                let probe = probe.clone();
                async move { probe.send(address).await.status == status }
            }
        };
        eventually("the account is in force", answers(200)).await;
        let length = body.len();
        let head = format!(
            "{method} /v1/{path} HTTP/1.1\r\nhost: g\r\nauthorization: Bearer {PAYING_TOKEN}\r\n\
             connection: close\r\ncontent-length: {length}\r\n\r\n"
        );
        let mut caller = begin_request(address, &head, &probe).await;
        let before = bench.upstreams.reached();
        let revoked = intent().replace(&hash(PAYING_TOKEN), &hash("another token"));
        bench.leader.set_intent(&revoked, shares(64));
        eventually("the account is revoked", answers(401)).await;
        caller.write_all(body.as_bytes()).await.unwrap();
        let mut reply = String::new();
        caller.read_to_string(&mut reply).await.unwrap();
        assert!(reply.starts_with("HTTP/1.1 401"), "{reply}");
        assert_eq!(bench.upstreams.reached(), before, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_path_that_leads_out_of_its_operation_is_refused() {
    let bench = Bench::start(Options::default()).await;
    for path in ["piles/../releases", "piles/%2e%2E/releases", "./piles"] {
        let call = Call::get(format!("/v1/services/depot/{path}"));
        let reply = call.send(bench.address(0)).await;
        assert_eq!(reply.status, 400, "{path}: {}", reply.text);
        check_refusal(path, &reply, 0);
    }
    assert_eq!(bench.upstreams.reached(), 0);
}
