//! What shows the end of a response.

use hyper::{
    body::{Body, Incoming},
    header,
    http::response::Parts,
};

/// What shows the end of an upstream's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// A length, which hyper checks, or a response that has no body.
    Length,
    /// Chunks, the last of which hyper expects.
    Chunks,
    /// Only the end of the connection, which looks the same if the upstream crashed.
    Connection,
}

impl Framing {
    /// Returns the framing of a response.
    pub(crate) fn of(head: &Parts, body: &Incoming) -> Self {
        if body.size_hint().exact().is_some() {
            return Self::Length;
        }
        match head.headers.contains_key(header::TRANSFER_ENCODING) {
            true => Self::Chunks,
            false => Self::Connection,
        }
    }
}
