//! Operators' calls, sent to whichever controller leads.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, ensure};
use flamingocroft::{
    domain::Intent,
    operator::{ConfirmRequest, Confirmed, Plan, Status},
};
use serde::de::DeserializeOwned;
use tokio::time::{Instant, sleep, timeout};

use super::{
    http::{Answer, Call, send},
    shape::OPERATOR_TOKEN,
};

const PATIENCE: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);
/// Longer than a confirm may wait for gateways; a controller that is frozen answers nothing.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a call to each controller in turn until one of them does as it is told.
pub async fn operate<T: DeserializeOwned>(
    controllers: &[SocketAddr],
    call: &Call,
) -> anyhow::Result<T> {
    let start = Instant::now();
    loop {
        let mut last = String::from("no controller runs");
        for controller in controllers {
            match answer(*controller, call).await {
                Ok(answer) if answer.status.is_success() => return answer.json(),
                Ok(answer) => last = format!("status {}: {}", answer.status, answer.text()),
                Err(e) => last = format!("{e:#}"),
            }
        }
        ensure!(start.elapsed() < PATIENCE, "no leader answered: {last}");
        sleep(POLL).await;
    }
}

async fn answer(controller: SocketAddr, call: &Call) -> anyhow::Result<Answer> {
    timeout(ANSWER_TIMEOUT, send(controller, call))
        .await
        .context("no answer")?
}

/// Returns the leader's status.
pub async fn status(controllers: &[SocketAddr]) -> anyhow::Result<Status> {
    operate(controllers, &Call::get("/v1/status", OPERATOR_TOKEN)).await
}

/// Plans and confirms an intent.
pub async fn confirm(
    controllers: &[SocketAddr],
    intent: &Intent,
) -> anyhow::Result<(Plan, Confirmed)> {
    let call = Call::post("/v1/plan", OPERATOR_TOKEN, intent);
    let plan: Plan = operate(controllers, &call).await?;
    let req = ConfirmRequest {
        operation: plan.operation,
        base_revision: plan.base_revision,
        intent: plan.intent.clone(),
    };
    let call = Call::post("/v1/confirm", OPERATOR_TOKEN, &req);
    let confirmed = operate(controllers, &call).await?;
    Ok((plan, confirmed))
}

/// Waits until a gateway serves.
pub async fn wait_ready(gateway: SocketAddr) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let last = match send(gateway, &Call::get("/readyz", "")).await {
            Ok(answer) if answer.status.is_success() => return Ok(()),
            Ok(answer) => answer.text(),
            Err(e) => format!("{e:#}"),
        };
        ensure!(start.elapsed() < PATIENCE, "{gateway} is not ready: {last}");
        sleep(POLL).await;
    }
}
