//! Answers of engines and plain servers that break off in the same segment as their head: every caller gets an
//! answer or a refusal that tells whether its request may have run.

mod gateway_support;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use gateway_support::{
    Bench, Options,
    http::{Call, Events},
    instance_at,
};
use serde_json::Value;
use standin::{
    engine::{self, EngineParams, answer_seed, answer_token},
    service::{self, ServiceParams},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use uuid::Uuid;

const TOKENS: u32 = 6;

/// Requests after which a broken instance must have been chosen.
const MAX_REQUESTS: usize = 40;

/// What would show the end of the answer that breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Framing {
    Length,
    Chunks,
    Connection,
}

/// What comes with the head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Begun {
    Nothing,
    FirstToken,
}

/// A server of which every answer breaks off.
struct BrokenServer {
    address: SocketAddr,
    requests: Arc<AtomicU32>,
}

impl BrokenServer {
    async fn start(framing: Framing, begun: Begun) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&requests);
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, framing, begun, Arc::clone(&counted)));
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> u32 {
        self.requests.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, framing: Framing, begun: Begun, requests: Arc<AtomicU32>) {
    let Some((head, body)) = read_request(&mut stream).await else {
        return;
    };
    if head.starts_with("GET /load") || head.starts_with("GET /cache-events") {
        let reply = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
        stream.write_all(reply.as_bytes()).await.unwrap();
        return;
    }
    requests.fetch_add(1, Ordering::SeqCst);
    let begun = match begun {
        Begun::Nothing => String::new(),
        Begun::FirstToken => first_token(&body),
    };
    let (header, begun) = match framing {
        Framing::Length => ("Content-Length: 100000\r\n", begun),
        Framing::Chunks if begun.is_empty() => ("Transfer-Encoding: chunked\r\n", begun),
        Framing::Chunks => (
            "Transfer-Encoding: chunked\r\n",
            format!("{:x}\r\n{begun}\r\n", begun.len()),
        ),
        Framing::Connection => ("", begun),
    };
    let answer =
        format!("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{header}\r\n{begun}");
    if framing == Framing::Connection {
        // Closing a socket with zero linger resets the connection, without which the answer would be whole.
        stream.set_zero_linger().unwrap();
    }
    stream.write_all(answer.as_bytes()).await.unwrap();
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut buf = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head
                .lines()
                .filter_map(|line| line.split_once(':'))
                .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
                .map_or(0, |(_, value)| value.trim().parse().unwrap());
            if body.len() >= length {
                return Some((head.to_owned(), body.to_owned()));
            }
        }
        match stream.read(&mut buf).await {
            Ok(0) | Err(_) => return None,
            Ok(read) => bytes.extend_from_slice(&buf[..read]),
        }
    }
}

fn first_token(body: &str) -> String {
    let request: Value = serde_json::from_str(body).unwrap();
    let prompt = request["prompt"].as_str().unwrap();
    let seed = request["seed"].as_u64().unwrap();
    let token = serde_json::json!({
        "request_id": request["request_id"], "offset": 0,
        "text": answer_token(answer_seed(prompt, seed), 0),
    });
    format!("data: {token}\n\n")
}

async fn bench() -> Bench {
    Bench::start(Options::default()).await
}

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Connection];

#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_answers_all_break_off_at_their_head_is_refused_as_possibly_run() {
    for framing in FRAMINGS {
        let bench = bench().await;
        let engine = BrokenServer::start(framing, Begun::Nothing).await;
        let depot = BrokenServer::start(framing, Begun::Nothing).await;
        let instances = vec![
            instance_at("e0", "chat", "a", engine.address),
            instance_at("d0", "depot", "a", depot.address),
        ];
        let address = bench.start_http_gateway(instances).await;
        let release = Call::release(Uuid::now_v7(), "x");
        let calls = [
            (Call::complete("whole", TOKENS, false), &engine),
            (Call::complete("streamed", TOKENS, true), &engine),
            (Call::get("/v1/services/depot/piles"), &depot),
            (release.clone(), &depot),
        ];
        for (call, server) in calls {
            let before = server.requests();
            let reply = call.send(address).await;
            let what = format!("{framing:?} {} {}", call.path, reply.text);
            assert_eq!(
                reply.error(),
                ("upstream_failed".to_owned(), "unknown".to_owned()),
                "{what}"
            );
            assert_eq!(reply.status, 502, "{what}");
            assert_eq!(server.requests(), before + 1, "{what}");
        }
        let before = depot.requests();
        let again = release.send(address).await;
        assert_eq!(again.error().1, "unknown", "{framing:?}: {}", again.text);
        assert_eq!(depot.requests(), before, "the release runs once");
    }
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

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_that_breaks_off_at_its_head_comes_whole_from_another_engine() {
    for framing in FRAMINGS {
        for (begun, streamed) in [
            (Begun::Nothing, false),
            (Begun::Nothing, true),
            (Begun::FirstToken, false),
            (Begun::FirstToken, true),
        ] {
            let bench = bench().await;
            let broken = BrokenServer::start(framing, begun).await;
            let params = EngineParams {
                models: vec!["m".to_owned()],
                ..EngineParams::default()
            };
            let sound = engine::start(params).await.unwrap();
            let instances = vec![
                instance_at("e0", "chat", "a", broken.address),
                instance_at("e1", "chat", "a", sound.address()),
            ];
            let address = bench.start_http_gateway(instances).await;
            let mut prompts = (0..MAX_REQUESTS).map(|at| format!("prompt {at}"));
            while broken.requests() == 0 {
                let prompt = prompts.next().expect("the broken engine is chosen");
                let seed = answer_seed(&prompt, 5);
                let expected: String = (0..TOKENS).map(|at| answer_token(seed, at)).collect();
                let text = complete(address, &prompt, streamed).await;
                assert_eq!(text, expected, "{framing:?} {begun:?} {streamed}");
            }
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_breaks_off_at_its_head_comes_whole_from_another_server() {
    for framing in FRAMINGS {
        let bench = bench().await;
        let broken = BrokenServer::start(framing, Begun::Nothing).await;
        let sound = service::start(ServiceParams::default()).await.unwrap();
        let instances = vec![
            instance_at("d0", "depot", "a", broken.address),
            instance_at("d1", "depot", "a", sound.address()),
        ];
        let address = bench.start_http_gateway(instances).await;
        for _ in 0..MAX_REQUESTS {
            let reply = Call::get("/v1/services/depot/piles").send(address).await;
            assert_eq!(reply.status, 200, "{framing:?}: {}", reply.text);
        }
        assert!(broken.requests() > 0, "{framing:?}");
    }
}
