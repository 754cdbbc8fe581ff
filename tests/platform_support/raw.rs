//! Servers that write raw bytes, for responses that no HTTP library sends.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use hyper::{Method, StatusCode};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use super::{Installation, ServerAction, document, list_entry, wait_until};

/// Delay after which further bytes are not read together with the response before them.
pub const SEND_DELAY: Duration = Duration::from_millis(30);

/// How a server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RawBehavior {
    /// A complete response to another request follows the server's own at once.
    ExtraResponse,
    /// Like [`Self::ExtraResponse`], but after [`SEND_DELAY`].
    LateExtraResponse,
    /// The server responds once it has the request head, and reads the body later.
    EarlyResponse,
    /// The server behaves correctly.
    Correct,
    /// The response has no length and ends with its connection.
    NoLength,
    /// Like [`Self::NoLength`], but the connection is reset in the middle of the response.
    NoLengthReset,
    /// A stream of [`EVENTS`] events, from the one after `Last-Event-Id`, that ends like [`Self::NoLength`].
    NoLengthStream,
    /// Like [`Self::NoLengthStream`], but the connection is reset after the last event.
    NoLengthStreamReset,
    /// Like [`Self::NoLengthStream`], but the stream stays open after the last event.
    NoLengthStreamOpen,
    /// The head announces a length, and the connection ends in the middle of the body, all in one segment.
    CutLength,
    /// The head announces chunks, and the connection ends with the head.
    CutChunks,
    /// Like [`Self::CutChunks`], behind a part of an event.
    CutEvent,
    /// The head announces neither, and the connection is reset with the head.
    CutNoLength,
}

/// Number of events of a raw server's stream.
pub const EVENTS: u64 = 3;

/// Returns the text of the event with an identifier.
pub fn event(id: u64) -> String {
    format!("id: {id}\ndata: piece {id}\n\n")
}

/// A server that records the bytes received over each of its connections.
pub struct RawServer {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Number of open connections.
    pub open: Arc<AtomicUsize>,
}

