//! Starts on a folder that a crash or a full disk left behind, that an older version wrote, or that is too large.

use std::{
    fs,
    path::{Path, PathBuf},
};

use bytes::Bytes;
use flamingocroft::{
    adapters::disk::{LogStore, StoreError},
    domain::MemberId,
    replication::{HardState, Recovered, Snapshot},
    wire::{Entry, MembershipRecord},
};
use prost::Message;

const MIB: usize = 1024 * 1024;

fn entry(index: u64, bytes: usize) -> Entry {
    Entry {
        index,
        term: 1,
        kind: 1,
        data: Bytes::from(vec![index as u8; bytes]),
    }
}

fn snapshot(index: u64, bytes: usize) -> Snapshot {
    Snapshot {
        index,
        term: 1,
        membership: MembershipRecord {
            voters: vec![7],
            ..MembershipRecord::default()
        },
        state: Bytes::from(vec![1; bytes]),
    }
}

fn hard_state() -> HardState {
    HardState {
        term: 1,
        vote: Some(MemberId(7)),
    }
}

fn reopen(folder: &Path) -> Recovered {
    LogStore::open(folder).unwrap().1
}

fn names(folder: &Path) -> Vec<String> {
    let files = fs::read_dir(folder).unwrap();
    let names = files.map(|file| file.unwrap().file_name().into_string().unwrap());
    let mut names: Vec<String> = names.collect();
    names.sort();
    names
}

fn newest_segment(folder: &Path) -> PathBuf {
    let names = names(folder);
    let segments = names
        .iter()
        .filter(|name| name.starts_with("log-") && !name.ends_with(".tmp"));
    folder.join(segments.max().unwrap())
}

/// Writes three entries of 1 MiB with the snapshot of the first and returns what the folder holds.
fn write_folder(folder: &Path) -> Recovered {
    let (mut store, ..) = LogStore::open(folder).unwrap();
    for index in 1..=3 {
        let vote = (index == 1).then(hard_state);
        store.persist(vote, &[entry(index, MIB)], None).unwrap();
    }
    store.persist(None, &[], Some(&snapshot(1, MIB))).unwrap();
    drop(store);
    let expected = reopen(folder);
    assert_eq!(expected.entries.len(), 2);
    expected
}

#[test]
fn a_log_that_cannot_be_written_anew_is_rewritten_in_place() {
    let folder = tempfile::tempdir().unwrap();
    let expected = write_folder(folder.path());
    let old = newest_segment(folder.path());
    let mut bytes = fs::read(&old).unwrap();
    bytes.extend([0; 17]);
    fs::write(&old, &bytes).unwrap();
    // A directory in place of the temporary file makes creating that file fail.
    let number: u64 = old
        .to_str()
        .unwrap()
        .rsplit('-')
        .next()
        .unwrap()
        .parse()
        .unwrap();
    fs::create_dir(folder.path().join(format!("log-{}.tmp", number + 1))).unwrap();
    let (mut store, recovered, _) = LogStore::open(folder.path()).unwrap();
    assert_eq!(recovered, expected);
    assert_eq!(newest_segment(folder.path()), old);
    store.persist(None, &[entry(4, 10)], None).unwrap();
    drop(store);
    let found = reopen(folder.path());
    assert_eq!(found.hard_state, expected.hard_state);
    assert_eq!(found.entries.len(), 3);
    assert_eq!(found.entries[2], entry(4, 10));
}

#[test]
fn what_a_crash_left_behind_is_removed_before_space_is_needed() {
    let folder = tempfile::tempdir().unwrap();
    let expected = write_folder(folder.path());
    let newest = newest_segment(folder.path());
    for name in ["snapshot.tmp", "log-98.tmp"] {
        fs::write(folder.path().join(name), vec![0; MIB]).unwrap();
    }
    fs::copy(&newest, folder.path().join("log-0")).unwrap();
    assert_eq!(reopen(folder.path()), expected);
    let left = names(folder.path());
    assert_eq!(
        left.len(),
        3,
        "the lock, the log and the snapshot: {left:?}"
    );
}

