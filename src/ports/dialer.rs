//! How a process opens TCP connections to upstreams.

use std::{fmt, io, net::SocketAddr};

use futures_util::future::BoxFuture;
use tokio::net::TcpStream;

/// Opens TCP connections.
pub trait Dialer: fmt::Debug + Send + Sync + 'static {
    /// Opens a connection to an address; the caller limits the time.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or the address cannot be reached. Nothing was sent then.
    fn dial(&self, address: SocketAddr) -> BoxFuture<'_, io::Result<TcpStream>>;
}
