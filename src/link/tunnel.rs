//! Tunnels: a gateway that does not reach an upstream has another gateway open the connection, and both copy its bytes
//! in frames. The end of a tunnel shows whether the upstream ended the connection or something broke it off. See
//! docs/DESIGN.md, "Tunnels".

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt, future, stream};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, join, split},
    net::{TcpListener, TcpStream},
    sync::watch,
    time::{Instant, sleep, sleep_until, timeout},
};
use tokio_util::{
    io::{CopyToBytes, SinkWriter, StreamReader},
    sync::CancellationToken,
};

use super::{Identity, Peer, PeerKey, accepted_stream, handshake, opened_stream};
use crate::{
    adapters::{
        revocable::{RevocableStream, Sending},
        tcp::set_socket_options,
    },
    wire::{Body, Frame, TunnelData, TunnelEnd, TunnelOpen, TunnelOpened, TunnelRefused},
};

/// Maximum number of bytes in one frame.
const MAX_DATA_BYTES: usize = 16 * 1024;
/// Maximum time for a peer to authenticate and to say which upstream it wants.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which a peer may keep a tunnel whose upstream has ended the connection.
const ENDED_TIMEOUT: Duration = Duration::from_secs(5);
/// Time by which a request must be overdue before the carrying side gives it up, so that a peer in reach does so first.
const GIVE_UP_DELAY: Duration = Duration::from_millis(250);
/// Delay after a failed `accept`, for example when file descriptors are exhausted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Why a tunnel could not be opened. Nothing was sent to the upstream.
#[derive(Debug, thiserror::Error)]
pub enum TunnelError {
    /// The peer tried and could not reach the upstream.
    #[error("the other gateway does not reach the upstream: {0}; try another upstream")]
    Unreachable(String),
    /// The peer opens no tunnel to the upstream.
    #[error("the other gateway opens no tunnel: {reason}; ask another one")]
    Refused {
        /// Why, as it said.
        reason: String,
        /// Number of connections that it carries for others.
        carried: u32,
    },
    /// The peer could not be reached or does not speak the protocol.
    #[error("no connection to the other gateway: {0}; ask another one")]
    NoPeer(#[from] io::Error),
}

/// Opens the upstream connections of accepted tunnels.
pub trait TunnelHandler: Send + Sync + 'static {
    /// Opens a connection to the upstream that a peer asks for.
    fn connect(
        &self,
        peer: &Peer,
        open: TunnelOpen,
    ) -> impl Future<Output = Result<TcpStream, TunnelRefused>> + Send;

    /// Returns the number of connections that are carried for others now.
    fn carried(&self) -> u32;

    /// Called when an accepted tunnel has ended, with the error that broke it off.
    fn ended(&self, peer: &Peer, result: io::Result<()>);
}

/// A connection to an upstream through a peer.
pub struct Tunnel<T> {
    /// The bytes of the connection. A read fails if the tunnel breaks off before the upstream has ended the connection.
    pub io: T,
    /// Through which what was sent is taken back, at the peer as well.
    pub sending: Sending,
    /// What the peer said of its load.
    pub opened: TunnelOpened,
}

/// Opens a tunnel to an upstream through the peer at an address.
///
/// # Errors
///
/// Fails if the peer cannot be reached, refuses, or does not reach the upstream. The caller limits the time.
pub async fn open(
    peer: SocketAddr,
    key: &PeerKey,
    local: &Identity,
    target: TunnelOpen,
) -> Result<Tunnel<impl AsyncRead + AsyncWrite + Send + Unpin + 'static>, TunnelError> {
    let stream = TcpStream::connect(peer).await?;
    set_socket_options(&stream)?;
    let mut connection = opened_stream(stream)?;
    let sending = connection.get_ref().get_ref().sending();
    handshake::connect(&mut connection, key, local).await?;
    connection.send(frame(Body::TunnelOpen(target))).await?;
    let opened = match connection
        .next()
        .await
        .transpose()?
        .and_then(|frame| frame.body)
    {
        Some(Body::TunnelOpened(opened)) => opened,
        Some(Body::TunnelRefused(refused)) => {
            return Err(match refused.unreachable {
                true => TunnelError::Unreachable(refused.reason),
                false => TunnelError::Refused {
                    reason: refused.reason,
                    carried: refused.carried,
                },
            });
        }
        _ => return Err(io::Error::from(io::ErrorKind::InvalidData).into()),
    };
    let (sink, frames) = connection.split();
    let chunks = stream::unfold(Some(frames), |frames| async move {
        let mut frames = frames?;
        match frames.next().await {
            Some(Ok(Frame {
                body: Some(Body::TunnelData(data)),
                ..
            })) => Some((Ok(data.bytes), Some(frames))),
            Some(Ok(Frame {
                body: Some(Body::TunnelEnd(_)),
                ..
            })) => None,
            Some(Err(e)) => Some((Err(e), None)),
            Some(Ok(_)) | None => {
                let message = "the tunnel broke off before the upstream's end";
                let e = io::Error::new(io::ErrorKind::ConnectionReset, message);
                Some((Err(e), None))
            }
        }
    });
    let valid = sending.clone();
    let sink = sink.with(move |bytes: Bytes| {
        let valid_ms = valid.time_left().map_or(0, millis_at_least_one);
        let data = TunnelData { bytes, valid_ms };
        future::ready(Ok::<_, io::Error>(frame(Body::TunnelData(data))))
    });
    let reader = StreamReader::new(Box::pin(chunks));
    let writer = InParts(SinkWriter::new(CopyToBytes::new(sink)));
    Ok(Tunnel {
        io: join(reader, writer),
        sending,
        opened,
    })
}

