//! Streams over failing, leaving and contended engines: no token is lost, duplicated or delivered to
//! another request.

mod gateway_support;

use std::{net::SocketAddr, sync::atomic::Ordering, time::Duration};

use flamingocroft::{
    ports::{Sent, UpstreamErrorKind},
    settings::Timing,
    wire::ShareRecord,
};
use gateway_support::{
    Bench, Options, eventually,
    http::{Call, Events, FREE_TOKEN, OTHER_TOKEN},
    instance, intent, shares,
    upstreams::{Fault, answer_text, token_text},
};

const TOKENS: u32 = 20;

/// Streams answers concurrently and checks that each caller receives its own, complete.
async fn stream_many(addresses: &[SocketAddr], count: usize) {
    let mut tasks = Vec::new();
    for at in 0..count {
        let address = addresses[at % addresses.len()];
        tasks.push(tokio::spawn(async move {
            let prompt = format!("prompt {at}");
            let mut events = Events::open(&Call::complete(&prompt, TOKENS, true), address).await;
            check_whole(&mut events, &prompt, 0).await;
        }));
    }
    for task in tasks {
        task.await.unwrap();
    }
}

async fn check_whole(events: &mut Events, prompt: &str, from: u32) {
    let (tokens, finish) = events.tokens(1000).await;
    for (offset, event) in (from..).zip(&tokens) {
        assert_eq!(event.id, Some(offset), "{prompt}");
        assert_eq!(event.text(), token_text(prompt, 5, offset));
    }
    assert_eq!(from + tokens.len() as u32, TOKENS, "{prompt}: {finish:?}");
    let finish = finish.expect("a finish chunk");
    assert!(
        finish.data.contains("\"finish_reason\":\"length\""),
        "{finish:?}"
    );
    assert_eq!(events.next().await.unwrap().data, "[DONE]");
    assert_eq!(events.next().await, None);
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_go_on_elsewhere_after_every_kind_of_failure() {
    for fault in [
        Fault::Cut(3),
        Fault::Cut(0),
        Fault::NoEnd(4),
        Fault::NoEnd(TOKENS),
        Fault::Silent(2),
        Fault::Silent(0),
        Fault::Skip(5),
        Fault::Refuse(UpstreamErrorKind::Connect, Sent::No),
        Fault::Refuse(UpstreamErrorKind::Busy, Sent::Maybe),
        Fault::Refuse(UpstreamErrorKind::Leaving, Sent::Maybe),
    ] {
        let bench = Bench::start(Options::default()).await;
        bench.upstreams.fail("e0", fault);
        stream_many(&[bench.address(0)], 3).await;
        let failed = bench.upstreams.attempts();
        assert!(failed.iter().any(|a| a.instance == "e0"), "{fault:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn many_streams_survive_engines_that_all_cut_them() {
    let bench = Bench::start(Options {
        gateways: 2,
        engines: 3,
        ..Options::default()
    })
    .await;
    for engine in ["e0", "e1", "e2"] {
        bench.upstreams.fail(engine, Fault::Cut(7));
    }
    stream_many(&[bench.address(0), bench.address(1)], 48).await;
    assert!(bench.upstreams.attempts().len() >= 48 * 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_end_without_end_mark_is_never_a_short_success() {
    let bench = Bench::start(Options {
        engines: 1,
        ..Options::default()
    })
    .await;
    bench.upstreams.fail("e0", Fault::NoEnd(0));
    let reply = Call::complete("p", 4, false).send(bench.address(0)).await;
    assert_eq!(
        reply.error(),
        ("upstream_failed".to_owned(), "unknown".to_owned())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_before_the_first_token_costs_no_more() {
    // Only the caller's disconnect, not the timeout for a silent engine, may end the attempt.
    let timing = Timing {
        first_byte_timeout: Duration::from_secs(60),
        ..Options::default().timing
    };
    let bench = Bench::start(Options {
        timing,
        ..Options::default()
    })
    .await;
    bench.upstreams.allow_tokens(0);
    let address = bench.address(0);
    let caller = tokio::spawn(async move { Call::complete("p", 4, true).send(address).await });
    let upstreams = &bench.upstreams;
    eventually("the generation runs", || async {
        upstreams.open_streams() == 1
    })
    .await;
    caller.abort();
    eventually("the generation is cancelled", || async {
        upstreams.open_streams() == 0
    })
    .await;
    assert_eq!(bench.upstreams.attempts().len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_dropped_caller_asks_again_for_the_rest() {
    let bench = Bench::start(Options::default()).await;
    bench.upstreams.allow_tokens(5);
    let call = Call::complete("again", TOKENS, true);
    let mut events = Events::open(&call, bench.address(0)).await;
    let (tokens, _) = events.tokens(4).await;
    let id = events.request_id.clone();
    drop(events);
    let last = tokens.last().unwrap().id;
    let mut again = Events::open(&Call::resume(&id, last), bench.address(0)).await;
    bench.upstreams.allow_tokens(u32::MAX);
    check_whole(&mut again, "again", 4).await;
    // The answer can still be requested after it is complete.
    let mut late = Events::open(&Call::resume(&id, Some(17)), bench.address(0)).await;
    check_whole(&mut late, "again", 18).await;
    let whole = Call::resume(&id, None).send(bench.address(0)).await;
    assert_eq!(
        whole.json()["choices"][0]["text"],
        answer_text("again", 5, TOKENS)
    );
    assert_eq!(bench.upstreams.attempts().len(), 1);
}

/// How a gateway is notified that an instance is leaving.
#[derive(Clone, Copy, Debug)]
enum Source {
    View,
    Report,
    Notice,
    /// By a reclaim notice, while the leader sends nothing.
    NoticeCutOff,
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_engine_gets_no_new_work_and_its_streams_move() {
    for source in [
        Source::View,
        Source::Report,
        Source::Notice,
        Source::NoticeCutOff,
    ] {
        let bench = Bench::start(Options::default()).await;
        bench.upstreams.allow_tokens(3);
        let address = bench.address(0);
        let mut streams = Vec::new();
        for at in 0..8 {
            let call = Call::complete(&format!("prompt {at}"), TOKENS, true);
            let mut events = Events::open(&call, address).await;
            events.tokens(2).await;
            streams.push(events);
        }
        let before = bench.upstreams.attempts().len();
        match source {
            Source::View => bench.leader.set_leaving("e0"),
            Source::Report => bench.upstreams.set_leaving("e0"),
            Source::Notice => bench.cloud.reclaim("e0", Duration::from_secs(30)),
            Source::NoticeCutOff => {
                bench.leader.set_silent(true);
                bench.cloud.reclaim("e0", Duration::from_secs(30));
            }
        }
        let upstreams = &bench.upstreams;
        let on_e0 = upstreams
            .attempts()
            .iter()
            .filter(|a| a.instance == "e0")
            .count();
        assert!(on_e0 > 0, "e0 had work");
        match source {
            // Without a reclaim time, the instance is expected to disappear soon.
            Source::View | Source::Report => {
                eventually("its streams move", || async {
                    upstreams.attempts().len() >= before + on_e0
                })
                .await;
                assert_eq!(bench.upstreams.exports() as usize, on_e0);
                assert!(bench.upstreams.imports().iter().all(|to| to == "e1"));
            }
            Source::Notice | Source::NoticeCutOff => bench.cloud.wait_until_notices_handled().await,
        }
        if matches!(source, Source::Report | Source::Notice) {
            let leader = &bench.leader;
            eventually("the leader receives the notice", || async {
                leader.notices().contains(&"e0".to_owned())
            })
            .await;
        }
        let known = bench.upstreams.attempts().len();
        bench.upstreams.allow_tokens(u32::MAX);
        stream_many(&[address], 8).await;
        let late = bench.upstreams.attempts().split_off(known);
        assert!(
            late.iter().all(|a| a.instance == "e1"),
            "{source:?}: {late:?}"
        );
        for (at, events) in streams.iter_mut().enumerate() {
            check_whole(events, &format!("prompt {at}"), 2).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_free_stream_yields_to_paying_work_and_is_completed_afterwards() {
    let bench = Bench::start(Options {
        engines: 1,
        ..Options::default()
    })
    .await;
    let share = |account: &str, slots| ShareRecord {
        service: "chat".to_owned(),
        account: account.to_owned(),
        slots,
    };
    let own = vec![share("paying", 2), share("other", 0), share("free", 1)];
    bench.leader.set_intent(&intent(), own);
    let address = bench.address(0);
    bench.upstreams.allow_tokens(3);
    let open = |prompt: &'static str, token| async move {
        let call = Call::complete(prompt, TOKENS, true).token(Some(token));
        Events::open(&call, address).await
    };
    let mut free = open("free", FREE_TOKEN).await;
    let (first, _) = free.tokens(3).await;
    let mut borrowed = [open("b0", OTHER_TOKEN).await, open("b1", OTHER_TOKEN).await];
    eventually("the shares are in force and used up", || async move {
        let probe = Call::complete("probe", 1, false).token(Some(FREE_TOKEN));
        probe.send(address).await.error().0 == "over_share"
    })
    .await;
    // The service is full; the paying account is below its share.
    let paying = tokio::spawn(async move {
        let call = Call::complete("paying", TOKENS, true);
        let mut events = Events::open(&call, address).await;
        check_whole(&mut events, "paying", 0).await;
    });
    let upstreams = &bench.upstreams;
    eventually("the paying request runs", || async {
        upstreams.attempts().iter().any(|a| a.prompt == "paying")
    })
    .await;
    bench.upstreams.allow_tokens(u32::MAX);
    paying.await.unwrap();
    for (prompt, events) in ["b0", "b1"].into_iter().zip(&mut borrowed) {
        check_whole(events, prompt, 0).await;
    }
    assert_eq!(first.len(), 3);
    check_whole(&mut free, "free", 3).await;
    let resumed = bench.upstreams.attempts();
    assert!(
        resumed.iter().any(|a| a.prompt == "free" && a.prefix == 3),
        "{resumed:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn the_turns_of_a_conversation_share_an_engine_and_conversations_spread() {
    let bench = Bench::start(Options::default()).await;
    let engines = ["e0", "e1", "e2"];
    let instances = engines.iter().enumerate();
    let instances = instances.map(|(at, name)| instance(name, "chat", "a", at));
    bench.leader.set_instances(instances.collect());
    let ask = async |messages: &serde_json::Value| {
        let body = serde_json::json!({"model": "m", "max_tokens": 1, "messages": messages});
        let call = Call::post("/v1/chat/completions", body.to_string());
        assert_eq!(call.send(bench.address(0)).await.status, 200);
        bench.upstreams.attempts().pop().unwrap().instance
    };
    let preamble = "You help dispatchers. ".repeat(40);
    let begin = |at: usize| {
        serde_json::json!([
            {"role": "system", "content": preamble},
            {"role": "user", "content": format!("question {at}")},
        ])
    };
    let other = std::sync::atomic::AtomicUsize::new(1000);
    eventually("the third engine is in use", || async {
        ask(&begin(other.fetch_add(1, Ordering::Relaxed))).await == "e2"
    })
    .await;
    let mut homes = std::collections::HashSet::new();
    for at in 0..12 {
        let mut messages = begin(at);
        let home = ask(&messages).await;
        for turn in 0..3 {
            let list = messages.as_array_mut().unwrap();
            list.push(serde_json::json!({"role": "assistant", "content": "an answer"}));
            list.push(serde_json::json!({"role": "user", "content": format!("and {turn}?")}));
            assert_eq!(ask(&messages).await, home, "conversation {at}, turn {turn}");
        }
        homes.insert(home);
    }
    assert!(homes.len() > 1, "all went to {homes:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_free_stream_yields_when_its_capacity_is_given_to_another_gateway() {
    // Only preemption, not the timeout for a silent engine, may end the attempt.
    let timing = Timing {
        token_timeout: Duration::from_secs(60),
        ..Options::default().timing
    };
    let bench = Bench::start(Options {
        timing,
        ..Options::default()
    })
    .await;
    bench.upstreams.allow_tokens(3);
    let call = Call::complete("free", TOKENS, true).token(Some(FREE_TOKEN));
    let mut free = Events::open(&call, bench.address(0)).await;
    free.tokens(3).await;
    let none = ShareRecord {
        service: "chat".to_owned(),
        account: "free".to_owned(),
        slots: 0,
    };
    bench.leader.set_intent(&intent(), vec![none]);
    let upstreams = &bench.upstreams;
    eventually("the stream releases its slot", || async {
        upstreams.open_streams() == 0
    })
    .await;
    bench.upstreams.allow_tokens(u32::MAX);
    assert_eq!(bench.upstreams.attempts().len(), 1);
    bench.leader.set_intent(&intent(), shares(64));
    check_whole(&mut free, "free", 3).await;
}
