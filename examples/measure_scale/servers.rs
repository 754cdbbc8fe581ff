//! Many minimal upstreams in one process that answer load and cache polls and count the bytes.

use std::{
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use tokio_util::task::AbortOnDropHandle;

const LOAD_REPORT: &str = r#"{"running":3,"queued":0,"slots":8,"cache_capacity_tokens":65536,"age_ms":40,"leaving":false,"models":["assistant"],"fence":7}"#;

/// Totals over all servers.
#[derive(Debug, Default)]
pub struct Counts {
    /// Requests answered.
    pub requests: AtomicU64,
    /// Bytes of HTTP in both directions, without those of TCP.
    pub bytes: AtomicU64,
}

/// Running servers, stopped on drop.
pub struct Servers {
    /// The addresses on which they listen.
    pub addresses: Vec<SocketAddr>,
    /// Totals over all servers' traffic.
    pub counts: Arc<Counts>,
    polled: Vec<Arc<AtomicBool>>,
    _tasks: Vec<AbortOnDropHandle<()>>,
}

impl Servers {
    /// Starts `count` servers that report `events` new prefixes in each poll.
    pub async fn start(host: IpAddr, count: usize, events: u64) -> anyhow::Result<Self> {
        let mut servers = Self {
            addresses: Vec::new(),
            counts: Arc::default(),
            polled: Vec::new(),
            _tasks: Vec::new(),
        };
        for _ in 0..count {
            let listener = TcpListener::bind((host, 0)).await?;
            let polled = Arc::new(AtomicBool::new(false));
            servers.addresses.push(listener.local_addr()?);
            servers.polled.push(Arc::clone(&polled));
            let serve = accept_connections(listener, Arc::clone(&servers.counts), polled, events);
            servers
                ._tasks
                .push(AbortOnDropHandle::new(tokio::spawn(serve)));
        }
        Ok(servers)
    }

    /// Returns whether each server has answered a poll.
    pub fn all_polled(&self) -> bool {
        self.polled.iter().all(|p| p.load(Ordering::Relaxed))
    }
}

async fn accept_connections(
    listener: TcpListener,
    counts: Arc<Counts>,
    polled: Arc<AtomicBool>,
    events: u64,
) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve_connection(
            stream,
            Arc::clone(&counts),
            Arc::clone(&polled),
            events,
        ));
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    counts: Arc<Counts>,
    polled: Arc<AtomicBool>,
    events: u64,
) {
    let _ = stream.set_nodelay(true);
    let mut buf = vec![0; 4096];
    let mut length = 0;
    while let Ok(read @ 1..) = stream.read(&mut buf[length..]).await {
        length += read;
        if !buf[..length].ends_with(b"\r\n\r\n") {
            continue;
        }
        let body = response_body(&buf[..length], events);
        let reply = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            body.len()
        );
        let bytes = (length + reply.len()) as u64;
        length = 0;
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
        counts.requests.fetch_add(1, Ordering::Relaxed);
        counts.bytes.fetch_add(bytes, Ordering::Relaxed);
        polled.store(true, Ordering::Relaxed);
    }
}

fn response_body(req: &[u8], events: u64) -> String {
    let head = String::from_utf8_lossy(req);
    let Some((_, rest)) = head.split_once("/cache-events?after=") else {
        return LOAD_REPORT.to_owned();
    };
    let digits = rest.split(' ').next().unwrap_or_default();
    let after: u64 = digits.parse().unwrap_or(0);
    let rows: Vec<String> = (0..events)
        .map(|i| {
            let prefix = (after + i + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            format!(r#"{{"prefix":{prefix},"tokens":64,"stored":true}}"#)
        })
        .collect();
    format!(
        r#"{{"events":[{}],"next":{},"gap":false}}"#,
        rows.join(","),
        after + events
    )
}
