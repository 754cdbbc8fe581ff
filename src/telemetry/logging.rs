//! Log lines on standard output, one JSON object each. docs/OPERATIONS.md lists the fields.
//!
//! Lines wait in a bounded buffer for a thread that writes them, so that a reader which has stopped
//! never holds up a request; what finds no room is counted and reported. Each place in the code may
//! write a bounded number of lines in a second, warnings many times more than the rest.

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

/// The level unless `RUST_LOG` says otherwise.
const DEFAULT_LEVEL: &str = "info";
/// Most bytes that wait to be written.
const BUFFER_BYTES: usize = 1024 * 1024;
/// Time in which lines gather before they are written together, which saves wake-ups.
const GATHER: Duration = Duration::from_millis(50);
/// Lines that one place in the code may write in a second.
const USUAL_LINES: u32 = 100;
/// The same for warnings and errors, among them the lines of failed requests.
const WARNING_LINES: u32 = 1000;
/// Longest wait for the last lines at the end of the process.
const LAST_LINES: Duration = Duration::from_millis(300);

/// Keeps logging going; dropping it writes the last lines.
pub struct LogGuard {
    handle: LoggerHandle,
    shared: Arc<Shared>,
    writer: Option<JoinHandle<()>>,
}

/// Starts logging to standard output.
pub fn start_logging() -> Result<LogGuard, FlexiLoggerError> {
    let shared = Arc::new(Shared::default());
    let writer = {
        let shared = Arc::clone(&shared);
        thread::spawn(move || write_all(&shared, &mut io::stdout()))
    };
    let handle = Logger::try_with_env_or_str(DEFAULT_LEVEL)?
        .log_to_writer(Box::new(Buffered(Arc::clone(&shared))))
        .start()?;
    Ok(LogGuard {
        handle,
        shared,
        writer: Some(writer),
    })
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.handle.flush();
        self.shared.state().is_closed = true;
        self.shared.filled.notify_all();
        let end = Instant::now() + LAST_LINES;
        // A reader that has stopped must not hold up the end of the process.
        while self
            .writer
            .as_ref()
            .is_some_and(|writer| !writer.is_finished())
        {
            if Instant::now() > end {
                return;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

/// Lines on their way to the writer.
#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    filled: Condvar,
}

#[derive(Default)]
struct State {
    lines: Vec<u8>,
    dropped: u64,
    is_closed: bool,
    second: Option<Instant>,
    /// Lines of this second by the place that wrote them, and how many were left out.
    places: HashMap<(&'static str, u32), (u32, u64)>,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn push(&self, line: &Json) {
        let mut state = self.state();
        state.push(line);
        drop(state);
        self.filled.notify_one();
    }
}

impl State {
    fn push(&mut self, line: &Json) {
        let text = line.to_string();
        if self.lines.len() + text.len() + 1 > BUFFER_BYTES {
            self.dropped += 1;
            return;
        }
        self.lines.extend_from_slice(text.as_bytes());
        self.lines.push(b'\n');
    }

    /// Returns whether a place may write one more line in this second.
    fn admit(&mut self, record: &Record<'_>, now: Instant) -> bool {
        let past = |second| now.duration_since(second) >= Duration::from_secs(1);
        if self.second.is_none_or(past) {
            self.second = Some(now);
            self.report_left_out();
        }
        let most = match record.level() {
            Level::Error | Level::Warn => WARNING_LINES,
            Level::Info | Level::Debug | Level::Trace => USUAL_LINES,
        };
        let place = (
            record.file_static().unwrap_or_default(),
            record.line().unwrap_or_default(),
        );
        let (written, left_out) = self.places.entry(place).or_default();
        if *written >= most {
            *left_out += 1;
            return false;
        }
        *written += 1;
        true
    }

    fn report_left_out(&mut self) {
        for ((file, at), (_, left_out)) in mem::take(&mut self.places) {
            if left_out > 0 {
                self.push(&serde_json::json!({
                    "level": "info",
                    "message": "log: lines of one place were left out",
                    "place": format!("{file}:{at}"),
                    "count": left_out,
                }));
            }
        }
    }
}

struct Buffered(Arc<Shared>);

impl LogWriter for Buffered {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if !self.0.state().admit(record, Instant::now()) {
            return Ok(());
        }
        let mut fields = Map::new();
        fields.insert("time".into(), now.format_rfc3339().into());
        let level = record.level().as_str().to_ascii_lowercase();
        fields.insert("level".into(), level.into());
        fields.insert("message".into(), record.args().to_string().into());
        let visited = record.key_values().visit(&mut Fields(&mut fields));
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

/// Takes the fields of a line over into JSON.
struct Fields<'a>(&'a mut Map<String, Json>);

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
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

/// Writes lines until logging is closed.
fn write_all(shared: &Shared, out: &mut impl Write) {
    loop {
        let mut state = shared.state();
        while state.lines.is_empty() && !state.is_closed {
            let waited = shared.filled.wait(state);
            state = waited.unwrap_or_else(PoisonError::into_inner);
        }
        if !state.is_closed {
            drop(state);
            thread::sleep(GATHER);
            state = shared.state();
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
        // Without a reader there is nowhere to report it.
        let written = out.write_all(&lines).and_then(|()| out.flush());
        if is_closed || written.is_err() {
            return;
        }
    }
}
