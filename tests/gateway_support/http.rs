//! A minimal HTTP client that opens one connection for each request.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::{net::TcpStream, time::timeout};

/// Time limit for each step of a test.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);

pub const PAYING_TOKEN: &str = "paying-token";
pub const OTHER_TOKEN: &str = "other-token";
pub const FREE_TOKEN: &str = "free-token";

/// A request to a gateway.
#[derive(Clone, Debug)]
pub struct Call {
    pub method: &'static str,
    pub path: String,
    pub token: Option<&'static str>,
    pub headers: Vec<(&'static str, String)>,
    pub body: String,
}

impl Call {
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            token: Some(PAYING_TOKEN),
            headers: Vec::new(),
            body: String::new(),
        }
    }

    pub fn post(path: impl Into<String>, body: impl Into<String>) -> Self {
        Self {
            method: "POST",
            body: body.into(),
            ..Self::get(path)
        }
    }

    /// Returns a completion request.
    pub fn complete(prompt: &str, tokens: u32, stream: bool) -> Self {
        let body = serde_json::json!({
            "model": "m", "prompt": prompt, "max_tokens": tokens, "seed": 5, "stream": stream,
        });
        Self::post("/v1/completions", body.to_string())
    }

    pub fn resume(id: &str, last: Option<u32>) -> Self {
        let call = Self::get(format!("/v1/requests/{id}"));
        match last {
            Some(last) => call.header("last-event-id", last.to_string()),
            None => call,
        }
    }

    pub fn release(key: uuid::Uuid, body: &str) -> Self {
        Self::post("/v1/services/depot/releases", body).header("idempotency-key", key.to_string())
    }

    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub fn token(mut self, token: Option<&'static str>) -> Self {
        self.token = token;
        self
    }

    pub async fn open(&self, address: SocketAddr) -> Response<Incoming> {
        timeout(STEP_TIMEOUT, self.try_open(address))
            .await
            .expect("the gateway answers in time")
            .expect("the gateway answers")
    }

    pub async fn try_open(&self, address: SocketAddr) -> anyhow::Result<Response<Incoming>> {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let mut request = Request::builder()
            .method(self.method)
            .uri(&self.path)
            .header("host", address.to_string());
        if let Some(token) = self.token {
            request = request.header("authorization", format!("Bearer {token}"));
        }
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body.clone())))?;
        Ok(sender.send_request(request).await?)
    }

    pub async fn send(&self, address: SocketAddr) -> Reply {
        let (head, body) = self.open(address).await.into_parts();
        let body = timeout(STEP_TIMEOUT, body.collect())
            .await
            .expect("the body comes in time")
            .expect("the body is whole");
        Reply {
            status: head.status.as_u16(),
            headers: head.headers,
            text: String::from_utf8(body.to_bytes().to_vec()).expect("the body is text"),
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub headers: HeaderMap,
    pub text: String,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).unwrap_or_else(|e| panic!("{e}: {}", self.text))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the kind and `ran` of an error.
    pub fn error(&self) -> (String, String) {
        let json = self.json();
        let field = |name: &str| json["error"][name].as_str().unwrap_or("").to_owned();
        (field("kind"), field("ran"))
    }
}

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    pub id: Option<u32>,
    pub name: Option<String>,
    pub data: String,
}

impl Event {
    /// Returns the text of a token's event.
    pub fn text(&self) -> String {
        let json: Value = serde_json::from_str(&self.data).unwrap_or_default();
        json["choices"][0]["text"].as_str().unwrap_or("").to_owned()
    }
}

/// Reads the events of a streamed answer.
pub struct Events {
    pub request_id: String,
    pub backup: Option<String>,
    body: Incoming,
    buf: String,
}

impl Events {
    pub async fn open(call: &Call, address: SocketAddr) -> Self {
        Self::from_response(call.open(address).await)
    }

    pub fn from_response(response: Response<Incoming>) -> Self {
        assert_eq!(response.status(), 200, "the stream is accepted");
        let header = |name| {
            let value = response.headers().get(name)?;
            Some(value.to_str().unwrap().to_owned())
        };
        Self {
            request_id: header("x-request-id").expect("a request id"),
            backup: header("x-backup-address"),
            body: response.into_body(),
            buf: String::new(),
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some(end) = self.buf.find("\n\n") {
                let event = parse(&self.buf[..end]);
                self.buf.drain(..end + 2);
                return Some(event);
            }
            let frame = timeout(STEP_TIMEOUT, self.body.frame())
                .await
                .expect("an event comes in time")?;
            let data = frame.ok()?.into_data().ok()?;
            self.buf.push_str(std::str::from_utf8(&data).unwrap());
        }
    }

    /// Reads token events up to a limit or until another event or the end; that other event is
    /// returned too.
    pub async fn tokens(&mut self, limit: usize) -> (Vec<Event>, Option<Event>) {
        let mut tokens = Vec::new();
        while tokens.len() < limit {
            match self.next().await {
                Some(event) if event.name.is_none() && !event.text().is_empty() => {
                    tokens.push(event);
                }
                other => return (tokens, other),
            }
        }
        (tokens, None)
    }
}

fn parse(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        match line.split_once(": ") {
            Some(("id", id)) => event.id = id.parse().ok(),
            Some(("event", name)) => event.name = Some(name.to_owned()),
            Some(("data", data)) => event.data.push_str(data),
            _ => {}
        }
    }
    event
}
