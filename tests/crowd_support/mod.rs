//! Callers that send more than they should and stay, and the bounds that a process keeps under them.

#![allow(dead_code, reason = "each test file uses only a part")]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::{Mutex, MutexGuard},
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, timeout},
};

/// Memory of the machine in the settings of the tests, in MiB, which no process may exceed.
pub const MEMORY_MB: u64 = 64;
/// File descriptors of the machine in the settings of the tests, which no process may exceed.
pub const DESCRIPTORS: u64 = 256;
/// The largest request body that the tests allow, in bytes.
pub const MAX_BODY_BYTES: usize = 1024 * 1024;
/// Number of callers at once.
pub const CROWD: usize = 120;
/// Number of one-byte chunks that a caller sends.
const TINY_CHUNKS: usize = 150_000;
/// Longest time for which one caller sends.
const SEND_TIMEOUT: Duration = Duration::from_secs(40);
/// Pause between two pieces of a body.
const PIECE_PAUSE: Duration = Duration::from_millis(20);
const PIECES: usize = 8;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Time without a change of memory after which a process has read all that it takes.
const SETTLED_TIME: Duration = Duration::from_millis(800);
/// Change of memory that counts as none, in KiB.
const SETTLED_KIB: u64 = 256;
/// Longest wait for that.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs one test of a file at a time.
pub async fn alone() -> MutexGuard<'static, ()> {
    static PERMIT: Mutex<()> = Mutex::const_new(());
    PERMIT.lock().await
}

/// What a caller sends, after which it stays without reading.
#[derive(Clone, Copy, Debug)]
pub enum Crowd {
    /// A body of legal size, one byte short.
    Whole,
    /// The same in pieces with pauses.
    Pieces,
    /// A body of legal size in chunks of 64 KiB, without the last one.
    LargeChunks,
    /// Chunks of one byte each, without the last one.
    TinyChunks,
    /// A body over the limit, whose length is announced.
    AnnouncedOver,
    /// A body over the limit in chunks.
    SentOver,
    /// A whole request with a large answer, of which nothing is read.
    ReadsNothing,
    /// A head, byte by byte.
    SlowHead,
    /// No byte at all.
    OnlyOpens,
}

/// The kinds that send bodies.
pub const BODIES: [Crowd; 6] = [
    Crowd::Whole,
    Crowd::Pieces,
    Crowd::LargeChunks,
    Crowd::TinyChunks,
    Crowd::AnnouncedOver,
    Crowd::SentOver,
];

/// Where and as whom a crowd calls.
#[derive(Clone, Debug)]
pub struct Aim {
    pub address: SocketAddr,
    /// The request line and the headers except those of the body, each with its line end.
    pub head: String,
    /// The same for a request whose answer is large.
    pub large_answer: String,
    /// The largest body that the process takes, in bytes.
    pub max_body: usize,
}

/// Sends with `count` callers at once. Returns their open connections when all have sent what the process took.
pub async fn send_all(aim: &Aim, kinds: &[Crowd], count: usize) -> Vec<TcpStream> {
    let mut callers = JoinSet::new();
    for i in 0..count {
        let (aim, kind) = (aim.clone(), kinds[i % kinds.len()]);
        callers.spawn(async move {
            let mut stream = TcpStream::connect(aim.address).await.ok()?;
            // The process may refuse a caller, so that a write fails or is not read any more.
            let _ = timeout(SEND_TIMEOUT, send_one(&mut stream, &aim, kind)).await;
            Some(stream)
        });
    }
    callers.join_all().await.into_iter().flatten().collect()
}

