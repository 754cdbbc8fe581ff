//! The connecting side of a link. One task owns the connection, makes it anew when it breaks or goes
//! silent, and ends when the last [`Link`] is dropped.

use std::{collections::HashMap, io, net::SocketAddr, sync::Arc, time::Duration};

use arc_swap::ArcSwapOption;
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout},
};
use tokio_util::codec::Framed;

use super::{Identity, LinkSettings, PeerKey, codec::FrameCodec, handshake};
use crate::wire::{Body, Frame, Ping};

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// Nothing was written, so the peer cannot have acted on it.
    #[error("the link is down and nothing was sent; try another peer or wait")]
    NotSent,
    /// It was written or may have been; the peer may have acted on it.
    #[error("the peer did not answer; it may have acted, so only resend what is idempotent")]
    Unanswered,
    /// The peer answered that it has no reply.
    #[error("the peer failed: {0}")]
    Failed(String),
}

/// A handle to a link; clones share the connection.
#[derive(Clone, Debug)]
pub struct Link {
    tx: mpsc::Sender<Outgoing>,
    peer: Arc<ArcSwapOption<Identity>>,
}

#[derive(Debug)]
struct Outgoing {
    body: Body,
    reply: Option<oneshot::Sender<Result<Body, LinkError>>>,
    expires: Option<Instant>,
}

impl Link {
    /// Starts a link to an address. It connects in the background and never gives up.
    pub fn connect(
        address: SocketAddr,
        key: PeerKey,
        own: Identity,
        settings: LinkSettings,
    ) -> Self {
        let (tx, rx) = mpsc::channel(settings.queue);
        let peer = Arc::new(ArcSwapOption::empty());
        let task = LinkTask {
            address,
            key,
            own,
            settings,
            rx,
            peer: Arc::clone(&peer),
            next_correlation: 1,
        };
        tokio::spawn(task.run());
        Self { tx, peer }
    }

    /// Returns who is at the other end, or nothing while the link is down.
    pub fn peer(&self) -> Option<Arc<Identity>> {
        self.peer.load_full()
    }

    /// Sends a message and waits for its reply until the deadline.
    pub async fn call(&self, body: Body, deadline: Duration) -> Result<Body, LinkError> {
        let (reply, rx) = oneshot::channel();
        let outgoing = Outgoing {
            body,
            reply: Some(reply),
            expires: Some(Instant::now() + deadline),
        };
        if self.peer.load().is_none() || self.tx.try_send(outgoing).is_err() {
            return Err(LinkError::NotSent);
        }
        match timeout(deadline, rx).await {
            Ok(Ok(Ok(Body::Failure(failure)))) => Err(LinkError::Failed(failure.message)),
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(LinkError::Unanswered),
        }
    }

    /// Sends a message without a reply. It is dropped while the link is down or its queue is full.
    pub fn send(&self, body: Body) {
        if self.peer.load().is_none() {
            return;
        }
        let outgoing = Outgoing {
            body,
            reply: None,
            expires: None,
        };
        // A full queue means that the peer is too slow; senders repeat what matters.
        let _ = self.tx.try_send(outgoing);
    }
}

struct LinkTask {
    address: SocketAddr,
    key: PeerKey,
    own: Identity,
    settings: LinkSettings,
    rx: mpsc::Receiver<Outgoing>,
    peer: Arc<ArcSwapOption<Identity>>,
    next_correlation: u64,
}

enum Ended {
    ByOwner,
    ByFailure,
}

impl LinkTask {
    async fn run(mut self) {
        let mut delay = self.settings.reconnect_min;
        while !self.rx.is_closed() || !self.rx.is_empty() {
            let Ok(connection) = self.open().await else {
                self.refuse_waiting();
                sleep(delay).await;
                delay = (delay * 2).min(self.settings.reconnect_max);
                continue;
            };
            delay = self.settings.reconnect_min;
            let ended = self.drive(connection).await;
            self.peer.store(None);
            if matches!(ended, Ended::ByOwner) {
                return;
            }
            self.refuse_waiting();
        }
    }

