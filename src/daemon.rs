//! The daemon: reads its settings, joins the ports with their adapters, and runs one role until it
//! is told to stop.

use std::{path::PathBuf, sync::Arc};

use anyhow::Context;
use clap::Parser;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

use crate::{
    adapters::{HttpCloud, HttpUpstreams, SystemClock},
    controller, gateway,
    ports::Ports,
    settings::{Role, Settings},
    telemetry::{self, Metrics},
};

/// Serves callers as a gateway or keeps the state as a controller, as its settings say.
#[derive(Debug, Parser)]
#[command(name = "flamingocroftd", version)]
pub struct Daemon {
    /// The settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
}

impl Daemon {
    /// Runs until SIGTERM or SIGINT, then stops gracefully.
    pub async fn run(self) -> anyhow::Result<()> {
        let settings = Arc::new(Settings::read(&self.settings)?);
        let _logger = telemetry::start_logging().context("could not start logging")?;
        let stop = CancellationToken::new();
        stop_on_signal(stop.clone())?;
        let ports = ports(&settings)?;
        let running = match settings.role {
            Role::Controller => controller::start(Arc::clone(&settings), ports, stop).await,
            Role::Gateway => gateway::start(Arc::clone(&settings), ports, stop).await,
        };
        let running = running.with_context(|| format!("the {} did not start", settings.role))?;
        log::info!(
            "daemon: {} {} serves HTTP on {} and peers on {}.",
            settings.role,
            settings.name,
            running.http_address,
            running.peer_address
        );
        running.task.await.context("the role's task failed")??;
        log::info!("daemon: {} has stopped.", settings.name);
        Ok(())
    }
}

fn ports(settings: &Settings) -> anyhow::Result<Ports<HttpUpstreams, HttpCloud, SystemClock>> {
    let timing = &settings.timing;
    let cloud = settings
        .cloud_address
        .map(|address| Arc::new(HttpCloud::new(address, timing)));
    Ok(Ports {
        upstreams: Arc::new(HttpUpstreams::new(timing)),
        cloud,
        clock: Arc::new(SystemClock::new()),
        metrics: Metrics::new().context("could not set up the metrics")?,
    })
}

fn stop_on_signal(stop: CancellationToken) -> anyhow::Result<()> {
    let mut term = signal(SignalKind::terminate()).context("could not listen for SIGTERM")?;
    let mut int = signal(SignalKind::interrupt()).context("could not listen for SIGINT")?;
    tokio::spawn(async move {
        tokio::select! {
            _ = term.recv() => log::info!("daemon: SIGTERM received, stopping."),
            _ = int.recv() => log::info!("daemon: SIGINT received, stopping."),
        }
        stop.cancel();
    });
    Ok(())
}
