//! Engines and plain servers that are silent for longer than the timeouts and then go on: they keep a request until
//! another instance has answered it.

mod gateway_support;

use std::{net::SocketAddr, time::Duration};

use flamingocroft::ports::{
    Sent,
    UpstreamErrorKind::{self, Busy, Connect, Rejected},
};
use gateway_support::{
    Bench, Options, eventually,
    http::{Call, Events},
    instance_at,
    upstreams::{Fault, answer_text},
};
use standin::{
    Faults,
    engine::{self, EngineParams},
    service::{self, ServiceParams},
};
use uuid::Uuid;

const TOKENS: u32 = 8;

/// Silence after which another instance is tried.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(200);

/// Silence of a sound instance.
const PAUSE: Duration = Duration::from_millis(1000);

/// Prompts of which one must be routed to a certain engine.
const MAX_PROMPTS: usize = 40;

fn options(engines: usize) -> Options {
    let mut options = Options {
        engines,
        ..Options::default()
    };
    options.timing.first_byte_timeout = SILENCE_TIMEOUT;
    options.timing.token_timeout = SILENCE_TIMEOUT;
    options
}

/// Starts a gateway and returns a prompt for which `e0` is tried first.
async fn bench(engines: usize) -> (Bench, String) {
    let bench = Bench::start(options(engines)).await;
    for at in 0..MAX_PROMPTS {
        let prompt = format!("prompt {at}");
        let call = Call::complete(&prompt, 1, false);
        assert_eq!(call.send(bench.address(0)).await.status, 200);
        if bench.upstreams.attempts().pop().unwrap().instance == "e0" {
            return (bench, prompt);
        }
    }
    panic!("no prompt is routed to e0");
}

fn attempts_at(bench: &Bench, instance: &str) -> usize {
    let attempts = bench.upstreams.attempts();
    attempts.iter().filter(|a| a.instance == instance).count()
}

/// Sends a completion and returns the text of its whole answer.
async fn complete(address: SocketAddr, prompt: &str, streamed: bool) -> String {
    let call = Call::complete(prompt, TOKENS, streamed);
    if streamed {
        let mut events = Events::open(&call, address).await;
        let (tokens, last) = events.tokens(usize::MAX).await;
        let last = last.expect("a finish chunk").data;
        assert!(last.contains("\"finish_reason\":\"length\""), "{last}");
        return tokens.iter().map(|token| token.text()).collect();
    }
    let reply = call.send(address).await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    let text = &reply.json()["choices"][0]["text"];
    text.as_str().unwrap().to_owned()
}

const REFUSALS: [(UpstreamErrorKind, Sent); 3] = [
    (Busy, Sent::Maybe),
    (Rejected, Sent::Maybe),
    (Connect, Sent::No),
];

