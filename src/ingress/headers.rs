//! HTTP header handling that does not depend on the platform.

use hyper::{
    HeaderMap, Request, StatusCode,
    header::{self, HeaderName},
};

/// Hop-by-hop headers, which are not forwarded.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Returns whether a status promises that the request has not run and never will.
pub(super) fn means_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the host that a request addresses.
pub(super) fn host<B>(req: &Request<B>) -> Option<&str> {
    match req.headers().get(header::HOST) {
        Some(host) => host.to_str().ok(),
        None => req.uri().host(),
    }
}

/// Removes the hop-by-hop headers, including those that `Connection` names.
pub(super) fn without_connection_headers(mut headers: HeaderMap) -> HeaderMap {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
    headers
}