async fn send_one(stream: &mut TcpStream, aim: &Aim, kind: Crowd) -> std::io::Result<()> {
    let (head, max) = (&aim.head, aim.max_body);
    let sized = |length: usize| format!("{head}Content-Length: {length}\r\n\r\n");
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    match kind {
        Crowd::Whole => {
            stream.write_all(sized(max).as_bytes()).await?;
            stream.write_all(&vec![b'b'; max - 1]).await
        }
        Crowd::Pieces => {
            stream.write_all(sized(max).as_bytes()).await?;
            for piece in vec![b'b'; max - 1].chunks(max / PIECES) {
                stream.write_all(piece).await?;
                sleep(PIECE_PAUSE).await;
            }
            Ok(())
        }
        Crowd::LargeChunks => {
            stream.write_all(chunked.as_bytes()).await?;
            send_chunks(stream, 64 * 1024, max / (64 * 1024)).await
        }
        Crowd::TinyChunks => {
            stream.write_all(chunked.as_bytes()).await?;
            send_chunks(stream, 1, TINY_CHUNKS.min(max)).await
        }
        Crowd::AnnouncedOver => {
            stream.write_all(sized(max * 16).as_bytes()).await?;
            stream.write_all(&vec![b'b'; max * 2]).await
        }
        Crowd::SentOver => {
            stream.write_all(chunked.as_bytes()).await?;
            send_chunks(stream, 64 * 1024, 2 * max / (64 * 1024)).await
        }
        Crowd::ReadsNothing => {
            let head = format!("{}Content-Length: 4\r\n\r\nbody", aim.large_answer);
            stream.write_all(head.as_bytes()).await
        }
        Crowd::SlowHead => {
            for byte in head.as_bytes() {
                stream.write_all(&[*byte]).await?;
                sleep(PIECE_PAUSE).await;
            }
            Ok(())
        }
        Crowd::OnlyOpens => Ok(()),
    }
}

/// Sends chunks of one size, some of them in each write.
async fn send_chunks(stream: &mut TcpStream, size: usize, count: usize) -> std::io::Result<()> {
    let chunk = format!("{size:x}\r\n{}\r\n", "b".repeat(size));
    let at_once = (16 * 1024 / chunk.len()).clamp(1, count);
    let many = chunk.repeat(at_once);
    for _ in 0..count / at_once {
        stream.write_all(many.as_bytes()).await?;
    }
    Ok(())
}

/// Watches the memory and the descriptors of a process from now on.
pub struct Watch {
    pid: u32,
    name: &'static str,
    descriptors: Arc<AtomicUsize>,
    sampling: JoinHandle<()>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.sampling.abort();
    }
}

impl Watch {
    pub fn start(name: &'static str, pid: u32) -> Self {
        let descriptors = Arc::new(AtomicUsize::new(0));
        let most = Arc::clone(&descriptors);
        let sampling = tokio::spawn(async move {
            loop {
                most.fetch_max(open_descriptors(pid), Ordering::Relaxed);
                sleep(SAMPLE_INTERVAL).await;
            }
        });
        Self {
            pid,
            name,
            descriptors,
            sampling,
        }
    }

    /// Waits until the process has read what its callers have sent, as far as it takes it.
    pub async fn settle(&self) {
        let end = Instant::now() + SETTLE_TIMEOUT;
        let (mut since, mut held) = (Instant::now(), self.memory("VmRSS:"));
        while since.elapsed() < SETTLED_TIME && Instant::now() < end {
            sleep(SAMPLE_INTERVAL).await;
            let now = self.memory("VmRSS:");
            if now.abs_diff(held) > SETTLED_KIB {
                (since, held) = (Instant::now(), now);
            }
        }
    }

    /// Returns a figure of the process's memory, in KiB; panics if it has ended.
    fn memory(&self, field: &str) -> u64 {
        let (name, pid) = (self.name, self.pid);
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let kib = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        kib.unwrap_or_else(|| panic!("the {name} has ended: {status}"))
    }

    /// Checks that the process lives and has kept its bounds.
    pub fn check(&self) {
        let (name, pid) = (self.name, self.pid);
        let peak = self.memory("VmHWM:");
        let descriptors = self
            .descriptors
            .load(Ordering::Relaxed)
            .max(open_descriptors(pid));
        println!("{name}: {peak} KiB at most, {descriptors} descriptors at most");
        assert!(peak <= MEMORY_MB * 1024, "the {name} held {peak} KiB");
        assert!(
            descriptors as u64 <= DESCRIPTORS,
            "the {name} had {descriptors} descriptors"
        );
    }
}

fn open_descriptors(pid: u32) -> usize {
    std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count)
}
