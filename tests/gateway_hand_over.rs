//! Accepted requests when their gateway ends: after an announced shutdown, after a crash, and after
//! a crash during the hand-over of an announced shutdown.

mod gateway_support;

use std::{net::SocketAddr, time::Duration};

use flamingocroft::{
    domain::Incarnation,
    link::{Identity, Link, LinkError, LinkSettings, PeerKey},
    ports::{Sent, UpstreamErrorKind},
    wire::{Body, JournalAck, JournalPut, JournalRemove, JournalTokens, JournaledRequest},
};
use gateway_support::{
    Bench, Options, PEER_KEY, eventually,
    http::{Call, Event, Events, OTHER_TOKEN},
    upstreams::{Fault, answer_text, token_text},
};
use serde_json::Value;
use uuid::Uuid;

const TOKENS: u32 = 30;

/// A caller that has read the first tokens of a stream.
struct Caller {
    prompt: String,
    events: Events,
    texts: Vec<String>,
}

impl Caller {
    async fn start(at: usize, address: SocketAddr) -> Self {
        let prompt = format!("prompt {at}");
        let mut events = Events::open(&Call::complete(&prompt, TOKENS, true), address).await;
        let (tokens, _) = events.tokens(2).await;
        let mut caller = Self {
            prompt,
            events,
            texts: Vec::new(),
        };
        caller.record_tokens(&tokens);
        caller
    }

    fn record_tokens(&mut self, tokens: &[Event]) {
        for token in tokens {
            assert_eq!(token.id, Some(self.texts.len() as u32), "{}", self.prompt);
            self.texts.push(token.text());
        }
    }

    /// Reads until the stream ends or breaks, and returns the last event.
    async fn read_to_end(&mut self) -> Option<Event> {
        let (tokens, last) = self.events.tokens(usize::MAX).await;
        self.record_tokens(&tokens);
        last
    }

    async fn resume(&mut self, address: SocketAddr) {
        let last = self.texts.len().checked_sub(1).map(|at| at as u32);
        let call =
            Call::resume(&self.events.request_id, last).header("accept", "text/event-stream");
        self.events = Events::open(&call, address).await;
    }

    async fn assert_complete(&mut self) {
        let last = self.read_to_end().await.expect("a finish chunk");
        assert!(
            last.data.contains("\"finish_reason\":\"length\""),
            "{last:?}"
        );
        let expected: Vec<String> = (0..TOKENS)
            .map(|offset| token_text(&self.prompt, 5, offset))
            .collect();
        assert_eq!(self.texts, expected);
        assert_eq!(self.events.next().await.unwrap().data, "[DONE]");
    }
}

fn moved_to(event: &Event) -> SocketAddr {
    assert_eq!(event.name.as_deref(), Some("moved"), "{event:?}");
    let json: Value = serde_json::from_str(&event.data).unwrap();
    json["address"].as_str().unwrap().parse().unwrap()
}

async fn bench(gateways: usize) -> Bench {
    let bench = Bench::start(Options {
        gateways,
        ..Options::default()
    })
    .await;
    // No stream gets further until the test allows it.
    bench.upstreams.allow_tokens(5);
    bench
}

async fn callers(bench: &Bench, count: usize) -> Vec<Caller> {
    let mut callers = Vec::new();
    for at in 0..count {
        callers.push(Caller::start(at, bench.address(0)).await);
    }
    callers
}

