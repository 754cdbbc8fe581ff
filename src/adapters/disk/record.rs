//! The record format of all files: magic bytes, sequence number, length, CRC-32 and a Protobuf message.

use std::{
    fs::File,
    io::{self, BufReader, Read, Seek, SeekFrom},
};

use bytes::Bytes;
use prost::Message;

use crate::wire::{Entry, MembershipRecord};

const RECORD_MAGIC: [u8; MAGIC_BYTES] = *b"fcr1";
const MAGIC_BYTES: usize = 4;
const CHECKSUM_OFFSET: usize = 16;
const HEADER_BYTES: usize = 20;
const READ_BUFFER_BYTES: usize = 64 * 1024;

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
    pub(super) state: Bytes,
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
    let (header, payload) = bytes.split_at_mut(HEADER_BYTES);
    let crc = checksum(header, payload);
    header[CHECKSUM_OFFSET..].copy_from_slice(&crc.to_le_bytes());
    bytes
}

fn checksum(header: &[u8], payload: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&header[MAGIC_BYTES..CHECKSUM_OFFSET]);
    hasher.update(payload);
    hasher.finalize()
}

/// The header of a record, if it begins with the magic bytes.
struct RecordHeader {
    sequence: u64,
    len: u64,
    checksum: u32,
}

impl RecordHeader {
    fn parse(bytes: &[u8; HEADER_BYTES]) -> Option<Self> {
        let bytes = bytes.strip_prefix(&RECORD_MAGIC)?;
        let (sequence, bytes) = bytes.split_first_chunk()?;
        let (len, bytes) = bytes.split_first_chunk()?;
        let (checksum, _) = bytes.split_first_chunk()?;
        Some(Self {
            sequence: u64::from_le_bytes(*sequence),
            len: u32::from_le_bytes(*len).into(),
            checksum: u32::from_le_bytes(*checksum),
        })
    }
}

/// Why the next record can't be read.
#[derive(Debug)]
pub(super) enum ReadError {
    /// An operating system call failed.
    Io(io::Error),
    /// The record is unreadable and can't be a torn tail, because complete records follow it.
    Corrupt {
        /// Byte offset of the record.
        offset: u64,
        /// What is wrong, for the error message.
        reason: &'static str,
    },
}

impl From<io::Error> for ReadError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

/// Reads the records of a file one after the other, so that never more than one is in memory.
#[derive(Debug)]
pub(super) struct RecordReader {
    file: BufReader<File>,
    len: u64,
    end: u64,
    records: u64,
}

impl RecordReader {
    /// Reads from the beginning of a file.
    pub(super) fn new(file: File) -> io::Result<Self> {
        Ok(Self {
            len: file.metadata()?.len(),
            file: BufReader::with_capacity(READ_BUFFER_BYTES, file),
            end: 0,
            records: 0,
        })
    }

    /// Returns the offset after the last complete record; any bytes that follow are a torn tail.
    pub(super) fn end(&self) -> u64 {
        self.end
    }

    /// Returns the number of complete records read.
    pub(super) fn records(&self) -> u64 {
        self.records
    }

    /// Returns the number of bytes after the last complete record.
    pub(super) fn torn_bytes(&self) -> u64 {
        self.len - self.end
    }

    /// Returns the next record's payload, or `None` at the end or at a torn tail. An unreadable record is a torn
    /// tail only if no complete record follows it, because a sync covers everything written before.
    pub(super) fn next(&mut self) -> Result<Option<Bytes>, ReadError> {
        let offset = self.end;
        let Some((sequence, payload)) = self.read_record()? else {
            if offset < self.len && self.record_follows(offset + 1)? {
                let reason = "its checksum is wrong and more records follow";
                return Err(ReadError::Corrupt { offset, reason });
            }
            return Ok(None);
        };
        if sequence != self.records {
            let reason = "a record is missing";
            return Err(ReadError::Corrupt { offset, reason });
        }
        self.records += 1;
        self.end += (HEADER_BYTES + payload.len()) as u64;
        Ok(Some(payload.into()))
    }

    fn read_record(&mut self) -> io::Result<Option<(u64, Vec<u8>)>> {
        let Some(rest) = self.torn_bytes().checked_sub(HEADER_BYTES as u64) else {
            return Ok(None);
        };
        let mut header = [0; HEADER_BYTES];
        self.file.read_exact(&mut header)?;
        let Some(parsed) = RecordHeader::parse(&header).filter(|header| header.len <= rest) else {
            return Ok(None);
        };
        let mut payload = vec![0; parsed.len as usize];
        self.file.read_exact(&mut payload)?;
        let is_intact = checksum(&header, &payload) == parsed.checksum;
        Ok(is_intact.then_some((parsed.sequence, payload)))
    }

    /// Returns whether there is a complete record anywhere from an offset on.
    fn record_follows(&self, from: u64) -> io::Result<bool> {
        let mut window = vec![0; READ_BUFFER_BYTES];
        let mut at = from;
        while at + HEADER_BYTES as u64 <= self.len {
            let len = window.len().min((self.len - at) as usize);
            let bytes = &mut window[..len];
            read_at(self.file.get_ref(), bytes, at)?;
            let starts = bytes.windows(MAGIC_BYTES).enumerate();
            let starts = starts.filter(|(_, bytes)| *bytes == RECORD_MAGIC);
            for (start, _) in starts {
                if self.is_record(at + start as u64)? {
                    return Ok(true);
                }
            }
            // A magic number may lie across the windows.
            at += (len - (MAGIC_BYTES - 1)) as u64;
        }
        Ok(false)
    }

    fn is_record(&self, at: u64) -> io::Result<bool> {
        let Some(rest) = (self.len - at).checked_sub(HEADER_BYTES as u64) else {
            return Ok(false);
        };
        let file = self.file.get_ref();
        let mut header = [0; HEADER_BYTES];
        read_at(file, &mut header, at)?;
        let Some(parsed) = RecordHeader::parse(&header).filter(|header| header.len <= rest) else {
            return Ok(false);
        };
        let mut payload = vec![0; parsed.len as usize];
        read_at(file, &mut payload, at + HEADER_BYTES as u64)?;
        Ok(checksum(&header, &payload) == parsed.checksum)
    }
}

fn read_at(mut file: &File, buf: &mut [u8], at: u64) -> io::Result<()> {
    file.seek(SeekFrom::Start(at))?;
    file.read_exact(buf)
}
