//! Cuts a body of server-sent events into the data of each event.

use bytes::{Buf, Bytes, BytesMut};

/// Largest event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Collects pieces of a body and gives out whole events.
#[derive(Debug, Default)]
pub(super) struct SseDecoder {
    buf: BytesMut,
    data: Vec<u8>,
    has_data: bool,
}

/// An event is larger than any of the protocol.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventTooLarge;

impl SseDecoder {
    /// Adds a piece of the body.
    pub(super) fn push(&mut self, piece: &[u8]) {
        self.buf.extend_from_slice(piece);
    }

    /// Returns the data of the next event, once it is there whole.
    pub(super) fn next(&mut self) -> Result<Option<Bytes>, EventTooLarge> {
        while let Some(end) = self.buf.iter().position(|byte| *byte == b'\n') {
            let line = self.buf.split_to(end);
            self.buf.advance(1);
            if let Some(data) = self.read_line(line.strip_suffix(b"\r").unwrap_or(&line)) {
                return Ok(Some(data));
            }
        }
        if self.buf.len() + self.data.len() > MAX_EVENT_BYTES {
            return Err(EventTooLarge);
        }
        Ok(None)
    }

    /// Reads a line; an empty one ends an event.
    fn read_line(&mut self, line: &[u8]) -> Option<Bytes> {
        if line.is_empty() {
            let had_data = std::mem::take(&mut self.has_data);
            return had_data.then(|| std::mem::take(&mut self.data).into());
        }
        let data = line.strip_prefix(b"data:")?;
        if self.has_data {
            self.data.push(b'\n');
        }
        self.has_data = true;
        self.data
            .extend_from_slice(data.strip_prefix(b" ").unwrap_or(data));
        None
    }
}