impl RawServer {
    pub async fn start(host: &str, behavior: RawBehavior) -> Self {
        let listener = TcpListener::bind((host, 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let open = Arc::new(AtomicUsize::new(0));
        let (all, count) = (Arc::clone(&received), Arc::clone(&open));
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let index = {
                    let mut all = all.lock().unwrap();
                    all.push(Vec::new());
                    all.len() - 1
                };
                let (all, count) = (Arc::clone(&all), Arc::clone(&count));
                tokio::spawn(async move {
                    count.fetch_add(1, Ordering::Relaxed);
                    serve(stream, behavior, all, index).await;
                    count.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Self {
            address,
            received,
            open,
        }
    }
}

/// Starts an installation whose one server has the given behavior.
pub async fn start_installation(behavior: RawBehavior) -> (Installation, RawServer) {
    let installation = Installation::start(1, |_, _| {
        ServerAction::Respond(StatusCode::OK, b"done".to_vec())
    })
    .await;
    let server = RawServer::start(&installation.control_address.ip().to_string(), behavior).await;
    installation.publish(&document(1)).await;
    *installation.listed.lock().unwrap() = vec![list_entry("i-raw", server.address)];
    wait_until("the server is used", || async {
        installation.send(Method::GET, "/safe/x", "first", "").await;
        !server.received.lock().unwrap().is_empty()
    })
    .await;
    (installation, server)
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines()
        .find(|line| line.to_lowercase().starts_with(name))
        .and_then(|line| line.split_once(':'))
        .map(|(_, value)| value.trim().to_owned())
}

fn head_of(id: &str, framing: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Flamingocroft-Request-Id: {id}\r\n\
         X-Flamingocroft-Response-Seal: seal\r\n{framing}\r\n"
    )
}

fn answer(id: &str, text: &str) -> String {
    head_of(id, &format!("Content-Length: {}\r\n", text.len())) + text
}

/// Responds to each request with its own identifier, according to the behavior.
async fn serve(
    mut stream: TcpStream,
    behavior: RawBehavior,
    all: Arc<Mutex<Vec<Vec<u8>>>>,
    index: usize,
) {
    let mut at = 0;
    let mut buf = [0; 4096];
    loop {
        let seen = all.lock().unwrap()[index].clone();
        let text = String::from_utf8_lossy(&seen[at..]).into_owned();
        let whole = text.find("\r\n\r\n").filter(|end| {
            let length = header(&text[..*end], "content-length:");
            let length: usize = length.map_or(0, |length| length.parse().unwrap());
            behavior == RawBehavior::EarlyResponse || text.len() >= end + 4 + length
        });
        let Some(end) = whole else {
            match stream.read(&mut buf).await {
                Ok(0) | Err(_) => return,
                Ok(n) => all.lock().unwrap()[index].extend_from_slice(&buf[..n]),
            }
            continue;
        };
        let head = &text[..end];
        let id = header(head, "x-flamingocroft-request-id:").unwrap_or_default();
        let length = header(head, "content-length:").map_or(0, |length| length.parse().unwrap());
        at += end + 4 + length;
        let own = answer(&id, &format!("answer to {id}"));
        let foreign = answer("other", "answer to another");
        let after = header(head, "last-event-id:").map_or(0, |id| id.parse().unwrap());
        let body = match behavior {
            RawBehavior::NoLengthStream
            | RawBehavior::NoLengthStreamReset
            | RawBehavior::NoLengthStreamOpen => (after + 1..=EVENTS).map(event).collect(),
            _ => format!("answer to {id}"),
        };
        let without_length = head_of(&id, "") + &body;
        let sent = match behavior {
            RawBehavior::Correct => stream.write_all(own.as_bytes()).await,
            RawBehavior::ExtraResponse => stream.write_all((own + &foreign).as_bytes()).await,
            RawBehavior::LateExtraResponse => {
                let sent = stream.write_all(own.as_bytes()).await;
                sleep(SEND_DELAY).await;
                sent.and(stream.write_all(foreign.as_bytes()).await)
            }
            RawBehavior::EarlyResponse => {
                let sent = stream.write_all(own.as_bytes()).await;
                sleep(SEND_DELAY).await;
                // The rest of the body is read as a body, however long it takes to arrive.
                while all.lock().unwrap()[index].len() < at {
                    match stream.read(&mut buf).await {
                        Ok(0) | Err(_) => return,
                        Ok(n) => all.lock().unwrap()[index].extend_from_slice(&buf[..n]),
                    }
                }
                sent
            }
            RawBehavior::NoLength | RawBehavior::NoLengthStream => {
                let _ = stream.write_all(without_length.as_bytes()).await;
                return;
            }
            RawBehavior::CutLength => {
                let cut = &own[..own.len() - 3];
                let _ = stream.write_all(cut.as_bytes()).await;
                return;
            }
            RawBehavior::CutChunks | RawBehavior::CutEvent => {
                let part = match behavior {
                    RawBehavior::CutEvent => "6\r\nid: 1\n\r\n",
                    _ => "",
                };
                let head = head_of(&id, "Transfer-Encoding: chunked\r\n");
                let _ = stream.write_all((head + part).as_bytes()).await;
                return;
            }
            RawBehavior::CutNoLength => {
                let _ = stream.write_all(head_of(&id, "").as_bytes()).await;
                stream.set_zero_linger().unwrap();
                return;
            }
            RawBehavior::NoLengthStreamOpen => {
                let _ = stream.write_all(without_length.as_bytes()).await;
                // Waits until the caller closes the connection.
                let _ = stream.read(&mut buf).await;
                return;
            }
            RawBehavior::NoLengthReset | RawBehavior::NoLengthStreamReset => {
                let _ = stream.write_all(without_length.as_bytes()).await;
                sleep(SEND_DELAY).await;
                // Closing a socket with zero linger resets the connection.
                stream.set_zero_linger().unwrap();
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}
