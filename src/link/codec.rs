//! Framing on a byte stream: a four-byte length prefix, then the prost encoding.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::wire::{Frame, MAX_FRAME_BYTES};

/// The part of a frame that all builds read, for one whose message can't be decoded.
#[derive(Clone, PartialEq, prost::Message)]
struct FrameHead {
    #[prost(uint64, tag = "1")]
    correlation: u64,
    #[prost(bool, tag = "2")]
    reply: bool,
}

/// Encodes and decodes frames. An undecodable frame is read as one without a body: its length is known, so it must not
/// take the calls in progress and the frames after it with it. If its call can still be told, it keeps it, so that the
/// call ends at once. An oversized frame is an error, after which the connection is closed.
#[derive(Debug)]
pub(super) struct FrameCodec {
    lengths: LengthDelimitedCodec,
    /// Bytes taken from the connection.
    offset: u64,
    /// Number of undecodable frames.
    undecodable: u64,
}

impl FrameCodec {
    pub(super) fn new() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            lengths: codec,
            offset: 0,
            undecodable: 0,
        }
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = std::io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, Self::Error> {
        let before = buf.len();
        let decoded = self.lengths.decode(buf)?;
        let offset = self.offset;
        self.offset += (before - buf.len()) as u64;
        let Some(bytes) = decoded else {
            return Ok(None);
        };
        let len = bytes.len();
        let bytes = bytes.freeze();
        let frame = Frame::decode(bytes.clone()).unwrap_or_else(|e| {
            self.undecodable += 1;
            // At 1, 2, 4 and so on, so that a peer of another version can't fill the log.
            if self.undecodable.is_power_of_two() {
                log::warn!(
                    event = "link.frame_dropped", offset = offset, bytes = len,
                    undecodable = self.undecodable;
                    "link: a frame of the peer can't be decoded and is dropped, the others hold; start the same version \
                     on both sides: {e}"
                );
            }
            let head = FrameHead::decode(bytes).unwrap_or_default();
            Frame {
                correlation: head.correlation,
                reply: head.reply,
                body: None,
            }
        });
        Ok(Some(frame))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = std::io::Error;

    fn encode(&mut self, frame: Frame, buf: &mut BytesMut) -> Result<(), Self::Error> {
        self.lengths.encode(Bytes::from(frame.encode_to_vec()), buf)
    }
}
