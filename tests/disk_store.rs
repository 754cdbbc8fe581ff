//! The log store: persisted data is recovered, damage is detected, and after a failed write nothing more is
//! acknowledged.

use std::{
    fs, io,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use flamingocroft::{
    adapters::disk::{LogFile, LogStore, StoreError},
    domain::MemberId,
    replication::{HardState, Recovered, Snapshot},
    wire::{Entry, MembershipRecord},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

fn entry(index: u64, term: u64) -> Entry {
    Entry {
        index,
        term,
        kind: 1,
        data: format!("entry {index} of term {term}").into(),
    }
}

fn snapshot(index: u64, term: u64) -> Snapshot {
    Snapshot {
        index,
        term,
        membership: MembershipRecord {
            voters: vec![1, 2, 3],
            learners: vec![4],
        },
        state: format!("state at {index}").into(),
    }
}

fn hard_state(term: u64) -> HardState {
    HardState {
        term,
        vote: Some(MemberId(7)),
    }
}

fn reopen(folder: &Path) -> Recovered {
    LogStore::open(folder).unwrap().1
}

/// The only segment of a folder.
fn segment(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path());
    let is_segment = |path: &PathBuf| {
        let name = path.file_name().unwrap().to_str().unwrap();
        name.starts_with("log-") && !name.ends_with(".tmp")
    };
    let segments: Vec<PathBuf> = files.filter(is_segment).collect();
    assert_eq!(segments.len(), 1, "{segments:?}");
    segments.into_iter().next().unwrap()
}

/// Overwrites the only segment and opens the folder.
fn open_with_bytes(
    folder: &Path,
    bytes: &[u8],
) -> Result<(LogStore, Recovered, MemberId), StoreError> {
    fs::write(segment(folder), bytes).unwrap();
    LogStore::open(folder)
}

/// Writes one entry per record. Returns the segment's bytes and the offset after each record.
fn write_records(folder: &Path, count: u64) -> (Vec<u8>, Vec<usize>) {
    let (mut store, ..) = LogStore::open(folder).unwrap();
    let segment = segment(folder);
    let mut ends = vec![fs::read(&segment).unwrap().len()];
    for index in 1..=count {
        store.persist(None, &[entry(index, 1)], None).unwrap();
        ends.push(fs::read(&segment).unwrap().len());
    }
    (fs::read(&segment).unwrap(), ends)
}

#[test]
fn what_was_persisted_is_read_back() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, recovered, member) = LogStore::open(folder.path()).unwrap();
    assert_eq!(recovered, Recovered::default());
    let entries = [entry(1, 2), entry(2, 2), entry(3, 3)];
    store.persist(Some(hard_state(3)), &entries, None).unwrap();
    store.persist(None, &[entry(3, 4)], None).unwrap();
    drop(store);
    let (_store, recovered, again) = LogStore::open(folder.path()).unwrap();
    assert_eq!(again, member);
    assert_eq!(recovered.hard_state, hard_state(3));
    assert_eq!(recovered.entries, [entry(1, 2), entry(2, 2), entry(3, 4)]);
}

#[test]
fn an_emptied_folder_is_another_member() {
    let folder = tempfile::tempdir().unwrap();
    let (store, _, first) = LogStore::open(folder.path()).unwrap();
    drop(store);
    fs::remove_file(segment(folder.path())).unwrap();
    let (_store, recovered, second) = LogStore::open(folder.path()).unwrap();
    assert_ne!(first, second);
    assert_eq!(recovered, Recovered::default());
}

#[test]
fn a_folder_belongs_to_one_process() {
    let folder = tempfile::tempdir().unwrap();
    let first = LogStore::open(folder.path()).unwrap();
    let second = LogStore::open(folder.path());
    assert!(matches!(second, Err(StoreError::Locked(_))));
    drop(first);
    LogStore::open(folder.path()).unwrap();
}

#[test]
fn a_gap_between_entries_is_not_stored() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    store.persist(None, &[entry(1, 1)], None).unwrap();
    assert!(store.persist(None, &[entry(3, 1)], None).is_err());
}

