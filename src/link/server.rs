//! The accepting side of links.

use std::{future::Future, io, sync::Arc};

use futures_util::{SinkExt, StreamExt};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use super::{Identity, LinkSettings, PeerKey, activity::Activity, handshake};
use crate::wire::{Body, Failure, Frame, Ping};

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
        let mut connection = super::accepted_stream(stream)?;
        let handshake = handshake::accept(&mut connection, &self.key, &self.local);
        let peer = timeout(self.settings.connect_timeout, handshake)
            .await
            .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let peer = Arc::new(peer);
        let activity = connection.get_ref().activity();
        let (sink, mut stream) = connection.split();
        let (tx, rx) = mpsc::channel::<Frame>(self.settings.queue_capacity);
        let read = async {
            while let Some(frame) = stream.next().await {
                self.dispatch(&peer, frame?, &tx);
            }
            Ok(())
        };
        // Reading goes on while a large frame is written, and the reverse.
        tokio::select! {
            result = read => result,
            result = self.write(sink, rx, &activity) => result,
            e = super::wait_for_silence(&activity, &self.settings) => Err(e),
        }
    }

    async fn write(
        &self,
        mut sink: impl SinkExt<Frame, Error = io::Error> + Unpin,
        mut rx: mpsc::Receiver<Frame>,
        activity: &Activity,
    ) -> io::Result<()> {
        let limit = self.settings.silence_timeout;
        let mut ping_timer = tokio::time::interval(self.settings.ping_interval);
        loop {
            let frame = tokio::select! {
                Some(frame) = rx.recv() => frame,
                // The peer's own pings may be stuck behind a large frame that it is sending.
                _ = ping_timer.tick() => match activity.write_silence() < self.settings.ping_interval {
                    true => continue,
                    false => Frame { body: Some(Body::Ping(Ping {})), ..Frame::default() },
                },
            };
            let write = async {
                sink.feed(frame).await?;
                while let Ok(more) = rx.try_recv() {
                    sink.feed(more).await?;
                }
                sink.flush().await
            };
            activity.while_writing(limit, write).await?;
        }
    }

    fn dispatch(&self, peer: &Arc<Peer>, frame: Frame, tx: &mpsc::Sender<Frame>) {
        let Some(body) = frame.body else {
            refuse_unknown(peer, &frame, tx);
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

/// Tells the peer that its request is not known here, so that it does not wait for a reply.
fn refuse_unknown(peer: &Peer, frame: &Frame, tx: &mpsc::Sender<Frame>) {
    if frame.reply || frame.correlation == 0 {
        return;
    }
    log::debug!("link: {} sent a request that is not known here.", peer.name);
    let failure = Failure {
        message: "this process does not know the request; start the newest version of it"
            .to_owned(),
    };
    // A full queue means that the peer reads too slowly; its call then ends by its deadline.
    let _ = tx.try_send(Frame {
        correlation: frame.correlation,
        reply: true,
        body: Some(Body::Failure(failure)),
    });
}