    async fn open(&self) -> io::Result<handshake::Connection> {
        let attempt = async {
            let stream = TcpStream::connect(self.address).await?;
            stream.set_nodelay(true)?;
            let mut connection = Framed::new(stream, FrameCodec::new());
            let peer = handshake::connect(&mut connection, &self.key, &self.own).await?;
            self.peer.store(Some(Arc::new(peer)));
            Ok(connection)
        };
        match timeout(self.settings.connect_timeout, attempt).await {
            Ok(result) => result.inspect_err(|e| self.log_denied(e)),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn log_denied(&self, e: &io::Error) {
        if e.kind() == io::ErrorKind::PermissionDenied {
            log::warn!("link: {} cannot be authenticated: {e}.", self.address);
        }
    }

    fn refuse_waiting(&mut self) {
        while let Ok(outgoing) = self.rx.try_recv() {
            if let Some(reply) = outgoing.reply {
                let _ = reply.send(Err(LinkError::NotSent));
            }
        }
    }

    async fn drive(&mut self, connection: handshake::Connection) -> Ended {
        let (mut sink, mut stream) = connection.split();
        let mut waiting = HashMap::new();
        let mut heard = Instant::now();
        let mut tick = tokio::time::interval(self.settings.ping_after);
        loop {
            tokio::select! {
                outgoing = self.rx.recv() => {
                    let Some(outgoing) = outgoing else {
                        return Ended::ByOwner;
                    };
                    let mut last = self.feed(&mut sink, &mut waiting, outgoing).await;
                    while let (Ok(()), Ok(more)) = (&last, self.rx.try_recv()) {
                        last = self.feed(&mut sink, &mut waiting, more).await;
                    }
                    if last.is_err() || self.flush(&mut sink).await.is_err() {
                        return Ended::ByFailure;
                    }
                }
                frame = stream.next() => {
                    let Some(Ok(frame)) = frame else {
                        return Ended::ByFailure;
                    };
                    heard = Instant::now();
                    answer(&mut waiting, frame);
                }
                _ = tick.tick() => {
                    let silence = heard.elapsed();
                    if silence >= self.settings.silence_timeout {
                        log::warn!("link: {} is silent and is connected anew.", self.address);
                        return Ended::ByFailure;
                    }
                    waiting.retain(|_, call: &mut Waiting| call.expires > Instant::now());
                    let ping = Frame { body: Some(Body::Ping(Ping {})), ..Frame::default() };
                    if sink.feed(ping).await.is_err() || self.flush(&mut sink).await.is_err() {
                        return Ended::ByFailure;
                    }
                }
            }
        }
    }

    async fn feed(
        &mut self,
        sink: &mut (impl SinkExt<Frame, Error = io::Error> + Unpin),
        waiting: &mut HashMap<u64, Waiting>,
        outgoing: Outgoing,
    ) -> io::Result<()> {
        if outgoing.expires.is_some_and(|at| at <= Instant::now()) {
            return Ok(());
        }
        let mut frame = Frame {
            body: Some(outgoing.body),
            ..Frame::default()
        };
        if let Some(reply) = outgoing.reply {
            frame.correlation = self.next_correlation;
            self.next_correlation += 1;
            let expires = outgoing.expires.unwrap_or_else(Instant::now);
            waiting.insert(frame.correlation, Waiting { reply, expires });
        }
        timeout(self.settings.silence_timeout, sink.feed(frame))
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    async fn flush(
        &self,
        sink: &mut (impl SinkExt<Frame, Error = io::Error> + Unpin),
    ) -> io::Result<()> {
        timeout(self.settings.silence_timeout, sink.flush())
            .await
            .unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }
}

struct Waiting {
    reply: oneshot::Sender<Result<Body, LinkError>>,
    expires: Instant,
}

fn answer(waiting: &mut HashMap<u64, Waiting>, frame: Frame) {
    if !frame.reply {
        return;
    }
    let Some(call) = waiting.remove(&frame.correlation) else {
        // The call timed out before; its late reply belongs to nobody.
        return;
    };
    let result = frame.body.ok_or(LinkError::Unanswered);
    let _ = call.reply.send(result);
}
