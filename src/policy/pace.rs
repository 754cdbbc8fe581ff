//! What an upstream takes well. See docs/design/PACES.md.

use std::time::Duration;

/// What a request may expect of the best upstream that can get it now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outlook {
    /// Time until the first byte of the answer.
    pub first: Duration,
    /// Longest pause between two events of a stream; zero for other answers.
    pub pause: Duration,
    /// Time for which the request keeps the upstream from other work, in seconds of that upstream.
    pub work_seconds: f64,
}
