//! The files of a data folder. Files are replaced atomically: a crash leaves either the old or the new one.

use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io,
    path::{Path, PathBuf},
};

use super::StoreError;

const LOCK_FILE: &str = "lock";
const SNAPSHOT_FILE: &str = "snapshot";
const SEGMENT: &str = "log-";
const TEMPORARY_EXTENSION: &str = "tmp";

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
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(None),
            Err(error) => Err(StoreError::io("read", path)(error)),
        }
    }

    /// Replaces a file atomically: writes a temporary file, syncs it, renames it and syncs the folder.
    pub(super) fn replace(
        &self,
        path: &Path,
        write: impl FnOnce(&mut File) -> io::Result<()>,
    ) -> Result<(), StoreError> {
        let temporary = path.with_extension(TEMPORARY_EXTENSION);
        let mut file = File::create(&temporary).map_err(StoreError::io("create", &temporary))?;
        write(&mut file).map_err(StoreError::io("write", &temporary))?;
        file.sync_all()
            .map_err(StoreError::io("sync", &temporary))?;
        fs::rename(&temporary, path).map_err(StoreError::io("rename", &temporary))?;
        sync_folder(&self.path)
    }

    pub(super) fn remove(&self, path: &Path) -> Result<(), StoreError> {
        fs::remove_file(path).map_err(StoreError::io("remove", path))
    }

    /// Opens an existing file for appending.
    pub(super) fn open_for_append(&self, path: &Path) -> Result<File, StoreError> {
        OpenOptions::new()
            .append(true)
            .open(path)
            .map_err(StoreError::io("open", path))
    }
}

fn sync_folder(path: &Path) -> Result<(), StoreError> {
    File::open(path)
        .and_then(|folder| folder.sync_all())
        .map_err(StoreError::io("sync", path))
}
