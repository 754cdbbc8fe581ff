//! The role `gateway`: the path of a request from a caller to an upstream and back.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::{
    Running,
    ports::{Clock, CloudApi, Ports, Upstreams},
    settings::Settings,
};

/// Starts a gateway. When the token is cancelled it leaves the address list, finishes or hands over
/// its requests and stops.
pub async fn start<U: Upstreams, C: CloudApi, T: Clock>(
    settings: Arc<Settings>,
    ports: Ports<U, C, T>,
    stop: CancellationToken,
) -> anyhow::Result<Running> {
    let _ = (settings, ports, stop);
    anyhow::bail!("the gateway is not built yet")
}
