//! A whole installation on loopback in one process: stand-ins for the upstreams and the cloud,
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
    shape::{Plans, Shape, plan_settings},
    upstreams::{Upstreams, start_upstreams},
};

/// A started daemon and the way to stop it.
pub struct Daemon {
    /// Its settings.
    pub settings: Arc<Settings>,
    /// Its addresses and task.
    pub running: RunningRole,
    /// Stops it gracefully.
    pub stop: CancellationToken,
}

/// Everything that was started; dropping it stops the daemons.
pub struct Installation {
    /// The stand-ins. The cloud names them `engine-0`, `depot-0` and so on.
    pub upstreams: Upstreams,
    /// The controllers.
    pub controllers: Vec<Daemon>,
    /// The gateways.
    pub gateways: Vec<Daemon>,
    plans: Plans,
}

impl Installation {
    /// Starts everything and waits until a leader answers. No intent is in force yet.
    pub async fn start(shape: &Shape, folder: &Path) -> anyhow::Result<Self> {
        let upstreams = start_upstreams(shape).await?;
        let plans = plan_settings(shape, folder, upstreams.cloud.address())?;
        let mut installation = Self {
            upstreams,
            controllers: Vec::new(),
            gateways: Vec::new(),
            plans,
        };
        for i in 0..installation.plans.controllers.len() {
            installation.start_controller(i).await?;
        }
        for i in 0..installation.plans.gateways.len() {
            installation.start_gateway(i).await?;
        }
        installation.status().await?;
        Ok(installation)
    }

    /// Starts a controller, again or for the first time.
    pub async fn start_controller(&mut self, i: usize) -> anyhow::Result<()> {
        let settings = Arc::new(self.plans.controllers[i].clone());
        let stop = CancellationToken::new();
        let ports = ports(&settings)?;
        let running = controller::start(Arc::clone(&settings), ports, stop.clone()).await?;
        put(
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

    /// Starts a gateway, again or for the first time.
    pub async fn start_gateway(&mut self, i: usize) -> anyhow::Result<()> {
        let settings = Arc::new(self.plans.gateways[i].clone());
        let stop = CancellationToken::new();
        let ports = ports(&settings)?;
        let running = gateway::start(Arc::clone(&settings), ports, stop.clone()).await?;
        put(
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

fn put(daemons: &mut Vec<Daemon>, i: usize, daemon: Daemon) {
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
