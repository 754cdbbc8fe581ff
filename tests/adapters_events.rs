//! Event streams at the byte level: unusual but complete streams are read, and incomplete ones are errors.

mod adapters_support;

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use adapters_support::{completion, read_generation, target, timing};
use flamingocroft::{
    adapters::HttpUpstreams,
    domain::{Completion, FinishReason},
    ports::{
        StreamEnd,
        UpstreamErrorKind::{self, Cut, Protocol},
    },
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// An HTTP server that answers each request with the same body, in chunks of a given size.
struct RawServer {
    address: std::net::SocketAddr,
    connections: Arc<AtomicU32>,
}

impl RawServer {
    async fn start(status: &'static str, body: String, chunk_bytes: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicU32::new(0));
        let accepted = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, status, body.clone(), chunk_bytes));
            }
        });
        Self {
            address,
            connections,
        }
    }
}

async fn serve(mut stream: TcpStream, status: &str, body: String, chunk_bytes: usize) {
    let mut head = vec![0; 64 * 1024];
    while let Ok(1..) = stream.read(&mut head).await {
        let mut answer = format!("HTTP/1.1 {status}\r\ntransfer-encoding: chunked\r\n\r\n");
        for part in body.as_bytes().chunks(chunk_bytes) {
            let part = std::str::from_utf8(part).unwrap();
            answer += &format!("{:x}\r\n{part}\r\n", part.len());
        }
        if stream
            .write_all((answer + "0\r\n\r\n").as_bytes())
            .await
            .is_err()
        {
            return;
        }
    }
}

fn token_event(req: &Completion, offset: u32) -> String {
    let id = req.id;
    format!("data: {{\"request_id\":\"{id}\",\"offset\":{offset},\"text\":\"t{offset}\"}}\n\n")
}

fn finish_event(req: &Completion, reason: &str) -> String {
    let id = req.id;
    format!("data: {{\"request_id\":\"{id}\",\"finish_reason\":\"{reason}\"}}\n\n")
}

const DONE_EVENT: &str = "data: [DONE]\n\n";

#[tokio::test]
async fn unusual_but_complete_streams_are_read() {
    let req = completion("p", 2);
    let plain =
        token_event(&req, 0) + &token_event(&req, 1) + &finish_event(&req, "stop") + DONE_EVENT;
    let whole = StreamEnd {
        reason: FinishReason::Stop,
        prompt_tokens: 0,
        cached_tokens: 0,
    };
    let cases = [
        ("in one piece", plain.clone(), plain.len()),
        ("byte by byte", plain.clone(), 1),
        ("in odd pieces", plain.clone(), 7),
        ("with returns", plain.replace('\n', "\r\n"), 5),
        (
            "with comments",
            format!(
                ": ping\n\n{}",
                plain.replace("data: ", ": x\nevent: t\ndata:")
            ),
            9,
        ),
        ("over two lines", plain.replace(",\"", "\ndata: ,\""), 11),
    ];
    for (name, body, chunk_bytes) in cases {
        let server = RawServer::start("200 OK", body, chunk_bytes).await;
        let upstreams = HttpUpstreams::new(&timing());
        for _ in 0..2 {
            let (tokens, end) = read_generation(&upstreams, &target(server.address), &req).await;
            assert_eq!(end.expect(name), whole, "{name}");
            assert_eq!(tokens, ["t0", "t1"], "{name}");
        }
        assert_eq!(server.connections.load(Ordering::Relaxed), 1, "{name}");
    }
}

#[tokio::test]
async fn incomplete_streams_are_errors_and_close_their_connection() {
    let req = completion("p", 2);
    let (first, second) = (token_event(&req, 0), token_event(&req, 1));
    let stop = finish_event(&req, "stop");
    let cases: [(&str, String, UpstreamErrorKind, usize); 11] = [
        ("nothing", String::new(), Cut, 0),
        ("no end", format!("{first}{second}"), Cut, 2),
        ("no end mark", format!("{first}{stop}"), Cut, 1),
        (
            "half an end mark",
            format!("{first}{stop}data: [DON"),
            Cut,
            1,
        ),
        (
            "cancelled",
            format!("{first}{}{DONE_EVENT}", finish_event(&req, "cancelled")),
            Cut,
            1,
        ),
        ("no reason", format!("{first}{DONE_EVENT}"), Protocol, 1),
        (
            "unknown reason",
            format!("{first}{}{DONE_EVENT}", finish_event(&req, "tired")),
            Protocol,
            1,
        ),
        (
            "a token after the end",
            format!("{first}{stop}{second}{DONE_EVENT}"),
            Protocol,
            1,
        ),
        (
            "a token twice",
            format!("{first}{first}{stop}{DONE_EVENT}"),
            Protocol,
            1,
        ),
        (
            "no JSON",
            format!("{first}data: {{\n\n{stop}{DONE_EVENT}"),
            Protocol,
            1,
        ),
        (
            "endless event",
            format!("{first}data: {}", "x".repeat(2 << 20)),
            Protocol,
            1,
        ),
    ];
    for (name, body, kind, count) in cases {
        let server = RawServer::start("200 OK", body, 64 * 1024).await;
        let upstreams = HttpUpstreams::new(&timing());
        for _ in 0..2 {
            let (tokens, end) = read_generation(&upstreams, &target(server.address), &req).await;
            assert_eq!(end.expect_err(name).kind, kind, "{name}");
            assert_eq!(tokens.len(), count, "{name}");
        }
        assert_eq!(server.connections.load(Ordering::Relaxed), 2, "{name}");
    }
}

#[tokio::test]
async fn data_after_the_final_event_closes_the_connection_but_keeps_the_response() {
    let req = completion("p", 1);
    let body =
        token_event(&req, 0) + &finish_event(&req, "stop") + DONE_EVENT + &"x".repeat(1 << 20);
    let server = RawServer::start("200 OK", body, 1024).await;
    let upstreams = HttpUpstreams::new(&timing());
    for _ in 0..2 {
        let (tokens, end) = read_generation(&upstreams, &target(server.address), &req).await;
        assert_eq!((tokens.len(), end.is_ok()), (1, true));
    }
    assert_eq!(server.connections.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn an_error_status_is_not_an_empty_success() {
    for status in ["500 Oops", "302 Found", "204 Empty"] {
        let server = RawServer::start(status, String::new(), 1).await;
        let upstreams = HttpUpstreams::new(&timing());
        let (tokens, end) =
            read_generation(&upstreams, &target(server.address), &completion("p", 1)).await;
        assert_eq!(tokens.len(), 0);
        assert!(matches!(end.unwrap_err().kind, Protocol | Cut), "{status}");
    }
}
