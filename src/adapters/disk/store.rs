//! The log store: durable writes of the log, the vote and the snapshot.

use std::{
    fmt,
    fs::File,
    io::{self, Write},
    mem,
    path::Path,
};

use prost::Message;

use super::{
    StoreError,
    folder::DataFolder,
    record::{self, SegmentHeader, StoredBatch, StoredHardState, StoredSnapshot},
    recover::{self, FORMAT_VERSION, RecoveredFolder},
};
use crate::{
    domain::MemberId,
    replication::{HardState, Recovered, Snapshot},
    wire::Entry,
};

/// A log segment opened for appending. Tests substitute one whose writes or syncs fail.
pub trait LogFile: fmt::Debug + Send {
    /// Appends all bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once all appended bytes are durable.
    fn sync(&mut self) -> io::Result<()>;
}

impl LogFile for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// Maximum size of the entries in one record of a new segment; a larger entry has a record of its own. It bounds the
/// memory that writing the segment takes.
const MAX_RECORD_BYTES: usize = 1024 * 1024;
/// Memory of a controller without a log, for the estimate of what a start needs.
const START_MEMORY_BYTES: u64 = 16 * 1024 * 1024;
/// Memory per byte of the snapshot: the encoded state, the state itself, and its next encoded copy.
const START_MEMORY_PER_SNAPSHOT_BYTE: u64 = 3;
const MIB: u64 = 1024 * 1024;

type WrapFile = Box<dyn Fn(File) -> Box<dyn LogFile> + Send>;

/// The durable log, vote and snapshot of one member.
pub struct LogStore {
    folder: DataFolder,
    contents: SegmentContents,
    segment_number: u64,
    /// Sequence number of the next record.
    next_sequence: u64,
    file: Box<dyn LogFile>,
    wrap: WrapFile,
    poisoned: bool,
    /// Whether the segment may lack contents or end in the middle of a record.
    segment_failed: bool,
}

/// The current contents of the segment, with which a new segment starts.
#[derive(Debug)]
struct SegmentContents {
    member: MemberId,
    hard_state: HardState,
    /// Index and term of the entry before the segment's first one.
    base: (u64, u64),
    entries: Vec<Entry>,
}

impl fmt::Debug for LogStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogStore")
            .field("folder", &self.folder.path())
            .field("member", &self.contents.member)
            .field("poisoned", &self.poisoned)
            .finish_non_exhaustive()
    }
}

impl LogStore {
    /// Opens a data folder, or creates one with a random member identifier. A torn tail, which was never
    /// acknowledged, is truncated; any other damage is an error whose message names the remedy.
    pub fn open(folder: &Path) -> Result<(Self, Recovered, MemberId), StoreError> {
        Self::open_with(folder, |file| Box::new(file))
    }

    /// Like [`LogStore::open`], but fails with [`StoreError::TooLarge`] before it reads anything if a start would
    /// take more memory than `memory_limit`, in bytes.
    pub fn open_within(
        folder: &Path,
        memory_limit: Option<u64>,
    ) -> Result<(Self, Recovered, MemberId), StoreError> {
        Self::open_folder(folder, memory_limit, Box::new(|file| Box::new(file)))
    }

    /// Like [`LogStore::open`], but wraps each segment file that it opens for appending.
    pub fn open_with(
        folder: &Path,
        wrap: impl Fn(File) -> Box<dyn LogFile> + Send + 'static,
    ) -> Result<(Self, Recovered, MemberId), StoreError> {
        Self::open_folder(folder, None, Box::new(wrap))
    }

