//! What shows the end of a response.

use hyper::{
    Response, Version,
    body::{Body, Incoming},
    header::{self, HeaderValue},
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

/// Lets a response whose body has no known length end with its connection, in place of chunks with an end of their own.
pub(crate) fn end_with_connection<B>(res: &mut Response<B>) {
    // hyper sends chunks unless the response is one of HTTP/1.0.
    *res.version_mut() = Version::HTTP_10;
    let close = HeaderValue::from_static("close");
    res.headers_mut().insert(header::CONNECTION, close);
}
