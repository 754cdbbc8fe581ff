//! What the tests of the HTTP adapters share.
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

/// Returns a free port of an address that no other test listens on, so that a port that was given
/// up stays closed.
pub fn own_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let own = NEXT.fetch_add(1, Ordering::Relaxed);
    (Ipv4Addr::new(127, 128 | high >> 1, low, own), 0).into()
}

/// Timeouts that a busy machine does not reach, for what must not fail.
pub fn timing() -> Timing {
    const PATIENCE: Duration = Duration::from_secs(20);
    Timing {
        connect_timeout: PATIENCE,
        first_byte_timeout: PATIENCE,
        token_timeout: PATIENCE,
        request_timeout: PATIENCE,
        ..Timing::default()
    }
}

/// Timeouts for what never answers.
pub fn impatient() -> Timing {
    Timing {
        first_byte_timeout: Duration::from_millis(700),
        token_timeout: Duration::from_millis(700),
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

pub fn release(key: &str, timeout: Duration) -> ServiceCall {
    ServiceCall {
        method: "POST".to_owned(),
        path: "/releases".to_owned(),
        content_type: Some("application/json".to_owned()),
        body: r#"{"truck":"TN-7"}"#.into(),
        key: Some(key.to_owned()),
        timeout,
    }
}

pub fn pile_status() -> ServiceCall {
    ServiceCall {
        method: "GET".to_owned(),
        path: "/piles/3".to_owned(),
        content_type: None,
        body: Default::default(),
        key: None,
        timeout: Duration::from_secs(20),
    }
}

/// Reads a generation to its end or its error.
pub async fn read(
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

/// Waits until a condition holds, for ten seconds at most.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let waited = tokio::time::timeout(Duration::from_secs(10), async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(waited.await.is_ok(), "it never came true that {what}");
}
