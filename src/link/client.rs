//! The connecting side of a link. One task owns the connection, reconnects when it breaks or goes silent,
//! and ends when the last [`Link`] is dropped.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use arc_swap::ArcSwapOption;
use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::TcpStream,
    sync::{mpsc, oneshot},
    time::{Instant, sleep, timeout},
};

use super::{Identity, LinkSettings, OpenedConnection, PeerKey, activity::Activity, handshake};
use crate::{
    adapters::revocable::Sending,
    wire::{Body, Frame, Ping},
};

/// Reason why a call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LinkError {
    /// The message was not written, so the peer cannot have processed it.
    #[error("the link is down and nothing was sent; try another peer or wait")]
    NotSent,
    /// The message was or may have been written, so the peer may have processed it.
    #[error("the peer did not answer; it may have acted, so only resend what is idempotent")]
    Unanswered,
    /// The peer replied with an error, whose message this holds.
    #[error("the peer failed: {0}")]
    Failed(String),
}

/// A handle to a link. Clones share the connection.
#[derive(Clone, Debug)]
pub struct Link {
    tx: mpsc::Sender<Outgoing>,
    peer: Arc<ArcSwapOption<Identity>>,
}

#[derive(Debug)]
struct Outgoing {
    body: Body,
    reply: Option<oneshot::Sender<Result<Body, LinkError>>>,
    expires_at: Option<Instant>,
}

impl Link {
    /// Starts a link to an address. It connects in the background and retries until the link is dropped.
    pub fn connect(
        address: SocketAddr,
        key: PeerKey,
        local: Identity,
        settings: LinkSettings,
    ) -> Self {
        let (tx, rx) = mpsc::channel(settings.queue_capacity);
        let peer = Arc::new(ArcSwapOption::empty());
        let task = LinkTask {
            address,
            key,
            local,
            settings,
            rx,
            peer: Arc::clone(&peer),
            next_correlation: 1,
        };
        tokio::spawn(task.run());
        Self { tx, peer }
    }

    /// Returns the identity of the authenticated peer, or `None` while the link is down.
    pub fn peer(&self) -> Option<Arc<Identity>> {
        self.peer.load_full()
    }

