//! Replicas on real data folders: restarts, an emptied folder and a failing disk.

use std::{
    collections::VecDeque,
    fs::File,
    io,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use flamingocroft::{
    adapters::disk::{LogStore, Medium, StoreError},
    domain::MemberId,
    replication::{
        Batch, Bootstrap, BootstrapStep, Effect, Input, MemberChange, Recovered, Replica,
        ReplicaSettings, Role, Ticket,
    },
    wire::{EntryKind, ReplicaMessage},
};
use tempfile::TempDir;

const STEP: Duration = Duration::from_millis(20);

#[derive(Debug)]
struct Breakable {
    file: File,
    broken: Arc<AtomicBool>,
}

impl Medium for Breakable {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.append(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        match self.broken.load(Ordering::SeqCst) {
            true => Err(io::Error::from(io::ErrorKind::StorageFull)),
            false => self.file.sync(),
        }
    }
}

/// A driver of one member, in the order that `Batch` documents.
struct Member {
    id: MemberId,
    folder: PathBuf,
    replica: Replica,
    store: LogStore,
    broken: Arc<AtomicBool>,
    state: Vec<Bytes>,
    answered: Vec<Ticket>,
}

impl Member {
    fn open(folder: PathBuf, now: Duration) -> (Self, Recovered) {
        let broken = Arc::new(AtomicBool::new(false));
        let flag = Arc::clone(&broken);
        let wrap = move |file| -> Box<dyn Medium> {
            let broken = Arc::clone(&flag);
            Box::new(Breakable { file, broken })
        };
        let (store, recovered, id) = LogStore::open_with(&folder, wrap).unwrap();
        let settings = ReplicaSettings::default();
        let replica = Replica::new(id, recovered.clone(), settings, id.0, now);
        let member = Self {
            id,
            folder,
            replica,
            store,
            broken,
            state: Vec::new(),
            answered: Vec::new(),
        };
        (member, recovered)
    }

    /// Steps inputs and writes; returns what may be sent.
    fn handle(
        &mut self,
        now: Duration,
        inputs: Vec<Input>,
    ) -> Result<Vec<ReplicaMessage>, StoreError> {
        let mut batch = Batch::default();
        let mut sent = Vec::new();
        for input in inputs {
            batch.add(self.replica.step(now, input));
        }
        loop {
            sent.extend(batch.take_ready());
            for write in batch.take_writes() {
                let snapshot = write.snapshot.as_ref();
                self.store
                    .persist(write.hard_state, &write.entries, snapshot)?;
            }
            sent.extend(batch.take_held());
            batch.take_rest().into_iter().for_each(|e| self.apply(e));
            let persisted = batch.take_persisted();
            if persisted.is_empty() {
                return Ok(sent);
            }
            for input in persisted {
                batch.add(self.replica.step(now, input));
            }
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Restore(snapshot) => {
                let lines = snapshot.state.split(|byte| *byte == b'\n');
                let lines = lines.filter(|line| !line.is_empty());
                self.state = lines.map(Bytes::copy_from_slice).collect();
            }
            Effect::Apply { entry, ticket } => {
                if entry.kind == EntryKind::Command as i32 {
                    self.state.push(entry.data);
                }
                self.answered.extend(ticket);
            }
            _ => {}
        }
    }
}

/// Three members, each with a folder; a stopped one is `None`.
struct Cluster {
    members: [Option<Member>; 3],
    folders: [TempDir; 3],
    now: Duration,
    messages: VecDeque<ReplicaMessage>,
    tickets: u64,
}

impl Cluster {
    fn start() -> Self {
        let folders = [(); 3].map(|()| tempfile::tempdir().unwrap());
        let mut cluster = Self {
            members: [None, None, None],
            folders,
            now: Duration::ZERO,
            messages: VecDeque::new(),
            tickets: 0,
        };
        for place in 0..3 {
            cluster.open(place);
        }
        cluster.form();
        cluster
    }

    fn open(&mut self, place: usize) -> Recovered {
        let folder = self.folders[place].path().to_owned();
        let (member, recovered) = Member::open(folder, self.now);
        self.members[place] = Some(member);
        recovered
    }

    fn form(&mut self) {
        let names = ["a", "b", "c"].map(Arc::<str>::from);
        let blank = Recovered::default();
        let begin = |place: usize| {
            let member = self.members[place].as_ref().unwrap();
            Bootstrap::new(member.id, names[place].clone(), names.clone(), &blank)
        };
        let mut first = begin(0);
        first.receive(&begin(1).report());
        first.receive(&begin(2).report());
        let BootstrapStep::Form(state) = first.next() else {
            panic!("three blank folders form a cluster");
        };
        let mut member = self.members[0].take().unwrap();
        let hard_state = Some(state.hard_state);
        member
            .store
            .persist(hard_state, &[], Some(&state.snapshot))
            .unwrap();
        drop(member);
        self.open(0);
    }

    fn stop(&mut self, place: usize) -> MemberId {
        self.members[place].take().unwrap().id
    }

    fn handle(&mut self, place: usize, inputs: Vec<Input>) {
        let now = self.now;
        let Some(member) = &mut self.members[place] else {
            return;
        };
        match member.handle(now, inputs) {
            Ok(sent) => self.messages.extend(sent),
            Err(_) => drop(self.stop(place)),
        }
    }

    fn run(&mut self, times: usize) {
        for _ in 0..times {
            self.now += STEP;
            for place in 0..3 {
                self.handle(place, vec![Input::Tick]);
            }
            while let Some(message) = self.messages.pop_front() {
                let to =
                    |member: &Option<Member>| member.as_ref().is_some_and(|m| m.id.0 == message.to);
                if let Some(place) = self.members.iter().position(to) {
                    self.handle(place, vec![Input::Receive(message)]);
                }
            }
        }
    }

    fn leader(&mut self) -> usize {
        for _ in 0..500 {
            self.run(1);
            let leads = |member: &Option<Member>| {
                member
                    .as_ref()
                    .is_some_and(|m| m.replica.lease_until().is_some())
            };
            if let Some(place) = self.members.iter().position(leads) {
                return place;
            }
        }
        panic!("no leader within 10 s");
    }

    fn propose(&mut self, place: usize) -> Ticket {
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        let command = Bytes::from(format!("command {}", self.tickets));
        self.handle(place, vec![Input::Propose { ticket, command }]);
        ticket
    }

    fn commit(&mut self, count: usize) {
        let leader = self.leader();
        let tickets: Vec<Ticket> = (0..count).map(|_| self.propose(leader)).collect();
        self.run(3);
        let answered = &self.members[leader].as_ref().unwrap().answered;
        assert!(tickets.iter().all(|ticket| answered.contains(ticket)));
    }

    fn change(&mut self, change: MemberChange) {
        let leader = self.leader();
        self.tickets += 1;
        let ticket = Ticket(self.tickets);
        self.handle(leader, vec![Input::ChangeMembers { ticket, change }]);
        self.run(20);
        let answered = &self.members[leader].as_ref().unwrap().answered;
        assert!(answered.contains(&ticket), "{change:?}");
    }

    fn assert_all_hold(&mut self, count: usize) {
        self.leader();
        self.run(20);
        for member in self.members.iter().flatten() {
            assert_eq!(member.state.len(), count, "{}", member.folder.display());
        }
    }
}

#[test]
fn everything_acknowledged_survives_a_restart_of_all() {
    let mut cluster = Cluster::start();
    cluster.commit(30);
    for place in 0..3 {
        cluster.stop(place);
        let recovered = cluster.open(place);
        assert!(recovered.entries.len() + recovered.snapshot.index as usize > 30);
    }
    cluster.messages.clear();
    cluster.commit(1);
    cluster.assert_all_hold(31);
}

#[test]
fn a_compacted_log_is_restored_from_its_snapshot() {
    let mut cluster = Cluster::start();
    cluster.commit(30);
    for place in 0..3 {
        let member = cluster.members[place].as_ref().unwrap();
        let index = member.replica.applied();
        let state = Bytes::from(member.state.join(&b'\n'));
        cluster.handle(place, vec![Input::Compact { index, state }]);
    }
    cluster.commit(5);
    for place in 0..3 {
        cluster.stop(place);
        let recovered = cluster.open(place);
        assert!(recovered.snapshot.index > 30 && recovered.entries.len() >= 5);
    }
    cluster.messages.clear();
    cluster.assert_all_hold(35);
}

#[test]
fn an_emptied_folder_is_a_stranger_until_it_is_added() {
    let mut cluster = Cluster::start();
    cluster.commit(30);
    let leader = cluster.leader();
    let lost = (leader + 1) % 3;
    let old = cluster.stop(lost);
    cluster.folders[lost] = tempfile::tempdir().unwrap();
    cluster.open(lost);
    let new = cluster.members[lost].as_ref().unwrap().id;
    assert_ne!(old, new);
    cluster.commit(1);
    let stranger = &cluster.members[lost].as_ref().unwrap().replica;
    assert!(stranger.is_blank());
    assert_eq!(stranger.role(), Role::Learner);
    cluster.change(MemberChange::Remove(old));
    cluster.change(MemberChange::AddLearner(new));
    cluster.change(MemberChange::Promote(new));
    // The second disk is lost right after the repair.
    cluster.stop((lost + 1) % 3);
    cluster.commit(1);
    cluster.assert_all_hold(32);
}

#[test]
fn a_leader_with_a_failing_disk_acknowledges_nothing_more() {
    let mut cluster = Cluster::start();
    cluster.commit(10);
    let leader = cluster.leader();
    let member = cluster.members[leader].as_ref().unwrap();
    member.broken.store(true, Ordering::SeqCst);
    cluster.propose(leader);
    assert!(cluster.members[leader].is_none(), "its driver has stopped");
    cluster.commit(5);
    cluster.open(leader);
    cluster.leader();
    cluster.run(20);
    // The proposal was never answered; it may have been kept or not, but alike everywhere.
    let states: Vec<&Vec<Bytes>> = cluster.members.iter().flatten().map(|m| &m.state).collect();
    assert!(states.iter().all(|state| *state == states[0]));
    assert!(states[0].len() >= 15);
}

#[test]
fn a_follower_with_a_failing_disk_does_not_count() {
    let mut cluster = Cluster::start();
    cluster.commit(10);
    let leader = cluster.leader();
    for step in [1, 2] {
        let place = (leader + step) % 3;
        let member = cluster.members[place].as_ref().unwrap();
        member.broken.store(true, Ordering::SeqCst);
    }
    let ticket = cluster.propose(leader);
    cluster.run(5);
    let member = cluster.members[leader].as_ref().unwrap();
    assert!(!member.answered.contains(&ticket));
}
