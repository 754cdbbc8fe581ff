//! Writing a data folder.

use std::{
    fmt,
    fs::File,
    io::{self, Write},
    path::Path,
};

use super::{
    StoreError,
    folder::Folder,
    record::{self, SegmentHeader, StoredBatch, StoredHardState, StoredSnapshot},
    recover::{self, Stored, VERSION},
};
use crate::{
    domain::MemberId,
    replication::{HardState, Recovered, Snapshot},
    wire::Entry,
};

/// The open end of the log: a file, or a fake that fails.
pub trait Medium: fmt::Debug + Send {
    /// Appends all bytes.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Returns once everything appended is on the disk.
    fn sync(&mut self) -> io::Result<()>;
}

impl Medium for File {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

type Wrap = Box<dyn Fn(File) -> Box<dyn Medium> + Send>;

/// The log, vote and snapshot of one member on a disk.
pub struct LogStore {
    folder: Folder,
    member: MemberId,
    number: u64,
    sequence: u64,
    end: Box<dyn Medium>,
    wrap: Wrap,
    hard_state: HardState,
    /// The entry before the first of `entries`.
    base: (u64, u64),
    entries: Vec<Entry>,
    poisoned: bool,
}

impl fmt::Debug for LogStore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LogStore")
            .field("folder", &self.folder.path())
            .field("member", &self.member)
            .field("poisoned", &self.poisoned)
            .finish_non_exhaustive()
    }
}

impl LogStore {
    /// Opens a data folder, or makes one with a new random member identifier. A torn tail, which was
    /// never acknowledged, is cut; any other damage is an error that names the remedy.
    pub fn open(folder: &Path) -> Result<(Self, Recovered, MemberId), StoreError> {
        Self::open_with(folder, |file| Box::new(file))
    }

    /// Like [`LogStore::open`], with a medium around the log's file.
    pub fn open_with(
        folder: &Path,
        wrap: impl Fn(File) -> Box<dyn Medium> + Send + 'static,
    ) -> Result<(Self, Recovered, MemberId), StoreError> {
        let folder = Folder::open(folder)?;
        let segments = folder.segments()?;
        let number = match segments.last() {
            Some(number) => *number,
            None => create(&folder)?,
        };
        let segment = folder.segment(number);
        let stored = recover::read(&folder, &segment)?;
        let file = folder.append(&segment, stored.length)?;
        // A crash between writing a segment and removing the one before leaves both.
        for older in segments.iter().filter(|older| **older < number) {
            folder.remove(&folder.segment(*older))?;
        }
        let Stored {
            member,
            recovered,
            sequence,
            ..
        } = stored;
        let store = Self {
            folder,
            member,
            number,
            sequence,
            end: wrap(file),
            wrap: Box::new(wrap),
            hard_state: recovered.hard_state.clone(),
            base: (recovered.snapshot.index, recovered.snapshot.term),
            entries: recovered.entries.clone(),
            poisoned: false,
        };
        Ok((store, recovered, member))
    }

    /// Writes the hard state, then the entries, then the snapshot, and returns once all is synced.
    /// Entries replace stored ones at or after the first one's index. After an error the store stays
    /// unusable: what a failed sync left on the disk is not known.
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

    fn append(
        &mut self,
        hard_state: Option<HardState>,
        entries: &[Entry],
    ) -> Result<(), StoreError> {
        let batch = StoredBatch {
            hard_state: hard_state.as_ref().map(stored_hard_state),
            entries: entries.to_vec(),
        };
        let bytes = record::encode(self.sequence, &batch);
        let path = self.folder.segment(self.number);
        if !recover::append(&mut self.entries, batch.entries, self.base.0) {
            return Err(StoreError::damaged(
                &path,
                0,
                "an entry to store is out of order",
            ));
        }
        self.end
            .append(&bytes)
            .map_err(StoreError::io("write", &path))?;
        self.end.sync().map_err(StoreError::io("sync", &path))?;
        self.sequence += 1;
        if let Some(hard_state) = hard_state {
            self.hard_state = hard_state;
        }
        Ok(())
    }

    /// Stores a snapshot and begins a segment with what follows it.
    fn rotate(&mut self, snapshot: &Snapshot) -> Result<(), StoreError> {
        if snapshot.index <= self.base.0 {
            return Ok(());
        }
        let stored = StoredSnapshot {
            member: self.member.0,
            index: snapshot.index,
            term: snapshot.term,
            membership: Some(snapshot.membership.clone()),
            state: snapshot.state.clone(),
        };
        let bytes = record::encode(0, &stored);
        self.folder.replace(&self.folder.snapshot(), &bytes)?;
        let entries = std::mem::take(&mut self.entries);
        self.entries = recover::after(snapshot, entries, self.base.0);
        self.base = (snapshot.index, snapshot.term);
        let old = self.folder.segment(self.number);
        self.number += 1;
        let path = self.folder.segment(self.number);
        let bytes = self.first_records();
        self.folder.replace(&path, &bytes)?;
        let file = self.folder.append(&path, bytes.len() as u64)?;
        self.end = (self.wrap)(file);
        self.folder.remove(&old)
    }

    fn first_records(&mut self) -> Vec<u8> {
        let header = SegmentHeader {
            version: VERSION,
            member: self.member.0,
            base_index: self.base.0,
            base_term: self.base.1,
        };
        let batch = StoredBatch {
            hard_state: Some(stored_hard_state(&self.hard_state)),
            entries: self.entries.clone(),
        };
        self.sequence = 2;
        let mut bytes = record::encode(0, &header);
        bytes.extend(record::encode(1, &batch));
        bytes
    }
}

fn stored_hard_state(hard_state: &HardState) -> StoredHardState {
    StoredHardState {
        term: hard_state.term,
        vote: hard_state.vote.map(|member| member.0),
    }
}

/// Makes the first segment of a new member. Its identifier is random, so that an emptied folder is
/// never taken for the member it was.
fn create(folder: &Folder) -> Result<u64, StoreError> {
    let snapshot = folder.snapshot();
    if folder.read(&snapshot)?.is_some() {
        let reason = "there is a snapshot but no log";
        return Err(StoreError::damaged(&snapshot, 0, reason));
    }
    let header = SegmentHeader {
        version: VERSION,
        member: rand::random_range(1..=u64::MAX),
        base_index: 0,
        base_term: 0,
    };
    let number = 1;
    folder.replace(&folder.segment(number), &record::encode(0, &header))?;
    Ok(number)
}
