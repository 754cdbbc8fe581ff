//! Starts on a folder whose log is in several records, or that an older version wrote.

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
        membership: MembershipRecord::default(),
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

fn newest_segment(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let segments = paths.filter(|path| path.to_str().unwrap().contains("log-"));
    segments.max().unwrap()
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
