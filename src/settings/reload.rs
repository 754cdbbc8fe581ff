//! Reloads the settings on SIGHUP or when the file has changed.

use std::{path::PathBuf, sync::Arc, time::Duration};

use anyhow::Context;
use tokio::{
    signal::unix::{Signal, SignalKind, signal},
    sync::watch,
    time::{MissedTickBehavior, interval},
};

use super::Settings;

/// Time between two checks of the file for changes, since it may change without a signal.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Watches the newest valid settings.
pub type SettingsWatch = watch::Receiver<Arc<Settings>>;

/// Reloads a settings file while the process runs.
#[derive(Debug)]
pub struct Reloader {
    file: PathBuf,
    hangup: Signal,
    /// Content of the file when it was last loaded.
    last_text: String,
    tx: watch::Sender<Arc<Settings>>,
}

impl Reloader {
    /// Creates a reloader for a file whose settings were already read.
    ///
    /// # Errors
    ///
    /// Fails if no handler for SIGHUP can be installed.
    pub fn new(file: PathBuf, settings: Arc<Settings>) -> anyhow::Result<(Self, SettingsWatch)> {
        let hangup = signal(SignalKind::hangup()).context("could not listen for SIGHUP")?;
        let (tx, rx) = watch::channel(settings);
        let mut reloader = Self {
            file,
            hangup,
            last_text: String::new(),
            tx,
        };
        reloader.last_text = reloader.read_text().unwrap_or_default();
        Ok((reloader, rx))
    }

    /// Reloads the file on each signal or change, for as long as the process runs.
    pub async fn run(mut self) {
        let mut tick = interval(FILE_POLL_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let is_signalled = tokio::select! {
                _ = tick.tick() => false,
                is_signalled = self.hangup.recv() => is_signalled.is_some(),
            };
            let Some(text) = self.read_text() else {
                continue;
            };
            if text == self.last_text && !is_signalled {
                continue;
            }
            self.last_text = text;
            self.reload();
        }
    }

    fn read_text(&self) -> Option<String> {
        match std::fs::read_to_string(&self.file) {
            Ok(text) => Some(text),
            Err(e) => {
                // The file may just be being replaced; the next check will find it.
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
            Err(e) => {
                log::warn!("settings: reload failed; the previous settings stay in effect: {e}.")
            }
        }
    }
}
