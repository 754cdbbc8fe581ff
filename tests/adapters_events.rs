//! Streams as bytes on the wire: what is odd but whole is read, and what is not whole is an error.

mod adapters_support;

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use adapters_support::{completion, read, target, timing};
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

/// Serves one body to each request, in pieces of a size, as a chunked answer.
struct RawServer {
    address: std::net::SocketAddr,
    connections: Arc<AtomicU32>,
}

impl RawServer {
    async fn start(status: &'static str, body: String, piece: usize) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let connections = Arc::new(AtomicU32::new(0));
        let accepted = Arc::clone(&connections);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                accepted.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(serve(stream, status, body.clone(), piece));
            }
        });
        Self {
            address,
            connections,
        }
    }
}

async fn serve(mut stream: TcpStream, status: &str, body: String, piece: usize) {
    let mut head = vec![0; 64 * 1024];
    while let Ok(1..) = stream.read(&mut head).await {
        let mut answer = format!("HTTP/1.1 {status}\r\ntransfer-encoding: chunked\r\n\r\n");
        for part in body.as_bytes().chunks(piece) {
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

fn token(req: &Completion, offset: u32) -> String {
    let id = req.id;
    format!("data: {{\"request_id\":\"{id}\",\"offset\":{offset},\"text\":\"t{offset}\"}}\n\n")
}

fn end(req: &Completion, reason: &str) -> String {
    let id = req.id;
    format!("data: {{\"request_id\":\"{id}\",\"finish_reason\":\"{reason}\"}}\n\n")
}

const DONE: &str = "data: [DONE]\n\n";

#[tokio::test]
async fn an_odd_but_whole_stream_is_read() {
    let req = completion("p", 2);
    let plain = token(&req, 0) + &token(&req, 1) + &end(&req, "stop") + DONE;
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
    for (name, body, piece) in cases {
        let server = RawServer::start("200 OK", body, piece).await;
        let upstreams = HttpUpstreams::new(&timing());
        for _ in 0..2 {
            let (tokens, end) = read(&upstreams, &target(server.address), &req).await;
            assert_eq!(end.expect(name), whole, "{name}");
            assert_eq!(tokens, ["t0", "t1"], "{name}");
        }
        assert_eq!(server.connections.load(Ordering::Relaxed), 1, "{name}");
    }
}

#[tokio::test]
async fn a_stream_that_is_not_whole_is_an_error_and_its_connection_is_closed() {
    let req = completion("p", 2);
    let (first, second) = (token(&req, 0), token(&req, 1));
    let stop = end(&req, "stop");
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
            format!("{first}{}{DONE}", end(&req, "cancelled")),
            Cut,
            1,
        ),
        ("no reason", format!("{first}{DONE}"), Protocol, 1),
        (
            "unknown reason",
            format!("{first}{}{DONE}", end(&req, "tired")),
            Protocol,
            1,
        ),
        (
            "a token after the end",
            format!("{first}{stop}{second}{DONE}"),
            Protocol,
            1,
        ),
        (
            "a token twice",
            format!("{first}{first}{stop}{DONE}"),
            Protocol,
            1,
        ),
        (
            "no JSON",
            format!("{first}data: {{\n\n{stop}{DONE}"),
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
            let (tokens, end) = read(&upstreams, &target(server.address), &req).await;
            assert_eq!(end.expect_err(name).kind, kind, "{name}");
            assert_eq!(tokens.len(), count, "{name}");
        }
        assert_eq!(server.connections.load(Ordering::Relaxed), 2, "{name}");
    }
}

#[tokio::test]
async fn what_follows_the_end_mark_costs_the_connection_but_not_the_answer() {
    let req = completion("p", 1);
    let body = token(&req, 0) + &end(&req, "stop") + DONE + &"x".repeat(1 << 20);
    let server = RawServer::start("200 OK", body, 1024).await;
    let upstreams = HttpUpstreams::new(&timing());
    for _ in 0..2 {
        let (tokens, end) = read(&upstreams, &target(server.address), &req).await;
        assert_eq!((tokens.len(), end.is_ok()), (1, true));
    }
    assert_eq!(server.connections.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn an_error_status_is_never_a_short_success() {
    for status in ["500 Oops", "302 Found", "204 Empty"] {
        let server = RawServer::start(status, String::new(), 1).await;
        let upstreams = HttpUpstreams::new(&timing());
        let (tokens, end) = read(&upstreams, &target(server.address), &completion("p", 1)).await;
        assert_eq!(tokens.len(), 0);
        assert!(matches!(end.unwrap_err().kind, Protocol | Cut), "{status}");
    }
}
