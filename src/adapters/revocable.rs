//! TCP connections whose unsent bytes can be taken back.
//!
//! The kernel goes on sending what it has taken after its process has given it up, closed the connection or ended. A connection
//! of this module is reset when it ends within an exchange, whichever way the process ends, and the kernel drops what it
//! has not delivered. See docs/DESIGN.md, "What was given up does not arrive".

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, Waker},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use super::tcp::TCP_USER_TIMEOUT;
use crate::ports::SendRight;

/// Steps of the kernel's time limit, so that most exchanges on a connection need no further system call to set it.
const TIMEOUT_STEP: Duration = Duration::from_millis(250);

/// What is on its way over a connection, shared by its stream and its user.
#[derive(Clone, Debug, Default)]
pub struct Sending(Arc<Mutex<State>>);

#[derive(Debug, Default)]
struct State {
    /// Whether an exchange is open, so that the connection is reset if it ends now.
    is_open: bool,
    /// The right under which the request is written; `None` if it may be written for any time.
    right: Option<Arc<dyn SendRight>>,
    /// Whether the kernel's time limit is that of an earlier right.
    is_stale: bool,
    /// The task that waits to close the connection in order.
    closer: Option<Waker>,
}

impl Sending {
    /// Begins an exchange whose request may be sent while the right lasts.
    pub fn begin(&self, right: Arc<dyn SendRight>) {
        let mut state = self.lock();
        state.is_open = true;
        state.right = Some(right);
        state.is_stale = true;
    }

    /// Marks that the peer answers a request of which a part is still to be sent: it may read the rest at any time.
    pub fn lift_limit(&self) {
        let mut state = self.lock();
        state.is_stale |= state.right.take().is_some();
    }

    /// Marks that nothing is owed any more: the connection is closed in order, and the kernel sends what it has.
    pub fn settle(&self) {
        let mut state = self.lock();
        state.is_open = false;
        state.is_stale |= state.right.take().is_some();
        let closer = state.closer.take();
        drop(state);
        if let Some(closer) = closer {
            closer.wake();
        }
    }

    /// Marks that what was sent is given up, so that the end of the connection resets it.
    pub fn revoke(&self) {
        self.lock().is_open = true;
    }

    /// Returns how much longer the request may be sent, if that is limited.
    pub fn time_left(&self) -> Option<Duration> {
        let state = self.lock();
        state.right.as_ref().map(|right| right.time_left())
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP connection that is reset if it ends within an exchange.
#[derive(Debug)]
pub(crate) struct RevocableStream {
    io: TcpStream,
    sending: Sending,
    /// The kernel's limit for bytes that are not acknowledged.
    user_timeout: Duration,
}

impl RevocableStream {
    /// Wraps a connection. One over which exchanges with a limited right go has [`TCP_USER_TIMEOUT`] set.
    ///
    /// # Errors
    ///
    /// Fails if the kernel does not take the option.
    pub(crate) fn new(io: TcpStream) -> io::Result<Self> {
        // Set at once, because a process that is killed can set nothing.
        SockRef::from(&io).set_linger(Some(Duration::ZERO))?;
        Ok(Self {
            io,
            sending: Sending::default(),
            user_timeout: TCP_USER_TIMEOUT,
        })
    }

    /// Returns the handle through which the connection's user says what it has sent.
    pub(crate) fn sending(&self) -> Sending {
        self.sending.clone()
    }

    /// Fails if the right to send is lost, and limits how long the kernel sends what it takes now.
    fn prepare_write(&mut self) -> io::Result<()> {
        let mut state = self.sending.lock();
        let right = state.right.as_ref();
        if right.is_some_and(|right| right.time_left().is_zero()) {
            let message = "the time for the request has passed; nothing more of it is sent";
            return Err(io::Error::new(io::ErrorKind::TimedOut, message));
        }
        if state.is_stale {
            let limit = right.map_or(TCP_USER_TIMEOUT, |right| user_timeout(right.kernel_limit()));
            state.is_stale = false;
            if limit != self.user_timeout {
                SockRef::from(&self.io).set_tcp_user_timeout(Some(limit))?;
                self.user_timeout = limit;
            }
        }
        Ok(())
    }
}

/// Returns the time to set for bytes that the kernel may send for a time. Zero would mean no limit.
fn user_timeout(limit: Duration) -> Duration {
    let limit = limit.min(TCP_USER_TIMEOUT);
    let steps = (limit.as_millis() / TIMEOUT_STEP.as_millis()) as u32;
    match steps {
        0 => limit.max(Duration::from_millis(1)),
        steps => TIMEOUT_STEP * steps,
    }
}

impl Drop for RevocableStream {
    fn drop(&mut self) {
        if self.sending.lock().is_open {
            return;
        }
        if let Err(e) = SockRef::from(&self.io).set_linger(None) {
            log::debug!("tcp: a connection is reset in place of being closed: {e}.");
        }
    }
}

impl AsyncRead for RevocableStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(cx, buf)
    }
}

impl AsyncWrite for RevocableStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.io).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    /// Waits for the end of an open exchange, since an order to close in order can't be taken back. The HTTP library closes a
    /// connection once it has read a response, before the user has.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut state = self.sending.lock();
        if state.is_open {
            state.closer = Some(cx.waker().clone());
            return Poll::Pending;
        }
        drop(state);
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}
