//! The engine's batch, queue, prefix cache and load reports.

mod support;

use standin::engine::{self, EngineParams, answer_seed, answer_token};
use support::{completion, eventually, generate, get, text};

const LONG_ANSWER_TOKENS: u32 = 1_000_000;

#[tokio::test]
async fn a_stream_has_ids_offsets_usage_and_a_done_event() {
    let engine = engine::start(EngineParams::default()).await.unwrap();
    let res = generate(engine.address(), &completion("r1", "a prompt", 2, "free")).await;
    let seed = answer_seed("a prompt", 1);
    let token = |offset| {
        let text = answer_token(seed, offset);
        format!(
            "id: {offset}\ndata: {{\"offset\":{offset},\"request_id\":\"r1\",\"text\":\"{text}\"}}\n\n"
        )
    };
    let end = "data: {\"finish_reason\":\"length\",\"request_id\":\"r1\",\
               \"usage\":{\"cached_tokens\":0,\"prompt_tokens\":2}}\n\ndata: [DONE]\n\n";
    assert_eq!(text(res).await, token(0) + &token(1) + end);
}

#[tokio::test]
async fn paying_requests_leave_the_queue_before_free_ones() {
    let params = EngineParams {
        slots: 1,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await.unwrap();
    let address = engine.address();
    let first = generate(
        address,
        &completion("first", "p", LONG_ANSWER_TOKENS, "free"),
    )
    .await;
    eventually("the first runs", || engine.load().running == 1).await;
    let free = generate(
        address,
        &completion("free", "p", LONG_ANSWER_TOKENS, "free"),
    )
    .await;
    eventually("the free one waits", || engine.load().queued == 1).await;
    let paying = generate(
        address,
        &completion("paying", "p", LONG_ANSWER_TOKENS, "paying"),
    )
    .await;
    eventually("both wait", || engine.load().queued == 2).await;
    drop(first);
    eventually("the second runs", || engine.counts().started == 2).await;
    assert!(engine.counts().by_request.contains_key("paying"));
    drop(paying);
    eventually("the third runs", || engine.counts().started == 3).await;
    drop(free);
    eventually("none runs", || engine.load().running == 0).await;
    assert_eq!(engine.counts().cancelled, 3);
}

#[tokio::test]
async fn disconnected_requests_leave_the_queue() {
    let params = EngineParams {
        slots: 1,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await.unwrap();
    let address = engine.address();
    let first = generate(
        address,
        &completion("first", "p", LONG_ANSWER_TOKENS, "free"),
    )
    .await;
    eventually("the first runs", || engine.load().running == 1).await;
    let second = generate(
        address,
        &completion("second", "p", LONG_ANSWER_TOKENS, "free"),
    )
    .await;
    eventually("the second waits", || engine.load().queued == 1).await;
    drop(second);
    eventually("none waits", || engine.load().queued == 0).await;
    drop(first);
    eventually("none runs", || engine.load().running == 0).await;
    assert_eq!(engine.counts().started, 1);
}

#[tokio::test]
async fn a_repeated_prompt_is_cached_until_it_is_evicted() {
    let params = EngineParams {
        cache_capacity_tokens: 256,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await.unwrap();
    let address = engine.address();
    let cached_tokens_after = async |prompt: &str| {
        let before = engine.counts().cached_tokens;
        text(generate(address, &completion("r", prompt, 1, "free")).await).await;
        engine.counts().cached_tokens - before
    };
    let (one, two) = ("1".repeat(768), "2".repeat(768));
    let found = [
        cached_tokens_after(&one).await,
        cached_tokens_after(&one).await,
        cached_tokens_after(&two).await,
        cached_tokens_after(&one).await,
    ];
    // The second prompt's three blocks evict all but the first block of the first prompt.
    assert_eq!(found, [0, 192, 0, 64]);
    let events = get(address, "/cache-events?after=0").await;
    let stored = |event: &&serde_json::Value| event["stored"] == true;
    let events = events["events"].as_array().unwrap();
    assert_eq!(events.iter().filter(stored).count(), 8);
    assert_eq!(events.len(), 12);
}

#[tokio::test]
async fn cache_events_are_delayed_and_report_gaps() {
    struct Case {
        name: &'static str,
        change: fn(&mut EngineParams),
        after: u64,
        events: usize,
        next: u64,
        gap: bool,
    }
    let cases = [
        Case {
            name: "all",
            change: |_| {},
            after: 0,
            events: 4,
            next: 4,
            gap: false,
        },
        Case {
            name: "after the third",
            change: |_| {},
            after: 3,
            events: 1,
            next: 4,
            gap: false,
        },
        Case {
            name: "none",
            change: |_| {},
            after: 4,
            events: 0,
            next: 4,
            gap: false,
        },
        Case {
            name: "beyond the last event",
            change: |_| {},
            after: 9,
            events: 0,
            next: 4,
            gap: true,
        },
        Case {
            name: "not yet published",
            change: |p| p.event_lag_ms = 60_000,
            after: 0,
            events: 0,
            next: 0,
            gap: false,
        },
        Case {
            name: "lost",
            change: |p| p.lose_event_every = 2,
            after: 0,
            events: 2,
            next: 4,
            gap: true,
        },
        Case {
            name: "dropped from the log",
            change: |p| p.event_log = 3,
            after: 0,
            events: 3,
            next: 4,
            gap: true,
        },
    ];
    for case in cases {
        let mut params = EngineParams::default();
        (case.change)(&mut params);
        let engine = engine::start(params).await.unwrap();
        let prompt = "p".repeat(1024);
        text(generate(engine.address(), &completion("r", &prompt, 1, "free")).await).await;
        let path = format!("/cache-events?after={}", case.after);
        let reply = get(engine.address(), &path).await;
        let name = case.name;
        assert_eq!(
            reply["events"].as_array().unwrap().len(),
            case.events,
            "{name}"
        );
        assert_eq!(reply["next"], case.next, "{name}");
        assert_eq!(reply["gap"], case.gap, "{name}");
    }
}

#[tokio::test]
async fn load_reports_lag() {
    let params = EngineParams {
        load_lag_ms: 60_000,
        ..EngineParams::default()
    };
    let engine = engine::start(params).await.unwrap();
    let running = generate(
        engine.address(),
        &completion("r", "p", LONG_ANSWER_TOKENS, "free"),
    )
    .await;
    eventually("it runs", || engine.load().running == 1).await;
    let report = get(engine.address(), "/load").await;
    assert_eq!(
        (&report["running"], &report["age_ms"]),
        (&0.into(), &60_000.into())
    );
    engine.update_params(|params| params.load_lag_ms = 0);
    let report = get(engine.address(), "/load").await;
    assert_eq!(
        (&report["running"], &report["age_ms"]),
        (&1.into(), &0.into())
    );
    drop(running);
}
