//! When bytes last moved on a connection. A large frame on a slow network takes longer than the silence that a
//! link bears, so silence is counted in bytes and not in frames.

use std::{
    future::Future,
    io,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Instant, timeout_at},
};

/// When bytes were last read from and written to a connection.
#[derive(Debug)]
pub(super) struct Activity {
    opened: Instant,
    /// Time of the last read after `opened`, in milliseconds.
    read_ms: AtomicU64,
    /// Time of the last write after `opened`, in milliseconds.
    written_ms: AtomicU64,
}

impl Activity {
    fn new() -> Self {
        Self {
            opened: Instant::now(),
            read_ms: AtomicU64::new(0),
            written_ms: AtomicU64::new(0),
        }
    }

    /// Returns the time since a byte was read.
    pub(super) fn read_silence(&self) -> Duration {
        self.at(&self.read_ms).elapsed()
    }

    /// Returns the time since a byte was written.
    pub(super) fn write_silence(&self) -> Duration {
        self.at(&self.written_ms).elapsed()
    }

    /// Performs a write of any length.
    ///
    /// # Errors
    ///
    /// Fails with the write, or when it has written no byte for the time `limit`.
    pub(super) async fn while_writing(
        &self,
        limit: Duration,
        write: impl Future<Output = io::Result<()>>,
    ) -> io::Result<()> {
        let mut write = pin!(write);
        let begun = Instant::now();
        loop {
            let deadline = self.at(&self.written_ms).max(begun) + limit;
            if let Ok(result) = timeout_at(deadline, &mut write).await {
                return result;
            }
            if self.at(&self.written_ms).max(begun) + limit <= Instant::now() {
                return Err(io::ErrorKind::TimedOut.into());
            }
        }
    }

    fn at(&self, ms: &AtomicU64) -> Instant {
        self.opened + Duration::from_millis(ms.load(Ordering::Relaxed))
    }

    fn mark(&self, ms: &AtomicU64) {
        let now = u64::try_from(self.opened.elapsed().as_millis()).unwrap_or(u64::MAX);
        ms.store(now, Ordering::Relaxed);
    }
}

/// A byte stream that records its activity.
#[derive(Debug)]
pub(super) struct Watched<T> {
    io: T,
    activity: Arc<Activity>,
}

impl<T> Watched<T> {
    pub(super) fn new(io: T) -> Self {
        let activity = Arc::new(Activity::new());
        Self { io, activity }
    }

    pub(super) fn get_ref(&self) -> &T {
        &self.io
    }

    pub(super) fn activity(&self) -> Arc<Activity> {
        Arc::clone(&self.activity)
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Watched<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.io).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.activity.mark(&self.activity.read_ms);
        }
        polled
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Watched<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.io).poll_write(cx, buf);
        if matches!(polled, Poll::Ready(Ok(written)) if written > 0) {
            self.activity.mark(&self.activity.written_ms);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }
}
