//! Damage to data folders, as killed processes leave it.

use std::{
    fs,
    path::{Path, PathBuf},
};

/// Bytes of a record that is cut off: its header and the beginning of its message.
const HALF_RECORD_BYTES: usize = 24;

/// Returns the newest segment of a folder.
fn newest_segment(folder: &Path) -> PathBuf {
    let files = fs::read_dir(folder).unwrap();
    let files = files.map(|file| file.unwrap().path());
    let segments = files.filter(|file| {
        file.file_name()
            .unwrap()
            .to_string_lossy()
            .starts_with("log-")
    });
    segments.max().unwrap()
}

/// Appends the beginning of a record, as a process leaves it that is killed while it writes.
pub fn append_half_a_record(folder: &Path) {
    let segment = newest_segment(folder);
    let mut bytes = fs::read(&segment).unwrap();
    bytes.extend_from_within(..HALF_RECORD_BYTES);
    fs::write(segment, bytes).unwrap();
}
