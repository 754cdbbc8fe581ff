//! What the tests of the HTTP adapters share.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{net::SocketAddr, time::Duration};

use flamingocroft::{
    adapters::HttpUpstreams,
    domain::{Completion, Incarnation, Priority, RequestId},
    ports::{ServiceCall, StreamEnd, StreamItem, Target, UpstreamError, Upstreams},
    settings::Timing,
};
use futures_util::StreamExt;

pub const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(400);

pub fn timing() -> Timing {
    Timing {
        connect_timeout: Duration::from_millis(300),
        first_byte_timeout: FIRST_BYTE_TIMEOUT,
        token_timeout: Duration::from_millis(300),
        request_timeout: Duration::from_secs(5),
        ..Timing::default()
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
        timeout: Duration::from_secs(2),
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
