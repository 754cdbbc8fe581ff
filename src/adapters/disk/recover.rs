//! Recovery of the log and snapshot from a data folder.

use std::path::Path;

use bytes::Bytes;
use prost::Message;

use super::{
    StoreError,
    folder::DataFolder,
    record::{ReadError, RecordReader, SegmentHeader, StoredBatch, StoredSnapshot},
};
use crate::{
    domain::MemberId,
    replication::{HardState, Recovered, Snapshot},
    wire::Entry,
};

pub(super) const FORMAT_VERSION: u32 = 1;

/// The contents of a data folder.
pub(super) struct RecoveredFolder {
    pub(super) member: MemberId,
    pub(super) recovered: Recovered,
    /// Number of complete records of the segment.
    pub(super) records: u64,
    /// Offset after the last one.
    pub(super) end: u64,
}

/// Reads a data folder, one record at a time.
pub(super) fn read_data_folder(
    folder: &DataFolder,
    segment: &Path,
) -> Result<RecoveredFolder, StoreError> {
    let mut records = open_records(folder, segment)?
        .ok_or_else(|| StoreError::damaged(segment, 0, "the file is missing"))?;
    let first = next_payload(&mut records, segment)?;
    let header = first
        .and_then(|payload| SegmentHeader::decode(payload).ok())
        .ok_or_else(|| StoreError::damaged(segment, 0, "the first record can't be read"))?;
    if header.version != FORMAT_VERSION {
        return Err(StoreError::Version {
            path: segment.to_owned(),
            found: header.version,
            expected: FORMAT_VERSION,
        });
    }
    let (hard_state, entries) = replay(segment, &header, &mut records)?;
    if records.records() < header.synced_records {
        let reason = "a record that was synced with the file can't be read";
        return Err(StoreError::damaged(segment, records.end(), reason));
    }
    let torn = records.torn_bytes();
    if torn > 0 {
        log::warn!(
            "disk: {} ends with {torn} bytes of an incomplete record; truncating them",
            segment.display()
        );
    }
    let snapshot = read_snapshot(folder, &header)?;
    let recovered = Recovered {
        hard_state,
        entries: entries_after(&snapshot, entries, header.base_index),
        snapshot,
    };
    Ok(RecoveredFolder {
        member: MemberId(header.member),
        recovered,
        records: records.records(),
        end: records.end(),
    })
}

fn open_records(folder: &DataFolder, path: &Path) -> Result<Option<RecordReader>, StoreError> {
    let file = folder.open_for_reading(path)?;
    let reader = file.map(RecordReader::new).transpose();
    reader.map_err(StoreError::io("read", path))
}

fn next_payload(records: &mut RecordReader, path: &Path) -> Result<Option<Bytes>, StoreError> {
    records.next().map_err(|e| match e {
        ReadError::Io(e) => StoreError::io("read", path)(e),
        ReadError::Corrupt { offset, reason } => StoreError::damaged(path, offset, reason),
    })
}

fn replay(
    segment: &Path,
    header: &SegmentHeader,
    records: &mut RecordReader,
) -> Result<(HardState, Vec<Entry>), StoreError> {
    let mut hard_state = HardState::default();
    let mut entries = Vec::new();
    let mut offset = records.end();
    while let Some(payload) = next_payload(records, segment)? {
        let damaged = |reason| StoreError::damaged(segment, offset, reason);
        let batch =
            StoredBatch::decode(payload).map_err(|_| damaged("a record can't be decoded"))?;
        for entry in &batch.entries {
            if let Err(e) = entry.membership() {
                return Err(damaged(e.0));
            }
        }
        if let Some(stored) = batch.hard_state {
            hard_state = HardState {
                term: stored.term,
                vote: stored.vote.map(MemberId),
            };
        }
        if !append(&mut entries, batch.entries, header.base_index) {
            return Err(damaged("an entry is missing"));
        }
        offset = records.end();
    }
    Ok((hard_state, entries))
}

/// Appends entries, replacing existing ones from the first one's index on. Returns false if this would
/// leave a gap.
pub(super) fn append(entries: &mut Vec<Entry>, new: Vec<Entry>, base_index: u64) -> bool {
    for entry in new {
        let Some(offset) = entry.index.checked_sub(base_index + 1) else {
            return false;
        };
        if offset > entries.len() as u64 {
            return false;
        }
        entries.truncate(offset as usize);
        entries.push(entry);
    }
    true
}

/// Returns the entries after a snapshot. Returns none if the log does not hold the snapshot's last entry.
pub(super) fn entries_after(
    snapshot: &Snapshot,
    mut entries: Vec<Entry>,
    base_index: u64,
) -> Vec<Entry> {
    let Some(covered) = snapshot.index.checked_sub(base_index).filter(|n| *n > 0) else {
        return entries;
    };
    let last = entries.get(covered as usize - 1);
    if last.is_none_or(|entry| entry.term != snapshot.term) {
        return Vec::new();
    }
    entries.drain(..covered as usize);
    entries
}

fn read_snapshot(folder: &DataFolder, header: &SegmentHeader) -> Result<Snapshot, StoreError> {
    let path = folder.snapshot();
    let damaged = |reason| StoreError::damaged(&path, 0, reason);
    let Some(mut records) = open_records(folder, &path)? else {
        return match header.base_index {
            0 => Ok(Snapshot::default()),
            _ => Err(damaged("it is missing, but the log starts after it")),
        };
    };
    let payload = next_payload(&mut records, &path)?;
    let payload = payload.ok_or_else(|| damaged("its checksum is wrong"))?;
    if records.torn_bytes() > 0 {
        return Err(damaged("bytes follow its end"));
    }
    let stored = StoredSnapshot::decode(payload).map_err(|_| damaged("it can't be decoded"))?;
    if stored.member != header.member {
        return Err(damaged("it belongs to another member"));
    }
    if stored.index < header.base_index {
        return Err(damaged("it is older than the start of the log"));
    }
    let membership = stored
        .membership
        .filter(|members| !members.voters.is_empty());
    Ok(Snapshot {
        index: stored.index,
        term: stored.term,
        membership: membership.ok_or_else(|| damaged("it has no members that vote"))?,
        state: stored.state,
    })
}
