//! The role `controller`: drives a replica, serves operators and gateways, and issues orders.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::{
    Running,
    ports::{Clock, CloudApi, Ports, Upstreams},
    settings::Settings,
};

/// Starts a controller; it stops when the token is cancelled.
pub async fn start<U: Upstreams, C: CloudApi, T: Clock>(
    settings: Arc<Settings>,
    ports: Ports<U, C, T>,
    stop: CancellationToken,
) -> anyhow::Result<Running> {
    let _ = (settings, ports, stop);
    anyhow::bail!("the controller is not built yet")
}
