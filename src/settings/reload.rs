//! Reads the settings again when a signal says so or when the file has changed.

use std::{path::PathBuf, sync::Arc, time::Duration};

use anyhow::Context;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use super::Settings;

/// Time between two looks at the file, which may change without a signal.
const LOOK: Duration = Duration::from_secs(1);

/// The newest settings that could be read.
pub type SettingsWatch = watch::Receiver<Arc<Settings>>;

/// Follows a settings file.
#[derive(Debug)]
pub struct Reloader {
    file: PathBuf,
    hangup: Signal,
    text: String,
    tx: watch::Sender<Arc<Settings>>,
}

impl Reloader {
    /// Begins to follow a file whose settings were read.
    pub fn new(file: PathBuf, settings: Arc<Settings>) -> anyhow::Result<(Self, SettingsWatch)> {
        let hangup = signal(SignalKind::hangup()).context("could not listen for SIGHUP")?;
        let (tx, rx) = watch::channel(settings);
        let mut reloader = Self {
            file,
            hangup,
            text: String::new(),
            tx,
        };
        reloader.text = reloader.read().unwrap_or_default();
        Ok((reloader, rx))
    }

    /// Follows the file for as long as the process runs.
    pub async fn run(mut self) {
        let mut tick = interval(LOOK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let signalled = tokio::select! {
                _ = tick.tick() => false,
                signalled = self.hangup.recv() => signalled.is_some(),
            };
            let Some(text) = self.read() else {
                continue;
            };
            if text == self.text && !signalled {
                continue;
            }
            self.text = text;
            self.reload();
        }
    }

    fn read(&self) -> Option<String> {
        match std::fs::read_to_string(&self.file) {
            Ok(text) => Some(text),
            Err(e) => {
                // The file may be replaced at this moment; the next look shows it again.
                log::debug!("settings: {} cannot be read: {e}.", self.file.display());
                None
            }
        }
    }

    fn reload(&self) {
        match Settings::read(&self.file) {
            Ok(settings) => {
                let changed = **self.tx.borrow() != settings;
                log::info!("settings: read again; changed: {changed}.");
                if changed {
                    self.tx.send_replace(Arc::new(settings));
                }
            }
            Err(e) => log::warn!("settings: the last ones stay in force: {e}."),
        }
    }
}
