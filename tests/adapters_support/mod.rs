//! Helpers shared by the tests of the HTTP adapters.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};

use flamingocroft::{
    adapters::HttpUpstreams,
    domain::{Completion, Incarnation, Priority, RequestId},
    ports::{ServiceCall, StreamEnd, StreamItem, Target, UpstreamError, Upstreams},
    settings::Timing,
};
use futures_util::StreamExt;

/// Returns a loopback address that no other test uses, with port zero, so that a port stays closed after
/// its listener has ended.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = NEXT.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, 128 | high >> 1, low, own), 0).into()
}

/// Timeouts that are not reached even on a busy machine, for exchanges that must succeed.
pub fn timing() -> Timing {
    const LONG_TIMEOUT: Duration = Duration::from_secs(20);
    Timing {
        connect_timeout: LONG_TIMEOUT,
        first_byte_timeout: LONG_TIMEOUT,
        token_timeout: LONG_TIMEOUT,
        request_timeout: LONG_TIMEOUT,
        ..Timing::default()
    }
}

/// Short timeouts, for exchanges that get no response.
pub fn short_timing() -> Timing {
    Timing {
        first_byte_timeout: Duration::from_millis(700),
        token_timeout: Duration::from_millis(700),
        request_timeout: Duration::from_millis(700),
        ..timing()
    }
}

pub fn target(address: SocketAddr) -> Target {
    Target {
        instance: "upstream-1".into(),
        incarnation: Incarnation(1),
        address,
    }
}

pub fn completion(prompt: &str, max_tokens: u32) -> Completion {
    Completion {
        id: RequestId::generate(),
        account: "depot".into(),
        model: "assistant".into(),
        prompt: prompt.to_owned(),
        max_tokens,
        seed: 7,
        priority: Priority::Paying,
        prefix: Vec::new(),
    }
}

pub fn release_call(key: &str, timeout: Duration) -> ServiceCall {
    ServiceCall {
        method: "POST".to_owned(),
        path: "/releases".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: r#"{"truck":"TN-7"}"#.into(),
        key: Some(key.to_owned()),
        timeout,
    }
}

pub fn pile_status_call() -> ServiceCall {
    ServiceCall {
        method: "GET".to_owned(),
        path: "/piles/3".to_owned(),
        content_type: None,
        body: Default::default(),
        key: None,
        timeout: Duration::from_secs(20),
    }
}

/// Reads a generation until its end or an error, and returns its tokens and the result.
pub async fn read_generation(
    upstreams: &HttpUpstreams,
    target: &Target,
    req: &Completion,
) -> (Vec<String>, Result<StreamEnd, UpstreamError>) {
    let mut tokens = Vec::new();
    let mut stream = match upstreams.generate(target, req).await {
        Ok(stream) => stream,
        Err(e) => return (tokens, Err(e)),
    };
    while let Some(item) = stream.next().await {
        match item {
            Ok(StreamItem::Token(token)) => tokens.push(token.text),
            Ok(StreamItem::End(end)) => return (tokens, Ok(end)),
            Err(e) => return (tokens, Err(e)),
        }
    }
    panic!("the stream stopped without an end or an error");
}

/// Waits until a condition holds, for at most ten seconds.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let waited = tokio::time::timeout(Duration::from_secs(10), async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting until {what}");
}