#[test]
fn any_truncation_gives_a_prefix() {
    let folder = tempfile::tempdir().unwrap();
    let (bytes, ends) = write_records(folder.path(), 5);
    for cut in 0..bytes.len() {
        let opened = open_with_bytes(folder.path(), &bytes[..cut]);
        if cut < ends[0] {
            // This part is synced before the file is renamed into place, so it is never torn.
            assert!(
                matches!(opened, Err(StoreError::Damaged { .. })),
                "cut at {cut}"
            );
            continue;
        }
        let whole = ends.iter().filter(|end| **end <= cut).count() as u64 - 1;
        let expected: Vec<Entry> = (1..=whole).map(|index| entry(index, 1)).collect();
        assert_eq!(opened.unwrap().1.entries, expected, "cut at {cut}");
    }
}

#[test]
fn a_store_keeps_working_after_a_torn_tail() {
    let folder = tempfile::tempdir().unwrap();
    let (bytes, _) = write_records(folder.path(), 3);
    let torn = &bytes[..bytes.len() - 3];
    let (mut store, ..) = open_with_bytes(folder.path(), torn).unwrap();
    store.persist(None, &[entry(3, 2)], None).unwrap();
    drop(store);
    let entries = reopen(folder.path()).entries;
    assert_eq!(entries, [entry(1, 1), entry(2, 1), entry(3, 2)]);
}

fn with_flipped_bits(bytes: &[u8]) -> impl Iterator<Item = (usize, Vec<u8>)> {
    (0..bytes.len() * 8).map(|bit| {
        let mut flipped = bytes.to_vec();
        flipped[bit / 8] ^= 1 << (bit % 8);
        (bit, flipped)
    })
}

/// A flipped bit in the last record can't be distinguished from a torn write, so that record is truncated.
#[test]
fn any_flipped_bit_is_found_or_is_in_the_last_record() {
    let folder = tempfile::tempdir().unwrap();
    let (bytes, ends) = write_records(folder.path(), 4);
    let last = ends[ends.len() - 2];
    let prefix: Vec<Entry> = (1..=3).map(|index| entry(index, 1)).collect();
    for (bit, flipped) in with_flipped_bits(&bytes) {
        match open_with_bytes(folder.path(), &flipped) {
            Err(StoreError::Damaged { .. }) => {}
            Ok((_, recovered, _)) => {
                assert!(bit / 8 >= last, "bit {bit} was not found");
                assert_eq!(recovered.entries, prefix, "bit {bit}");
            }
            Err(error) => panic!("bit {bit}: {error}"),
        }
    }
}

/// The initial records of a segment are synced before the file is renamed into place, so damage in them is
/// never a torn tail.
#[test]
fn any_flipped_bit_is_found_in_a_log_that_was_only_opened() {
    let folder = tempfile::tempdir().unwrap();
    write_records(folder.path(), 3);
    assert_eq!(reopen(folder.path()).entries.len(), 3);
    let bytes = fs::read(segment(folder.path())).unwrap();
    for (bit, flipped) in with_flipped_bits(&bytes) {
        let opened = open_with_bytes(folder.path(), &flipped);
        assert!(
            matches!(opened, Err(StoreError::Damaged { .. })),
            "bit {bit}"
        );
    }
}

#[test]
fn any_flipped_bit_of_a_snapshot_is_found() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    store.persist(None, &[entry(1, 1)], None).unwrap();
    store.persist(None, &[], Some(&snapshot(1, 1))).unwrap();
    drop(store);
    let path = folder.path().join("snapshot");
    let bytes = fs::read(&path).unwrap();
    for (bit, flipped) in with_flipped_bits(&bytes) {
        fs::write(&path, &flipped).unwrap();
        let opened = LogStore::open(folder.path());
        assert!(
            matches!(opened, Err(StoreError::Damaged { .. })),
            "bit {bit}"
        );
    }
    for cut in 0..bytes.len() {
        fs::write(&path, &bytes[..cut]).unwrap();
        let opened = LogStore::open(folder.path());
        assert!(
            matches!(opened, Err(StoreError::Damaged { .. })),
            "cut {cut}"
        );
    }
}

