//! Power loss at any moment: each part of what was written after the last sync may be present, missing or
//! torn; removed files may reappear, and temporary files may remain.

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

/// A file whose syncs fail once a power loss is simulated.
#[derive(Debug)]
struct PowerLossFile {
    file: File,
    fails: Arc<AtomicBool>,
}

impl LogFile for PowerLossFile {
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

/// What happens to the bytes that were written after the last sync.
#[derive(Clone, Copy, Debug)]
enum TailLoss {
    Present,
    Gone,
    /// The file is truncated within them.
    Cut(u16),
    /// A range of them reads as zeros.
    Zeros(u16, u16),
    /// A range of them is overwritten with a byte.
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

fn loss() -> impl Strategy<Value = TailLoss> {
    prop_oneof![
        Just(TailLoss::Present),
        Just(TailLoss::Gone),
        any::<u16>().prop_map(TailLoss::Cut),
        any::<(u16, u16)>().prop_map(|(a, b)| TailLoss::Zeros(a, b)),
        any::<(u16, u16, u8)>().prop_map(|(a, b, x)| TailLoss::Torn(a, b, x)),
    ]
}

/// The contents that a data folder must have.
#[derive(Clone, Default, Debug, PartialEq)]
struct Model {
    hard_state: HardState,
    entries: Vec<Entry>,
    snapshot: Snapshot,
}

impl Model {
    fn from_recovered(recovered: Recovered) -> Self {
        Self {
            hard_state: recovered.hard_state,
            entries: recovered.entries,
            snapshot: recovered.snapshot,
        }
    }

    /// Returns the next hard state and entries to write, and the model that includes them.
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

fn apply_loss(path: &Path, synced: u64, loss: TailLoss) {
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
        TailLoss::Present => {}
        TailLoss::Gone => file.set_len(synced).unwrap(),
        TailLoss::Cut(at) => file.set_len(synced + range(0, at).1).unwrap(),
        TailLoss::Zeros(a, b) => fill(range(a, b), 0),
        TailLoss::Torn(a, b, byte) => fill(range(a, b), byte),
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
        runs in prop::collection::vec((prop::collection::vec(step(), 0..8), step(), loss()), 1..5),
    ) {
        let folder = tempfile::tempdir().unwrap();
        let folder = folder.path();
        let mut model = Model::default();
        let mut member = None;
        for (steps, last, loss) in runs {
            let fails = Arc::new(AtomicBool::new(false));
            let wrapped = Arc::clone(&fails);
            let wrap = move |file| -> Box<dyn LogFile> {
                Box::new(PowerLossFile { file, fails: Arc::clone(&wrapped) })
            };
            let (mut store, recovered, id) = LogStore::open_with(folder, wrap).unwrap();
            prop_assert_eq!(&Model::from_recovered(recovered), &model);
            prop_assert_eq!(*member.get_or_insert(id), id);
            let mut removed = None;
            for step in steps {
                let (hard_state, entries, mut after) = model.next(&step);
                store.persist(hard_state, &entries, None).unwrap();
                if let (true, Some(covered)) = (step.snapshot, after.entries.last()) {
                    after.snapshot = Snapshot {
                        index: covered.index,
                        term: covered.term,
                        membership: MembershipRecord {
                            voters: vec![1],
                            ..MembershipRecord::default()
                        },
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
            apply_loss(&path, synced, loss);
            // A removal that was not synced with the folder, and a file that was never renamed into place.
            if let Some((old, bytes)) = removed {
                fs::write(old, bytes).unwrap();
            }
            fs::write(folder.join("log-99.tmp"), b"unfinished").unwrap();
            let (store, recovered, _) = LogStore::open(folder).unwrap();
            drop(store);
            let found = Model::from_recovered(recovered);
            prop_assert!(found == model || found == after, "{found:?}\nnot {model:?}\nnor {after:?}");
            model = found;
        }
    }
}
