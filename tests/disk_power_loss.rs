//! Loss of power at any moment: of what was written after the last sync each part may be there, missing or
//! torn; removed files may come back, and unfinished ones stay behind.

use std::{
    fs::{self, File, OpenOptions},
    io::{self, Seek, SeekFrom, Write as _},
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use flamingocroft::{
    adapters::disk::{LogFile, LogStore},
    domain::MemberId,
    replication::{HardState, Recovered, Snapshot},
    wire::{Entry, MembershipRecord},
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};

/// A file whose syncs fail once the power is about to go.
#[derive(Debug)]
struct Powered {
    file: File,
    fails: Arc<AtomicBool>,
}

impl LogFile for Powered {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        match self.fails.load(Ordering::SeqCst) {
            true => Err(io::ErrorKind::Other.into()),
            false => self.file.sync(),
        }
    }
}

/// What becomes of the bytes that were written after the last sync.
#[derive(Clone, Copy, Debug)]
enum Loss {
    Present,
    Gone,
    /// The file ends in the middle of them.
    Cut(u16),
    /// A range of them reads as zeros.
    Zeros(u16, u16),
    /// A range of them holds something else.
    Torn(u16, u16, u8),
}

#[derive(Clone, Debug)]
struct Step {
    entries: u8,
    size: u16,
    term: bool,
    snapshot: bool,
}

fn step() -> impl Strategy<Value = Step> {
    (
        0..4u8,
        0..3000u16,
        any::<bool>(),
        prop::bool::weighted(0.15),
    )
        .prop_map(|(entries, size, term, snapshot)| Step {
            entries,
            size,
            term,
            snapshot,
        })
}

fn loss() -> impl Strategy<Value = Loss> {
    prop_oneof![
        Just(Loss::Present),
        Just(Loss::Gone),
        any::<u16>().prop_map(Loss::Cut),
        any::<(u16, u16)>().prop_map(|(a, b)| Loss::Zeros(a, b)),
        any::<(u16, u16, u8)>().prop_map(|(a, b, x)| Loss::Torn(a, b, x)),
    ]
}

/// What a member has been told to keep.
#[derive(Clone, Default, Debug, PartialEq)]
struct Model {
    hard_state: HardState,
    entries: Vec<Entry>,
    snapshot: Snapshot,
}

impl Model {
    fn of(recovered: Recovered) -> Self {
        Self {
            hard_state: recovered.hard_state,
            entries: recovered.entries,
            snapshot: recovered.snapshot,
        }
    }

    /// Returns the next things to write, and the model with them.
    fn next(&self, step: &Step) -> (Option<HardState>, Vec<Entry>, Self) {
        let mut after = self.clone();
        if step.term {
            after.hard_state.term += 1;
            after.hard_state.vote = Some(MemberId(7));
        }
        let last = after
            .entries
            .last()
            .map_or(after.snapshot.index, |e| e.index);
        let entries: Vec<_> = (1..=u64::from(step.entries))
            .map(|n| Entry {
                index: last + n,
                term: after.hard_state.term.max(1),
                data: Bytes::from(vec![n as u8; step.size.into()]),
                ..Entry::default()
            })
            .collect();
        after.entries.extend(entries.iter().cloned());
        (step.term.then(|| after.hard_state.clone()), entries, after)
    }
}

fn newest_segment(folder: &Path) -> PathBuf {
    let number = |path: &PathBuf| -> Option<u64> {
        path.file_name()?
            .to_str()?
            .strip_prefix("log-")?
            .parse()
            .ok()
    };
    let files = fs::read_dir(folder)
        .unwrap()
        .map(|file| file.unwrap().path());
    let segments = files.filter(|path| number(path).is_some());
    segments.max_by_key(number).unwrap()
}

fn lose(path: &Path, synced: u64, loss: Loss) {
    let mut file = OpenOptions::new().write(true).open(path).unwrap();
    let written = file.metadata().unwrap().len() - synced;
    let range = |a: u16, b: u16| {
        let at = |x: u16| u64::from(x) * written / u64::from(u16::MAX);
        (at(a.min(b)), at(a.max(b)))
    };
    let mut fill = |(begin, end): (u64, u64), byte: u8| {
        file.seek(SeekFrom::Start(synced + begin)).unwrap();
        file.write_all(&vec![byte; (end - begin) as usize]).unwrap();
    };
    match loss {
        Loss::Present => {}
        Loss::Gone => file.set_len(synced).unwrap(),
        Loss::Cut(at) => file.set_len(synced + range(0, at).1).unwrap(),
        Loss::Zeros(a, b) => fill(range(a, b), 0),
        Loss::Torn(a, b, byte) => fill(range(a, b), byte),
    }
}

proptest! {
    #![proptest_config(Config {
        cases: 160,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    })]

    #[test]
    fn a_loss_of_power_keeps_what_was_synced(
        lives in prop::collection::vec((prop::collection::vec(step(), 0..8), step(), loss()), 1..5),
    ) {
        let folder = tempfile::tempdir().unwrap();
        let folder = folder.path();
        let mut model = Model::default();
        let mut member = None;
        for (steps, last, loss) in lives {
            let fails = Arc::new(AtomicBool::new(false));
            let wrapped = Arc::clone(&fails);
            let wrap = move |file| -> Box<dyn LogFile> {
                Box::new(Powered { file, fails: Arc::clone(&wrapped) })
            };
            let (mut store, recovered, id) = LogStore::open_with(folder, wrap).unwrap();
            prop_assert_eq!(&Model::of(recovered), &model);
            prop_assert_eq!(*member.get_or_insert(id), id);
            let mut removed = None;
            for step in steps {
                let (hard_state, entries, mut after) = model.next(&step);
                store.persist(hard_state, &entries, None).unwrap();
                if let (true, Some(covered)) = (step.snapshot, after.entries.last()) {
                    after.snapshot = Snapshot {
                        index: covered.index,
                        term: covered.term,
                        membership: MembershipRecord::default(),
                        state: Bytes::from_static(b"the state"),
                    };
                    after.entries.clear();
                    let old = newest_segment(folder);
                    removed = Some((old.clone(), fs::read(&old).unwrap()));
                    store.persist(None, &[], Some(&after.snapshot)).unwrap();
                }
                model = after;
            }
            let path = newest_segment(folder);
            let synced = fs::metadata(&path).unwrap().len();
            fails.store(true, Ordering::SeqCst);
            let (hard_state, entries, after) = model.next(&last);
            let writes = hard_state.is_some() || !entries.is_empty();
            let persisted = store.persist(hard_state, &entries, None);
            prop_assert_eq!(persisted.is_err(), writes, "nothing is acknowledged without a sync");
            drop(store);
            lose(&path, synced, loss);
            // A removal whose folder was not synced, and a file that never got its name.
            if let Some((old, bytes)) = removed {
                fs::write(old, bytes).unwrap();
            }
            fs::write(folder.join("log-99.tmp"), b"unfinished").unwrap();
            let (store, recovered, _) = LogStore::open(folder).unwrap();
            drop(store);
            let found = Model::of(recovered);
            prop_assert!(found == model || found == after, "{found:?}\nnot {model:?}\nnor {after:?}");
            model = found;
        }
    }
}
