//! Keeps the frames that pass between processes, as they were on the wire.

use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use bytes::Bytes;
use flamingocroft::wire::{Body, Frame, MAX_FRAME_BYTES};
use futures_util::{SinkExt, StreamExt};
use prost::Message;
use tokio::net::{
    TcpListener, TcpStream,
    tcp::{OwnedReadHalf, OwnedWriteHalf},
};
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

/// Size above which a frame is not kept, in bytes.
const MAX_KEPT_BYTES: usize = 4 * 1024;

/// Returns the name of a frame's message, or `None` if the current code knows no such message.
pub fn frame_kind(frame: &Frame) -> Option<String> {
    let body = frame.body.as_ref()?;
    let text = match body {
        Body::Replica(message) => format!("Replica.{:?}", message.payload.as_ref()?),
        other => format!("{other:?}"),
    };
    text.split_once('(').map(|(kind, _)| kind.to_owned())
}

/// Returns the codec of the frames' lengths.
pub fn length_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}

/// Keeps the largest small frame of each kind. Clones share what is kept.
#[derive(Clone, Debug, Default)]
pub struct WireRecorder {
    kept: Arc<Mutex<BTreeMap<String, Bytes>>>,
    /// Where gateways are to be reached instead of at the addresses that they tell.
    moved: Arc<Mutex<HashMap<String, SocketAddr>>>,
}

impl WireRecorder {
    /// Accepts connections at one address and forwards them to another. Returns the first one.
    pub async fn forward(&self, at: SocketAddr, to: SocketAddr) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(at).await?;
        let address = listener.local_addr()?;
        let recorder = self.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(recorder.clone().join(near, to));
            }
        });
        Ok(address)
    }

    /// Lets other gateways reach a gateway through this recorder.
    pub async fn move_gateway(&self, gateway: SocketAddr) -> std::io::Result<()> {
        let address = self
            .forward(SocketAddr::new(gateway.ip(), 0), gateway)
            .await?;
        lock(&self.moved).insert(gateway.to_string(), address);
        Ok(())
    }

    /// Returns the kept frames by kind.
    pub fn kept(&self) -> BTreeMap<String, Bytes> {
        lock(&self.kept).clone()
    }

    async fn join(self, near: TcpStream, to: SocketAddr) {
        let Ok(far) = TcpStream::connect(to).await else {
            return;
        };
        let ((near_rx, near_tx), (far_rx, far_tx)) = (near.into_split(), far.into_split());
        tokio::select! {
            () = self.pass(near_rx, far_tx) => {}
            () = self.pass(far_rx, near_tx) => {}
        }
    }

    async fn pass(&self, from: OwnedReadHalf, to: OwnedWriteHalf) {
        let mut from = FramedRead::new(from, length_codec());
        let mut to = FramedWrite::new(to, length_codec());
        while let Some(Ok(bytes)) = from.next().await {
            let bytes = self.keep(bytes.freeze());
            if to.send(bytes).await.is_err() {
                return;
            }
        }
    }

    /// Keeps a frame and returns the one to be sent on, which differs only in the address of a gateway.
    fn keep(&self, bytes: Bytes) -> Bytes {
        let decoded = Frame::decode(bytes.clone()).ok();
        let kind = decoded.as_ref().and_then(frame_kind);
        let kind = kind.unwrap_or_else(|| "unknown".to_owned());
        if bytes.len() <= MAX_KEPT_BYTES {
            let mut kept = lock(&self.kept);
            let held = kept.entry(kind).or_default();
            if bytes.len() > held.len() {
                held.clone_from(&bytes);
            }
        }
        decoded
            .and_then(|frame| self.change_address(frame))
            .map_or(bytes, |frame| frame.encode_to_vec().into())
    }

    /// Returns the frame with another address if it tells that of a gateway.
    fn change_address(&self, mut frame: Frame) -> Option<Frame> {
        let Some(Body::Heartbeat(heartbeat)) = &mut frame.body else {
            return None;
        };
        let gateway = heartbeat.gateway.as_mut()?;
        let moved = lock(&self.moved).get(&gateway.peer_address).copied();
        gateway.peer_address = moved?.to_string();
        Some(frame)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
