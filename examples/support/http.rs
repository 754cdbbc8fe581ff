//! A small HTTP/1 client for callers and operators. [`send`] and [`open`] use a new connection for
//! each request.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, body::Incoming, client::conn::http1, header};
use hyper_util::rt::TokioIo;
use serde::{Serialize, de::DeserializeOwned};
use tokio::{net::TcpStream, time::timeout};

/// Timeout for a whole response, and for each frame of a streamed one.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// One request.
#[derive(Clone, Debug, Default)]
pub struct Call {
    /// The method; `GET` if empty.
    pub method: &'static str,
    /// The path.
    pub path: String,
    /// The bearer token.
    pub token: String,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Call {
    /// Returns a `GET` request.
    pub fn get(path: impl Into<String>, token: &str) -> Self {
        Self {
            method: "GET",
            path: path.into(),
            token: token.to_owned(),
            ..Self::default()
        }
    }

    /// Returns a `POST` request with a JSON body.
    pub fn post(path: impl Into<String>, token: &str, body: &impl Serialize) -> Self {
        Self {
            method: "POST",
            body: serde_json::to_vec(body).expect("the body can be encoded"),
            ..Self::get(path, token)
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: StatusCode,
    /// The headers.
    pub headers: hyper::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> anyhow::Result<T> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("status {}: {}", self.status, self.text()))
    }

    /// Returns the body as text, with invalid UTF-8 replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends a request over a new connection and reads the whole response.
pub async fn send(address: SocketAddr, call: &Call) -> anyhow::Result<Response> {
    let exchange = async { Connection::open(address).await?.send(call).await };
    timeout(RESPONSE_TIMEOUT, exchange)
        .await
        .with_context(|| format!("{} {} took too long", call.method, call.path))?
}

/// Sends a request over a new connection and returns the response before its body has arrived.
pub async fn open(address: SocketAddr, call: &Call) -> anyhow::Result<hyper::Response<Incoming>> {
    Connection::open(address).await?.start(call).await
}

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// The event's name; empty if it has none.
    pub name: String,
    /// The event's id.
    pub id: String,
    /// The data.
    pub data: String,
}

/// Reads server-sent events from a response body.
#[derive(Debug)]
pub struct EventReader {
    body: Incoming,
    buf: Vec<u8>,
}

impl EventReader {
    /// Creates a reader of the response's body.
    pub fn new(response: hyper::Response<Incoming>) -> Self {
        Self {
            body: response.into_body(),
            buf: Vec::new(),
        }
    }

    /// Returns the next event, or `None` at the end of the body.
    pub async fn next(&mut self) -> anyhow::Result<Option<Event>> {
        loop {
            if let Some(event) = self.take_event() {
                return Ok(Some(event));
            }
            let Some(frame) = timeout(RESPONSE_TIMEOUT, self.body.frame()).await? else {
                return Ok(None);
            };
            if let Ok(data) = frame?.into_data() {
                self.buf.extend_from_slice(&data);
            }
        }
    }

    fn take_event(&mut self) -> Option<Event> {
        let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
        let block: Vec<u8> = self.buf.drain(..end + 2).collect();
        let mut event = Event::default();
        for line in String::from_utf8_lossy(&block).lines() {
            let (field, value) = line.split_once(':').unwrap_or((line, ""));
            let value = value.trim_start();
            match field {
                "event" => event.name = value.to_owned(),
                "id" => event.id = value.to_owned(),
                "data" => event.data.push_str(value),
                _ => {}
            }
        }
        Some(event)
    }
}

/// A connection that is reused for successive requests.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: http1::SendRequest<Full<Bytes>>,
}

impl Connection {
    /// Connects to a server.
    pub async fn open(address: SocketAddr) -> anyhow::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        Ok(Self { address, sender })
    }

    /// Sends a request and returns the response before its body has arrived.
    pub async fn start(&mut self, call: &Call) -> anyhow::Result<hyper::Response<Incoming>> {
        self.sender.ready().await?;
        Ok(self
            .sender
            .send_request(build_request(self.address, call)?)
            .await?)
    }

    /// Sends a request and reads the whole response.
    pub async fn send(&mut self, call: &Call) -> anyhow::Result<Response> {
        let response = self.start(call).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Response {
            status,
            headers,
            body,
        })
    }
}

fn build_request(address: SocketAddr, call: &Call) -> anyhow::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method)
        .uri(&call.path)
        .header(header::HOST, address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(header::AUTHORIZATION, format!("Bearer {}", call.token));
    for (name, value) in &call.headers {
        builder = builder.header(*name, value);
    }
    Ok(builder.body(Full::new(Bytes::from(call.body.clone())))?)
}
