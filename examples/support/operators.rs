//! Operator requests, sent to whichever controller leads.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, ensure};
use flamingocroft::{
    domain::Intent,
    operator::{ConfirmRequest, Confirmed, Plan, Status},
};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout};

use super::{
    http::{Call, Response, send},
    shape::OPERATOR_TOKEN,
};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Longer than a confirm may wait for gateways. A frozen controller never responds.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request to each controller in turn until one responds with success, as only the leader
/// does.
pub async fn call_leader<T: DeserializeOwned>(
    controllers: &[SocketAddr],
    call: &Call,
) -> anyhow::Result<T> {
    let start = Instant::now();
    loop {
        let mut last_error = String::from("no controller runs");
        for controller in controllers {
            match send_with_timeout(*controller, call).await {
                Ok(answer) if answer.status.is_success() => return answer.json(),
                Ok(answer) => last_error = format!("status {}: {}", answer.status, answer.text()),
                Err(e) => last_error = format!("{e:#}"),
            }
        }
        ensure!(
            start.elapsed() < READY_TIMEOUT,
            "no leader answered: {last_error}"
        );
        sleep(POLL_INTERVAL).await;
    }
}

async fn send_with_timeout(controller: SocketAddr, call: &Call) -> anyhow::Result<Response> {
    timeout(RESPONSE_TIMEOUT, send(controller, call))
        .await
        .context("no answer")?
}

/// Returns the leader's status.
pub async fn status(controllers: &[SocketAddr]) -> anyhow::Result<Status> {
    call_leader(controllers, &Call::get("/v1/status", OPERATOR_TOKEN)).await
}

/// Plans and confirms an intent.
pub async fn confirm(
    controllers: &[SocketAddr],
    intent: &Intent,
) -> anyhow::Result<(Plan, Confirmed)> {
    let call = Call::post("/v1/plan", OPERATOR_TOKEN, intent);
    let plan: Plan = call_leader(controllers, &call).await?;
    let req = ConfirmRequest {
        operation: plan.operation,
        base_revision: plan.base_revision,
        intent: plan.intent.clone(),
    };
    let call = Call::post("/v1/confirm", OPERATOR_TOKEN, &req);
    let confirmed = call_leader(controllers, &call).await?;
    Ok((plan, confirmed))
}

/// Waits until a gateway serves.
pub async fn wait_ready(gateway: SocketAddr) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let last_error = match send(gateway, &Call::get("/readyz", "")).await {
            Ok(answer) if answer.status.is_success() => return Ok(()),
            Ok(answer) => answer.text(),
            Err(e) => format!("{e:#}"),
        };
        ensure!(
            start.elapsed() < READY_TIMEOUT,
            "{gateway} is not ready: {last_error}"
        );
        sleep(POLL_INTERVAL).await;
    }
}