    fn open_folder(
        folder: &Path,
        memory_limit: Option<u64>,
        wrap: WrapFile,
    ) -> Result<(Self, Recovered, MemberId), StoreError> {
        let folder = DataFolder::open(folder)?;
        folder.remove_leftovers()?;
        let newest = folder.segments()?.last().copied();
        let found = match newest {
            Some(number) => {
                let segment = folder.segment(number);
                if let Some(limit) = memory_limit {
                    check_memory(&folder, &segment, limit)?;
                }
                recover::read_data_folder(&folder, &segment)?
            }
            None => RecoveredFolder {
                member: new_member(&folder)?,
                recovered: Recovered::default(),
                records: 0,
                end: 0,
            },
        };
        let recovered = found.recovered;
        let contents = SegmentContents {
            member: found.member,
            hard_state: recovered.hard_state.clone(),
            base: (recovered.snapshot.index, recovered.snapshot.term),
            entries: recovered.entries.clone(),
        };
        // The data just read may exist only in the page cache, for example after a failed sync, so it is
        // rewritten before anything depends on it: to a new segment, or in place if the disk has no space for one.
        let number = newest.unwrap_or(0) + 1;
        let (segment_number, file, next_sequence) =
            match (contents.write_segment(&folder, number), newest) {
                (Ok((file, next_sequence)), _) => {
                    folder.remove_segments_before(number)?;
                    (number, file, next_sequence)
                }
                (Err(e @ StoreError::Io { .. }), Some(newest)) => {
                    log::warn!(
                        "disk: rewriting the log in place, because a new one cannot be written: {e}"
                    );
                    folder.discard_segment(number)?;
                    let segment = folder.segment(newest);
                    folder.rewrite_in_place(&segment, found.end)?;
                    (newest, folder.open_for_append(&segment)?, found.records)
                }
                (Err(e), _) => return Err(e),
            };
        let store = Self {
            folder,
            segment_number,
            next_sequence,
            file: wrap(file),
            wrap,
            poisoned: false,
            segment_failed: false,
            contents,
        };
        Ok((store, recovered, found.member))
    }

    /// Returns the error for a snapshot whose state can't be decoded.
    pub fn damaged_snapshot(&self, reason: &'static str) -> StoreError {
        StoreError::damaged(&self.folder.snapshot(), 0, reason)
    }

    /// Writes the hard state, the entries and the snapshot, in this order, and returns once all are synced.
    /// The entries replace stored ones from the first one's index on. After an error the store is unusable
    /// until [`LogStore::retry_persist`] succeeds, because it is unknown what a failed sync left on disk.
    pub fn persist(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
        snapshot: Option<&Snapshot>,
    ) -> Result<(), StoreError> {
        if self.poisoned {
            return Err(StoreError::Poisoned(self.folder.path().to_owned()));
        }
        self.poisoned = true;
        if hard_state.is_some() || !entries.is_empty() {
            self.append(hard_state, entries)?;
        }
        if let Some(snapshot) = snapshot {
            self.rotate(snapshot)?;
        }
        self.poisoned = false;
        Ok(())
    }

    /// Retries a failed [`LogStore::persist`]. If the segment was not written, this writes all contents to a new
    /// one, because it is unknown what the failed write left in the old one. Call it with the same hard state and
    /// snapshot, and again if it fails.
    pub fn retry_persist(
        &mut self,
        hard_state: Option<HardState>,
        snapshot: Option<&Snapshot>,
    ) -> Result<(), StoreError> {
        // The contents already include the entries: they are added before they are written.
        if let Some(hard_state) = hard_state {
            self.contents.hard_state = hard_state;
        }
        if self.segment_failed {
            self.start_segment()?;
        }
        if let Some(snapshot) = snapshot {
            self.rotate(snapshot)?;
        }
        self.poisoned = false;
        Ok(())
    }

    /// Starts a new segment with all contents and removes the older ones.
    fn start_segment(&mut self) -> Result<(), StoreError> {
        self.segment_failed = true;
        self.segment_number += 1;
        let (file, next_sequence) = self
            .contents
            .write_segment(&self.folder, self.segment_number)?;
        self.file = (self.wrap)(file);
        self.next_sequence = next_sequence;
        self.segment_failed = false;
        self.folder.remove_segments_before(self.segment_number)
    }