    /// Sends a message and waits for its reply, at most for the time `deadline`.
    ///
    /// # Errors
    ///
    /// Fails if the link is down, its queue is full, no reply arrives in time or the peer replies with an
    /// error.
    pub async fn call(&self, body: Body, deadline: Duration) -> Result<Body, LinkError> {
        let (reply, rx) = oneshot::channel();
        let outgoing = Outgoing {
            body,
            reply: Some(reply),
            expires_at: Some(Instant::now() + deadline),
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

    /// Sends a message that has no reply. It is dropped if the link is down or its queue is full.
    pub fn send(&self, body: Body) {
        if self.peer.load().is_none() {
            return;
        }
        let outgoing = Outgoing {
            body,
            reply: None,
            expires_at: None,
        };
        // A full queue means that the peer reads too slowly. Senders repeat messages that must arrive.
        let _ = self.tx.try_send(outgoing);
    }
}

struct LinkTask {
    address: SocketAddr,
    key: PeerKey,
    local: Identity,
    settings: LinkSettings,
    rx: mpsc::Receiver<Outgoing>,
    peer: Arc<ArcSwapOption<Identity>>,
    next_correlation: u64,
}

enum ConnectionEnd {
    /// All handles to the link were dropped.
    LinkDropped,
    /// The connection broke, went silent or could not be written in time.
    Failed,
}

impl LinkTask {
    async fn run(mut self) {
        let mut delay = self.settings.reconnect_delay_min;
        while !self.rx.is_closed() || !self.rx.is_empty() {
            let Ok(connection) = self.open_connection().await else {
                self.fail_queued();
                sleep(delay).await;
                delay = (delay * 2).min(self.settings.reconnect_delay_max);
                continue;
            };
            delay = self.settings.reconnect_delay_min;
            let ended = self.run_connection(connection).await;
            self.peer.store(None);
            if matches!(ended, ConnectionEnd::LinkDropped) {
                return;
            }
            self.fail_queued();
        }
    }

    async fn open_connection(&self) -> io::Result<OpenedConnection> {
        let attempt = async {
            let stream = TcpStream::connect(self.address).await?;
            let mut connection = super::opened_stream(stream)?;
            let peer = handshake::connect(&mut connection, &self.key, &self.local).await?;
            self.peer.store(Some(Arc::new(peer)));
            Ok(connection)
        };
        match timeout(self.settings.connect_timeout, attempt).await {
            Ok(result) => result.inspect_err(|e| self.log_auth_failure(e)),
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn log_auth_failure(&self, e: &io::Error) {
        if e.kind() == io::ErrorKind::PermissionDenied {
            log::warn!("link: authentication with {} failed: {e}.", self.address);
        }
    }

    /// Fails the queued calls, none of which was written.
    fn fail_queued(&mut self) {
        while let Ok(outgoing) = self.rx.try_recv() {
            if let Some(reply) = outgoing.reply {
                let _ = reply.send(Err(LinkError::NotSent));
            }
        }
    }

    async fn run_connection(&mut self, connection: OpenedConnection) -> ConnectionEnd {
        let activity = connection.get_ref().activity();
        let sending = connection.get_ref().get_ref().sending();
        let (sink, mut stream) = connection.split();
        let pending = PendingCalls::new(sending.clone());
        let read = async {
            while let Some(Ok(frame)) = stream.next().await {
                pending.complete(frame);
            }
            ConnectionEnd::Failed
        };
        let (address, settings) = (self.address, self.settings.clone());
        // Reading goes on while a large frame is written, and the reverse.
        let end = tokio::select! {
            end = read => end,
            end = self.write(sink, &pending, &activity) => end,
            _ = super::wait_for_silence(&activity, &settings) => {
                log::warn!("link: {address} is silent and is connected anew.");
                ConnectionEnd::Failed
            }
        };
        if matches!(end, ConnectionEnd::Failed) {
            sending.revoke();
        }
        end
    }

    async fn write(
        &mut self,
        mut sink: impl SinkExt<Frame, Error = io::Error> + Unpin,
        pending: &PendingCalls,
        activity: &Activity,
    ) -> ConnectionEnd {
        let limit = self.settings.silence_timeout;
        let mut ping_timer = tokio::time::interval(self.settings.ping_interval);
        loop {
            let write = tokio::select! {
                outgoing = self.rx.recv() => {
                    let Some(outgoing) = outgoing else {
                        return ConnectionEnd::LinkDropped;
                    };
                    let write = self.write_queued(&mut sink, pending, outgoing);
                    activity.while_writing(limit, write).await
                }
                _ = ping_timer.tick() => {
                    pending.drop_expired();
                    let ping = Frame { body: Some(Body::Ping(Ping {})), ..Frame::default() };
                    activity.while_writing(limit, sink.send(ping)).await
                }
            };
            if write.is_err() {
                return ConnectionEnd::Failed;
            }
        }
    }

    /// Writes a message and those that are queued behind it.
    async fn write_queued(
        &mut self,
        sink: &mut (impl SinkExt<Frame, Error = io::Error> + Unpin),
        pending: &PendingCalls,
        first: Outgoing,
    ) -> io::Result<()> {
        self.feed_frame(sink, pending, first).await?;
        while let Ok(more) = self.rx.try_recv() {
            self.feed_frame(sink, pending, more).await?;
        }
        sink.flush().await
    }

    /// Buffers a frame without flushing. A message whose deadline has passed is dropped.
    async fn feed_frame(
        &mut self,
        sink: &mut (impl SinkExt<Frame, Error = io::Error> + Unpin),
        pending: &PendingCalls,
        outgoing: Outgoing,
    ) -> io::Result<()> {
        if outgoing.expires_at.is_some_and(|at| at <= Instant::now()) {
            return Ok(());
        }
        let mut frame = Frame {
            body: Some(outgoing.body),
            ..Frame::default()
        };
        if let Some(reply) = outgoing.reply {
            frame.correlation = self.next_correlation;
            self.next_correlation += 1;
            let expires_at = outgoing.expires_at.unwrap_or_else(Instant::now);
            pending.insert(frame.correlation, PendingCall { reply, expires_at });
        }
        sink.feed(frame).await
    }
}

/// The calls on a connection that wait for their replies, by correlation. Those that are left when the connection ends are
/// given up, so the peer must not get them later.
struct PendingCalls {
    calls: Mutex<HashMap<u64, PendingCall>>,
    sending: Sending,
}

impl Drop for PendingCalls {
    fn drop(&mut self) {
        if !self.lock().is_empty() {
            self.sending.revoke();
        }
    }
}

struct PendingCall {
    reply: oneshot::Sender<Result<Body, LinkError>>,
    expires_at: Instant,
}

impl PendingCalls {
    fn new(sending: Sending) -> Self {
        Self {
            calls: Mutex::default(),
            sending,
        }
    }

    fn insert(&self, correlation: u64, call: PendingCall) {
        self.lock().insert(correlation, call);
    }

    fn complete(&self, frame: Frame) {
        if !frame.reply {
            return;
        }
        let Some(call) = self.lock().remove(&frame.correlation) else {
            // The call has timed out, so nobody waits for this late reply.
            return;
        };
        let result = frame.body.ok_or(LinkError::Unanswered);
        let _ = call.reply.send(result);
    }

    fn drop_expired(&self) {
        let now = Instant::now();
        self.lock().retain(|_, call| call.expires_at > now);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, PendingCall>> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
