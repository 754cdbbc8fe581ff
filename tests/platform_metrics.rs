//! The metrics of a gateway and a controller on the users' platform.

mod metric_text;
mod platform_support;

use std::time::Duration;

use hyper::{Method, StatusCode};
use metric_text::value;
use platform_support::{Installation, ServerAction, document, wait_until};
use tokio::time::timeout;

#[tokio::test]
async fn requests_are_counted_by_class_account_and_outcome() {
    let installation = Installation::start(2, |_, seen| match seen.path.as_str() {
        "/once/reset" => ServerAction::Reset,
        "/once/failed" => ServerAction::Respond(StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
        "/resumed/x" => {
            let resumed = seen.headers.contains_key("last-event-id");
            ServerAction::Stream {
                chunks: vec![format!("id: {}\ndata: x\n\n", 1 + u64::from(resumed))],
                complete: resumed,
            }
        }
        _ => ServerAction::Respond(StatusCode::OK, b"done".to_vec()),
    })
    .await;
    installation.publish(&document(1)).await;
    let before = installation.metrics[1].render();
    for (path, status) in [
        ("/once/x", StatusCode::OK),
        ("/once/y", StatusCode::OK),
        ("/once/failed", StatusCode::INTERNAL_SERVER_ERROR),
        ("/once/reset", StatusCode::BAD_GATEWAY),
        ("/resumed/x", StatusCode::OK),
        ("/nowhere/x", StatusCode::NOT_FOUND),
    ] {
        let res = installation.send(Method::POST, path, path, "").await;
        assert_eq!(res.status, status, "{path}");
    }
    let headers = [("host", "depot.example"), ("authorization", "Bearer wrong")];
    installation.get("/safe/x", &headers).await;
    let text = installation.metrics[1].render();
    let of = |class: &str, outcome: &str| {
        let line = format!("ingress_requests_total{{class=\"{class}\",outcome=\"{outcome}\"}}");
        value(&text, &line)
    };
    assert_eq!(of("non_idempotent", "answered"), 2.0);
    assert_eq!(of("non_idempotent", "upstream_failed"), 1.0);
    assert_eq!(of("non_idempotent", "failed"), 1.0);
    assert_eq!(
        of("resumable_stream", "answered"),
        1.0,
        "a resumed stream counts once"
    );
    assert_eq!(of("none", "not_allowed"), 1.0);
    assert_eq!(of("idempotent", "not_allowed"), 1.0);
    let account = |outcome: &str| {
        let line = format!(
            "flamingocroft_requests_total{{account=\"depot\",outcome=\"{outcome}\",tier=\"none\"}}"
        );
        value(&text, &line)
    };
    assert_eq!(account("upstream_failed"), 1.0);
    assert_eq!(account("failed"), 1.0);
    assert_eq!(value(&text, "ingress_streams_resumed_total"), 1.0);
    let chosen = |text: &str| -> f64 {
        ["home", "cheaper", "all_suspect"]
            .iter()
            .map(|reason| {
                value(
                    text,
                    &format!("ingress_choices_total{{reason=\"{reason}\"}}"),
                )
            })
            .sum()
    };
    assert_eq!(
        chosen(&text) - chosen(&before),
        6.0,
        "five requests, one of them resumed"
    );
    let opened = value(&text, "ingress_connections_opened_total");
    let reused = value(&text, "ingress_connections_reused_total");
    assert_eq!(opened + reused, chosen(&text));
    assert!(value(&text, "ingress_retry_budget_left{service=\"app\"}") > 0.0);
}

#[tokio::test]
async fn an_answer_that_does_not_reach_its_caller_whole_is_not_counted_as_answered() {
    let installation = Installation::start(1, |_, seen| match seen.path.as_str() {
        "/stream/cut" => ServerAction::Stream {
            chunks: vec!["id: 1\ndata: x\n\n".into()],
            complete: false,
        },
        _ => ServerAction::StallAfter(vec!["id: 1\ndata: x\n\n".into()]),
    })
    .await;
    installation.publish(&document(1)).await;
    let before = installation.metrics[1].render();
    let stream = |text: &str, outcome: &str| {
        let line = format!("ingress_requests_total{{class=\"stream\",outcome=\"{outcome}\"}}");
        value(text, &line)
    };
    let res = installation
        .send(Method::POST, "/stream/cut", "r1", "")
        .await;
    assert!(res.body.is_err());
    let left = installation.send(Method::POST, "/stream/left", "r2", "");
    assert!(
        timeout(Duration::from_millis(500), left).await.is_err(),
        "the stream has an end"
    );
    wait_until("both ends are counted", || async {
        let text = installation.metrics[1].render();
        let counted = |outcome| stream(&text, outcome) - stream(&before, outcome);
        (counted("cut"), counted("caller_left"), counted("answered")) == (1.0, 1.0, 0.0)
    })
    .await;
}

#[tokio::test]
async fn gauges_show_the_state_of_a_gateway_and_a_controller() {
    let installation =
        Installation::start(1, |_, _| ServerAction::Respond(StatusCode::OK, Vec::new())).await;
    installation.publish(&document(7)).await;
    wait_until("the duties are held", || async {
        let text = installation.metrics[0].render();
        text.contains("controller_duty_fence{duty=\"usage reports\"}")
    })
    .await;
    let controller = installation.metrics[0].render();
    assert_eq!(value(&controller, "controller_leads"), 1.0);
    assert_eq!(value(&controller, "controller_table_version"), 7.0);
    assert_eq!(value(&controller, "controller_gateways"), 1.0);
    assert_eq!(value(&controller, "controller_upstreams"), 1.0);
    assert!(value(&controller, "flamingocroft_sync_seconds_count") > 0.0);
    let gateway = installation.metrics[1].render();
    assert_eq!(value(&gateway, "ingress_table_version"), 7.0);
    let name = installation.control_address.ip();
    assert_eq!(
        value(
            &gateway,
            &format!("ingress_leader{{controller=\"{name}\"}}")
        ),
        1.0
    );
    let silence = format!("ingress_controller_silence_seconds{{controller=\"{name}\"}}");
    assert!(value(&gateway, &silence) < 2.0);
}
