//! Framing on a byte stream: a four-byte length prefix, then the prost encoding.

use bytes::{Bytes, BytesMut};
use prost::Message;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::wire::{Frame, MAX_FRAME_BYTES};

/// Encodes and decodes frames. An oversized or undecodable frame is an error, after which the connection
/// is closed.
#[derive(Debug)]
pub(super) struct FrameCodec(LengthDelimitedCodec);

impl FrameCodec {
    pub(super) fn new() -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self(codec)
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = std::io::Error;

    fn decode(&mut self, buf: &mut BytesMut) -> Result<Option<Frame>, Self::Error> {
        let Some(bytes) = self.0.decode(buf)? else {
            return Ok(None);
        };
        let frame = Frame::decode(bytes.freeze()).map_err(std::io::Error::other)?;
        Ok(Some(frame))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = std::io::Error;

    fn encode(&mut self, frame: Frame, buf: &mut BytesMut) -> Result<(), Self::Error> {
        self.0.encode(Bytes::from(frame.encode_to_vec()), buf)
    }
}
