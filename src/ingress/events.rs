//! Cuts a stream into complete events, so that it can be taken up again after the last of them.

use bytes::{Bytes, BytesMut};

/// Largest event, in bytes; a longer one is passed on in parts and the stream can't be taken up again.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Collects pieces of a stream and gives out complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// How much of the buffer was scanned for the end of an event.
    scanned: usize,
    last_id: Option<u64>,
}

/// What is wrong with a stream that goes on after another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SplitError {
    /// An event is missing.
    #[error("event {found} came after event {last}; the stream is not passed on with a gap")]
    Gap {
        /// The last event before.
        last: u64,
        /// The event that came.
        found: u64,
    },
    /// An event is too large to be kept until it is complete.
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes")]
    TooLarge,
}

impl EventSplitter {
    /// Begins after an event that the caller has.
    pub fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Returns the last complete event's number.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Adds a piece and returns the events that are complete with it. Events that the caller has are left
    /// out.
    pub fn push(&mut self, piece: &[u8]) -> Result<Bytes, SplitError> {
        self.buf.extend_from_slice(piece);
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

    /// Drops the beginning of an event that broke off.
    pub fn discard_partial(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Returns what came after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buf.split().freeze()
    }

    /// Returns the length of the first event, with the empty line that ends it.
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

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok()?.trim().parse().ok()
    })
}
