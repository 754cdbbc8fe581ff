//! An HTTP client for the tests of the stand-ins.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;

/// Sends a request over a new connection and returns the response before its body is read.
pub async fn open(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> hyper::Result<hyper::Response<Incoming>> {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let req = Request::builder()
        .method(method)
        .uri(path)
        .header("host", "standin")
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    sender.send_request(req).await
}

/// Sends a request and returns the status and the JSON body.
pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> (StatusCode, Value) {
    let res = open(address, method, path, body).await.unwrap();
    let status = res.status();
    let bytes = res.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&bytes).unwrap())
}

/// Sends a `GET` and returns the JSON body.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    send(address, Method::GET, path, &Value::Null).await.1
}

/// Starts a generation.
pub async fn generate(address: SocketAddr, req: &Value) -> hyper::Response<Incoming> {
    open(address, Method::POST, "/v1/completions", req)
        .await
        .unwrap()
}

/// Returns the body of a completion request.
pub fn completion(id: &str, prompt: &str, max_tokens: u32, priority: &str) -> Value {
    json!({
        "request_id": id,
        "model": "assistant",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "seed": 1,
        "priority": priority,
        "stream": true,
    })
}

/// Reads a generation's whole event stream.
pub async fn text(res: hyper::Response<Incoming>) -> String {
    let bytes = res.into_body().collect().await.unwrap().to_bytes();
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// Waits until a condition holds; fails the test after ten seconds.
pub async fn eventually(what: &str, holds: impl Fn() -> bool) {
    let waited = tokio::time::timeout(Duration::from_secs(10), async {
        while !holds() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    });
    assert!(waited.await.is_ok(), "timed out waiting until {what}");
}
