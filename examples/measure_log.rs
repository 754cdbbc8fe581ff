//! Measures a cluster of one member: entries per second and the latency from proposal to commit, with a
//! real sync for each batch. Usage: `measure_log [FOLDER] [SECONDS]`.

use std::{
    env, fs,
    path::PathBuf,
    time::{Duration, Instant},
};

use anyhow::Context;
use bytes::Bytes;
use flamingocroft::{
    adapters::disk::LogStore,
    domain::MemberId,
    replication::{
        Batch, Bootstrap, BootstrapStep, Effect, Input, Replica, ReplicaSettings, Role, Ticket,
    },
};
use hdrhistogram::Histogram;

const COMMAND_BYTES: usize = 200;
const BATCH_SIZES: [usize; 3] = [1, 16, 256];
/// Number of batches over which the growth of the log is measured.
const GROWTH_BATCHES: usize = 10;
/// Entries between compactions of the log to an empty state, which bound the file size.
const COMPACTION_INTERVAL_ENTRIES: u64 = 100_000;

fn main() -> anyhow::Result<()> {
    let mut args = env::args().skip(1);
    let folder = args.next().map_or_else(env::temp_dir, PathBuf::from);
    let seconds = args.next().map_or(Ok(5), |text| text.parse())?;
    println!(
        "{COMMAND_BYTES}-byte commands, {seconds} s each, in {}",
        folder.display()
    );
    println!("batch  entries/s  syncs/s  p50 us  p99 us  worst us  disk bytes/entry");
    for batch in BATCH_SIZES {
        let folder = tempfile::tempdir_in(&folder).context("cannot make a folder")?;
        let mut member = Member::open(folder)?;
        measure(&mut member, batch, Duration::from_secs(seconds))?;
    }
    Ok(())
}

fn measure(member: &mut Member, batch: usize, time: Duration) -> anyhow::Result<()> {
    let command = Bytes::from(vec![7; COMMAND_BYTES]);
    let mut latency = Histogram::<u64>::new(3)?;
    let (mut entries, mut syncs) = (0, 0);
    let begin = Instant::now();
    while begin.elapsed() < time {
        let proposed = Instant::now();
        let proposals = (0..batch).map(|number| Input::Propose {
            ticket: Ticket(number as u64),
            command: command.clone(),
        });
        let committed = member.handle(proposals)?;
        anyhow::ensure!(
            committed == batch,
            "{committed} of {batch} entries committed"
        );
        let micros = proposed.elapsed().as_micros() as u64;
        latency.record_n(micros.max(1), batch as u64)?;
        entries += batch;
        syncs += 1;
        member.compact()?;
    }
    let elapsed = begin.elapsed().as_secs_f64();
    let before = member.log_bytes()?;
    (0..GROWTH_BATCHES).try_for_each(|_| member.commit(batch, &command))?;
    let growth = member.log_bytes()? - before;
    println!(
        "{batch:5}  {:9.0}  {:7.0}  {:6}  {:6}  {:8}  {:16.1}",
        entries as f64 / elapsed,
        f64::from(syncs) / elapsed,
        latency.value_at_quantile(0.5),
        latency.value_at_quantile(0.99),
        latency.max(),
        growth as f64 / (GROWTH_BATCHES * batch) as f64,
    );
    Ok(())
}

struct Member {
    replica: Replica,
    store: LogStore,
    start: Instant,
    compacted_index: u64,
    folder: tempfile::TempDir,
}

impl Member {
    fn open(folder: tempfile::TempDir) -> anyhow::Result<Self> {
        let (mut store, recovered, own) = LogStore::open(folder.path())?;
        let bootstrap = Bootstrap::new(own, "alone".into(), ["alone".into()], &recovered);
        let BootstrapStep::FormCluster(state) = bootstrap.next_step() else {
            anyhow::bail!("{} is not empty", folder.path().display());
        };
        store.persist(Some(state.hard_state.clone()), &[], Some(&state.snapshot))?;
        let settings = ReplicaSettings::default();
        let replica = Replica::new(MemberId(own.0), state, settings, 1, Duration::ZERO);
        let mut member = Self {
            replica,
            store,
            // Backdated, so that the election timeout has expired and it campaigns immediately.
            start: Instant::now() - Duration::from_secs(1),
            compacted_index: 0,
            folder,
        };
        member.handle([])?;
        anyhow::ensure!(
            member.replica.role() == Role::Leader,
            "the only member is not the leader"
        );
        Ok(member)
    }

    fn commit(&mut self, batch: usize, command: &Bytes) -> anyhow::Result<()> {
        let proposals = (0..batch).map(|number| Input::Propose {
            ticket: Ticket(number as u64),
            command: command.clone(),
        });
        let committed = self.handle(proposals)?;
        anyhow::ensure!(
            committed == batch,
            "{committed} of {batch} entries committed"
        );
        Ok(())
    }

    fn log_bytes(&self) -> anyhow::Result<u64> {
        fs::read_dir(self.folder.path())?
            .map(|file| Ok(file?.metadata()?.len()))
            .sum()
    }

    /// Steps a batch of inputs, syncs it, and returns the number of committed proposals.
    fn handle(&mut self, inputs: impl IntoIterator<Item = Input>) -> anyhow::Result<usize> {
        let now = self.start.elapsed();
        let mut batch = Batch::default();
        for input in inputs {
            batch.add(self.replica.step(now, input));
        }
        batch.add(self.replica.step(now, Input::Tick));
        let mut committed = 0;
        loop {
            for write in batch.take_writes() {
                self.store
                    .persist(write.hard_state, &write.entries, write.snapshot.as_ref())?;
            }
            let answered = |e: &Effect| {
                matches!(
                    e,
                    Effect::Apply {
                        ticket: Some(_),
                        ..
                    }
                )
            };
            committed += batch
                .take_other_effects()
                .into_iter()
                .filter(answered)
                .count();
            let persisted = batch.take_persisted_inputs();
            if persisted.is_empty() {
                return Ok(committed);
            }
            for input in persisted {
                batch.add(self.replica.step(now, input));
            }
        }
    }

    fn compact(&mut self) -> anyhow::Result<()> {
        let index = self.replica.applied();
        if index < self.compacted_index + COMPACTION_INTERVAL_ENTRIES {
            return Ok(());
        }
        self.compacted_index = index;
        let state = Bytes::new();
        self.handle([Input::Compact { index, state }]).map(drop)
    }
}
