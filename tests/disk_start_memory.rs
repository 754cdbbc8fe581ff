//! A start holds the log in memory once. In a file of its own, since the peak is that of the process.

use std::fs;

use bytes::Bytes;
use flamingocroft::{adapters::disk::LogStore, wire::Entry};

const MIB: u64 = 1024 * 1024;
const LOG_MIB: u64 = 64;

/// Returns the peak memory of this process.
fn peak_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
    let kib = line.unwrap().trim().strip_suffix("kB").unwrap();
    kib.trim().parse::<u64>().unwrap() * 1024
}

#[test]
fn a_start_holds_the_log_once() {
    let folder = tempfile::tempdir().unwrap();
    let data = Bytes::from(vec![7; MIB as usize]);
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    for index in 1..=LOG_MIB {
        let entry = Entry {
            index,
            term: 1,
            kind: 1,
            data: data.clone(),
        };
        store.persist(None, &[entry], None).unwrap();
    }
    drop(store);
    let before = peak_bytes();
    let (_store, recovered, _) = LogStore::open(folder.path()).unwrap();
    assert_eq!(recovered.entries.len() as u64, LOG_MIB);
    let grown = (peak_bytes() - before) / MIB;
    assert!(
        grown < LOG_MIB * 5 / 4,
        "a log of {LOG_MIB} MiB took {grown} MiB"
    );
}
