//! The HTTP/1.1 interface for callers. Requests are handled by warp, but connections are accepted
//! here, so that slow and oversized request heads are limited.

mod addresses;
mod body;
mod completions;
mod error;
mod parse;
mod render;
mod requests;
mod routes;
mod services;
mod stream;

use std::{io, sync::Arc, time::Duration};

use hyper::{server::conn::http1, service::service_fn};
use hyper_util::{
    rt::{TokioIo, TokioTimer},
    service::TowerToHyperService,
};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::{sync::CancellationToken, task::TaskTracker};
use warp::Filter;

use super::core::Gateway;
use crate::{
    adapters::http::call_catching_panics,
    ports::{Clock, Upstreams},
};

/// Size of the read buffer, which bounds the head of a request; the handler has a lower limit.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Time after which a connection is closed if the caller acknowledges no data or keepalive probe.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay after a failed `accept`, for example when no file descriptors are left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections until the token is cancelled, and then drains the open ones gracefully.
pub(super) async fn serve<U: Upstreams, T: Clock>(
    listener: TcpListener,
    gateway: Arc<Gateway<U, T>>,
    stop: CancellationToken,
) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stop.cancelled() => break,
        };
        match accepted {
            Ok((stream, _)) => {
                let connection = serve_connection(stream, Arc::clone(&gateway), stop.clone());
                connections.spawn(connection);
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    connections.close();
    connections.wait().await;
}

async fn serve_connection<U: Upstreams, T: Clock>(
    stream: TcpStream,
    gateway: Arc<Gateway<U, T>>,
    stop: CancellationToken,
) {
    if let Err(e) = set_socket_options(&stream) {
        log::debug!("gateway: cannot set the socket options of a caller's connection: {e}.");
    }
    let head_timeout = gateway.settings.timing.caller_timeout;
    let filter = warp::any()
        .map(move || Arc::clone(&gateway))
        .and(warp::method())
        .and(warp::path::full())
        .and(query())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(routes::handle_request);
    let service = Arc::new(TowerToHyperService::new(warp::service(filter)));
    let service = service_fn(move |req| {
        let service = Arc::clone(&service);
        async move { call_catching_panics(&*service, req, None, |_| {}).await }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(head_timeout)
        .max_buf_size(MAX_READ_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Disables Nagle's algorithm, since tokens are small and must not wait for more of them, and
/// enables keepalive and the TCP user timeout, so that a vanished caller is detected.
fn set_socket_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(TCP_USER_TIMEOUT / 2)
        .with_interval(TCP_USER_TIMEOUT / 6);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))
}

/// Extracts the query string, empty if there is none.
fn query() -> impl Filter<Extract = (String,), Error = std::convert::Infallible> + Clone {
    warp::query::raw().or(warp::any().map(String::new)).unify()
}
