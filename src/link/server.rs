//! The accepting side of links.

use std::{future::Future, io, sync::Arc};

use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::{Instant, timeout},
};
use tokio_util::{codec::Framed, sync::CancellationToken};

use super::{Identity, LinkSettings, PeerKey, codec::FrameCodec, handshake};
use crate::wire::{Body, Frame};

/// An authenticated peer.
pub type Peer = Identity;

/// Handles messages from peers.
pub trait Handler: Send + Sync + 'static {
    /// Handles a message and returns its reply, or `None` if the message has none.
    fn handle(&self, peer: &Peer, body: Body) -> impl Future<Output = Option<Body>> + Send;
}

/// Accepts links until the token is cancelled, which also closes the open ones.
pub async fn serve(
    listener: TcpListener,
    key: PeerKey,
    local: Identity,
    settings: LinkSettings,
    handler: Arc<impl Handler>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let Ok((stream, address)) = accepted else {
            // Running out of file descriptors is usually temporary; the delay avoids a busy loop.
            tokio::time::sleep(settings.reconnect_delay_min).await;
            continue;
        };
        let connection = AcceptedConnection {
            key: key.clone(),
            local: local.clone(),
            settings: settings.clone(),
            handler: Arc::clone(&handler),
        };
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                result = connection.run(stream) => {
                    if let Err(e) = result {
                        log::debug!("link: connection from {address} ended: {e}.");
                    }
                }
                () = stop.cancelled() => {}
            }
        });
    }
}

struct AcceptedConnection<H> {
    key: PeerKey,
    local: Identity,
    settings: LinkSettings,
    handler: Arc<H>,
}

impl<H: Handler> AcceptedConnection<H> {
    async fn run(self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut connection = Framed::new(stream, FrameCodec::new());
        let handshake = handshake::accept(&mut connection, &self.key, &self.local);
        let peer = timeout(self.settings.connect_timeout, handshake)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let peer = Arc::new(peer);
        let (mut sink, mut stream) = connection.split();
        let (tx, mut rx) = mpsc::channel::<Frame>(self.settings.queue_capacity);
        let mut last_received = Instant::now();
        let mut silence_timer = tokio::time::interval(self.settings.ping_interval);
        loop {
            tokio::select! {
                frame = stream.next() => {
                    let Some(frame) = frame.transpose()? else {
                        return Ok(());
                    };
                    last_received = Instant::now();
                    self.dispatch(&peer, frame, &tx);
                }
                Some(frame) = rx.recv() => {
                    sink.feed(frame).await?;
                    while let Ok(more) = rx.try_recv() {
                        sink.feed(more).await?;
                    }
                    timeout(self.settings.silence_timeout, sink.flush())
                        .await
                        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
                }
                _ = silence_timer.tick() => {
                    if last_received.elapsed() >= self.settings.silence_timeout {
                        return Err(io::ErrorKind::TimedOut.into());
                    }
                }
            }
        }
    }

    fn dispatch(&self, peer: &Arc<Peer>, frame: Frame, tx: &mpsc::Sender<Frame>) {
        let Some(body) = frame.body else {
            return;
        };
        if let Body::Ping(ping) = body {
            let _ = tx.try_send(Frame {
                body: Some(Body::Ping(ping)),
                ..Frame::default()
            });
            return;
        }
        let handler = Arc::clone(&self.handler);
        let peer = Arc::clone(peer);
        let tx = tx.clone();
        tokio::spawn(async move {
            let Some(body) = handler.handle(&peer, body).await else {
                return;
            };
            let reply = Frame {
                correlation: frame.correlation,
                reply: true,
                body: Some(body),
            };
            let _ = tx.send(reply).await;
        });
    }
}
