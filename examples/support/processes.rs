//! An installation whose daemons are separate processes, for failures that only processes have: they
//! are killed, stopped and continued by signals.

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
    shape::{DaemonSettings, Shape, plan_daemon_settings},
    upstreams::{Upstreams, start_upstreams},
};

const PROCESS_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A daemon in its own process, which is killed on drop.
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

    /// Returns the process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) -> anyhow::Result<()> {
        let pid = Pid::from_raw(self.child.id().try_into()?);
        kill(pid, signal).with_context(|| format!("sending {signal} to {}", self.settings.name))
    }

    /// Sends `SIGSTOP` and waits until all threads of the process are stopped.
    pub async fn freeze(&self) -> anyhow::Result<()> {
        self.signal(Signal::SIGSTOP)?;
        let start = Instant::now();
        while !is_stopped(self.pid())? {
            ensure!(
                start.elapsed() < PROCESS_TIMEOUT,
                "{} is still running",
                self.settings.name
            );
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) -> anyhow::Result<()> {
        self.child.kill()?;
        self.child.wait()?;
        Ok(())
    }

    /// Starts another program in the daemon's place after its process has ended.
    pub fn restart_as(&mut self, program: &Path) -> anyhow::Result<()> {
        self.program = program.to_owned();
        self.restart()
    }

    /// Starts the daemon again after its process has ended.
    pub fn restart(&mut self) -> anyhow::Result<()> {
        self.child = spawn(&self.program, &self.file)?;
        Ok(())
    }

    /// Waits for the process to exit.
    pub async fn wait(&mut self) -> anyhow::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            ensure!(
                start.elapsed() < PROCESS_TIMEOUT,
                "{} does not exit",
                self.settings.name
            );
            sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail if the process has already exited, which is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns whether all threads of a process are stopped.
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

/// An installation with its daemons in separate processes and the stand-ins in this one.
pub struct Processes {
    /// The stand-ins.
    pub upstreams: Upstreams,
    /// The controllers.
    pub controllers: Vec<Process>,
    /// The gateways.
    pub gateways: Vec<Process>,
}

impl Processes {
    /// Starts all parts and waits until a leader answers.
    pub async fn start(shape: &Shape, program: &Path, folder: &Path) -> anyhow::Result<Self> {
        let upstreams = start_upstreams(shape).await?;
        let daemon_settings = plan_daemon_settings(shape, folder, upstreams.cloud.address())?;
        Self::start_daemons(upstreams, &daemon_settings, program, folder).await
    }

    /// Starts daemons with these settings and waits until a leader answers.
    pub async fn start_daemons(
        upstreams: Upstreams,
        daemon_settings: &DaemonSettings,
        program: &Path,
        folder: &Path,
    ) -> anyhow::Result<Self> {
        let start = |settings: &Vec<Settings>| {
            settings
                .iter()
                .map(|s| Process::start(program, folder, s))
                .collect::<anyhow::Result<Vec<_>>>()
        };
        let processes = Self {
            upstreams,
            controllers: start(&daemon_settings.controllers)?,
            gateways: start(&daemon_settings.gateways)?,
        };
        processes.status().await?;
        Ok(processes)
    }

    /// Returns a gateway's address for callers.
    pub fn gateway(&self, i: usize) -> SocketAddr {
        self.gateways[i].settings.http_address
    }

    /// Returns the index of the leader in `controllers`.
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
