//! A member's durable storage: a model in memory, or a real data folder.

use std::{
    fs::File,
    io,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use flamingocroft::{
    adapters::disk::{LogFile, LogStore, StoreError},
    replication::{LogWrite, Recovered},
    wire::Entry,
};
use tempfile::TempDir;

pub enum Disk {
    Memory(Recovered),
    Folder(DataFolder),
}

pub struct DataFolder {
    store: Option<LogStore>,
    folder: TempDir,
    pub fail_syncs: Arc<AtomicBool>,
}

#[derive(Debug)]
struct FailingFile(File, Arc<AtomicBool>);

impl LogFile for FailingFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        match self.1.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::StorageFull.into()),
            false => self.0.sync(),
        }
    }
}

impl DataFolder {
    fn open(&mut self) -> (Recovered, u64) {
        self.store = None;
        self.fail_syncs.store(false, Ordering::SeqCst);
        let fail_syncs = Arc::clone(&self.fail_syncs);
        let wrap = move |file| -> Box<dyn LogFile> {
            Box::new(FailingFile(file, Arc::clone(&fail_syncs)))
        };
        let (store, recovered, id) = LogStore::open_with(self.folder.path(), wrap).unwrap();
        self.store = Some(store);
        (recovered, id.0)
    }
}

impl Disk {
    /// Creates a data folder with a random member identifier.
    pub fn folder() -> (Self, u64) {
        let mut folder = DataFolder {
            store: None,
            folder: tempfile::tempdir().unwrap(),
            fail_syncs: Arc::default(),
        };
        let (_, id) = folder.open();
        (Self::Folder(folder), id)
    }

    /// Reads what a restarted member recovers.
    pub fn read(&mut self) -> Recovered {
        match self {
            Self::Memory(recovered) => recovered.clone(),
            Self::Folder(folder) => folder.open().0,
        }
    }

    pub fn write(&mut self, write: LogWrite) -> Result<(), StoreError> {
        match self {
            Self::Memory(recovered) => {
                write_to_memory(recovered, write);
                Ok(())
            }
            Self::Folder(folder) => {
                let store = folder.store.as_mut().unwrap();
                store.persist(write.hard_state, &write.entries, write.snapshot.as_ref())
            }
        }
    }
}

fn write_to_memory(recovered: &mut Recovered, write: LogWrite) {
    recovered.hard_state = write.hard_state.unwrap_or(recovered.hard_state.clone());
    let entries = &mut recovered.entries;
    for entry in write.entries {
        entries.retain(|old| old.index < entry.index);
        entries.push(entry);
    }
    if let Some(new) = write.snapshot {
        let same = |e: &Entry| e.index == new.index && e.term == new.term;
        let keep = entries.iter().any(same);
        entries.retain(|e| keep && e.index > new.index);
        recovered.snapshot = new;
    }
}
