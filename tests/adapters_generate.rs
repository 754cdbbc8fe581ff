//! Generations over HTTP, also under each kind of engine fault.

mod adapters_support;

use std::{pin::pin, sync::Arc, time::Duration};

use adapters_support::{
    completion, eventually, read_generation, short_timing, target, timing, unused_address,
};
use flamingocroft::{
    adapters::HttpUpstreams,
    domain::FinishReason,
    ports::{
        Sent::{self, Maybe, No},
        UpstreamErrorKind::{self, Busy, Connect, Cut, Leaving, Protocol, Rejected, Silent},
        Upstreams,
    },
    settings::Timing,
};
use futures_util::{StreamExt, future::join_all};
use standin::{
    Faults,
    engine::{self, EngineParams, answer_seed, answer_token},
};
use tokio::time::timeout;

const PROMPT: &str = "Draft the manifest of pile 3.";

fn expected_tokens(prompt: &str, tokens: u32) -> Vec<String> {
    let seed = answer_seed(prompt, 7);
    (0..tokens).map(|i| answer_token(seed, i)).collect()
}

#[tokio::test]
async fn a_complete_response_has_a_finish_reason_and_its_connection_is_reused() {
    let engine = engine::start(EngineParams::default()).await.unwrap();
    let upstreams = HttpUpstreams::new(&timing());
    let target = target(engine.address());
    for _ in 0..5 {
        let (tokens, end) = read_generation(&upstreams, &target, &completion(PROMPT, 12)).await;
        assert_eq!(tokens, expected_tokens(PROMPT, 12));
        assert_eq!(end.unwrap().reason, FinishReason::Length);
    }
    assert_eq!(engine.connections(), 1);
    assert_eq!(engine.counts().executed, 5);
}

/// Uses more callers than the pool keeps idle connections, on several threads.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn concurrent_callers_each_get_their_own_response() {
    const CALLERS: usize = 400;
    const ROUNDS: usize = 4;
    let params = EngineParams {
        slots: CALLERS as u32,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await.unwrap();
    let upstreams = Arc::new(HttpUpstreams::new(&timing()));
    let target = target(engine.address());
    let callers = (0..CALLERS).map(|i| {
        let (upstreams, target) = (Arc::clone(&upstreams), target.clone());
        tokio::spawn(async move {
            let prompt = format!("Draft the manifest of truck {i}.");
            for _ in 0..ROUNDS {
                let (tokens, end) =
                    read_generation(&upstreams, &target, &completion(&prompt, 20)).await;
                end.unwrap();
                assert_eq!(tokens, expected_tokens(&prompt, 20));
            }
        })
    });
    for caller in join_all(callers).await {
        caller.unwrap();
    }
    assert_eq!(engine.counts().executed, (CALLERS * ROUNDS) as u64);
}

struct Case {
    name: &'static str,
    params: EngineParams,
    model: &'static str,
    leaving: bool,
    tokens: u32,
    kind: UpstreamErrorKind,
    sent: Sent,
    started: u64,
}

fn case(name: &'static str, faults: Faults, kind: UpstreamErrorKind, tokens: u32) -> Case {
    Case {
        name,
        params: EngineParams {
            faults,
            ..EngineParams::default()
        },
        model: "assistant",
        leaving: false,
        tokens,
        kind,
        sent: Maybe,
        started: 1,
    }
}

fn cases() -> Vec<Case> {
    let none = Faults::default();
    vec![
        Case {
            started: 0,
            ..case(
                "silent",
                Faults {
                    silent: true,
                    ..none
                },
                Silent,
                0,
            )
        },
        case(
            "late head",
            Faults {
                answer_delay_ms: 60_000,
                ..none
            },
            Silent,
            0,
        ),
        case(
            "silent in the middle",
            Faults {
                silent_after_tokens: Some(3),
                ..none
            },
            Silent,
            3,
        ),
        case(
            "cut in the middle",
            Faults {
                cut_after_tokens: Some(3),
                ..none
            },
            Cut,
            3,
        ),
        case(
            "lost reply",
            Faults {
                lost_reply: true,
                ..none
            },
            Cut,
            0,
        ),
        case(
            "lost token",
            Faults {
                skip_token: Some(2),
                ..none
            },
            Protocol,
            2,
        ),
        case(
            "another's answer",
            Faults {
                wrong_request_id: true,
                ..none
            },
            Protocol,
            0,
        ),
        Case {
            leaving: true,
            started: 0,
            ..case("leaving", none, Leaving, 0)
        },
        Case {
            model: "unknown",
            started: 0,
            ..case("unknown model", none, Rejected, 0)
        },
        Case {
            params: EngineParams {
                slots: 0,
                queue: 0,
                ..EngineParams::default()
            },
            started: 0,
            ..case("busy", none, Busy, 0)
        },
    ]
}

#[tokio::test]
async fn each_engine_fault_has_an_error_kind_and_is_not_retried() {
    for case in cases() {
        let engine = engine::start(case.params).await.unwrap();
        if case.leaving {
            engine.set_leaving();
        }
        let timing = if case.kind == Silent {
            short_timing()
        } else {
            timing()
        };
        let upstreams = HttpUpstreams::new(&timing);
        let mut req = completion(PROMPT, 8);
        req.model = case.model.into();
        let (tokens, end) = read_generation(&upstreams, &target(engine.address()), &req).await;
        let e = end.expect_err(case.name);
        assert_eq!(
            (e.kind, e.sent),
            (case.kind, case.sent),
            "{}: {e}",
            case.name
        );
        assert_eq!(
            tokens,
            expected_tokens(PROMPT, case.tokens),
            "{}",
            case.name
        );
        let counts = engine.counts();
        assert!(counts.started <= case.started, "{}: {counts:?}", case.name);
        assert_eq!(engine.connections(), 1, "{}", case.name);
    }
}