#[test]
fn missing_parts_are_errors_that_name_the_remedy() {
    for log in [true, false] {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, ..) = LogStore::open(folder.path()).unwrap();
        store.persist(None, &[entry(1, 1)], None).unwrap();
        store.persist(None, &[], Some(&snapshot(1, 1))).unwrap();
        drop(store);
        let removed = match log {
            true => segment(folder.path()),
            false => folder.path().join("snapshot"),
        };
        fs::remove_file(removed).unwrap();
        let error = LogStore::open(folder.path()).unwrap_err().to_string();
        assert!(error.contains("add it with `flamingocroft`"), "{error}");
    }
}

#[test]
fn another_format_version_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let sequence = 0_u64.to_le_bytes();
    let header = [0x08, 2]; // field 1, the version
    let length = (header.len() as u32).to_le_bytes();
    let checked = [&sequence[..], &length, &header].concat();
    let crc = crc32fast::hash(&checked).to_le_bytes();
    let record = [b"fcr1", &sequence[..], &length, &crc, &header].concat();
    fs::write(folder.path().join("log-1"), record).unwrap();
    let opened = LogStore::open(folder.path());
    assert!(matches!(
        opened,
        Err(StoreError::Version {
            found: 2,
            expected: 1,
            ..
        })
    ));
}

#[test]
fn a_removed_record_in_the_middle_is_found() {
    let folder = tempfile::tempdir().unwrap();
    let (bytes, ends) = write_records(folder.path(), 4);
    let without = [&bytes[..ends[1]], &bytes[ends[2]..]].concat();
    let opened = open_with_bytes(folder.path(), &without);
    assert!(matches!(opened, Err(StoreError::Damaged { .. })));
}

#[test]
fn another_members_snapshot_is_refused() {
    let [one, other] = [(); 2].map(|()| {
        let folder = tempfile::tempdir().unwrap();
        let (mut store, ..) = LogStore::open(folder.path()).unwrap();
        store.persist(None, &[], Some(&snapshot(5, 1))).unwrap();
        folder
    });
    let name = "snapshot";
    fs::copy(other.path().join(name), one.path().join(name)).unwrap();
    let opened = LogStore::open(one.path());
    assert!(matches!(opened, Err(StoreError::Damaged { .. })));
}

/// A crash after the snapshot was renamed into place, but before the new segment was or the old one was
/// removed.
#[test]
fn a_crash_while_compacting_loses_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    let entries = [entry(1, 1), entry(2, 1), entry(3, 1)];
    store.persist(Some(hard_state(1)), &entries, None).unwrap();
    let old = segment(folder.path());
    let bytes = fs::read(&old).unwrap();
    store.persist(None, &[], Some(&snapshot(2, 1))).unwrap();
    drop(store);
    let expected = reopen(folder.path());
    assert_eq!(expected.entries, [entry(3, 1)]);
    assert_eq!(expected.hard_state, hard_state(1));

    fs::write(&old, &bytes).unwrap();
    assert_eq!(reopen(folder.path()), expected);
    let new = segment(folder.path());
    assert_ne!(new, old, "the old one is removed");

    fs::remove_file(new).unwrap();
    fs::write(folder.path().join("log-2.tmp"), b"half a file").unwrap();
    fs::write(&old, &bytes).unwrap();
    assert_eq!(reopen(folder.path()), expected);
}

/// A file whose n-th write or sync fails and that then works again.
#[derive(Debug)]
struct FailingFile {
    file: fs::File,
    operations_left: Arc<AtomicUsize>,
}

impl FailingFile {
    fn fail_when_due(&self) -> io::Result<()> {
        let before = self.operations_left.fetch_sub(1, Ordering::SeqCst);
        match before {
            1 => Err(io::Error::from(io::ErrorKind::StorageFull)),
            _ => Ok(()),
        }
    }
}

impl LogFile for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.fail_when_due()?;
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.fail_when_due()?;
        self.file.sync()
    }
}