fn millis_at_least_one(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX).max(1)
}

/// Writes at most [`MAX_DATA_BYTES`] at once, because each write becomes a frame, and the size of those is limited.
struct InParts<W>(W);

impl<W: AsyncWrite + Unpin> AsyncWrite for InParts<W> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let part = &buf[..buf.len().min(MAX_DATA_BYTES)];
        Pin::new(&mut self.0).poll_write(cx, part)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}

/// Accepts tunnels until the token is cancelled, which breaks off the open ones.
pub async fn serve_tunnels(
    listener: TcpListener,
    key: PeerKey,
    local: Identity,
    handler: Arc<impl TunnelHandler>,
    stop: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => return,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(e) => {
                log::warn!("link: accepting a tunnel failed: {e}.");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        let (key, local, handler) = (key.clone(), local.clone(), Arc::clone(&handler));
        tokio::spawn(stop.clone().run_until_cancelled_owned(async move {
            if let Err(e) = accept(stream, &key, &local, &*handler).await {
                log::debug!("link: a tunnel could not be opened: {e}.");
            }
        }));
    }
}

async fn accept(
    stream: TcpStream,
    key: &PeerKey,
    local: &Identity,
    handler: &impl TunnelHandler,
) -> io::Result<()> {
    set_socket_options(&stream)?;
    let mut connection = accepted_stream(stream)?;
    let opening = async {
        let peer = handshake::accept(&mut connection, key, local).await?;
        let frame = connection.next().await.transpose()?;
        match frame.and_then(|frame| frame.body) {
            Some(Body::TunnelOpen(open)) => Ok((peer, open)),
            _ => Err(io::Error::from(io::ErrorKind::InvalidData)),
        }
    };
    let (peer, open) = timeout(OPEN_TIMEOUT, opening)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    match handler.connect(&peer, open).await {
        Ok(upstream) => {
            let opened = frame(Body::TunnelOpened(TunnelOpened {
                carried: handler.carried(),
            }));
            let result = match connection.send(opened).await {
                Ok(()) => carry(connection, upstream).await,
                Err(e) => Err(e),
            };
            handler.ended(&peer, result);
            Ok(())
        }
        Err(refused) => connection.send(frame(Body::TunnelRefused(refused))).await,
    }
}

/// Copies between a peer and an upstream until the peer closes the tunnel or either side fails, which ends both. The upstream's
/// connection is closed in order only if the peer closed the tunnel in order or the upstream itself has ended it.
async fn carry(
    connection: handshake::Connection<TcpStream>,
    upstream: TcpStream,
) -> io::Result<()> {
    let upstream = RevocableStream::new(upstream)?;
    let sending = upstream.sending();
    let (mut sink, mut frames) = connection.split();
    let (mut read, mut write) = split(upstream);
    let is_writing = AtomicBool::new(false);
    let (limit, mut limit_rx) = watch::channel(None);
    let to_upstream = async {
        while let Some(frame) = frames.next().await {
            // Any other frame may have held bytes, without which those behind it must not go on.
            let Some(Body::TunnelData(data)) = frame?.body else {
                let message = "the peer sent a frame that can't be read; start the same version on both sides";
                return Err(io::Error::new(io::ErrorKind::InvalidData, message));
            };
            match data.valid_ms {
                0 => {
                    sending.lift_limit();
                    sending.revoke();
                    limit.send_replace(None);
                }
                valid_ms => {
                    let until = Instant::now() + Duration::from_millis(valid_ms.into());
                    sending.begin(Arc::new(until));
                    limit.send_replace(Some(until));
                }
            }
            is_writing.store(true, Ordering::Relaxed);
            write.write_all(&data.bytes).await?;
            is_writing.store(false, Ordering::Relaxed);
        }
        Ok(())
    };
    let to_peer = async {
        let mut buf = BytesMut::new();
        loop {
            buf.reserve(MAX_DATA_BYTES);
            if read.read_buf(&mut buf).await? == 0 {
                if is_writing.load(Ordering::Relaxed) {
                    let message =
                        "the upstream ended the connection before it had read the request";
                    return Err(io::Error::new(io::ErrorKind::ConnectionReset, message));
                }
                sink.send(frame(Body::TunnelEnd(TunnelEnd {}))).await?;
                // The peer closes the tunnel when it has read the end.
                sleep(ENDED_TIMEOUT).await;
                return Ok(());
            }
            // The upstream has the request, or answers before it has read the rest of it.
            if limit.send_replace(None).is_some() {
                sending.lift_limit();
            }
            let data = TunnelData {
                bytes: buf.split().freeze(),
                valid_ms: 0,
            };
            sink.send(frame(Body::TunnelData(data))).await?;
        }
    };
    // The peer may be out of reach, so that it cannot take its bytes back.
    let given_up = async {
        loop {
            let until = *limit_rx.borrow_and_update();
            let passed = async {
                match until {
                    Some(until) => sleep_until(until + GIVE_UP_DELAY).await,
                    None => future::pending().await,
                }
            };
            tokio::select! {
                () = passed => {
                    let message = "the upstream did not answer in the time that the peer gave it";
                    return io::Error::new(io::ErrorKind::TimedOut, message);
                }
                // The sender lives as long as this future.
                _ = limit_rx.changed() => {}
            }
        }
    };
    let result = tokio::select! {
        result = to_upstream => result,
        result = to_peer => result,
        e = given_up => Err(e),
    };
    if result.is_ok() {
        sending.settle();
    }
    result
}

fn frame(body: Body) -> Frame {
    Frame {
        body: Some(body),
        ..Frame::default()
    }
}
