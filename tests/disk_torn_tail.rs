//! Truncating a torn tail is logged.

use std::{fs, sync::Mutex};

use flamingocroft::{adapters::disk::LogStore, wire::Entry};

struct CapturedLog(Mutex<Vec<String>>);

static CAPTURED_LOG: CapturedLog = CapturedLog(Mutex::new(Vec::new()));

impl log::Log for CapturedLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = format!("{} {}", record.level(), record.args());
        self.0.lock().unwrap().push(line);
    }

    fn flush(&self) {}
}

#[test]
fn a_truncation_is_logged_with_its_length_and_an_intact_log_is_not() {
    log::set_logger(&CAPTURED_LOG).unwrap();
    log::set_max_level(log::LevelFilter::Warn);
    let folder = tempfile::tempdir().unwrap();
    let entry = Entry {
        index: 1,
        term: 1,
        ..Entry::default()
    };
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    store.persist(None, &[entry], None).unwrap();
    drop(store);
    drop(LogStore::open(folder.path()).unwrap());
    assert!(CAPTURED_LOG.0.lock().unwrap().is_empty());
    let segment = folder.path().join("log-2");
    let mut bytes = fs::read(&segment).unwrap();
    bytes.extend([0; 17]);
    fs::write(&segment, bytes).unwrap();
    let (_, recovered, _) = LogStore::open(folder.path()).unwrap();
    assert_eq!(recovered.entries.len(), 1);
    let lines = CAPTURED_LOG.0.lock().unwrap();
    let [line] = lines.as_slice() else {
        panic!("{lines:?}");
    };
    assert!(line.starts_with("WARN disk: "), "{line}");
    assert!(line.contains(" 17 bytes "), "{line}");
}
