//! Servers that speak bytes, for what no HTTP library sends.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// Time after which bytes that follow an answer are not read together with it.
pub const LATER: Duration = Duration::from_millis(30);

/// How a server misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// A whole answer to another request follows its own at once.
    Surplus,
    /// The same, a while later.
    LateSurplus,
    /// It answers once it has the head, and reads the body later.
    Early,
    /// It does as it should.
    Proper,
    /// The answer has no length and ends with its connection.
    NoLength,
    /// The same, but the connection is reset in its middle.
    NoLengthReset,
}

/// A server, and what came over each of its connections.
pub struct RawServer {
    pub address: SocketAddr,
    pub received: Arc<Mutex<Vec<Vec<u8>>>>,
    /// Connections that are open.
    pub open: Arc<AtomicUsize>,
}

impl RawServer {
    pub async fn start(host: &str, manner: Manner) -> Self {
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
                    serve(stream, manner, all, index).await;
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

fn header(head: &str, name: &str) -> Option<String> {
    head.lines()
        .find(|line| line.to_lowercase().starts_with(name))
        .and_then(|line| line.split_once(':'))
        .map(|(_, value)| value.trim().to_owned())
}

fn answer(id: &str, text: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Flamingocroft-Request-Id: {id}\r\n\
         X-Flamingocroft-Response-Seal: seal\r\nContent-Length: {}\r\n\r\n{text}",
        text.len()
    )
}

/// Answers each request with its own identifier, in the server's manner.
async fn serve(mut stream: TcpStream, manner: Manner, all: Arc<Mutex<Vec<Vec<u8>>>>, index: usize) {
    let mut at = 0;
    let mut buf = [0; 4096];
    loop {
        let seen = all.lock().unwrap()[index].clone();
        let text = String::from_utf8_lossy(&seen[at..]).into_owned();
        let whole = text.find("\r\n\r\n").filter(|end| {
            let length = header(&text[..*end], "content-length:");
            let length: usize = length.map_or(0, |length| length.parse().unwrap());
            manner == Manner::Early || text.len() >= end + 4 + length
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
        let begun = format!(
            "HTTP/1.1 200 OK\r\nX-Flamingocroft-Request-Id: {id}\r\n\
             X-Flamingocroft-Response-Seal: seal\r\n\r\nanswer to {id}"
        );
        let sent = match manner {
            Manner::Proper => stream.write_all(own.as_bytes()).await,
            Manner::Surplus => stream.write_all((own + &foreign).as_bytes()).await,
            Manner::LateSurplus => {
                let sent = stream.write_all(own.as_bytes()).await;
                sleep(LATER).await;
                sent.and(stream.write_all(foreign.as_bytes()).await)
            }
            Manner::Early => {
                let sent = stream.write_all(own.as_bytes()).await;
                sleep(LATER).await;
                // The rest of the body is read as such, however long it takes.
                while all.lock().unwrap()[index].len() < at {
                    match stream.read(&mut buf).await {
                        Ok(0) | Err(_) => return,
                        Ok(n) => all.lock().unwrap()[index].extend_from_slice(&buf[..n]),
                    }
                }
                sent
            }
            Manner::NoLength => {
                let _ = stream.write_all(begun.as_bytes()).await;
                return;
            }
            Manner::NoLengthReset => {
                let _ = stream.write_all(begun.as_bytes()).await;
                sleep(LATER).await;
                // Closing with a linger of zero resets the connection.
                stream.set_zero_linger().unwrap();
                return;
            }
        };
        if sent.is_err() {
            return;
        }
    }
}