/// Opens a folder whose segment file fails at its n-th write or sync.
fn open_failing(folder: &Path, fails_at: usize) -> LogStore {
    let left = Arc::new(AtomicUsize::new(fails_at));
    let wrap = move |file| -> Box<dyn LogFile> {
        let left = Arc::clone(&left);
        Box::new(FailingFile {
            file,
            operations_left: left,
        })
    };
    LogStore::open_with(folder, wrap).unwrap().0
}

#[test]
fn a_failed_write_or_sync_stops_all_acknowledgements() {
    for fails_at in 1..=6 {
        let folder = tempfile::tempdir().unwrap();
        let mut store = open_failing(folder.path(), fails_at);
        let acknowledged = (1..=10)
            .take_while(|index| store.persist(None, &[entry(*index, 1)], None).is_ok())
            .count();
        assert_eq!(acknowledged, (fails_at - 1) / 2);
        // The file works again, but its contents are unknown.
        let again = store.persist(None, &[entry(1, 1)], None);
        assert!(matches!(again, Err(StoreError::Poisoned(_))));
        let empty = store.persist(None, &[], None);
        assert!(matches!(empty, Err(StoreError::Poisoned(_))));
        drop(store);
        let entries = reopen(folder.path()).entries;
        assert!(
            entries.len() >= acknowledged,
            "an acknowledged entry was lost"
        );
    }
}

#[test]
fn a_snapshot_that_can_not_be_written_stops_all_acknowledgements() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    store.persist(None, &[entry(1, 1)], None).unwrap();
    // A directory in place of the temporary file makes creating that file fail.
    fs::create_dir(folder.path().join("snapshot.tmp")).unwrap();
    let error = store.persist(None, &[], Some(&snapshot(1, 1))).unwrap_err();
    assert!(matches!(error, StoreError::Io { .. }));
    let again = store.persist(None, &[entry(2, 1)], None);
    assert!(matches!(again, Err(StoreError::Poisoned(_))));
}

/// After a disk that was full has space again, the failed write is retried and no earlier data is lost.
#[test]
fn a_failed_write_is_retried_into_a_new_segment() {
    for fails_at in 1..=6 {
        let folder = tempfile::tempdir().unwrap();
        let mut store = open_failing(folder.path(), fails_at);
        let mut refused = 0;
        for index in 1..=10 {
            let vote = Some(hard_state(index));
            let written = store.persist(vote.clone(), &[entry(index, 1)], None);
            if written.is_err() {
                refused += 1;
                store.retry_persist(vote, None).unwrap();
            }
        }
        assert_eq!(refused, 1);
        drop(store);
        let found = reopen(folder.path());
        assert_eq!(found.hard_state, hard_state(10));
        let indexes: Vec<_> = found.entries.iter().map(|entry| entry.index).collect();
        assert_eq!(indexes, (1..=10).collect::<Vec<_>>());
        assert_eq!(
            segment_count(folder.path()),
            1,
            "older segments are removed"
        );
    }
}

#[test]
fn a_failed_snapshot_is_retried() {
    let folder = tempfile::tempdir().unwrap();
    let (mut store, ..) = LogStore::open(folder.path()).unwrap();
    store.persist(None, &[entry(1, 1)], None).unwrap();
    let blocked = folder.path().join("snapshot.tmp");
    fs::create_dir(&blocked).unwrap();
    let snapshot = snapshot(1, 1);
    assert!(store.persist(None, &[], Some(&snapshot)).is_err());
    assert!(store.retry_persist(None, Some(&snapshot)).is_err());
    fs::remove_dir(&blocked).unwrap();
    store.retry_persist(None, Some(&snapshot)).unwrap();
    store.persist(None, &[entry(2, 1)], None).unwrap();
    drop(store);
    let found = reopen(folder.path());
    assert_eq!(found.snapshot, snapshot);
    assert_eq!(found.entries, [entry(2, 1)]);
}

fn segment_count(folder: &Path) -> usize {
    let names = fs::read_dir(folder).unwrap();
    let names = names.map(|file| file.unwrap().file_name().into_string().unwrap());
    names.filter(|name| name.starts_with("log-")).count()
}

