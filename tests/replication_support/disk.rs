//! What survives a crash of a member: a naive copy in memory, or a real data folder.

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
    Folder(Folder),
}

pub struct Folder {
    store: Option<LogStore>,
    folder: TempDir,
    pub broken: Arc<AtomicBool>,
}

#[derive(Debug)]
struct Breakable(File, Arc<AtomicBool>);

impl LogFile for Breakable {
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

impl Folder {
    fn open(&mut self) -> (Recovered, u64) {
        self.store = None;
        self.broken.store(false, Ordering::SeqCst);
        let broken = Arc::clone(&self.broken);
        let wrap =
            move |file| -> Box<dyn LogFile> { Box::new(Breakable(file, Arc::clone(&broken))) };
        let (store, recovered, id) = LogStore::open_with(self.folder.path(), wrap).unwrap();
        self.store = Some(store);
        (recovered, id.0)
    }
}

impl Disk {
    /// Makes a data folder with a random member identifier.
    pub fn folder() -> (Self, u64) {
        let mut folder = Folder {
            store: None,
            folder: tempfile::tempdir().unwrap(),
            broken: Arc::default(),
        };
        let (_, id) = folder.open();
        (Self::Folder(folder), id)
    }

    /// Reads back what a restarted member finds.
    pub fn read(&mut self) -> Recovered {
        match self {
            Self::Memory(recovered) => recovered.clone(),
            Self::Folder(folder) => folder.open().0,
        }
    }

    pub fn write(&mut self, write: LogWrite) -> Result<(), StoreError> {
        match self {
            Self::Memory(recovered) => {
                write_naively(recovered, write);
                Ok(())
            }
            Self::Folder(folder) => {
                let store = folder.store.as_mut().unwrap();
                store.persist(write.hard_state, &write.entries, write.snapshot.as_ref())
            }
        }
    }
}

fn write_naively(recovered: &mut Recovered, write: LogWrite) {
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