#[tokio::test(flavor = "multi_thread")]
async fn an_announced_shutdown_moves_every_stream_to_another_zone() {
    for by_notice in [false, true] {
        let mut bench = bench(3).await;
        let mut callers = callers(&bench, 16).await;
        match by_notice {
            true => bench.cloud.reclaim("g0", Duration::from_secs(1)),
            false => bench.gateways[0].stop.cancel(),
        }
        // The engine in the gateway's zone leaves at the same time, as when the zone is reclaimed.
        bench.leader.set_leaving("e0");
        for caller in &mut callers {
            let last = caller.read_to_end().await.expect("a moved event");
            let address = moved_to(&last);
            assert_ne!(address, bench.address(0));
            caller.resume(address).await;
        }
        bench.upstreams.allow_tokens(u32::MAX);
        for caller in &mut callers {
            caller.assert_complete().await;
        }
        bench.gateways[0].wait_until_stopped().await.unwrap();
        let metrics = Call::get("/metrics");
        let mut taken = 0;
        for at in [1, 2] {
            taken += counter(&metrics.send(bench.address(at)).await.text, "taken_over");
        }
        assert_eq!(taken, 16);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_leaves_the_copy_at_the_backup() {
    let mut bench = bench(3).await;
    let mut callers = Vec::new();
    for at in 0..8 {
        let prompt = format!("prompt {at}");
        let response = Call::complete(&prompt, TOKENS, true)
            .open(bench.address(0))
            .await;
        let backup = response.headers()["x-backup-address"].to_str().unwrap();
        let backup: SocketAddr = backup.parse().unwrap();
        assert_ne!(backup, bench.address(0));
        drop(response);
        callers.push((Caller::start(at, bench.address(0)).await, backup));
    }
    bench.gateways[0].kill().await;
    let upstreams = &bench.upstreams;
    eventually("the connections of the crashed gateway close", || async {
        upstreams.open_streams() == 0
    })
    .await;
    for (caller, _) in &mut callers {
        let last = caller.read_to_end().await;
        let whole = last.is_some_and(|event| event.data.contains("finish_reason\":\"length"));
        assert!(
            !whole,
            "the stream of a crashed gateway does not look complete"
        );
        let last = caller.texts.len() as u32 - 1;
        let call = Call::resume(&caller.events.request_id, Some(last));
        // The backup regenerates from the start. Tokens are withheld until its reader has attached.
        bench.upstreams.allow_tokens(0);
        let mut resumed = None;
        for at in [1, 2] {
            let foreign = call
                .clone()
                .token(Some(OTHER_TOKEN))
                .send(bench.address(at))
                .await;
            assert_eq!(foreign.status, 404, "another account finds no request");
            let response = call.open(bench.address(at)).await;
            if response.status() == 200 {
                resumed = Some(Events::from_response(response));
                break;
            }
        }
        caller.events = resumed.expect("a backup holds the request");
        bench.upstreams.allow_tokens(u32::MAX);
        caller.assert_complete().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_crash_during_a_hand_over_loses_nothing() {
    let mut bench = bench(2).await;
    let mut callers = callers(&bench, 16).await;
    bench.gateways[0].stop.cancel();
    let other = bench.address(1);
    eventually("some requests are handed over", || async move {
        let metrics = Call::get("/metrics").send(other).await;
        counter(&metrics.text, "taken_over") > 0
    })
    .await;
    bench.gateways[0].kill().await;
    bench.upstreams.allow_tokens(u32::MAX);
    for caller in &mut callers {
        caller.read_to_end().await;
        caller.resume(other).await;
        caller.assert_complete().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_handed_over_request_without_streaming_is_answered_elsewhere() {
    let mut bench = bench(2).await;
    let address = bench.address(0);
    let caller =
        tokio::spawn(async move { Call::complete("w", TOKENS, false).send(address).await });
    let upstreams = &bench.upstreams;
    eventually("the generation starts", || async {
        upstreams.open_streams() == 1
    })
    .await;
    bench.gateways[0].stop.cancel();
    let reply = caller.await.unwrap();
    assert_eq!((reply.status, reply.error().1.as_str()), (503, "unknown"));
    assert_eq!(reply.json()["error"]["addresses"][0]["name"], "g1");
    bench.upstreams.allow_tokens(u32::MAX);
    let id = reply.header("x-request-id").unwrap();
    let again = Call::resume(id, None).send(bench.address(1)).await;
    let text = &again.json()["choices"][0]["text"];
    assert_eq!(text, &answer_text("w", 5, TOKENS), "{}", again.text);
    bench.gateways[0].wait_until_stopped().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_is_handed_over_before_its_first_token() {
    let mut bench = bench(2).await;
    bench.upstreams.allow_tokens(0);
    let address = bench.address(0);
    let call = Call::complete("early", TOKENS, true);
    let caller = tokio::spawn(async move { Events::open(&call, address).await });
    let upstreams = &bench.upstreams;
    eventually("the generation starts", || async {
        upstreams.open_streams() == 1
    })
    .await;
    bench.gateways[0].stop.cancel();
    let mut caller = Caller {
        prompt: "early".to_owned(),
        events: caller.await.unwrap(),
        texts: Vec::new(),
    };
    let last = caller.read_to_end().await.expect("a moved event");
    caller.resume(moved_to(&last)).await;
    bench.upstreams.allow_tokens(u32::MAX);
    caller.assert_complete().await;
    bench.gateways[0].wait_until_stopped().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_without_peers_finishes_its_requests() {
    let mut bench = bench(1).await;
    let mut caller = Caller::start(0, bench.address(0)).await;
    let metrics = Call::get("/metrics").send(bench.address(0)).await;
    assert_eq!(counter(&metrics.text, "accepted_alone"), 1);
    bench.gateways[0].stop.cancel();
    let address = bench.address(0);
    eventually("the gateway refuses new work", || async move {
        Call::get("/readyz").send(address).await.status == 503
    })
    .await;
    bench.upstreams.allow_tokens(u32::MAX);
    caller.assert_complete().await;
    bench.gateways[0].wait_until_stopped().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_stays_at_its_engine_when_no_peer_takes_it_over() {
    const SHUTDOWN: Duration = Duration::from_secs(3);
    // The hand-over begins after half of the shutdown time.
    const AFTER_HAND_OVER: Duration = Duration::from_millis(2000);
    for tokens in [0, 5] {
        let mut options = Options {
            engines: 1,
            ..Options::default()
        };
        options.timing.shutdown = SHUTDOWN;
        options.timing.first_byte_timeout = Duration::from_secs(60);
        options.timing.token_timeout = Duration::from_secs(60);
        let mut bench = Bench::start(options).await;
        bench.upstreams.allow_tokens(tokens);
        let address = bench.address(0);
        let call = Call::complete("p", TOKENS, false);
        let caller = tokio::spawn(async move { call.send(address).await });
        let upstreams = &bench.upstreams;
        eventually("the generation starts", || async {
            upstreams.open_streams() == 1
        })
        .await;
        bench
            .upstreams
            .fail("e0", Fault::Refuse(UpstreamErrorKind::Busy, Sent::Maybe));
        bench.gateways[0].stop.cancel();
        tokio::time::sleep(AFTER_HAND_OVER).await;
        bench.upstreams.allow_tokens(u32::MAX);
        let reply = caller.await.unwrap();
        assert_eq!(reply.status, 200, "{tokens}: {}", reply.text);
        let text = &reply.json()["choices"][0]["text"];
        assert_eq!(text, &answer_text("p", 5, TOKENS));
        assert_eq!(bench.upstreams.attempts().len(), 1);
        bench.gateways[0].wait_until_stopped().await.unwrap();
    }
}

fn counter(metrics: &str, name: &str) -> u64 {
    let name = format!("flamingocroft_gateway_{name}_total ");
    let line = metrics.lines().find_map(|line| line.strip_prefix(&name));
    line.expect("the counter is exported").parse().unwrap()
}

/// A peer gateway that exists only as a link.
struct FakePeer {
    link: Link,
    incarnation: u64,
}

impl FakePeer {
    async fn connect(bench: &Bench, incarnation: u64) -> Self {
        let own = Identity {
            name: "g9".into(),
            incarnation: Incarnation(incarnation),
        };
        let key = PeerKey::new(PEER_KEY).unwrap();
        let address = bench.gateways[0].peer_address;
        let link = Link::connect(address, key, own, LinkSettings::default());
        eventually("the link is up", || async { link.peer().is_some() }).await;
        Self { link, incarnation }
    }

    fn put(&self, id: Uuid, owner: &str, tokens: &[&str]) -> JournalPut {
        JournalPut {
            owner: owner.to_owned(),
            incarnation: self.incarnation,
            request: Some(JournaledRequest {
                id: id.as_bytes().to_vec(),
                account: "paying".to_owned(),
                model: "m".to_owned(),
                prompt: "copied".to_owned(),
                max_tokens: 3,
                seed: 5,
                chat: false,
            }),
            tokens: Some(JournalTokens {
                offset: 0,
                texts: tokens.iter().map(|text| (*text).to_owned()).collect(),
                finish: 0,
            }),
            take_over: false,
        }
    }

    async fn send(&self, put: JournalPut) -> Result<Body, LinkError> {
        let timeout = Duration::from_millis(500);
        self.link.call(Body::JournalPut(put), timeout).await
    }
}

fn ack(accepted: bool, tokens: u32) -> Result<Body, LinkError> {
    Ok(Body::JournalAck(JournalAck { accepted, tokens }))
}

#[tokio::test(flavor = "multi_thread")]
async fn frames_of_an_older_incarnation_or_another_owner_are_dropped() {
    let bench = bench(1).await;
    let (old, new) = (
        FakePeer::connect(&bench, 7).await,
        FakePeer::connect(&bench, 8).await,
    );
    let id = Uuid::now_v7();
    assert_eq!(new.send(new.put(id, "g9", &["a"])).await, ack(true, 1));
    for frame in [old.put(id, "g9", &["x", "y"]), new.put(id, "g8", &["z"])] {
        let sender = if frame.incarnation == 7 { &old } else { &new };
        assert_eq!(sender.send(frame).await, Err(LinkError::Unanswered));
    }
    let remove = JournalRemove {
        owner: "g9".to_owned(),
        incarnation: 7,
        id: id.as_bytes().to_vec(),
    };
    old.link.send(Body::JournalRemove(remove));
    let address = bench.address(0);
    eventually("three frames are dropped", || async move {
        let metrics = Call::get("/metrics").send(address).await;
        counter(&metrics.text, "dropped_frames") == 3
    })
    .await;
    bench.upstreams.allow_tokens(u32::MAX);
    let whole = Call::resume(&id.to_string(), None).send(address).await;
    let rest = answer_text("copied", 5, 3).split_off(token_text("copied", 5, 0).len());
    assert_eq!(whole.json()["choices"][0]["text"], format!("a{rest}"));
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_are_limited_and_refused_while_draining() {
    let mut options = Options::default();
    options.limits.requests = 2;
    let bench = Bench::start(options).await;
    let peer = FakePeer::connect(&bench, 7).await;
    let ids = [Uuid::now_v7(), Uuid::now_v7(), Uuid::now_v7()];
    for (id, accepted) in ids.iter().zip([true, true, false]) {
        let put = peer.put(*id, "g9", &[]);
        assert_eq!(peer.send(put).await, ack(accepted, 0));
    }
    let resent = peer.put(ids[1], "g9", &["a"]);
    assert_eq!(peer.send(resent).await, ack(true, 1));
    let remove = JournalRemove {
        owner: "g9".to_owned(),
        incarnation: 7,
        id: ids[0].as_bytes().to_vec(),
    };
    peer.link.send(Body::JournalRemove(remove));
    let link = &peer;
    eventually("there is room again", || async {
        link.send(link.put(ids[2], "g9", &[])).await == ack(true, 0)
    })
    .await;
    // An unfinished request keeps the gateway running.
    bench.upstreams.allow_tokens(5);
    let _running = Caller::start(1, bench.address(0)).await;
    bench.gateways[0].stop.cancel();
    eventually("copies are refused", || async {
        link.send(link.put(ids[2], "g9", &[])).await == ack(false, 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_expire() {
    let mut options = Options::default();
    options.limits.requests = 1;
    options.timing.request_timeout = Duration::from_millis(300);
    options.timing.shutdown = Duration::from_millis(200);
    let bench = Bench::start(options).await;
    let peer = FakePeer::connect(&bench, 7).await;
    let first = peer.put(Uuid::now_v7(), "g9", &[]);
    assert_eq!(peer.send(first).await, ack(true, 0));
    let second = peer.put(Uuid::now_v7(), "g9", &[]);
    assert_eq!(peer.send(second.clone()).await, ack(false, 0));
    let (peer, second) = (&peer, &second);
    eventually("the first copy expires", || async move {
        peer.send(second.clone()).await == ack(true, 0)
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_is_not_taken_over_without_its_account_and_model_in_the_view() {
    let bench = bench(1).await;
    let peer = FakePeer::connect(&bench, 7).await;
    let put = |account: &str, model: &str| {
        let mut put = peer.put(Uuid::now_v7(), "g9", &["a"]);
        let request = put.request.as_mut().unwrap();
        (request.account, request.model) = (account.to_owned(), model.to_owned());
        put.take_over = true;
        put
    };
    for (account, model, taken) in [
        ("new", "m", false),
        ("paying", "new", false),
        ("paying", "m", true),
    ] {
        let reply = peer.send(put(account, model)).await;
        assert_eq!(reply, ack(taken, u32::from(taken)), "{account} {model}");
    }
}