#[derive(Clone, Debug)]
enum Operation {
    Append { count: u64, back: u64, vote: bool },
    Compact { behind: u64 },
    Install { ahead: u64 },
    Reopen,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        5 => (0..5u64, 0..4u64, any::<bool>())
            .prop_map(|(count, back, vote)| Operation::Append { count, back, vote }),
        1 => (0..4u64).prop_map(|behind| Operation::Compact { behind }),
        1 => (1..5u64).prop_map(|ahead| Operation::Install { ahead }),
        2 => Just(Operation::Reopen),
    ]
}

proptest! {
    #![proptest_config(Config {
        cases: 48,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    })]

    /// A reopened folder has the same contents as a naive model, for random writes.
    #[test]
    fn a_folder_holds_what_a_naive_model_holds(writes in prop::collection::vec(operation(), 1..40)) {
        let folder = tempfile::tempdir().unwrap();
        let mut store = Some(LogStore::open(folder.path()).unwrap().0);
        let mut model = Recovered::default();
        for (number, write) in writes.into_iter().enumerate() {
            let term = number as u64 + 1;
            let last = model.snapshot.index + model.entries.len() as u64;
            let Some(open) = &mut store else { unreachable!() };
            match write {
                Operation::Append { count, back, vote } => {
                    let first = (last + 1 - back.min(model.entries.len() as u64)).max(1);
                    let new: Vec<Entry> = (first..first + count).map(|i| entry(i, term)).collect();
                    let vote = vote.then(|| hard_state(term));
                    open.persist(vote.clone(), &new, None).unwrap();
                    if !new.is_empty() {
                        model.entries.retain(|e| e.index < first);
                        model.entries.extend(new);
                    }
                    model.hard_state = vote.unwrap_or(model.hard_state);
                }
                Operation::Compact { behind } => {
                    let index = last.saturating_sub(behind);
                    let Some(at) = model.entries.iter().find(|e| e.index == index) else { continue };
                    let new = snapshot(index, at.term);
                    open.persist(None, &[], Some(&new)).unwrap();
                    model.entries.retain(|e| e.index > index);
                    model.snapshot = new;
                }
                Operation::Install { ahead } => {
                    let new = snapshot(last + ahead, term);
                    open.persist(Some(hard_state(term)), &[], Some(&new)).unwrap();
                    model = Recovered { hard_state: hard_state(term), snapshot: new, entries: vec![] };
                }
                Operation::Reopen => {
                    drop(store.take());
                    let (again, recovered, _) = LogStore::open(folder.path()).unwrap();
                    prop_assert_eq!(&recovered, &model);
                    store = Some(again);
                }
            }
        }
        drop(store);
        prop_assert_eq!(reopen(folder.path()), model);
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 256,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    /// Overwriting bytes anywhere makes opening fail or yields a prefix that lacks at most the last record.
    #[test]
    fn overwritten_bytes_are_found_or_cut(
        at in 0..10_000usize,
        garbage in prop::collection::vec(any::<u8>(), 1..80),
    ) {
        let folder = tempfile::tempdir().unwrap();
        let (mut bytes, ends) = write_records(folder.path(), 6);
        let at = at % bytes.len();
        let end = bytes.len().min(at + garbage.len());
        let before = bytes.clone();
        bytes[at..end].copy_from_slice(&garbage[..end - at]);
        let whole = ends.iter().filter(|end| **end <= at).count() as u64;
        let expected: Vec<Entry> = (1..whole).map(|index| entry(index, 1)).collect();
        match open_with_bytes(folder.path(), &bytes) {
            Err(StoreError::Damaged { .. }) => {}
            Err(error) => panic!("{error}"),
            Ok((_, recovered, _)) if bytes == before => prop_assert_eq!(recovered.entries.len(), 6),
            Ok((_, recovered, _)) => {
                prop_assert!(end > ends[5], "a record in the middle was lost");
                prop_assert_eq!(recovered.entries, expected);
            }
        }
    }
}
