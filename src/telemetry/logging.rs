//! Log lines on standard error: a time, a level and a short sentence with the prefix of its part.

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle};
use log::Record;

/// The level unless `RUST_LOG` says otherwise.
const DEFAULT_LEVEL: &str = "info";

/// Starts logging; dropping the handle ends it.
pub fn start_logging() -> Result<LoggerHandle, FlexiLoggerError> {
    Logger::try_with_env_or_str(DEFAULT_LEVEL)?
        .format(line)
        .log_to_stderr()
        .start()
}

fn line(w: &mut dyn std::io::Write, now: &mut DeferredNow, record: &Record) -> std::io::Result<()> {
    let time = now.format_rfc3339();
    write!(w, "{time} {} {}", record.level(), record.args())
}
