//! Decodes a body of server-sent events into the data of each event.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Incremental decoder of server-sent events.
#[derive(Debug, Default)]
pub(super) struct SseDecoder {
    buf: BytesMut,
    data: Vec<u8>,
    has_data: bool,
}

/// Error: an event exceeds [`MAX_EVENT_BYTES`].
#[derive(Debug, PartialEq, Eq)]
pub(super) struct EventTooLarge;

impl SseDecoder {
    /// Appends a chunk of the body.
    pub(super) fn push(&mut self, chunk: &[u8]) {
        self.buf.extend_from_slice(chunk);
    }

    /// Returns the data of the next event, or `None` until it is complete.
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

    /// Processes a line. An empty line ends the event and returns its data, if it has any.
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
