//! Splits a server-sent event stream into complete events, so that it can be resumed after the last one.

use bytes::{Bytes, BytesMut};

/// Maximum size of one event; a stream with a larger one fails with [`SplitError::TooLarge`].
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers chunks of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes of the buffer that were already scanned for the end of an event.
    scanned: usize,
    last_id: Option<u64>,
}

/// Tells whether a stream that passes unchanged ended after a complete event.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventBoundary {
    /// The last bytes of the stream.
    tail: [u8; 4],
    is_empty: bool,
}

impl EventBoundary {
    pub(super) fn new() -> Self {
        Self {
            tail: [0; 4],
            is_empty: true,
        }
    }

    pub(super) fn push(&mut self, chunk: &[u8]) {
        for byte in chunk.iter().skip(chunk.len().saturating_sub(4)) {
            self.tail.rotate_left(1);
            self.tail[3] = *byte;
            self.is_empty = false;
        }
    }

    pub(super) fn is_inside_event(self) -> bool {
        !self.is_empty && !self.tail.ends_with(b"\n\n") && !self.tail.ends_with(b"\r\n\r\n")
    }
}

/// Error in a stream, or in the stream that resumes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// One or more events are missing.
    #[error("event {found} followed event {last}; a stream with missing events is not relayed")]
    Gap {
        /// Identifier of the last event before the gap.
        last: u64,
        /// Identifier of the event after the gap.
        found: u64,
    },
    /// An event is too large to be buffered until it is complete.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

impl EventSplitter {
    /// Creates a splitter that continues after the last event that the caller has received.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the identifier of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds a chunk and returns the events that it completes. Events that the caller already has are
    /// dropped.
    ///
    /// # Errors
    ///
    /// Fails if events are missing in between, or if an event is too large.
    pub fn push(&mut self, chunk: &[u8]) -> Result<Bytes, SplitError> {
        self.buf.extend_from_slice(chunk);
        let mut complete = BytesMut::new();
        while let Some(end) = self.find_event_end() {
            let event = self.buf.split_to(end);
            self.scanned = 0;
            let id = event_id(&event);
            match (id, self.last_id) {
                (Some(id), Some(last)) if id <= last => continue,
                (Some(found), Some(last)) if found > last + 1 => {
                    return Err(SplitError::Gap { last, found });
                }
                (Some(id), _) => self.last_id = Some(id),
                (None, _) => {}
            }
            match complete.is_empty() {
                true => complete = event,
                false => complete.extend_from_slice(&event),
            }
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(SplitError::TooLarge);
        }
        Ok(complete.freeze())
    }

    /// Discards the partial event that was buffered when the stream broke off.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Returns whether an event has begun and is not complete.
    pub fn is_inside_event(&self) -> bool {
        self.buf.iter().any(|byte| !b"\r\n".contains(byte))
    }

    /// Returns the length of the first event, including the blank line that ends it.
    fn find_event_end(&mut self) -> Option<usize> {
        let from = self.scanned.saturating_sub(3);
        let bytes = &self.buf[from..];
        let lf = find(bytes, b"\n\n").map(|at| at + 2);
        let crlf = find(bytes, b"\r\n\r\n").map(|at| at + 4);
        self.scanned = self.buf.len();
        let end = match (lf, crlf) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(from + end)
    }
}

/// Returns whether bytes hold the blank line that ends an event.
pub(super) fn has_event_end(bytes: &[u8]) -> bool {
    find(bytes, b"\n\n").is_some() || find(bytes, b"\r\n\r\n").is_some()
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
