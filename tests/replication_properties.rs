//! Random fault injection: messages are delayed, duplicated, reordered or dropped; members crash and lose
//! what was not synced; disks are emptied or hang; all members lose power; the network is partitioned. The
//! invariants of `Cluster` must hold at every step, and no acknowledged entry may be lost.

mod replication_support;

use std::time::Duration;

use flamingocroft::{
    domain::MemberId,
    replication::{Input, MemberChange, ReplicaSettings},
    wire::ReplicaMessage,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use replication_support::Cluster;

#[derive(Clone, Copy, Debug)]
enum Action {
    AdvanceTime(u8),
    Tick(u8),
    Deliver(u16),
    Duplicate(u16),
    Drop(u16),
    Delay(u16),
    Reinject(u16),
    Sync(u8),
    Propose(u8),
    Read(u8),
    Crash(u8),
    Stop(u8),
    StartAll,
    Compact(u8),
    CutOneWay(u8, u8),
    CutBothWays(u8, u8),
    Heal,
    Run(u8),
    Wipe(u8),
    Repair,
    /// All members crash at the same moment.
    PowerLoss,
    /// A disk completes no write until `ReleaseDisks`.
    HangDisk(u8),
    ReleaseDisks,
    /// Splits the members into two groups that can't reach each other.
    Partition(u8),
}

fn action() -> impl Strategy<Value = Action> {
    use Action::*;
    prop_oneof![
        24 => (1..80u8).prop_map(AdvanceTime),
        40 => any::<u8>().prop_map(Tick),
        160 => any::<u16>().prop_map(Deliver),
        16 => any::<u16>().prop_map(Duplicate),
        16 => any::<u16>().prop_map(Drop),
        16 => any::<u16>().prop_map(Delay),
        12 => any::<u16>().prop_map(Reinject),
        56 => any::<u8>().prop_map(Sync),
        32 => any::<u8>().prop_map(Propose),
        32 => any::<u8>().prop_map(Read),
        12 => any::<u8>().prop_map(Crash),
        4 => any::<u8>().prop_map(Stop),
        8 => Just(StartAll),
        4 => any::<u8>().prop_map(Compact),
        4 => any::<(u8, u8)>().prop_map(|(a, b)| CutOneWay(a, b)),
        12 => any::<(u8, u8)>().prop_map(|(a, b)| CutBothWays(a, b)),
        4 => Just(Heal),
        24 => (1..20u8).prop_map(Run),
        4 => any::<u8>().prop_map(Wipe),
        24 => Just(Repair),
        1 => Just(PowerLoss),
        1 => any::<u8>().prop_map(HangDisk),
        16 => Just(ReleaseDisks),
        1 => any::<u8>().prop_map(Partition),
    ]
}

/// A cluster with the delayed messages and the repair in progress.
struct FaultRun {
    cluster: Cluster,
    delayed: Vec<ReplicaMessage>,
    /// The member whose disk was emptied, and the member that replaces it.
    repair: Option<(u64, u64)>,
    wiped: usize,
}

impl FaultRun {
    fn new(members: u64) -> Self {
        let settings = ReplicaSettings {
            max_entries_per_append: 4,
            retained_entries: 3,
            ..ReplicaSettings::default()
        };
        let rates = [1.0, 0.96, 1.04, 0.97, 1.03];
        Self {
            cluster: Cluster::with_settings(members, settings, &rates),
            delayed: Vec::new(),
            repair: None,
            wiped: 0,
        }
    }

    fn act(&mut self, action: Action) {
        let cluster = &mut self.cluster;
        let count = cluster.nodes.len();
        let position = |n: u8| usize::from(n) % count;
        match action {
            Action::AdvanceTime(ms) => cluster.now += Duration::from_millis(ms.into()),
            Action::Tick(n) => cluster.step(position(n), Input::Tick),
            Action::Deliver(n) => cluster.deliver(n.into(), false),
            Action::Duplicate(n) => cluster.deliver(n.into(), true),
            Action::Drop(n) => drop(take(&mut cluster.messages, n)),
            Action::Delay(n) => self.delayed.extend(take(&mut cluster.messages, n)),
            Action::Reinject(n) => cluster.messages.extend(take(&mut self.delayed, n)),
            Action::Sync(n) => cluster.sync(position(n)),
            Action::Propose(n) => drop(cluster.propose(cluster.leader().unwrap_or(position(n)))),
            // Any member, so that a deposed leader that does not know it yet is read from as well.
            Action::Read(n) => drop(cluster.read(position(n))),
            Action::Crash(n) => drop(cluster.crash(position(n))),
            Action::Stop(n) => cluster.nodes[position(n)].up = false,
            Action::StartAll => cluster.nodes.iter_mut().for_each(|node| node.up = true),
            Action::Compact(n) => cluster.compact(position(n)),
            Action::CutOneWay(a, b) => {
                let [a, b] = [a, b].map(|n| cluster.nodes[position(n)].id);
                cluster.blocked_links.insert((a, b));
            }
            Action::CutBothWays(a, b) => {
                let [a, b] = [a, b].map(|n| cluster.nodes[position(n)].id);
                cluster.blocked_links.extend([(a, b), (b, a)]);
            }
            Action::Heal => cluster.blocked_links.clear(),
            Action::Run(n) => cluster.run(n.into()),
            Action::Wipe(n) => self.wipe(position(n)),
            Action::Repair => self.repair(),
            Action::PowerLoss => (0..count).for_each(|n| drop(cluster.crash(n))),
            Action::HangDisk(n) => cluster.nodes[position(n)].disk_hangs = true,
            Action::ReleaseDisks => cluster
                .nodes
                .iter_mut()
                .for_each(|node| node.disk_hangs = false),
            Action::Partition(which) => {
                let half = |n: usize| which >> (n % 8) & 1;
                let ids: Vec<_> = cluster.nodes.iter().map(|node| node.id).collect();
                for (a, from) in ids.iter().enumerate() {
                    let apart = ids.iter().enumerate().filter(|(b, _)| half(a) != half(*b));
                    cluster
                        .blocked_links
                        .extend(apart.map(|(_, to)| (*from, *to)));
                }
            }
        }
    }

    /// Empties a disk, unless another emptied member has not been replaced yet.
    fn wipe(&mut self, position: usize) {
        if self.repair.is_some() {
            return;
        }
        let old = self.cluster.nodes[position].id;
        let new = self.cluster.wipe(position);
        self.repair = Some((old, new));
        self.wiped += 1;
    }

    /// Requests the next membership change that replaces the emptied member.
    fn repair(&mut self) {
        let (Some((old, new)), Some(leader)) = (self.repair, self.cluster.leader()) else {
            return;
        };
        let replica = &self.cluster.nodes[leader].replica;
        let record = replica.membership();
        let change = if record.voters.contains(&old) {
            MemberChange::Remove(MemberId(old))
        } else if record.learners.contains(&new) {
            MemberChange::Promote(MemberId(new))
        } else if !record.voters.contains(&new) {
            MemberChange::AddLearner(MemberId(new))
        } else {
            if replica.commit() == replica.last_index() {
                self.repair = None;
            }
            return;
        };
        self.cluster.change_members(leader, change);
    }
}

fn take(messages: &mut Vec<ReplicaMessage>, number: u16) -> Option<ReplicaMessage> {
    let number = usize::from(number).checked_rem(messages.len())?;
    Some(messages.remove(number))
}

fn config(cases: u32, seed: u64) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config(320, 1))]

    #[test]
    fn three_members_uphold_all_invariants(
        actions in prop::collection::vec(action(), 100..800),
    ) {
        let mut run = FaultRun::new(3);
        actions.into_iter().for_each(|action| run.act(action));
        run.cluster.heal_and_converge();
    }
}