#[tokio::test]
async fn a_request_to_a_stopped_engine_is_reported_as_not_sent() {
    let engine = engine::start(EngineParams {
        listen: unused_address(),
        ..EngineParams::default()
    })
    .await
    .unwrap();
    let target = target(engine.address());
    engine.stop();
    eventually("the port is closed", || {
        std::net::TcpStream::connect(target.address).is_err()
    })
    .await;
    let upstreams = HttpUpstreams::new(&timing());
    let (_, end) = read_generation(&upstreams, &target, &completion(PROMPT, 8)).await;
    let e = end.unwrap_err();
    assert_eq!((e.kind, e.sent), (Connect, No));
}

#[tokio::test]
async fn stopping_an_engine_cuts_its_streams() {
    let engine = engine::start(EngineParams::default()).await.unwrap();
    let upstreams = HttpUpstreams::new(&timing());
    let target = target(engine.address());
    let mut stream = upstreams
        .generate(&target, &completion(PROMPT, 100_000))
        .await
        .unwrap();
    assert!(stream.next().await.unwrap().is_ok());
    engine.stop();
    let e = loop {
        if let Err(e) = stream.next().await.unwrap() {
            break e;
        }
    };
    assert_eq!((e.kind, e.sent), (Cut, Maybe));
}

#[tokio::test]
async fn a_resumed_generation_continues_exactly() {
    let first = engine::start(EngineParams::default()).await.unwrap();
    let second = engine::start(EngineParams::default()).await.unwrap();
    first.set_faults(Faults {
        cut_after_tokens: Some(5),
        ..Faults::default()
    });
    let upstreams = HttpUpstreams::new(&timing());
    let mut req = completion(PROMPT, 12);
    let (mut tokens, end) = read_generation(&upstreams, &target(first.address()), &req).await;
    assert_eq!(end.unwrap_err().kind, Cut);
    req.prefix.clone_from(&tokens);
    let (rest, end) = read_generation(&upstreams, &target(second.address()), &req).await;
    end.unwrap();
    tokens.extend(rest);
    assert_eq!(tokens, expected_tokens(PROMPT, 12));
    assert_eq!(second.counts().foreign_prefixes, 0);
    assert_eq!(second.counts().tokens, 7);
}

#[tokio::test]
async fn dropping_the_stream_or_cancelling_ends_the_generation() {
    let engine = engine::start(EngineParams::default()).await.unwrap();
    let upstreams = HttpUpstreams::new(&timing());
    let target = target(engine.address());
    let req = completion(PROMPT, 100_000);
    let mut stream = upstreams.generate(&target, &req).await.unwrap();
    assert!(stream.next().await.unwrap().is_ok());
    drop(stream);
    eventually("the engine has cancelled it", || {
        engine.counts().cancelled == 1
    })
    .await;

    let mut stream = upstreams.generate(&target, &req).await.unwrap();
    assert!(stream.next().await.unwrap().is_ok());
    upstreams.cancel(&target, req.id).await.unwrap();
    let e = loop {
        if let Err(e) = stream.next().await.unwrap() {
            break e;
        }
    };
    assert_eq!(e.kind, Cut);
    assert_eq!(engine.counts().cancelled, 2);
    assert_eq!(engine.load().running, 0);
}

#[tokio::test]
async fn silent_connections_are_replaced_by_new_ones() {
    let engine = engine::start(EngineParams::default()).await.unwrap();
    let upstreams = HttpUpstreams::new(&short_timing());
    let target = target(engine.address());
    let short = completion(PROMPT, 2);
    let both = join_all([0, 1].map(|_| read_generation(&upstreams, &target, &short))).await;
    assert!(both.iter().all(|(_, end)| end.is_ok()));
    engine.silence_open_connections();
    let (_, end) = read_generation(&upstreams, &target, &short).await;
    assert_eq!(end.unwrap_err().kind, Silent);
    let (tokens, end) = read_generation(&upstreams, &target, &short).await;
    end.unwrap();
    assert_eq!(tokens, expected_tokens(PROMPT, 2));
    assert_eq!(engine.connections(), 3);
}

#[tokio::test]
async fn a_silent_connection_is_kept_and_later_requests_get_new_ones() {
    const SILENCE_TIMEOUT: Duration = Duration::from_millis(300);
    let engine = engine::start(EngineParams::default()).await.unwrap();
    let upstreams = HttpUpstreams::new(&Timing {
        first_byte_timeout: SILENCE_TIMEOUT,
        ..timing()
    });
    let target = target(engine.address());
    let short = completion(PROMPT, 2);
    let both = join_all([0, 1].map(|_| read_generation(&upstreams, &target, &short))).await;
    assert!(both.iter().all(|(_, end)| end.is_ok()));
    engine.silence_open_connections();
    let mut silent = pin!(upstreams.generate(&target, &short));
    let waited = timeout(SILENCE_TIMEOUT * 2, silent.as_mut()).await;
    assert!(waited.is_err(), "the silent connection is kept");
    let (tokens, end) = read_generation(&upstreams, &target, &short).await;
    end.unwrap();
    assert_eq!(tokens, expected_tokens(PROMPT, 2));
    assert_eq!(engine.connections(), 3);
}
