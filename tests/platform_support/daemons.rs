//! An installation of real processes, which tests kill, suspend and restart.

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

use super::{Answer, Installation, PreparedInstallation, TEST_TIMEOUT, call};

/// A process that is killed when it is dropped.
pub struct Daemon {
    child: Child,
    settings: PathBuf,
    log_level: String,
}

/// Returns the program of the current build.
pub fn current_program() -> &'static Path {
    let Some(program) = option_env!("CARGO_BIN_EXE_flamingocroftd") else {
        unreachable!("Cargo names the program for tests only; examples name theirs")
    };
    Path::new(program)
}

/// Returns the program that `EARLIER_DAEMON` names, or else that of the current build.
pub fn earlier_program() -> PathBuf {
    let named = std::env::var_os("EARLIER_DAEMON");
    named.map_or_else(|| current_program().into(), PathBuf::from)
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Daemon {
    pub fn start(settings: &Path) -> Self {
        Self::start_with_log_level(settings, "info")
    }

    /// Starts a process with a log level.
    pub fn start_with_log_level(settings: &Path, log_level: &str) -> Self {
        Self::start_program(current_program(), settings, log_level, Stdio::null())
    }

    /// Starts a process of another build.
    pub fn start_program(
        program: &Path,
        settings: &Path,
        log_level: &str,
        output: impl Into<Stdio>,
    ) -> Self {
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .env("RUST_LOG", log_level)
            .stdout(output)
            .spawn()
            .unwrap();
        Self {
            child,
            settings: settings.to_owned(),
            log_level: log_level.to_owned(),
        }
    }

    /// Returns the process identifier.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process, as the loss of its machine would, and waits for its end.
    pub fn kill(&mut self) {
        // Killing fails if the process has already ended.
        let _ = self.child.kill();
        self.child.wait().unwrap();
    }

    /// Restarts the process with the same settings and the current contents of its data folder.
    pub fn restart(&mut self) {
        self.kill();
        *self = Self::start_with_log_level(&self.settings.clone(), &self.log_level.clone());
    }

    /// Stops the process and waits until it runs no more: the signal only asks for it.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
        let file = format!("/proc/{}/stat", self.id());
        let begun = std::time::Instant::now();
        // The state follows the program's name, which is in parentheses.
        while !std::fs::read_to_string(&file).unwrap().contains(") T ") {
            assert!(begun.elapsed() < TEST_TIMEOUT, "the process is not stopped");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM, which begins a graceful shutdown.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Sends SIGHUP, which makes the process read its settings again.
    pub fn hang_up(&self) {
        self.signal(Signal::SIGHUP);
    }

    /// Returns whether the process has ended by itself with exit code 0; panics if it ended otherwise.
    pub fn has_ended_well(&mut self) -> bool {
        let status = self.child.try_wait().unwrap();
        assert!(status.is_none_or(|status| status.success()), "{status:?}");
        status.is_some()
    }

    fn signal(&self, signal: Signal) {
        kill(Pid::from_raw(self.id() as i32), signal).unwrap();
    }
}

/// An installation whose controllers and gateway are processes.
pub struct Daemons {
    pub controllers: Vec<Daemon>,
    pub gateway: Daemon,
    pub controls: Vec<SocketAddr>,
    pub folders: Vec<PathBuf>,
    pub installation: Installation,
}

impl Daemons {
    pub fn start(prepared: PreparedInstallation) -> Self {
        let controllers = prepared.controller_files.iter();
        let controllers = controllers.map(|file| Daemon::start(file)).collect();
        let gateway = Daemon::start(&prepared.gateway_file);
        let folders = (0..prepared.controller_files.len()).map(|i| prepared.data_folder(i));
        Self {
            controllers,
            gateway,
            controls: prepared.controls(),
            folders: folders.collect(),
            installation: prepared.into_installation(),
        }
    }

    /// Publishes a document as an operator would: at one controller after the other until it is acknowledged.
    pub async fn publish(&self, document: &Value) {
        let text = document.to_string();
        let res = call_any(&self.controls, Method::POST, "/api/config/put", &text).await;
        assert_eq!(res.status, StatusCode::OK);
    }

    /// Returns the version of the document in force at the controllers.
    pub async fn document_version(&self) -> u64 {
        let res = call_any(&self.controls, Method::GET, "/api/config/get", "").await;
        version_of(&res)
    }
}

/// Returns the version of the document in a response.
pub fn version_of(res: &Answer) -> u64 {
    let document: Value = serde_json::from_slice(res.body.as_ref().unwrap()).unwrap();
    document["Version"].as_u64().unwrap()
}

/// Calls one controller after the other, following redirects, until one responds with success.
pub async fn call_any(controls: &[SocketAddr], method: Method, path: &str, body: &str) -> Answer {
    let end = Instant::now() + TEST_TIMEOUT;
    let mut last = None;
    while Instant::now() < end {
        for control in controls {
            let res = call_following_redirect(*control, method.clone(), path, body).await;
            if let Some(res) = res {
                if res.status.is_success() {
                    return res;
                }
                last = Some(res.status);
            }
        }
        sleep(Duration::from_millis(30)).await;
    }
    panic!("no controller succeeded with {path}: {last:?}");
}

/// Calls one controller and follows a redirect.
pub async fn call_following_redirect(
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
