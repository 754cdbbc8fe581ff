//! Upstreams that limit the requests per second that they accept from all gateways together.

mod metric_text;
mod platform_support;

use hyper::{Method, StatusCode};
use metric_text::value;
use platform_support::{Installation, ServerAction, document};

#[tokio::test]
async fn responses_that_state_a_limit_are_counted() {
    let installation = Installation::start(1, |_, seen| match seen.path.as_str() {
        "/safe/limited" => ServerAction::RespondWith(vec![("server-limit", "2.5")]),
        "/safe/unreadable" => ServerAction::RespondWith(vec![("server-limit", "few")]),
        _ => ServerAction::Respond(StatusCode::OK, b"done".to_vec()),
    })
    .await;
    installation.publish(&document(1)).await;
    for path in ["/safe/x", "/safe/unreadable", "/safe/limited"] {
        let res = installation.send(Method::GET, path, path, "").await;
        assert_eq!(res.status, StatusCode::OK, "{path}");
    }
    let text = installation.metrics[1].render();
    assert_eq!(value(&text, "ingress_upstream_limits_total"), 2.0);
}