#[test]
fn a_start_over_the_memory_limit_names_the_remedy_in_one_line() {
    let folder = tempfile::tempdir().unwrap();
    let expected = write_folder(folder.path());
    let before = names(folder.path());
    let error = LogStore::open_within(folder.path(), Some(20 * MIB as u64)).unwrap_err();
    assert!(matches!(error, StoreError::TooLarge { .. }), "{error}");
    let text = error.to_string();
    assert!(!text.contains('\n') && !text.contains("  "), "{text}");
    assert!(text.contains("log 3 MiB, snapshot 2 MiB"), "{text}");
    assert!(
        text.contains("needs about 22 MiB") && text.contains("limit is 20 MiB"),
        "{text}"
    );
    assert!(
        text.contains("raise the memory") && text.contains("empty data folder"),
        "{text}"
    );
    assert_eq!(names(folder.path()), before);
    let opened = LogStore::open_within(folder.path(), Some(64 * MIB as u64)).unwrap();
    assert_eq!(opened.1, expected);
}

#[test]
fn a_damaged_record_of_a_rewritten_log_is_never_a_torn_tail() {
    let folder = tempfile::tempdir().unwrap();
    write_folder(folder.path());
    let path = newest_segment(folder.path());
    let bytes = fs::read(&path).unwrap();
    for at in [
        bytes.len() / 2 - 100,
        bytes.len() / 2 + 100,
        bytes.len() - 1,
    ] {
        let mut damaged = bytes.clone();
        damaged[at] ^= 1;
        fs::write(&path, &damaged).unwrap();
        let opened = LogStore::open(folder.path());
        assert!(
            matches!(opened, Err(StoreError::Damaged { .. })),
            "byte {at}"
        );
        fs::write(&path, &bytes[..at]).unwrap();
        let opened = LogStore::open(folder.path());
        assert!(
            matches!(opened, Err(StoreError::Damaged { .. })),
            "cut at {at}"
        );
    }
}

#[test]
fn a_refused_snapshot_is_retried_without_writing_the_log_anew() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    store.persist(None, &[entry(1, MIB)], None).unwrap();
    let segment = newest_segment(folder.path());
    let blocked = folder.path().join("snapshot.tmp");
    fs::create_dir(&blocked).unwrap();
    let snapshot = snapshot(1, 10);
    assert!(store.persist(None, &[], Some(&snapshot)).is_err());
    assert!(store.retry_persist(None, Some(&snapshot)).is_err());
    assert_eq!(newest_segment(folder.path()), segment);
    fs::remove_dir(&blocked).unwrap();
    store.retry_persist(None, Some(&snapshot)).unwrap();
    drop(store);
    assert_eq!(reopen(folder.path()).snapshot, snapshot);
}

/// The records of version 1 as they were first written: all entries of a rewritten segment in one record.
#[derive(Clone, PartialEq, Message)]
struct Header {
    #[prost(uint64, tag = "1")]
    version: u64,
    #[prost(uint64, tag = "2")]
    member: u64,
    #[prost(uint64, tag = "5")]
    synced_records: u64,
}

#[derive(Clone, PartialEq, Message)]
struct Batch {
    #[prost(message, repeated, tag = "2")]
    entries: Vec<Entry>,
}

fn record(sequence: u64, message: &impl Message) -> Vec<u8> {
    let payload = message.encode_to_vec();
    let length = (payload.len() as u32).to_le_bytes();
    let checked = [&sequence.to_le_bytes()[..], &length, &payload].concat();
    let crc = crc32fast::hash(&checked).to_le_bytes();
    [
        b"fcr1",
        &sequence.to_le_bytes()[..],
        &length,
        &crc,
        &payload,
    ]
    .concat()
}

#[test]
fn a_folder_whose_log_is_in_one_record_is_read() {
    let folder = tempfile::tempdir().unwrap();
    let header = Header {
        version: 1,
        member: 42,
        synced_records: 2,
    };
    let entries: Vec<Entry> = (1..=20).map(|index| entry(index, MIB)).collect();
    let later = Batch {
        entries: vec![entry(21, MIB)],
    };
    let synced = Batch {
        entries: entries.clone(),
    };
    let bytes = [record(0, &header), record(1, &synced), record(2, &later)].concat();
    fs::write(folder.path().join("log-1"), bytes).unwrap();
    let (_, recovered, member) = LogStore::open(folder.path()).unwrap();
    assert_eq!(member, MemberId(42));
    assert_eq!(recovered.entries, [entries, later.entries].concat());
    assert_eq!(reopen(folder.path()), recovered);
}
