//! Log lines on standard output, one JSON object each. docs/OPERATIONS.md lists the fields.
//!
//! Log lines go to a bounded buffer that a separate thread writes out, so a stalled reader never blocks
//! a request. Lines that do not fit in the buffer are dropped; their number is logged. Each call site
//! is rate limited to a number of lines per second, which is ten times higher for warnings and errors.

use std::{
    collections::HashMap,
    io::{self, Write},
    mem,
    sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use flexi_logger::{DeferredNow, FlexiLoggerError, Logger, LoggerHandle, writers::LogWriter};
use log::{
    Level, Record,
    kv::{Key, Value, VisitSource},
};
use serde_json::{Map, Value as Json};

/// The log level if `RUST_LOG` is not set.
const DEFAULT_LEVEL: &str = "info";
/// Largest number of bytes that wait to be written.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;
/// Time for which lines are collected before they are written in one batch, which saves wake-ups.
const BATCH_DELAY: Duration = Duration::from_millis(50);
/// Lines that one call site may write per second at the levels below warning.
const MAX_LINES_PER_SECOND: u32 = 100;
/// Lines that one call site may write per second as warnings or errors. Failed requests are logged at
/// these levels.
const MAX_WARNING_LINES_PER_SECOND: u32 = 1000;
/// Longest wait for buffered lines to be written when the process exits.
const SHUTDOWN_FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// Keeps logging active. Dropping it writes the buffered lines, within a time limit.
pub struct LogGuard {
    handle: LoggerHandle,
    buffer: Arc<LogBuffer>,
    writer: Option<JoinHandle<()>>,
}

/// Starts logging to standard output.
///
/// # Errors
///
/// Fails if `RUST_LOG` cannot be parsed or a logger is already installed.
pub fn start_logging() -> Result<LogGuard, FlexiLoggerError> {
    let buffer = Arc::new(LogBuffer::default());
    let writer = {
        let buffer = Arc::clone(&buffer);
        thread::spawn(move || write_until_closed(&buffer, &mut io::stdout()))
    };
    let handle = Logger::try_with_env_or_str(DEFAULT_LEVEL)?
        .log_to_writer(Box::new(BufferedWriter(Arc::clone(&buffer))))
        .start()?;
    Ok(LogGuard {
        handle,
        buffer,
        writer: Some(writer),
    })
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.handle.flush();
        self.buffer.state().is_closed = true;
        self.buffer.not_empty.notify_all();
        let deadline = Instant::now() + SHUTDOWN_FLUSH_TIMEOUT;
        // A stalled reader must not block the exit of the process.
        while self
            .writer
            .as_ref()
            .is_some_and(|writer| !writer.is_finished())
        {
            if Instant::now() > deadline {
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Buffer between the threads that log and the thread that writes.
#[derive(Default)]
struct LogBuffer {
    state: Mutex<BufferState>,
    not_empty: Condvar,
}

#[derive(Default)]
struct BufferState {
    lines: Vec<u8>,
    dropped: u64,
    is_closed: bool,
    /// Start of the current one-second window of the rate limit.
    window_start: Option<Instant>,
    /// Lines written and lines suppressed in this window, by call site (file and line).
    call_sites: HashMap<(&'static str, u32), (u32, u64)>,
}

impl LogBuffer {
    fn state(&self) -> MutexGuard<'_, BufferState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &Json) {
        let mut state = self.state();
        state.push(line);
        drop(state);
        self.not_empty.notify_one();
    }
}

impl BufferState {
    fn push(&mut self, line: &Json) {
        let text = line.to_string();
        if self.lines.len() + text.len() + 1 > MAX_BUFFERED_BYTES {
            self.dropped += 1;
            return;
        }
        self.lines.extend_from_slice(text.as_bytes());
        self.lines.push(b'\n');
    }

    /// Returns whether the rate limit lets a call site write one more line in this window.
    fn admit(&mut self, record: &Record<'_>, now: Instant) -> bool {
        let is_over = |start| now.duration_since(start) >= Duration::from_secs(1);
        if self.window_start.is_none_or(is_over) {
            self.window_start = Some(now);
            self.report_suppressed();
        }
        let max_lines = match record.level() {
            Level::Error | Level::Warn => MAX_WARNING_LINES_PER_SECOND,
            Level::Info | Level::Debug | Level::Trace => MAX_LINES_PER_SECOND,
        };
        let call_site = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or_default(),
        );
        let (written, suppressed) = self.call_sites.entry(call_site).or_default();
        if *written >= max_lines {
            *suppressed += 1;
            return false;
        }
        *written += 1;
        true
    }

    fn report_suppressed(&mut self) {
        for ((file, at), (_, suppressed)) in mem::take(&mut self.call_sites) {
            if suppressed > 0 {
                self.push(&serde_json::json!({
                    "level": "info",
                    "message": "log: lines of one place were left out",
                    "place": format!("{file}:{at}"),
                    "count": suppressed,
                }));
            }
        }
    }
}

struct BufferedWriter(Arc<LogBuffer>);

impl LogWriter for BufferedWriter {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if !self.0.state().admit(record, Instant::now()) {
            return Ok(());
        }
        let mut fields = Map::new();
        fields.insert("time".into(), now.format_rfc3339().into());
        let level = record.level().as_str().to_ascii_lowercase();
        fields.insert("level".into(), level.into());
        fields.insert("message".into(), record.args().to_string().into());
        let visited = record.key_values().visit(&mut FieldCollector(&mut fields));
        if let Err(e) = visited {
            fields.insert("fields_error".into(), e.to_string().into());
        }
        self.0.push(&Json::Object(fields));
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// Collects the key-value pairs of a log record as JSON fields.
struct FieldCollector<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let json = value
            .to_u64()
            .map(Json::from)
            .or_else(|| value.to_i64().map(Json::from))
            .or_else(|| value.to_f64().map(Json::from))
            .or_else(|| value.to_bool().map(Json::from))
            .unwrap_or_else(|| value.to_string().into());
        self.0.insert(key.to_string(), json);
        Ok(())
    }
}

/// Writes buffered lines until the buffer is closed or a write fails.
fn write_until_closed(buffer: &LogBuffer, out: &mut impl Write) {
    loop {
        let mut state = buffer.state();
        while state.lines.is_empty() && !state.is_closed {
            let waited = buffer.not_empty.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        if !state.is_closed {
            drop(state);
            thread::sleep(BATCH_DELAY);
            state = buffer.state();
        }
        let lines = mem::take(&mut state.lines);
        let dropped = mem::take(&mut state.dropped);
        let is_closed = state.is_closed;
        if dropped > 0 {
            state.push(&serde_json::json!({
                "level": "warn",
                "message": "log: lines found no room and were dropped",
                "count": dropped,
            }));
        }
        drop(state);
        // If standard output is closed, there is nowhere to report the error.
        let written = out.write_all(&lines).and_then(|()| out.flush());
        if is_closed || written.is_err() {
            return;
        }
    }
}
