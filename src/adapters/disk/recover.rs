//! Recovery of the log and snapshot from a data folder.

use std::path::Path;

use prost::Message;

use super::{
    StoreError,
    folder::DataFolder,
    record::{self, SegmentHeader, StoredBatch, StoredSnapshot},
};
use crate::{
    domain::MemberId,
    replication::{HardState, Recovered, Snapshot},
    wire::Entry,
};

pub(super) const FORMAT_VERSION: u32 = 1;

/// Reads a data folder. Returns the member that it belongs to and its contents.
pub(super) fn read_data_folder(
    folder: &DataFolder,
    segment: &Path,
) -> Result<(MemberId, Recovered), StoreError> {
    let bytes = folder.read(segment)?.unwrap_or_default();
    let scan = record::scan(&bytes).map_err(|corruption| {
        StoreError::damaged(segment, corruption.offset as u64, corruption.reason)
    })?;
    let mut payloads = scan.payloads.iter();
    let damaged = |reason| StoreError::damaged(segment, scan.end as u64, reason);
    let header = payloads
        .next()
        .and_then(|(_, payload)| SegmentHeader::decode(*payload).ok())
        .ok_or_else(|| damaged("the first record can't be read"))?;
    if header.version != FORMAT_VERSION {
        return Err(StoreError::Version {
            path: segment.to_owned(),
            found: header.version,
            expected: FORMAT_VERSION,
        });
    }
    if (scan.payloads.len() as u64) < header.synced_records {
        return Err(damaged(
            "a record that was synced with the file can't be read",
        ));
    }
    if scan.end < bytes.len() {
        let torn = bytes.len() - scan.end;
        log::warn!(
            "disk: {} ends with {torn} bytes of an incomplete record; truncating them",
            segment.display()
        );
    }
    let (hard_state, entries) = replay(segment, &header, payloads)?;
    let snapshot = read_snapshot(folder, &header)?;
    let recovered = Recovered {
        hard_state,
        entries: entries_after(&snapshot, entries, header.base_index),
        snapshot,
    };
    Ok((MemberId(header.member), recovered))
}

fn replay<'a>(
    segment: &Path,
    header: &SegmentHeader,
    payloads: impl Iterator<Item = &'a (usize, &'a [u8])>,
) -> Result<(HardState, Vec<Entry>), StoreError> {
    let mut hard_state = HardState::default();
    let mut entries = Vec::new();
    for (offset, payload) in payloads {
        let damaged = |reason| StoreError::damaged(segment, *offset as u64, reason);
        let batch =
            StoredBatch::decode(*payload).map_err(|_| damaged("a record can't be decoded"))?;
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
    let Some(bytes) = folder.read(&path)? else {
        return match header.base_index {
            0 => Ok(Snapshot::default()),
            _ => Err(damaged("it is missing, but the log starts after it")),
        };
    };
    let scan = record::scan(&bytes).map_err(|corruption| damaged(corruption.reason))?;
    let &[(_, payload)] = scan.payloads.as_slice() else {
        return Err(damaged("its checksum is wrong"));
    };
    if scan.end < bytes.len() {
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
