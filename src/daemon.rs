//! The daemon: reads its settings, connects the ports to their adapters, and runs one role until a
//! signal stops it.

use std::{net::SocketAddr, path::PathBuf, sync::Arc};

use anyhow::Context;
use clap::Parser;
use tokio::{
    net::TcpListener,
    signal::unix::{SignalKind, signal},
};
use tokio_util::sync::CancellationToken;

use crate::{
    RunningRole,
    adapters::{HttpCloud, HttpUpstreams, SystemClock, TcpDialer},
    controller, gateway, ingress, platform,
    ports::Ports,
    settings::{Ingress, Reloader, Role, Settings, SettingsWatch},
    telemetry::{self, Metrics},
};

/// Serves callers as a gateway or keeps the state as a controller, as its settings say.
#[derive(Debug, Parser)]
#[command(name = "flamingocroftd", version)]
pub struct Daemon {
    /// The settings file, JSON with comments.
    #[arg(long, value_name = "FILE", env = platform::SETTINGS_VARIABLE)]
    settings: PathBuf,
}

impl Daemon {
    /// Runs until SIGTERM or SIGINT, then shuts down gracefully.
    ///
    /// # Errors
    ///
    /// Fails if the settings are invalid, or the role cannot start or fails.
    pub async fn run(self) -> anyhow::Result<()> {
        let settings = Arc::new(Settings::read(&self.settings)?);
        let _logger = telemetry::start_logging().context("could not start logging")?;
        log::info!(
            event = "daemon.starts", role:% = settings.role, name = &*settings.name,
            zone = settings.zone.as_str(), version = env!("CARGO_PKG_VERSION"),
            settings:% = self.settings.display();
            "daemon: starts"
        );
        let stop = CancellationToken::new();
        stop_on_signal(stop.clone())?;
        let (reloader, settings_watch) = Reloader::new(self.settings, Arc::clone(&settings))?;
        tokio::spawn(reloader.run());
        let ports = create_ports(&settings)?;
        if let Some(address) = settings.ingress.as_ref().and_then(|i| i.metrics_address) {
            let listener = bind(address).await?;
            let never_cancelled = CancellationToken::new();
            tokio::spawn(telemetry::serve_metrics(
                ports.metrics.clone(),
                listener,
                never_cancelled,
            ));
        }
        let running = match (settings.role, &settings.ingress) {
            (Role::Controller, None) => controller::start(Arc::clone(&settings), ports, stop).await,
            (Role::Gateway, None) => gateway::start(Arc::clone(&settings), ports, stop).await,
            (Role::Controller, Some(ingress)) => {
                start_publishing_controller(
                    Arc::clone(&settings),
                    settings_watch,
                    ingress,
                    ports,
                    stop,
                )
                .await
            }
            (Role::Gateway, Some(ingress)) => {
                start_ingress_gateway(Arc::clone(&settings), settings_watch, ingress, &ports, stop)
                    .await
            }
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

type DaemonPorts = Ports<HttpUpstreams, HttpCloud, SystemClock>;

/// Starts a controller that publishes routes on the users' platform.
async fn start_publishing_controller(
    settings: Arc<Settings>,
    settings_watch: SettingsWatch,
    ingress: &Ingress,
    ports: DaemonPorts,
    stop: CancellationToken,
) -> anyhow::Result<RunningRole> {
    let api = Arc::new(platform::Api::new(
        ingress.platform_address,
        &settings.timing,
    ));
    let listener = bind(ingress.address).await?;
    let started = controller::start_publishing(settings, settings_watch, ports, api, stop).await;
    let (running, publisher) = started?;
    let stop = publisher.stop_token();
    tokio::spawn(platform::serve_control(Arc::new(publisher), listener, stop));
    Ok(running)
}

/// Starts a gateway that serves published routes on the users' platform.
async fn start_ingress_gateway(
    settings: Arc<Settings>,
    settings_watch: SettingsWatch,
    ingress: &Ingress,
    ports: &DaemonPorts,
    stop: CancellationToken,
) -> anyhow::Result<RunningRole> {
    let api = Arc::new(platform::Api::new(
        ingress.platform_address,
        &settings.timing,
    ));
    let never_cancelled = CancellationToken::new();
    let (ready, directory) = (ingress.ready_address, ingress.directory_address);
    let started = ingress::start(
        settings,
        settings_watch,
        api,
        Arc::clone(&ports.clock),
        Arc::new(TcpDialer),
        &ports.metrics,
        stop,
    )
    .await;
    let (running, addresses) = started?;
    if let Some(address) = ready {
        let listener = bind(address).await?;
        let served = platform::serve_ready(addresses.clone(), listener, never_cancelled.clone());
        tokio::spawn(served);
    }
    if let Some(address) = directory {
        let listener = bind(address).await?;
        tokio::spawn(platform::serve_directory(
            addresses,
            listener,
            never_cancelled,
        ));
    }
    Ok(running)
}

async fn bind(address: SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address).await.with_context(|| {
        format!("{address} cannot be bound; choose an address of this machine that is free")
    })
}

fn create_ports(settings: &Settings) -> anyhow::Result<DaemonPorts> {
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
    let mut sigterm = signal(SignalKind::terminate()).context("could not listen for SIGTERM")?;
    let mut sigint = signal(SignalKind::interrupt()).context("could not listen for SIGINT")?;
    tokio::spawn(async move {
        tokio::select! {
            _ = sigterm.recv() => log::info!("daemon: SIGTERM received, stopping."),
            _ = sigint.recv() => log::info!("daemon: SIGINT received, stopping."),
        }
        stop.cancel();
    });
    Ok(())
}
