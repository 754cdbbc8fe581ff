//! Messages come late, twice, out of order or not at all; members crash and lose what was not synced;
//! disks are emptied or hang, all lose power, halves are cut off. The checks of `Group` must hold at every step, and nothing acknowledged is lost.

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
use replication_support::Group;

#[derive(Clone, Copy, Debug)]
enum Action {
    Pass(u8),
    Tick(u8),
    Deliver(u16),
    Duplicate(u16),
    Drop(u16),
    Delay(u16),
    Late(u16),
    Sync(u8),
    Propose(u8),
    Read(u8),
    Crash(u8),
    Stop(u8),
    Start,
    Compact(u8),
    Cut(u8, u8),
    Part(u8, u8),
    Heal,
    Run(u8),
    Wipe(u8),
    Repair,
    /// All lose power at the same moment.
    Power,
    /// A disk finishes no write until it is let go on.
    Hang(u8),
    GoOn,
    /// The members fall into two halves.
    Halves(u8),
}

fn action() -> impl Strategy<Value = Action> {
    use Action::*;
    prop_oneof![
        24 => (1..80u8).prop_map(Pass),
        40 => any::<u8>().prop_map(Tick),
        160 => any::<u16>().prop_map(Deliver),
        16 => any::<u16>().prop_map(Duplicate),
        16 => any::<u16>().prop_map(Drop),
        16 => any::<u16>().prop_map(Delay),
        12 => any::<u16>().prop_map(Late),
        56 => any::<u8>().prop_map(Sync),
        32 => any::<u8>().prop_map(Propose),
        32 => any::<u8>().prop_map(Read),
        12 => any::<u8>().prop_map(Crash),
        4 => any::<u8>().prop_map(Stop),
        8 => Just(Start),
        4 => any::<u8>().prop_map(Compact),
        4 => any::<(u8, u8)>().prop_map(|(a, b)| Cut(a, b)),
        12 => any::<(u8, u8)>().prop_map(|(a, b)| Part(a, b)),
        4 => Just(Heal),
        24 => (1..20u8).prop_map(Run),
        4 => any::<u8>().prop_map(Wipe),
        24 => Just(Repair),
        1 => Just(Power),
        1 => any::<u8>().prop_map(Hang),
        16 => Just(GoOn),
        1 => any::<u8>().prop_map(Halves),
    ]
}

/// A group together with what the network holds back and the repair in progress.
struct Trial {
    group: Group,
    late: Vec<ReplicaMessage>,
    /// The member whose disk was emptied, and who took its place.
    repair: Option<(u64, u64)>,
    wiped: usize,
}

impl Trial {
    fn new(members: u64) -> Self {
        let settings = ReplicaSettings {
            max_entries_per_append: 4,
            retained_entries: 3,
            ..ReplicaSettings::default()
        };
        let rates = [1.0, 0.96, 1.04, 0.97, 1.03];
        Self {
            group: Group::with(members, settings, &rates),
            late: Vec::new(),
            repair: None,
            wiped: 0,
        }
    }

