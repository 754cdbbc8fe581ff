//! Upstreams that say how many rejections a second they bear.

mod platform_support;

use std::time::Duration;

use hyper::{Method, StatusCode};
use platform_support::{Installation, ServerAction, document};
use tokio::time::{Instant, sleep};

#[tokio::test]
async fn a_brittle_upstream_that_rejects_a_request_gets_no_more_for_a_while() {
    let installation = Installation::start(1, |_, seen| match seen.path.as_str() {
        "/once/full" => ServerAction::NotExecutedWith(vec![("server-brittle", "1")]),
        _ => ServerAction::RespondWith(vec![("server-brittle", "1")]),
    })
    .await;
    installation.publish(&document(1)).await;
    let begun = Instant::now();
    for i in 0..20 {
        let id = format!("r{i}");
        let res = installation.send(Method::POST, "/once/full", &id, "").await;
        assert_eq!(res.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(res.headers.contains_key("retry-after"));
    }
    assert!(begun.elapsed() < Duration::from_secs(1));
    assert_eq!(installation.log.requests().len(), 1);
    // The longest pause is half as long again as four seconds.
    sleep(Duration::from_secs(6)).await;
    let res = installation
        .send(Method::POST, "/once/x", "later", "")
        .await;
    assert_eq!(res.status, StatusCode::OK);
}

#[tokio::test]
async fn a_statement_that_is_no_number_changes_nothing() {
    let installation = Installation::start(1, |_, seen| match seen.path.as_str() {
        "/once/x" => ServerAction::NotExecutedWith(vec![("server-brittle", "very")]),
        _ => ServerAction::Respond(StatusCode::OK, Vec::new()),
    })
    .await;
    installation.publish(&document(1)).await;
    for i in 0..5 {
        let id = format!("r{i}");
        installation.send(Method::POST, "/once/x", &id, "").await;
    }
    assert_eq!(installation.log.requests().len(), 5);
}
