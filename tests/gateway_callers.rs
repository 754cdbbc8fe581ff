//! The HTTP interface for callers: response formats, authentication, limits and the address list.

mod gateway_support;

use std::time::Duration;

use flamingocroft::settings::Limits;
use gateway_support::{
    Bench, Options, eventually,
    http::{Call, Events, FREE_TOKEN, OTHER_TOKEN, PAYING_TOKEN},
    upstreams::answer_text,
};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Replaces the values that differ between runs.
fn normalize(mut value: Value) -> Value {
    value["id"] = json!("[id]");
    value["created"] = json!(0);
    value
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_completion_has_the_shape_of_client_libraries() {
    let bench = Bench::start(Options::default()).await;
    let reply = Call::complete("p", 2, false).send(bench.address(0)).await;
    assert_eq!(reply.status, 200);
    assert!(reply.header("x-request-id").is_some());
    insta::assert_json_snapshot!(normalize(reply.json()));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_whole_chat_completion_has_the_shape_of_client_libraries() {
    let bench = Bench::start(Options::default()).await;
    let body = json!({
        "model": "m", "max_completion_tokens": 1, "seed": 1,
        "messages": [
            {"role": "system", "content": "be short"},
            {"role": "user", "content": [{"type": "text", "text": "hello"}]},
        ],
    });
    let call = Call::post("/v1/chat/completions", body.to_string());
    let reply = call.send(bench.address(0)).await;
    insta::assert_json_snapshot!(normalize(reply.json()));
}

#[tokio::test(flavor = "multi_thread")]
async fn streams_have_the_shape_of_client_libraries() {
    let bench = Bench::start(Options::default()).await;
    let mut seen = Vec::new();
    for chat in [false, true] {
        let body = json!({
            "model": "m", "max_tokens": 2, "seed": 1, "stream": true, "prompt": "p",
            "messages": [{"role": "user", "content": "p"}],
        });
        let path = if chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let mut events = Events::open(&Call::post(path, body.to_string()), bench.address(0)).await;
        while let Some(event) = events.next().await {
            let data = match serde_json::from_str(&event.data) {
                Ok(json) => normalize(json),
                Err(_) => json!(event.data),
            };
            seen.push(json!({"id": event.id, "event": event.name, "data": data}));
        }
    }
    insta::assert_json_snapshot!(seen);
}

#[tokio::test(flavor = "multi_thread")]
async fn errors_have_one_shape_and_name_the_field() {
    let bench = Bench::start(Options::default()).await;
    let completion = |body: Value| Call::post("/v1/completions", body.to_string());
    let chat = |body: Value| Call::post("/v1/chat/completions", body.to_string());
    let cases = [
        Call::post("/v1/completions", "{"),
        Call::post("/v1/completions", "[]"),
        completion(json!({"prompt": "p"})),
        completion(json!({"model": "m"})),
        completion(json!({"model": "m", "prompt": 5})),
        completion(json!({"model": "m", "prompt": "p", "max_tokens": 0})),
        completion(json!({"model": "m", "prompt": "p", "max_tokens": "4"})),
        completion(json!({"model": "m", "prompt": "p", "stream": 1})),
        completion(json!({"model": "m", "prompt": "p", "seed": 0.5})),
        completion(json!({"model": "m", "prompt": "p", "n": 2})),
        completion(json!({"model": "unknown", "prompt": "p"})),
        chat(json!({"model": "m", "messages": []})),
        chat(json!({"model": "m", "messages": [{"content": "x"}]})),
        chat(json!({"model": "m", "messages": [{"role": "user", "content": 1}]})),
        Call::get("/v1/completions"),
        Call::get("/v2"),
        Call::get("/v1/requests/7"),
        Call::get("/v1/requests/01a23f0c-91c5-76de-861e-3a5e2f6763e8"),
        Call::get("/v1/services/depot/piles").token(None),
        Call::get("/v1/services/depot/pilesofsalt"),
        Call::get("/v1/services/none/piles"),
        Call::post("/v1/services/depot/releases", "{}"),
        Call::post("/v1/services/depot/releases", "{}")
            .header("idempotency-key", "dd3b6b5a-3f2b-4b62-a1f7-0d51dd2bd4b1"),
    ];
    let mut seen = Vec::new();
    for call in cases {
        let reply = call.send(bench.address(0)).await;
        let request = format!("{} {} {}", call.method, call.path, call.body);
        seen.push(json!({"request": request, "status": reply.status, "body": reply.json()}));
    }
    insta::assert_json_snapshot!(seen);
    assert_eq!(bench.upstreams.reached(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn every_account_has_its_own_token() {
    let bench = Bench::start(Options::default()).await;
    for (token, status) in [
        (Some(PAYING_TOKEN), 200),
        (Some(OTHER_TOKEN), 200),
        (Some(FREE_TOKEN), 200),
        (Some("paying-token2"), 401),
        (Some(""), 401),
        (None, 401),
    ] {
        let call = Call::complete("p", 1, false).token(token);
        assert_eq!(
            call.send(bench.address(0)).await.status,
            status,
            "{token:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_id_is_of_use_to_its_own_account_only() {
    let bench = Bench::start(Options::default()).await;
    let reply = Call::complete("mine", 2, false)
        .send(bench.address(0))
        .await;
    let id = reply.header("x-request-id").unwrap();
    let stolen = Call::resume(id, None).token(Some(OTHER_TOKEN));
    assert_eq!(stolen.send(bench.address(0)).await.status, 404);
    let own = Call::resume(id, None).send(bench.address(0)).await;
    assert_eq!(own.json()["choices"][0]["text"], answer_text("mine", 5, 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn sizes_are_limited() {
    let limits = Limits {
        body_bytes: 2000,
        prompt_bytes: 1000,
        max_tokens: 10,
        ..Limits::default()
    };
    let bench = Bench::start(Options {
        limits,
        ..Options::default()
    })
    .await;
    let long = "x".repeat(20_000);
    for (call, status) in [
        (Call::complete(&long, 1, false), 413),
        (Call::complete(&long[..1500], 1, false), 413),
        (Call::complete(&long[..1001], 1, false), 413),
        (Call::complete(&long[..1000], 1, false), 200),
        (Call::complete("p", 11, false), 400),
        (
            Call::get("/v1/addresses").header("x-long", long.as_str()),
            413,
        ),
    ] {
        let reply = call.send(bench.address(0)).await;
        assert_eq!(reply.status, status, "{}", reply.text);
    }
    assert_eq!(bench.upstreams.reached(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_without_a_length_is_limited_too() {
    let limits = Limits {
        body_bytes: 100,
        ..Limits::default()
    };
    let bench = Bench::start(Options {
        limits,
        ..Options::default()
    })
    .await;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: g\r\nauthorization: Bearer paying-token\r\n\
                transfer-encoding: chunked\r\n\r\n";
    let body = format!("c8\r\n{}\r\n0\r\n\r\n", "x".repeat(200));
    let answer = exchange(&bench, &(head.to_owned() + &body)).await;
    assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_bodies_and_heads_are_cut_off() {
    let bench = Bench::start(Options::default()).await;
    let head = "POST /v1/completions HTTP/1.1\r\nhost: g\r\nauthorization: Bearer paying-token\r\n\
                content-length: 50\r\n\r\n{";
    let answer = exchange(&bench, head).await;
    assert!(answer.starts_with("HTTP/1.1 408"), "{answer}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer}");
    let answer = exchange(&bench, "GET /v1/addr").await;
    assert_eq!(answer, "", "an unfinished head is closed");
}

/// Sends raw bytes and reads the response until the connection closes or a JSON body ends.
async fn exchange(bench: &Bench, text: &str) -> String {
    let mut stream = TcpStream::connect(bench.address(0)).await.unwrap();
    stream.write_all(text.as_bytes()).await.unwrap();
    let mut answer = vec![0; 4096];
    let mut length = 0;
    let read = async {
        while let Ok(read @ 1..) = stream.read(&mut answer[length..]).await {
            length += read;
            if answer[..length].ends_with(b"}") {
                return;
            }
        }
    };
    tokio::time::timeout(Duration::from_secs(10), read)
        .await
        .expect("the gateway ends it");
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn addresses_begin_in_two_zones_and_spread_the_callers() {
    let bench = Bench::start(Options {
        gateways: 4,
        ..Options::default()
    })
    .await;
    let mut first = std::collections::HashSet::new();
    for at in 0..32 {
        let reply = Call::get("/v1/addresses").send(bench.address(at % 4)).await;
        let json = reply.json();
        assert_eq!(json["ttl_ms"], 5000);
        let addresses = json["addresses"].as_array().unwrap();
        assert_eq!(addresses.len(), 4);
        assert_ne!(addresses[0]["zone"], addresses[1]["zone"]);
        first.insert(addresses[0]["name"].to_string());
    }
    assert!(first.len() > 1, "all callers were sent to {first:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_gateway_is_off_the_list_and_names_the_others() {
    let mut bench = Bench::start(Options {
        gateways: 2,
        ..Options::default()
    })
    .await;
    bench.upstreams.allow_tokens(1);
    let mut stream = Events::open(&Call::complete("p", 2, true), bench.address(0)).await;
    stream.tokens(1).await;
    bench.gateways[0].stop.cancel();
    let address = bench.address(0);
    eventually("the gateway refuses work", || async move {
        Call::get("/readyz").send(address).await.status == 503
    })
    .await;
    let reply = Call::complete("p", 1, false).send(address).await;
    assert_eq!((reply.status, reply.error().0.as_str()), (503, "leaving"));
    assert_eq!(reply.json()["error"]["addresses"][0]["name"], "g1");
    let other = bench.address(1);
    eventually("the other gateway no longer lists it", || async move {
        let reply = Call::get("/v1/addresses").send(other).await;
        reply.json()["addresses"].as_array().unwrap().len() == 1
    })
    .await;
    bench.upstreams.allow_tokens(2);
    let (tokens, end) = stream.tokens(10).await;
    assert_eq!(tokens.len(), 1);
    assert!(
        end.unwrap().data.contains("length"),
        "the stream ends whole"
    );
    bench.gateways[0].wait_until_stopped().await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn operators_read_what_was_decided() {
    let bench = Bench::start(Options::default()).await;
    let reply = Call::complete("p", 1, false).send(bench.address(0)).await;
    let id = reply.header("x-request-id").unwrap();
    let path = format!("/v1/explain/request/{id}");
    let caller = Call::get(&path).send(bench.address(0)).await;
    assert_eq!(caller.status, 401);
    let call = Call::get(&path).token(Some("operator-token"));
    let reply = call.send(bench.address(0)).await;
    let events = reply.json()["events"].clone();
    let text = events.to_string();
    assert!(text.contains("admitted for account paying"), "{text}");
    assert!(text.contains("answered whole with 1 tokens"), "{text}");
}

#[tokio::test(flavor = "multi_thread")]
async fn health_and_metrics_need_no_account() {
    let bench = Bench::start(Options::default()).await;
    for path in ["/healthz", "/readyz", "/metrics"] {
        let reply = Call::get(path).token(None).send(bench.address(0)).await;
        assert_eq!(reply.status, 200, "{path}");
    }
}