proptest! {
    #![proptest_config(config(96, 2))]

    #[test]
    fn five_members_uphold_all_invariants(
        actions in prop::collection::vec(action(), 100..1200),
    ) {
        let mut run = FaultRun::new(5);
        actions.into_iter().for_each(|action| run.act(action));
        run.cluster.heal_and_converge();
    }
}

/// Guards the property tests against becoming vacuous: their actions must lead to commits, reads, repairs
/// and snapshots.
#[test]
fn the_actions_reach_commits_reads_wipes_and_snapshots() {
    use proptest::{strategy::ValueTree, test_runner::TestRunner};

    let mut runner = TestRunner::new(config(1, 3));
    let strategy = prop::collection::vec(action(), 400..800);
    let (mut acknowledged, mut reads, mut wiped, mut compacted, mut repaired) = (0, 0, 0, 0, 0);
    let mut faults = [0; 3];
    for _ in 0..40 {
        let mut run = FaultRun::new(3);
        let actions = strategy.new_tree(&mut runner).unwrap().current();
        for action in actions {
            let repairing = run.repair.is_some();
            match action {
                Action::PowerLoss => faults[0] += 1,
                Action::HangDisk(_) => faults[1] += 1,
                Action::Partition(_) => faults[2] += 1,
                _ => {}
            }
            run.act(action);
            repaired += usize::from(repairing && run.repair.is_none());
        }
        acknowledged += run.cluster.invariants.acknowledged.len();
        reads += run.cluster.invariants.reads;
        wiped += run.wiped;
        for node in &mut run.cluster.nodes {
            compacted += usize::from(node.disk.read().snapshot.index > 1);
        }
    }
    println!(
        "{acknowledged} acknowledged, {reads} reads, {wiped} wiped, {repaired} repaired, {compacted} compacted"
    );
    assert!(faults.iter().all(|count| *count > 20), "{faults:?}");
    assert!(acknowledged > 200 && reads > 50 && wiped > 20 && repaired > 5 && compacted > 20);
}