    fn append(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StoreError> {
        let batch = StoredBatch {
            hard_state: hard_state.as_ref().map(stored_hard_state),
            entries: entries.to_vec(),
        };
        let bytes = record::encode(self.next_sequence, &batch);
        let path = self.folder.segment(self.segment_number);
        let base_index = self.contents.base.0;
        if !recover::append(&mut self.contents.entries, batch.entries, base_index) {
            let reason = "an entry to append would leave a gap in the log";
            return Err(StoreError::damaged(&path, 0, reason));
        }
        self.segment_failed = true;
        self.file
            .append(&bytes)
            .map_err(StoreError::io("write", &path))?;
        self.file.sync().map_err(StoreError::io("sync", &path))?;
        self.segment_failed = false;
        self.next_sequence += 1;
        if let Some(hard_state) = hard_state {
            self.contents.hard_state = hard_state;
        }
        Ok(())
    }

    /// Stores a snapshot and starts a new segment with the entries after it.
    fn rotate(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        let base_index = self.contents.base.0;
        if snapshot.index <= base_index {
            return Ok(());
        }
        let stored = StoredSnapshot {
            member: self.contents.member.0,
            index: snapshot.index,
            term: snapshot.term,
            membership: Some(snapshot.membership.clone()),
            state: snapshot.state.clone(),
        };
        let bytes = record::encode(0, &stored);
        let path = self.folder.snapshot();
        self.folder.replace(&path, |file| file.write_all(&bytes))?;
        let entries = mem::take(&mut self.contents.entries);
        self.contents.entries = recover::entries_after(snapshot, entries, base_index);
        self.contents.base = (snapshot.index, snapshot.term);
        self.start_segment()
    }
}

impl SegmentContents {
    /// Splits the entries into those of each record. There is at least one record, which has the hard state.
    fn records(&self) -> Vec<&[Entry]> {
        let mut records = Vec::new();
        let (mut start, mut bytes) = (0, 0);
        for (position, entry) in self.entries.iter().enumerate() {
            let len = entry.encoded_len();
            if position > start && bytes + len > MAX_RECORD_BYTES {
                records.push(&self.entries[start..position]);
                (start, bytes) = (position, 0);
            }
            bytes += len;
        }
        records.push(&self.entries[start..]);
        records
    }

    /// Writes a new segment. Returns it opened for appending, and the sequence number of its next record.
    fn write_segment(&self, folder: &DataFolder, number: u64) -> Result<(File, u64), StoreError> {
        let records = self.records();
        let header = SegmentHeader {
            version: FORMAT_VERSION,
            member: self.member.0,
            base_index: self.base.0,
            base_term: self.base.1,
            synced_records: 1 + records.len() as u64,
        };
        let path = folder.segment(number);
        folder.replace(&path, |file| {
            file.write_all(&record::encode(0, &header))?;
            for (sequence, entries) in (1..).zip(&records) {
                let batch = StoredBatch {
                    hard_state: (sequence == 1).then(|| stored_hard_state(&self.hard_state)),
                    entries: entries.to_vec(),
                };
                file.write_all(&record::encode(sequence, &batch))?;
            }
            Ok(())
        })?;
        Ok((folder.open_for_append(&path)?, header.synced_records))
    }
}

/// Fails if a start would take more memory than the limit. The log is in memory once, because the members that
/// lag get its entries from there.
fn check_memory(folder: &DataFolder, segment: &Path, limit: u64) -> Result<(), StoreError> {
    let log = folder.size(segment)?;
    let snapshot = folder.size(&folder.snapshot())?;
    let needed = START_MEMORY_BYTES + log + snapshot * START_MEMORY_PER_SNAPSHOT_BYTE;
    if needed <= limit {
        return Ok(());
    }
    Err(StoreError::TooLarge {
        path: folder.path().to_owned(),
        log_mib: log.div_ceil(MIB),
        snapshot_mib: snapshot.div_ceil(MIB),
        needed_mib: needed.div_ceil(MIB),
        limit_mib: limit / MIB,
    })
}

fn stored_hard_state(hard_state: &HardState) -> StoredHardState {
    StoredHardState {
        term: hard_state.term,
        vote: hard_state.vote.map(|member| member.0),
    }
}

/// Returns a random identifier, so that an emptied folder does not come back as its former member.
fn new_member(folder: &DataFolder) -> Result<MemberId, StoreError> {
    let snapshot = folder.snapshot();
    if folder.open_for_reading(&snapshot)?.is_some() {
        let reason = "there is a snapshot but no log";
        return Err(StoreError::damaged(&snapshot, 0, reason));
    }
    Ok(MemberId(rand::random_range(1..=u64::MAX)))
}
