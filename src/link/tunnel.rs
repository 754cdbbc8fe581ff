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
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, join},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};
use tokio_util::{
    io::{CopyToBytes, SinkWriter, StreamReader},
    sync::CancellationToken,
};

use super::{Identity, Peer, PeerKey, frame_stream, handshake};
use crate::{
    adapters::tcp::set_socket_options,
    wire::{Body, Frame, TunnelData, TunnelEnd, TunnelOpen, TunnelOpened, TunnelRefused},
};

/// Maximum number of bytes in one frame.
const MAX_DATA_BYTES: usize = 16 * 1024;
/// Maximum time for a peer to authenticate and to say which upstream it wants.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1000);
/// Time for which a peer may keep a tunnel whose upstream has ended the connection.
const ENDED_TIMEOUT: Duration = Duration::from_secs(5);
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

/// Opens a tunnel to an upstream through the peer at an address. Its bytes are those of a connection to the upstream; a read
/// fails if the tunnel breaks off before the upstream has ended the connection. Also returns what the peer said of its load.
///
/// # Errors
///
/// Fails if the peer cannot be reached, refuses, or does not reach the upstream. The caller limits the time.
pub async fn open(
    peer: SocketAddr,
    key: &PeerKey,
    local: &Identity,
    target: TunnelOpen,
) -> Result<
    (
        impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
        TunnelOpened,
    ),
    TunnelError,
> {
    let stream = TcpStream::connect(peer).await?;
    set_socket_options(&stream)?;
    let mut connection = frame_stream(stream)?;
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
    let sink = sink.with(|bytes: Bytes| {
        future::ready(Ok::<_, io::Error>(frame(Body::TunnelData(TunnelData {
            bytes,
        }))))
    });
    let reader = StreamReader::new(Box::pin(chunks));
    let writer = InParts(SinkWriter::new(CopyToBytes::new(sink)));
    Ok((join(reader, writer), opened))
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
    let mut connection = frame_stream(stream)?;
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

/// Copies between a peer and an upstream until the peer closes the tunnel or either side fails, which closes both.
async fn carry(connection: handshake::Connection, upstream: TcpStream) -> io::Result<()> {
    let (mut sink, mut frames) = connection.split();
    let (mut read, mut write) = upstream.into_split();
    let is_writing = AtomicBool::new(false);
    let to_upstream = async {
        while let Some(frame) = frames.next().await {
            // Any other frame may have held bytes, without which those behind it must not go on.
            let Some(Body::TunnelData(data)) = frame?.body else {
                let message = "the peer sent a frame that can't be read; start the same version on both sides";
                return Err(io::Error::new(io::ErrorKind::InvalidData, message));
            };
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
            let bytes = buf.split().freeze();
            sink.send(frame(Body::TunnelData(TunnelData { bytes })))
                .await?;
        }
    };
    tokio::select! {
        result = to_upstream => result,
        result = to_peer => result,
    }
}

fn frame(body: Body) -> Frame {
    Frame {
        body: Some(body),
        ..Frame::default()
    }
}
