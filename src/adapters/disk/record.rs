//! The record format of all files: magic bytes, sequence number, length, CRC-32 and a Protobuf message.

use prost::Message;

use crate::wire::{Entry, MembershipRecord};

const RECORD_MAGIC: [u8; 4] = *b"fcr1";
const HEADER_BYTES: usize = 20;

/// The first record of a segment.
#[derive(Clone, PartialEq, Message)]
pub(super) struct SegmentHeader {
    #[prost(uint32, tag = "1")]
    pub(super) version: u32,
    #[prost(uint64, tag = "2")]
    pub(super) member: u64,
    /// Index of the entry before the segment's first one.
    #[prost(uint64, tag = "3")]
    pub(super) base_index: u64,
    #[prost(uint64, tag = "4")]
    pub(super) base_term: u64,
    /// Number of records, including this one, that were synced before the file was renamed into place.
    /// These are never torn.
    #[prost(uint64, tag = "5")]
    pub(super) synced_records: u64,
}

/// Every other record of a segment: the data of one sync.
#[derive(Clone, PartialEq, Message)]
pub(super) struct StoredBatch {
    #[prost(message, optional, tag = "1")]
    pub(super) hard_state: Option<StoredHardState>,
    #[prost(message, repeated, tag = "2")]
    pub(super) entries: Vec<Entry>,
}

#[derive(Clone, Copy, PartialEq, Message)]
pub(super) struct StoredHardState {
    #[prost(uint64, tag = "1")]
    pub(super) term: u64,
    #[prost(uint64, optional, tag = "2")]
    pub(super) vote: Option<u64>,
}

/// The only record of a snapshot file.
#[derive(Clone, PartialEq, Message)]
pub(super) struct StoredSnapshot {
    #[prost(uint64, tag = "1")]
    pub(super) member: u64,
    #[prost(uint64, tag = "2")]
    pub(super) index: u64,
    #[prost(uint64, tag = "3")]
    pub(super) term: u64,
    #[prost(message, optional, tag = "4")]
    pub(super) membership: Option<MembershipRecord>,
    #[prost(bytes = "bytes", tag = "5")]
    pub(super) state: bytes::Bytes,
}

/// Encodes a message as a record.
pub(super) fn encode(sequence: u64, message: &impl Message) -> Vec<u8> {
    let len = message.encoded_len();
    let mut bytes = Vec::with_capacity(HEADER_BYTES + len);
    bytes.extend(RECORD_MAGIC);
    bytes.extend(sequence.to_le_bytes());
    bytes.extend((len as u32).to_le_bytes());
    bytes.extend([0; 4]);
    message.encode_raw(&mut bytes);
    let crc = checksum(&bytes);
    bytes[16..HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
    bytes
}

fn checksum(record: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&record[4..16]);
    hasher.update(&record[HEADER_BYTES..]);
    hasher.finalize()
}

/// A complete record with a valid checksum.
struct Record<'a> {
    sequence: u64,
    payload: &'a [u8],
}

fn parse(bytes: &[u8]) -> Option<Record<'_>> {
    let head = bytes.get(..HEADER_BYTES)?;
    if !head.starts_with(&RECORD_MAGIC) {
        return None;
    }
    let len = u32::from_le_bytes(head[12..16].try_into().ok()?) as usize;
    let record = bytes.get(..HEADER_BYTES.checked_add(len)?)?;
    let crc = u32::from_le_bytes(head[16..HEADER_BYTES].try_into().ok()?);
    (checksum(record) == crc).then_some(Record {
        sequence: u64::from_le_bytes(head[4..12].try_into().ok()?),
        payload: &record[HEADER_BYTES..],
    })
}

/// The result of scanning a file.
pub(super) struct ScannedRecords<'a> {
    /// The payload of each record, with the record's offset.
    pub(super) payloads: Vec<(usize, &'a [u8])>,
    /// Offset after the last complete record; any bytes that follow are a torn tail.
    pub(super) end: usize,
}

/// An unreadable record that can't be a torn tail, because complete records follow it.
pub(super) struct Corruption {
    pub(super) offset: usize,
    pub(super) reason: &'static str,
}

/// Reads records until the end or a torn tail. An unreadable record is a torn tail only if no complete
/// record follows it, because a sync covers everything written before.
pub(super) fn scan(bytes: &[u8]) -> Result<ScannedRecords<'_>, Corruption> {
    let mut payloads = Vec::new();
    let mut end = 0;
    while let Some(record) = parse(&bytes[end..]) {
        if record.sequence != payloads.len() as u64 {
            let reason = "a record is missing";
            return Err(Corruption {
                offset: end,
                reason,
            });
        }
        payloads.push((end, record.payload));
        end += HEADER_BYTES + record.payload.len();
    }
    if end < bytes.len() && record_follows(&bytes[end + 1..]) {
        return Err(Corruption {
            offset: end,
            reason: "its checksum is wrong and more records follow",
        });
    }
    Ok(ScannedRecords { payloads, end })
}

fn record_follows(bytes: &[u8]) -> bool {
    bytes
        .windows(RECORD_MAGIC.len())
        .enumerate()
        .filter(|(_, window)| *window == RECORD_MAGIC)
        .any(|(at, _)| parse(&bytes[at..]).is_some())
}
