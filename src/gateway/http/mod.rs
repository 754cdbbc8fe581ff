//! The HTTP/1.1 interface for callers. Requests are handled by warp, but connections by [`http::serve`], so that slow and
//! oversized request heads and the number of connections are limited.

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

use std::{sync::Arc, time::Duration};

use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use warp::Filter;

use super::core::Gateway;
use crate::{
    adapters::http::{self, ServerOptions},
    policy::connections::max_connections,
    ports::{Clock, Upstreams},
};

/// Size of the read buffer of each connection, which bounds the head of a request; the handler has a lower limit.
const MAX_READ_BUFFER_BYTES: usize = 24 * 1024;

/// Time after which a connection is closed if the caller acknowledges no data or keepalive probe.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(30);

/// Accepts connections until the token is cancelled, and then drains the open ones gracefully.
pub(super) async fn serve<U: Upstreams, T: Clock>(
    listener: TcpListener,
    gateway: Arc<Gateway<U, T>>,
    stop: CancellationToken,
) {
    let machine = gateway.settings.machine.clone().unwrap_or_default();
    let timeout = gateway.settings.timing.caller_timeout;
    let options = ServerOptions {
        idle_timeout: timeout,
        head_timeout: timeout,
        max_head_bytes: MAX_READ_BUFFER_BYTES,
        max_connections: max_connections(machine.descriptors, machine.memory_mb),
        // The caller of this function limits the time.
        drain_timeout: Duration::MAX,
        tcp_user_timeout: Some(TCP_USER_TIMEOUT),
    };
    let filter = warp::any()
        .map(move || Arc::clone(&gateway))
        .and(warp::method())
        .and(warp::path::full())
        .and(query())
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(routes::handle_request);
    let service = TowerToHyperService::new(warp::service(filter));
    let options = move || options.clone();
    http::serve(listener, options, http::no_observer(), service, stop).await;
}

/// Extracts the query string, empty if there is none.
fn query() -> impl Filter<Extract = (String,), Error = std::convert::Infallible> + Clone {
    warp::query::raw().or(warp::any().map(String::new)).unify()
}
