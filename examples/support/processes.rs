//! An installation whose daemons are separate processes, for failures that only a process can have:
//! it is killed, stopped and continued by signals.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    time::Duration,
};

use anyhow::{Context, ensure};
use flamingocroft::{
    domain::Intent,
    operator::{Confirmed, Status},
    settings::Settings,
};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use tokio::time::{Instant, sleep};

use super::{
    operators,
    shape::{Shape, plan_settings},
    upstreams::{Upstreams, start_upstreams},
};

const PATIENCE: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

/// A daemon in a process of its own; dropping it kills the process.
pub struct Process {
    /// Its settings.
    pub settings: Settings,
    file: PathBuf,
    program: PathBuf,
    child: Child,
}

impl Process {
    fn start(program: &Path, folder: &Path, settings: &Settings) -> anyhow::Result<Self> {
        let file = folder.join(format!("{}.jsonc", settings.name));
        let text = serde_json::to_string_pretty(settings)?;
        std::fs::write(&file, text).context("writing a settings file")?;
        let child = spawn(program, &file)?;
        Ok(Self {
            settings: settings.clone(),
            file,
            program: program.to_owned(),
            child,
        })
    }

    /// Returns the process's id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = Pid::from_raw(self.child.id().try_into()?);
        kill(pid, signal).with_context(|| format!("sending {signal} to {}", self.settings.name))
    }

    /// Stops the process and waits until none of its threads runs any more.
    pub async fn freeze(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGSTOP)?;
        let start = Instant::now();
        while !is_stopped(self.pid())? {
            ensure!(start.elapsed() < PATIENCE, "{} goes on", self.settings.name);
            sleep(POLL).await;
        }
        Ok(())
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts the daemon again after its process has ended.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.child = spawn(&self.program, &self.file)?;
        Ok(())
    }

    /// Waits for the process to end by itself.
    pub async fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            ensure!(
                start.elapsed() < PATIENCE,
                "{} does not end",
                self.settings.name
            );
            sleep(POLL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended before; then there is nothing to do.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Reads whether all threads of a process are stopped.
fn is_stopped(pid: u32) -> anyhow::Result<bool> {
    for thread in std::fs::read_dir(format!("/proc/{pid}/task"))? {
        let stat = std::fs::read_to_string(thread?.path().join("stat"))?;
        let (_, state) = stat.rsplit_once(") ").context("no name in the stat")?;
        if !state.starts_with('T') {
            return Ok(false);
        }
    }
    Ok(true)
}

fn spawn(program: &Path, file: &Path) -> anyhow::Result<Child> {
    let log = std::fs::File::options()
        .create(true)
        .append(true)
        .open(file.with_extension("log"))?;
    Command::new(program)
        .arg("--settings")
        .arg(file)
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .with_context(|| format!("starting {}", program.display()))
}

/// Daemons in processes, upstreams and the cloud in this one.
pub struct Processes {
    /// The stand-ins.
    pub upstreams: Upstreams,
    /// The controllers.
    pub controllers: Vec<Process>,
    /// The gateways.
    pub gateways: Vec<Process>,
}

impl Processes {
    /// Starts everything and waits until a leader answers.
    pub async fn start(shape: &Shape, program: &Path, folder: &Path) -> anyhow::Result<Self> {
        let upstreams = start_upstreams(shape).await?;
        let plans = plan_settings(shape, folder, upstreams.cloud.address())?;
        let start = |settings: &Vec<Settings>| {
            settings
                .iter()
                .map(|s| Process::start(program, folder, s))
                .collect::<anyhow::Result<Vec<_>>>()
        };
        let processes = Self {
            upstreams,
            controllers: start(&plans.controllers)?,
            gateways: start(&plans.gateways)?,
        };
        processes.status().await?;
        Ok(processes)
    }

    /// Returns a gateway's address for callers.
    pub fn gateway(&self, i: usize) -> SocketAddr {
        self.gateways[i].settings.http_address
    }

    /// Returns the position of the leader.
    pub async fn leader(&self) -> anyhow::Result<usize> {
        let status = self.status().await?;
        self.controllers
            .iter()
            .position(|c| c.settings.name == status.controller)
            .context("the leader is none of the controllers")
    }

    /// Returns the leader's status.
    pub async fn status(&self) -> anyhow::Result<Status> {
        operators::status(&self.controllers()).await
    }

    /// Plans and confirms an intent.
    pub async fn confirm(&self, intent: &Intent) -> anyhow::Result<Confirmed> {
        let (_, confirmed) = operators::confirm(&self.controllers(), intent).await?;
        Ok(confirmed)
    }

    /// Waits until every gateway serves.
    pub async fn wait_ready(&self) -> anyhow::Result<()> {
        for gateway in &self.gateways {
            operators::wait_ready(gateway.settings.http_address).await?;
        }
        Ok(())
    }

    fn controllers(&self) -> Vec<SocketAddr> {
        self.controllers
            .iter()
            .map(|controller| controller.settings.http_address)
            .collect()
    }
}
