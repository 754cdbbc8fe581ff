//! The files of a data folder. Files are replaced atomically: a crash leaves either the old or the new one.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{self, ErrorKind, Read, Seek, SeekFrom, Write},
    path::{Path, PathBuf},
};

use super::StoreError;

const LOCK_FILE: &str = "lock";
const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT: &str = "log-";
const TEMPORARY_EXTENSION: &str = "tmp";
/// Size of the parts in which a file is rewritten in place.
const REWRITE_BYTES: usize = 256 * 1024;

#[derive(Debug)]
pub(super) struct DataFolder {
    path: PathBuf,
    /// Keeps the folder locked until the store is dropped or the process ends.
    _lock: File,
}

impl DataFolder {
    /// Creates the folder if needed, and locks it against other processes.
    pub(super) fn open(path: &Path) -> Result<Self, StoreError> {
        fs::create_dir_all(path).map_err(StoreError::io("create", path))?;
        let lock_path = path.join(LOCK_FILE);
        let lock = OpenOptions::new()
            .create(true)
            .truncate(false)
            .write(true)
            .open(&lock_path)
            .map_err(StoreError::io("open", &lock_path))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(StoreError::Locked(path.to_owned())),
            Err(TryLockError::Error(error)) => {
                return Err(StoreError::io("lock", &lock_path)(error));
            }
        }
        let folder = Self {
            path: path.to_owned(),
            _lock: lock,
        };
        sync_folder(&path.join(".."))?;
        Ok(folder)
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    pub(super) fn snapshot(&self) -> PathBuf {
        self.path.join(SNAPSHOT_FILE)
    }

    pub(super) fn segment(&self, number: u64) -> PathBuf {
        self.path.join(format!("{SEGMENT}{number}"))
    }

    /// Returns the numbers of the segments, oldest first.
    pub(super) fn segments(&self) -> Result<Vec<u64>, StoreError> {
        let listing = fs::read_dir(&self.path).map_err(StoreError::io("list", &self.path))?;
        let mut numbers = Vec::new();
        for file in listing {
            let file = file.map_err(StoreError::io("list", &self.path))?;
            let name = file.file_name();
            let number = name.to_str().and_then(|name| name.strip_prefix(SEGMENT));
            numbers.extend(number.and_then(|number| number.parse::<u64>().ok()));
        }
        numbers.sort_unstable();
        Ok(numbers)
    }

    /// Opens a file for reading. Returns `None` if it does not exist.
    pub(super) fn open_for_reading(&self, path: &Path) -> Result<Option<File>, StoreError> {
        match File::open(path) {
            Ok(file) => Ok(Some(file)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(StoreError::io("read", path)(error)),
        }
    }

    /// Returns the size of a file in bytes; zero if it does not exist.
    pub(super) fn size(&self, path: &Path) -> Result<u64, StoreError> {
        match fs::metadata(path) {
            Ok(metadata) => Ok(metadata.len()),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(0),
            Err(error) => Err(StoreError::io("read", path)(error)),
        }
    }

    /// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder. After a
    /// failure the temporary file is removed, because the disk may be full.
    pub(super) fn replace(
        &self,
        path: &Path,
        write: impl FnOnce(&mut File) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        let temporary = path.with_extension(TEMPORARY_EXTENSION);
        let mut file = File::create(&temporary).map_err(StoreError::io("create", &temporary))?;
        let written = write(&mut file)
            .map_err(StoreError::io("write", &temporary))
            .and_then(|()| file.sync_all().map_err(StoreError::io("sync", &temporary)))
            .and_then(|()| {
                fs::rename(&temporary, path).map_err(StoreError::io("rename", &temporary))
            });
        if written.is_err() {
            remove_temporary(&temporary);
        }
        written?;
        self.sync()
    }

    /// Writes the bytes of a file up to `len` over themselves, truncates the rest and syncs it. This needs no free
    /// space; a crash on the way leaves the same bytes.
    pub(super) fn rewrite_in_place(&self, path: &Path, len: u64) -> Result<(), StoreError> {
        let rewrite = || {
            let mut file = OpenOptions::new().read(true).write(true).open(path)?;
            file.set_len(len)?;
            let mut buf = vec![0; REWRITE_BYTES];
            let mut at = 0;
            while at < len {
                let part = &mut buf[..REWRITE_BYTES.min((len - at) as usize)];
                file.seek(SeekFrom::Start(at))?;
                file.read_exact(part)?;
                file.seek(SeekFrom::Start(at))?;
                file.write_all(part)?;
                at += part.len() as u64;
            }
            file.sync_all()
        };
        rewrite().map_err(StoreError::io("rewrite", path))
    }

    /// Removes what a crash left behind: temporary files, and segments older than the newest one, which was synced
    /// as a whole before it got its name. So they do not take up the space that a start needs.
    pub(super) fn remove_leftovers(&self) -> Result<(), StoreError> {
        let listing = fs::read_dir(&self.path).map_err(StoreError::io("list", &self.path))?;
        for file in listing {
            let path = file.map_err(StoreError::io("list", &self.path))?.path();
            if path
                .extension()
                .is_some_and(|extension| extension == TEMPORARY_EXTENSION)
            {
                remove_temporary(&path);
            }
        }
        if let Some(newest) = self.segments()?.last() {
            // Otherwise a power loss could undo the newest one's name and not the removals.
            self.sync()?;
            self.remove_segments_before(*newest)?;
        }
        Ok(())
    }

    /// Removes the segments that a newer one replaces.
    pub(super) fn remove_segments_before(&self, number: u64) -> Result<(), StoreError> {
        for old in self.segments()?.into_iter().filter(|old| *old < number) {
            let path = self.segment(old);
            fs::remove_file(&path).map_err(StoreError::io("remove", &path))?;
        }
        Ok(())
    }

    /// Removes a segment that may have got its name although writing it failed, so that it is never read in place
    /// of the older one.
    pub(super) fn discard_segment(&self, number: u64) -> Result<(), StoreError> {
        let path = self.segment(number);
        match fs::remove_file(&path) {
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(()),
            Err(error) => Err(StoreError::io("remove", &path)(error)),
            Ok(()) => self.sync(),
        }
    }

    fn sync(&self) -> Result<(), StoreError> {
        sync_folder(&self.path)
    }

    /// Opens an existing file for appending.
    pub(super) fn open_for_append(&self, path: &Path) -> Result<File, StoreError> {
        OpenOptions::new()
            .append(true)
            .open(path)
            .map_err(StoreError::io("open", path))
    }
}

fn remove_temporary(path: &Path) {
    if let Err(error) = fs::remove_file(path)
        && error.kind() != ErrorKind::NotFound
    {
        log::warn!(
            "disk: cannot remove {}, which takes up space: {error}",
            path.display()
        );
    }
}

fn sync_folder(path: &Path) -> Result<(), StoreError> {
    File::open(path)
        .and_then(|folder| folder.sync_all())
        .map_err(StoreError::io("sync", path))
}
