//! A network that can hold back bytes as a cut does: the sender's kernel has them and goes on sending. They arrive after the
//! cut, unless their sender has reset the connection. The reset itself is lost in the cut.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
};

/// Which directions are held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    Nothing,
    /// What is sent towards the target.
    Requests,
    /// Both directions.
    Both,
}

impl Held {
    fn holds_requests(self) -> bool {
        self != Self::Nothing
    }

    fn holds_answers(self) -> bool {
        self == Self::Both
    }
}

/// Forwards connections to one address. Clones are the same network.
#[derive(Clone)]
pub struct HeldLink {
    held: watch::Sender<Held>,
    /// The text from which on bytes towards the target are held back, and the directions.
    trigger: Arc<Mutex<Option<(&'static str, Held)>>>,
    /// Number of connections that their opener has reset, and that it has closed in order.
    resets: Arc<AtomicUsize>,
    closes: Arc<AtomicUsize>,
    /// What has arrived at the target.
    arrived: Arc<Mutex<Vec<u8>>>,
    address: SocketAddr,
}

impl HeldLink {
    /// Begins to forward connections to `to` from a free port of the same host.
    pub async fn start(to: SocketAddr) -> Self {
        let listener = TcpListener::bind((to.ip(), 0)).await.unwrap();
        let link = Self {
            held: watch::Sender::new(Held::Nothing),
            trigger: Arc::default(),
            resets: Arc::default(),
            closes: Arc::default(),
            arrived: Arc::default(),
            address: listener.local_addr().unwrap(),
        };
        let accepting = link.clone();
        tokio::spawn(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                tokio::spawn(accepting.clone().forward(near, to));
            }
        });
        link
    }

    /// Returns the address for connections.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    pub fn resets(&self) -> usize {
        self.resets.load(Ordering::SeqCst)
    }

    pub fn closes(&self) -> usize {
        self.closes.load(Ordering::SeqCst)
    }

    /// Returns how often a text has arrived at the target, also if that has not read it.
    pub fn arrivals(&self, text: &str) -> usize {
        let arrived = self.arrived.lock().unwrap();
        let text = text.as_bytes();
        arrived
            .windows(text.len())
            .filter(|part| *part == text)
            .count()
    }

    pub fn set(&self, held: Held) {
        self.held.send_replace(held);
    }

    /// Holds back bytes from the first ones towards the target in which a text is, these included.
    pub fn hold_from(&self, text: &'static str, held: Held) {
        *self.trigger.lock().unwrap() = Some((text, held));
    }

    /// Waits until bytes are held.
    pub async fn wait_until_held(&self) {
        let mut rx = self.held.subscribe();
        let held = rx.wait_for(|held| *held != Held::Nothing).await;
        drop(held.unwrap());
    }

    async fn forward(self, near: TcpStream, to: SocketAddr) {
        let Ok(far) = TcpStream::connect(to).await else {
            return;
        };
        // A connection of which one side is lost is never closed in order.
        SockRef::from(&far)
            .set_linger(Some(Duration::ZERO))
            .unwrap();
        let (near_read, mut near_write) = near.into_split();
        let (far_read, mut far_write) = far.into_split();
        let there = async {
            let observe = |piece: &[u8]| self.check_trigger(piece);
            let record = |piece: &[u8]| self.arrived.lock().unwrap().extend_from_slice(piece);
            let passed = self.pass(
                near_read,
                &mut far_write,
                Held::holds_requests,
                observe,
                record,
            );
            let result = passed.await;
            let count = match result {
                Ok(()) => &self.closes,
                Err(_) => &self.resets,
            };
            count.fetch_add(1, Ordering::SeqCst);
            if result.is_err() {
                self.wait_while(Held::holds_requests).await;
            }
            result
        };
        let back = self.pass(
            far_read,
            &mut near_write,
            Held::holds_answers,
            |_| {},
            |_| {},
        );
        // An error ends both directions, the end of one leaves the other open.
        if tokio::try_join!(there, back).is_err() {
            far_write.forget();
        }
    }

    fn check_trigger(&self, piece: &[u8]) {
        let mut trigger = self.trigger.lock().unwrap();
        let is_there = trigger.is_some_and(|(text, _)| {
            let text = text.as_bytes();
            piece.windows(text.len()).any(|part| part == text)
        });
        if let Some((_, held)) = trigger.take_if(|_| is_there) {
            self.set(held);
        }
    }

    async fn wait_while(&self, is_held: fn(Held) -> bool) {
        let mut rx = self.held.subscribe();
        let free = rx.wait_for(|held| !is_held(*held)).await;
        drop(free.unwrap());
    }

    /// Passes one direction on until its end. An error is a reset by its sender, which drops what is held.
    async fn pass(
        &self,
        mut from: OwnedReadHalf,
        to: &mut OwnedWriteHalf,
        is_held: fn(Held) -> bool,
        observe: impl Fn(&[u8]),
        record: impl Fn(&[u8]),
    ) -> io::Result<()> {
        let (tx, mut rx) = mpsc::unbounded_channel::<Bytes>();
        let read = async move {
            loop {
                let mut buf = BytesMut::with_capacity(64 * 1024);
                if from.read_buf(&mut buf).await? == 0 {
                    return Ok(());
                }
                observe(&buf);
                // The target may be gone.
                let _ = tx.send(buf.freeze());
            }
        };
        let write = async move {
            loop {
                let piece = rx.recv().await;
                self.wait_while(is_held).await;
                match piece {
                    Some(piece) => {
                        to.write_all(&piece).await?;
                        record(&piece);
                    }
                    None => return to.shutdown().await,
                }
            }
        };
        tokio::try_join!(read, write).map(drop)
    }
}