#[tokio::test(flavor = "multi_thread")]
async fn a_request_stays_with_its_late_engine_when_the_others_reject_it() {
    for (kind, sent) in REFUSALS {
        for streamed in [false, true] {
            let (bench, prompt) = bench(3).await;
            bench.upstreams.fail("e0", Fault::Pause(0, PAUSE));
            bench.upstreams.fail("e1", Fault::Refuse(kind, sent));
            bench.upstreams.fail("e2", Fault::Refuse(kind, sent));
            let before = attempts_at(&bench, "e0");
            let all = bench.upstreams.attempts().len();
            let text = complete(bench.address(0), &prompt, streamed).await;
            assert_eq!(text, answer_text(&prompt, 5, TOKENS));
            assert_eq!(attempts_at(&bench, "e0"), before + 1, "{kind:?}");
            assert!(bench.upstreams.attempts().len() > all + 1, "{kind:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_stays_with_its_silent_engine_when_the_others_reject_it() {
    for (kind, sent) in REFUSALS {
        let (bench, prompt) = bench(3).await;
        bench.upstreams.fail("e0", Fault::Pause(3, PAUSE));
        bench.upstreams.fail("e1", Fault::Refuse(kind, sent));
        bench.upstreams.fail("e2", Fault::Refuse(kind, sent));
        let before = attempts_at(&bench, "e0");
        let text = complete(bench.address(0), &prompt, true).await;
        assert_eq!(text, answer_text(&prompt, 5, TOKENS));
        assert_eq!(attempts_at(&bench, "e0"), before + 1, "{kind:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_stays_with_its_silent_engine_when_there_is_no_other() {
    for tokens in [0, 3] {
        for streamed in [false, true] {
            let (bench, prompt) = bench(1).await;
            bench.upstreams.fail("e0", Fault::Pause(tokens, PAUSE));
            let before = attempts_at(&bench, "e0");
            let text = complete(bench.address(0), &prompt, streamed).await;
            assert_eq!(text, answer_text(&prompt, 5, TOKENS));
            assert_eq!(attempts_at(&bench, "e0"), before + 1, "{tokens}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dead_engine_is_left_once_another_one_answers_however_late() {
    for (tokens, other) in [
        (0, Fault::None),
        (3, Fault::None),
        (0, Fault::Pause(0, PAUSE)),
        (3, Fault::Pause(0, PAUSE)),
    ] {
        let (bench, prompt) = bench(2).await;
        bench.upstreams.fail("e0", Fault::Silent(tokens));
        bench.upstreams.fail("e1", other);
        let before = attempts_at(&bench, "e1");
        let text = complete(bench.address(0), &prompt, true).await;
        assert_eq!(text, answer_text(&prompt, 5, TOKENS));
        assert_eq!(attempts_at(&bench, "e1"), before + 1, "{tokens} {other:?}");
        let upstreams = &bench.upstreams;
        eventually("the dead engine is left", || async {
            upstreams.open_streams() == 0
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_engine_that_goes_on_before_the_other_answers_keeps_the_request() {
    for tokens in [0, 3] {
        let (bench, prompt) = bench(2).await;
        let pause = SILENCE_TIMEOUT * 2;
        bench.upstreams.fail("e0", Fault::Pause(tokens, pause));
        bench.upstreams.fail("e1", Fault::Silent(0));
        let (first, other) = (attempts_at(&bench, "e0"), attempts_at(&bench, "e1"));
        let text = complete(bench.address(0), &prompt, true).await;
        assert_eq!(text, answer_text(&prompt, 5, TOKENS));
        assert_eq!(attempts_at(&bench, "e0"), first + 1, "{tokens}");
        assert_eq!(attempts_at(&bench, "e1"), other + 1, "{tokens}");
        let upstreams = &bench.upstreams;
        eventually("the other engine is left", || async {
            upstreams.open_streams() == 0
        })
        .await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_among_dead_engines_is_at_few_of_them_and_outlives_them() {
    const ENGINES: usize = 6;
    const MAX_AT_ONCE: u32 = 3;
    let (bench, prompt) = bench(ENGINES).await;
    bench.upstreams.fail("e0", Fault::Silent(3));
    for at in 1..ENGINES {
        bench.upstreams.fail(&format!("e{at}"), Fault::Silent(0));
    }
    let before = bench.upstreams.attempts().len();
    let (address, sent) = (bench.address(0), prompt.clone());
    let caller = tokio::spawn(async move { complete(address, &sent, true).await });
    let upstreams = &bench.upstreams;
    eventually("most engines were tried", || async {
        assert!(upstreams.open_streams() <= MAX_AT_ONCE);
        upstreams.attempts().len() >= before + ENGINES - 1
    })
    .await;
    for at in 1..ENGINES {
        bench.upstreams.fail(&format!("e{at}"), Fault::None);
    }
    assert_eq!(caller.await.unwrap(), answer_text(&prompt, 5, TOKENS));
    eventually("the dead engines are left", || async {
        upstreams.open_streams() == 0
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_all_engines_reject_late_did_not_run_only_if_nothing_arrived() {
    for sent in [Sent::No, Sent::Maybe] {
        let (bench, prompt) = bench(2).await;
        let late = Fault::RefuseLate(Connect, sent, SILENCE_TIMEOUT * 3);
        bench.upstreams.fail("e0", late);
        bench.upstreams.fail("e1", Fault::Refuse(Connect, Sent::No));
        let before = bench.upstreams.reached();
        let call = Call::complete(&prompt, TOKENS, true);
        let reply = call.send(bench.address(0)).await;
        let (kind, ran) = reply.error();
        assert_eq!(kind, "upstream_failed", "{}", reply.text);
        assert_eq!(ran == "no", bench.upstreams.reached() == before, "{sent:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_stays_with_its_late_server_when_the_other_one_rejects_it() {
    const CALLS: usize = 3;
    let bench = Bench::start(options(1)).await;
    bench.upstreams.fail("d0", Fault::Pause(0, PAUSE));
    bench.upstreams.fail("d1", Fault::Refuse(Busy, Sent::Maybe));
    for _ in 0..CALLS {
        let call = Call::get("/v1/services/depot/piles");
        let reply = call.send(bench.address(0)).await;
        assert_eq!(reply.status, 200, "{}", reply.text);
    }
    let calls = bench.upstreams.calls();
    assert_eq!(calls.len(), CALLS, "{calls:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_at_a_dead_server_is_answered_by_another_one_however_late() {
    for other in [Fault::None, Fault::Pause(0, PAUSE)] {
        let bench = Bench::start(options(1)).await;
        bench.upstreams.fail("d0", Fault::Silent(0));
        bench.upstreams.fail("d1", other);
        for _ in 0..3 {
            let call = Call::get("/v1/services/depot/piles");
            let reply = call.send(bench.address(0)).await;
            assert_eq!(reply.status, 200, "{other:?}: {}", reply.text);
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_a_key_waits_for_its_late_server() {
    let bench = Bench::start(options(1)).await;
    for server in ["d0", "d1"] {
        bench.upstreams.fail(server, Fault::Pause(0, PAUSE));
    }
    let call = Call::release(Uuid::now_v7(), "x");
    let reply = call.send(bench.address(0)).await;
    assert_eq!(reply.status, 200, "{}", reply.text);
    assert_eq!(bench.upstreams.reached(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_late_head_of_an_only_instance_is_awaited() {
    let faults = Faults {
        answer_delay_ms: PAUSE.as_millis() as u64,
        ..Faults::default()
    };
    let engine = engine::start(EngineParams {
        models: vec!["m".to_owned()],
        faults,
        ..EngineParams::default()
    });
    let service = service::start(ServiceParams {
        faults,
        ..ServiceParams::default()
    });
    let (engine, service) = (engine.await.unwrap(), service.await.unwrap());
    let bench = Bench::start(options(1)).await;
    let instances = vec![
        instance_at("e0", "chat", "a", engine.address()),
        instance_at("d0", "depot", "a", service.address()),
    ];
    let address = bench.start_http_gateway(instances).await;
    for call in [
        Call::complete("p", TOKENS, false),
        Call::complete("p", TOKENS, true),
        Call::get("/v1/services/depot/piles"),
        Call::release(Uuid::now_v7(), "x"),
    ] {
        let reply = call.send(address).await;
        assert_eq!(reply.status, 200, "{}: {}", call.path, reply.text);
    }
    assert_eq!(engine.counts().started, 2);
    assert_eq!(service.counts().executed, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_at_a_silent_instance_gets_an_answer_before_its_gateway_stops() {
    for call in [
        Call::complete("p", TOKENS, false),
        Call::complete("p", TOKENS, true),
        Call::get("/v1/services/depot/piles"),
        Call::release(Uuid::now_v7(), "x"),
    ] {
        let bench = Bench::start(options(2)).await;
        for instance in ["e0", "e1", "d0", "d1"] {
            bench.upstreams.fail(instance, Fault::Silent(0));
        }
        let address = bench.address(0);
        let path = call.path.clone();
        let caller = tokio::spawn(async move { call.send(address).await });
        let upstreams = &bench.upstreams;
        eventually("an instance has the request", || async {
            upstreams.reached() > 0
        })
        .await;
        bench.gateways[0].stop.cancel();
        let reply = caller.await.unwrap();
        assert_eq!(reply.error().1, "unknown", "{path}: {}", reply.text);
    }
}