    fn act(&mut self, action: Action) {
        let group = &mut self.group;
        let count = group.nodes.len();
        let place = |n: u8| usize::from(n) % count;
        match action {
            Action::Pass(ms) => group.now += Duration::from_millis(ms.into()),
            Action::Tick(n) => group.step(place(n), Input::Tick),
            Action::Deliver(n) => group.deliver(n.into(), false),
            Action::Duplicate(n) => group.deliver(n.into(), true),
            Action::Drop(n) => drop(take(&mut group.messages, n)),
            Action::Delay(n) => self.late.extend(take(&mut group.messages, n)),
            Action::Late(n) => group.messages.extend(take(&mut self.late, n)),
            Action::Sync(n) => group.sync(place(n)),
            Action::Propose(n) => drop(group.propose(group.leader().unwrap_or(place(n)))),
            // Also of a leader that does not know yet that it is deposed.
            Action::Read(n) => drop(group.read(place(n))),
            Action::Crash(n) => drop(group.crash(place(n))),
            Action::Stop(n) => group.nodes[place(n)].up = false,
            Action::Start => group.nodes.iter_mut().for_each(|node| node.up = true),
            Action::Compact(n) => group.compact(place(n)),
            Action::Cut(a, b) => {
                let [a, b] = [a, b].map(|n| group.nodes[place(n)].id);
                group.cut.insert((a, b));
            }
            Action::Part(a, b) => {
                let [a, b] = [a, b].map(|n| group.nodes[place(n)].id);
                group.cut.extend([(a, b), (b, a)]);
            }
            Action::Heal => group.cut.clear(),
            Action::Run(n) => group.run(n.into()),
            Action::Wipe(n) => self.wipe(place(n)),
            Action::Repair => self.repair(),
            Action::Power => (0..count).for_each(|n| drop(group.crash(n))),
            Action::Hang(n) => group.nodes[place(n)].hangs = true,
            Action::GoOn => group.nodes.iter_mut().for_each(|node| node.hangs = false),
            Action::Halves(which) => {
                let half = |n: usize| which >> (n % 8) & 1;
                let ids: Vec<_> = group.nodes.iter().map(|node| node.id).collect();
                for (a, from) in ids.iter().enumerate() {
                    let apart = ids.iter().enumerate().filter(|(b, _)| half(a) != half(*b));
                    group.cut.extend(apart.map(|(_, to)| (*from, *to)));
                }
            }
        }
    }

    /// Empties a disk, but not a second one before the first is replaced.
    fn wipe(&mut self, place: usize) {
        if self.repair.is_some() {
            return;
        }
        let old = self.group.nodes[place].id;
        let new = self.group.wipe(place);
        self.repair = Some((old, new));
        self.wiped += 1;
    }

    /// Asks the leader for the next change that puts the emptied member back.
    fn repair(&mut self) {
        let (Some((old, new)), Some(leader)) = (self.repair, self.group.leader()) else {
            return;
        };
        let replica = &self.group.nodes[leader].replica;
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
        self.group.change(leader, change);
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
    fn three_members_keep_every_promise(
        actions in prop::collection::vec(action(), 100..800),
    ) {
        let mut trial = Trial::new(3);
        actions.into_iter().for_each(|action| trial.act(action));
        trial.group.settle();
    }
}

proptest! {
    #![proptest_config(config(96, 2))]

    #[test]
    fn five_members_keep_every_promise(
        actions in prop::collection::vec(action(), 100..1200),
    ) {
        let mut trial = Trial::new(5);
        actions.into_iter().for_each(|action| trial.act(action));
        trial.group.settle();
    }
}

/// The runs above would show nothing if little happened in them.
#[test]
fn the_actions_reach_commits_reads_wipes_and_snapshots() {
    use proptest::{strategy::ValueTree, test_runner::TestRunner};

    let mut runner = TestRunner::new(config(1, 3));
    let strategy = prop::collection::vec(action(), 400..800);
    let (mut acknowledged, mut reads, mut wiped, mut compacted, mut repaired) = (0, 0, 0, 0, 0);
    let mut troubled = [0; 3];
    for _ in 0..40 {
        let mut trial = Trial::new(3);
        let actions = strategy.new_tree(&mut runner).unwrap().current();
        for action in actions {
            let repairing = trial.repair.is_some();
            match action {
                Action::Power => troubled[0] += 1,
                Action::Hang(_) => troubled[1] += 1,
                Action::Halves(_) => troubled[2] += 1,
                _ => {}
            }
            trial.act(action);
            repaired += usize::from(repairing && trial.repair.is_none());
        }
        acknowledged += trial.group.checks.acknowledged.len();
        reads += trial.group.checks.reads;
        wiped += trial.wiped;
        for node in &mut trial.group.nodes {
            compacted += usize::from(node.disk.read().snapshot.index > 1);
        }
    }
    println!(
        "{acknowledged} acknowledged, {reads} reads, {wiped} wiped, {repaired} repaired, {compacted} compacted"
    );
    assert!(troubled.iter().all(|count| *count > 20), "{troubled:?}");
    assert!(acknowledged > 200 && reads > 50 && wiped > 20 && repaired > 5 && compacted > 20);
}
