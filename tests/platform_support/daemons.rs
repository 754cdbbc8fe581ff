//! The installation as real processes, which tests kill, freeze and start again.

use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    time::Duration,
};

use hyper::{Method, StatusCode};
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use serde_json::Value;
use tokio::time::{Instant, sleep};

use super::{Answer, Ground, PATIENCE, Site, call};

/// A process that is killed when it is dropped.
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    log_level: String,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    pub fn start(settings: &Path) -> Self {
        Self::start_logging(settings, "info")
    }

    /// Starts it with a level of its log.
    pub fn start_logging(settings: &Path, log_level: &str) -> Self {
        let child = Command::new(env!("CARGO_BIN_EXE_flamingocroftd"))
            .arg("--settings")
            .arg(settings)
            .env("RUST_LOG", log_level)
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            settings: settings.to_owned(),
            log_level: log_level.to_owned(),
        }
    }

    /// Returns the process's id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, as a lost machine does, and waits for its end.
    pub fn kill(&mut self) {
        // A process that has ended by itself cannot be killed.
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Starts it again with the same settings and whatever its data folder holds.
    pub fn start_again(&mut self) {
        self.kill();
        *self = Self::start_logging(&self.settings.clone(), &self.log_level.clone());
    }

    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
    }

    pub fn thaw(&self) {
        self.signal(Signal::SIGCONT);
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.id() as i32), signal).unwrap();
    }
}

/// An installation of processes.
pub struct Daemons {
    pub controllers: Vec<Daemon>,
    pub gateway: Daemon,
    pub controls: Vec<SocketAddr>,
    pub folders: Vec<PathBuf>,
    pub site: Site,
}

impl Daemons {
    pub fn start(ground: Ground) -> Self {
        let controllers = ground.controller_files.iter();
        let controllers = controllers.map(|file| Daemon::start(file)).collect();
        let gateway = Daemon::start(&ground.gateway_file);
        let folders = (0..ground.controller_files.len()).map(|i| ground.data_folder(i));
        Self {
            controllers,
            gateway,
            controls: ground.controls(),
            folders: folders.collect(),
            site: ground.site(),
        }
    }

    /// Publishes a document as an operator does, at one controller after the other until it is
    /// acknowledged.
    pub async fn publish(&self, document: &Value) {
        let text = document.to_string();
        let res = ask(&self.controls, Method::POST, "/api/config/put", &text).await;
        assert_eq!(res.status, StatusCode::OK);
    }

    /// Reads the version in force.
    pub async fn version(&self) -> u64 {
        let res = ask(&self.controls, Method::GET, "/api/config/get", "").await;
        version(&res)
    }
}

/// Returns the version of a document that was read.
pub fn version(res: &Answer) -> u64 {
    let document: Value = serde_json::from_slice(res.body.as_ref().unwrap()).unwrap();
    document["Version"].as_u64().unwrap()
}

/// Asks one controller after the other, following redirects, until one answers with success.
pub async fn ask(controls: &[SocketAddr], method: Method, path: &str, body: &str) -> Answer {
    let end = Instant::now() + PATIENCE;
    let mut last = None;
    while Instant::now() < end {
        for control in controls {
            let res = ask_one(*control, method.clone(), path, body).await;
            if let Some(res) = res {
                if res.status.is_success() {
                    return res;
                }
                last = Some(res.status);
            }
        }
        sleep(Duration::from_millis(30)).await;
    }
    panic!("no controller answers {path}: {last:?}");
}

/// Asks one controller and follows a redirect.
pub async fn ask_one(
    control: SocketAddr,
    method: Method,
    path: &str,
    body: &str,
) -> Option<Answer> {
    let res = call(control, method.clone(), path, &[], body).await?;
    if res.status != StatusCode::TEMPORARY_REDIRECT {
        return Some(res);
    }
    let location = res.headers["location"].to_str().unwrap();
    let host = location.trim_start_matches("http://");
    let (host, path) = host.split_at(host.find('/').unwrap());
    call(host.parse().unwrap(), method, path, &[], body).await
}
