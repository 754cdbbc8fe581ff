//! A complete installation on loopback in one process: stand-ins for the upstreams and the cloud,
//! controllers and gateways.

use std::{net::SocketAddr, path::Path, sync::Arc};

use flamingocroft::{
    RunningRole,
    adapters::{HttpCloud, HttpUpstreams, SystemClock},
    controller,
    domain::Intent,
    gateway,
    operator::{Confirmed, Plan, Status},
    ports::Ports,
    settings::Settings,
    telemetry::Metrics,
};
use tokio_util::sync::CancellationToken;

use super::{
    operators,
    shape::{DaemonSettings, Shape, plan_daemon_settings},
    upstreams::{Upstreams, start_upstreams},
};

/// A running daemon.
pub struct Daemon {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Its bound addresses and its task.
    pub running: RunningRole,
    /// Stops it gracefully.
    pub stop: CancellationToken,
}

/// A running installation. Dropping it stops the daemons.
pub struct Installation {
    /// The stand-ins. The cloud names them `engine-0`, `depot-0` and so on.
    pub upstreams: Upstreams,
    /// The controllers.
    pub controllers: Vec<Daemon>,
    /// The gateways.
    pub gateways: Vec<Daemon>,
    daemon_settings: DaemonSettings,
}

impl Installation {
    /// Starts all parts and waits until a leader answers. No intent is in force yet.
    pub async fn start(shape: &Shape, folder: &Path) -> anyhow::Result<Self> {
        let upstreams = start_upstreams(shape).await?;
        let daemon_settings = plan_daemon_settings(shape, folder, upstreams.cloud.address())?;
        let mut installation = Self {
            upstreams,
            controllers: Vec::new(),
            gateways: Vec::new(),
            daemon_settings,
        };
        for i in 0..installation.daemon_settings.controllers.len() {
            installation.start_controller(i).await?;
        }
        for i in 0..installation.daemon_settings.gateways.len() {
            installation.start_gateway(i).await?;
        }
        installation.status().await?;
        Ok(installation)
    }

    /// Starts or restarts a controller.
    pub async fn start_controller(&mut self, i: usize) -> anyhow::Result<()> {
        let settings = Arc::new(self.daemon_settings.controllers[i].clone());
        let stop = CancellationToken::new();
        let ports = ports(&settings)?;
        let running = controller::start(Arc::clone(&settings), ports, stop.clone()).await?;
        set_or_push(
            &mut self.controllers,
            i,
            Daemon {
                settings,
                running,
                stop,
            },
        );
        Ok(())
    }

    /// Starts or restarts a gateway.
    pub async fn start_gateway(&mut self, i: usize) -> anyhow::Result<()> {
        let settings = Arc::new(self.daemon_settings.gateways[i].clone());
        let stop = CancellationToken::new();
        let ports = ports(&settings)?;
        let running = gateway::start(Arc::clone(&settings), ports, stop.clone()).await?;
        set_or_push(
            &mut self.gateways,
            i,
            Daemon {
                settings,
                running,
                stop,
            },
        );
        Ok(())
    }

    /// Returns a gateway's address for callers.
    pub fn gateway(&self, i: usize) -> SocketAddr {
        self.gateways[i].running.http_address
    }

    /// Plans and confirms an intent, and waits until every gateway serves under it.
    pub async fn confirm(&self, intent: &Intent) -> anyhow::Result<(Plan, Confirmed)> {
        let answers = operators::confirm(&self.controllers(), intent).await?;
        self.wait_ready().await?;
        Ok(answers)
    }

    /// Returns the leader's status.
    pub async fn status(&self) -> anyhow::Result<Status> {
        operators::status(&self.controllers()).await
    }

    /// Waits until every gateway serves.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        for daemon in &self.gateways {
            operators::wait_ready(daemon.running.http_address).await?;
        }
        Ok(())
    }

    fn controllers(&self) -> Vec<SocketAddr> {
        self.controllers
            .iter()
            .map(|daemon| daemon.running.http_address)
            .collect()
    }
}

fn ports(settings: &Settings) -> anyhow::Result<Ports<HttpUpstreams, HttpCloud, SystemClock>> {
    Ok(Ports {
        upstreams: Arc::new(HttpUpstreams::new(&settings.timing)),
        cloud: settings
            .cloud_address
            .map(|address| Arc::new(HttpCloud::new(address, &settings.timing))),
        clock: Arc::new(SystemClock::new()),
        metrics: Metrics::new()?,
    })
}

fn set_or_push(daemons: &mut Vec<Daemon>, i: usize, daemon: Daemon) {
    if i < daemons.len() {
        daemons[i] = daemon;
    } else {
        daemons.push(daemon);
    }
}

impl Drop for Installation {
    fn drop(&mut self) {
        for daemon in self.controllers.iter().chain(&self.gateways) {
            daemon.stop.cancel();
        }
    }
}
