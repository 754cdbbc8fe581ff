//! A model of a cluster whose leader follows `policy::members`, with random losses and replacements that the users' pages
//! allow.

use std::time::Duration;

use flamingocroft::{
    domain::MemberId,
    policy::members::{Member, Members, silence, voters_needed},
    replication::MemberChange,
};
use proptest::prelude::*;

/// The `CatchUpS` of the users' pages: a machine counts as lost until it has been back, or new, for as long.
const CATCH_UP: u64 = 4000;
/// Length of a step of the model, in milliseconds.
const STEP: u64 = 50;
/// Time from a leader's loss to the next one's first look at the members.
const ELECTION: u64 = 1200;
/// Interval of a leader's looks at the members.
const CHECK: u64 = 250;
/// Time in which a new member catches up.
const COPY: u64 = 500;
/// Longest time for which a controller that is to stop waits to be released.
const LEAVE: u64 = 3000;

/// What befalls one controller.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// It is down for a while and returns with its disk.
    Pause(u64),
    /// It is down for a while and returns with an empty disk.
    LostDisk(u64),
    /// As before, and the returned one loses its disk again as it is promoted, as often as the number says.
    LostDiskAgain(u64, u32),
    /// It is gone for good, and its successor starts a second later.
    Lost,
    /// Its successor starts; it gets SIGTERM once that has caught up, and is gone once it has ended.
    Planned,
    /// The successors of two controllers start; both are gone at once, without notice, when those have caught up.
    TwoGone,
}

/// A machine of the model with its current member.
#[derive(Clone, Debug)]
struct Machine {
    member: u64,
    /// The member whose disk was lost, if this is the same controller with an empty one.
    replaces: Option<u64>,
    /// How often it still loses its disk between the leader's proposal to promote it and the commit.
    losses_at_promotion: u32,
    /// When its process starts or started; `None` if it never starts again.
    up_at: Option<u64>,
    /// When the member became a learner.
    copy_since: Option<u64>,
    /// When it was told to stop.
    told_at: Option<u64>,
    /// Until when it counts as lost.
    counts_until: u64,
    /// Since when it does not answer.
    silent_since: u64,
    /// When it is to be told to stop.
    stop_at: Option<u64>,
    /// When it is to be gone without notice.
    gone_at: Option<u64>,
}

/// A cluster whose leader follows the policy.
struct Model {
    now: u64,
    machines: Vec<Machine>,
    voters: Vec<u64>,
    learners: Vec<u64>,
    /// The member that leads, and since when.
    leader: Option<(u64, u64)>,
    leaderless_since: u64,
    tolerated: usize,
    next_member: u64,
}

impl Model {
    fn new(controllers: u64, tolerated: usize) -> Self {
        let voters = (controllers as usize).min(voters_needed(tolerated)) as u64;
        let mut model = Self {
            now: 0,
            machines: Vec::new(),
            voters: (0..voters).collect(),
            learners: Vec::new(),
            leader: None,
            leaderless_since: 0,
            tolerated,
            next_member: 0,
        };
        for _ in 0..controllers {
            model.start_machine(0);
            model.machines.last_mut().unwrap().counts_until = 0;
        }
        model
    }

    /// Starts a machine with an empty disk at a time and returns its position.
    fn start_machine(&mut self, at: u64) -> usize {
        let member = self.next_member;
        self.next_member += 1;
        self.machines.push(Machine {
            member,
            replaces: None,
            losses_at_promotion: 0,
            up_at: Some(at),
            copy_since: None,
            told_at: None,
            counts_until: at + CATCH_UP,
            silent_since: self.now,
            stop_at: None,
            gone_at: None,
        });
        self.machines.len() - 1
    }

    fn is_up(&self, machine: &Machine) -> bool {
        machine.up_at.is_some_and(|at| at <= self.now)
    }

    fn machine(&self, member: u64) -> Option<&Machine> {
        self.machines.iter().find(|m| m.member == member)
    }

    fn is_member_up(&self, member: u64) -> bool {
        self.machine(member).is_some_and(|m| self.is_up(m))
    }

    /// Returns the number of machines that count as lost on the users' pages.
    fn lost(&self) -> usize {
        let counts = |m: &&Machine| m.counts_until > self.now;
        self.machines.iter().filter(counts).count()
    }

    /// Brings an event about at a machine, if the pages allow it now.
    fn strike(&mut self, pick: usize, event: Event) {
        let up = self.machines.iter().enumerate();
        let up: Vec<usize> = up
            .filter(|(_, m)| {
                self.is_up(m) && m.stop_at.or(m.gone_at).is_none() && m.counts_until <= self.now
            })
            .map(|(at, _)| at)
            .collect();
        if up.is_empty()
            || (self.lost() >= self.tolerated && !matches!(event, Event::Planned | Event::TwoGone))
        {
            return;
        }
        // Voters are struck more often than the machines that stand by.
        let voting: Vec<usize> = up
            .iter()
            .copied()
            .filter(|at| self.voters.contains(&self.machines[*at].member))
            .collect();
        let from = if pick % 4 < 3 { &voting } else { &up };
        let Some(at) = from.get(pick / 4 % from.len().max(1)).copied() else {
            return;
        };
        let now = self.now;
        match event {
            Event::Pause(down) => {
                let machine = &mut self.machines[at];
                machine.up_at = Some(now + down);
                machine.counts_until = now + down + CATCH_UP;
                machine.silent_since = now;
            }
            Event::LostDisk(down) => self.lose_disk(at, down, 0),
            Event::LostDiskAgain(down, times) => self.lose_disk(at, down, times),
            Event::Lost => {
                self.machines[at].up_at = None;
                self.machines[at].silent_since = now;
                self.start_machine(now + 1000);
            }
            Event::Planned => {
                let new = self.start_machine(now);
                self.machines[new].counts_until = 0;
                self.machines[at].stop_at = Some(now + CATCH_UP + 250);
            }
            Event::TwoGone => {
                for at in voting.into_iter().take(2) {
                    let new = self.start_machine(now);
                    self.machines[new].counts_until = 0;
                    self.machines[at].gone_at = Some(now + CATCH_UP + 250);
                }
            }
        }
    }

    /// A controller loses its disk and is back after a time.
    fn lose_disk(&mut self, at: usize, down: u64, losses_at_promotion: u32) {
        let lost = &mut self.machines[at];
        (lost.up_at, lost.silent_since) = (None, self.now);
        lost.counts_until = self.now;
        let member = lost.member;
        let new = self.start_machine(self.now + down);
        self.machines[new].replaces = Some(member);
        self.machines[new].losses_at_promotion = losses_at_promotion;
    }

    /// Returns whether the controller of a member answers with another member by now.
    fn is_replaced(&self, member: u64) -> bool {
        let successor = self.machines.iter().find(|m| m.replaces == Some(member));
        successor.is_some_and(|m| self.is_up(m) || self.is_replaced(m.member))
    }

    /// Returns the members as the leader sees them.
    fn view(&self, leader: u64, led_since: u64) -> Members {
        let see = |id: &u64| {
            let machine = self.machine(*id).unwrap();
            let heard = match self.is_up(machine) {
                true => self.now,
                false => machine.silent_since,
            };
            let [now, led_since, heard] = [self.now, led_since, heard].map(Duration::from_millis);
            Member {
                id: MemberId(*id),
                is_replaced: self.is_replaced(*id),
                silence: silence(now, led_since, Some(heard)),
                is_leaving: machine.told_at.is_some(),
                has_answered: self.is_up(machine) || heard > led_since,
                has_caught_up: self.is_up(machine)
                    && machine.copy_since.is_none_or(|at| at + COPY <= self.now),
            }
        };
        let strangers = self.machines.iter().filter(|m| {
            let is_member = self.voters.contains(&m.member) || self.learners.contains(&m.member);
            self.is_up(m) && m.told_at.is_none() && !is_member
        });
        Members {
            voters: self.voters.iter().map(see).collect(),
            learners: self.learners.iter().map(see).collect(),
            strangers: strangers.map(|m| MemberId(m.member)).collect(),
            leader: Some(MemberId(leader)),
            wanted: voters_needed(self.tolerated),
        }
    }

    fn has_quorum(&self) -> bool {
        let up = self.voters.iter().filter(|id| self.is_member_up(**id));
        up.count() * 2 > self.voters.len()
    }

    /// Removes machines without notice, if nothing else is lost or leaving. Until their votes have passed on they count.
    fn remove_gone(&mut self) {
        let is_calm = self.lost() == 0
            && self
                .machines
                .iter()
                .all(|m| !self.is_up(m) || m.told_at.is_none());
        let now = self.now;
        let due = self.machines.iter_mut();
        let due = due.filter_map(|m| m.gone_at.take_if(|at| *at <= now).map(|_| m));
        let due: Vec<&mut Machine> = due.collect();
        // Two at once, also if more were picked.
        for machine in due.into_iter().take(if is_calm { 2 } else { 0 }) {
            machine.up_at = None;
            machine.silent_since = now;
            machine.counts_until = now + CATCH_UP;
        }
    }

    fn step(&mut self) {
        self.now += STEP;
        self.remove_gone();
        for at in 0..self.machines.len() {
            let machine = &mut self.machines[at];
            if machine.stop_at.is_some_and(|stop| stop <= self.now) {
                machine.told_at = machine.told_at.or(Some(self.now));
            }
        }
        assert!(
            self.has_quorum(),
            "no majority at {} ms: voters {:?}, learners {:?}, up {:?}, leader {:?}",
            self.now,
            self.voters,
            self.learners,
            self.machines
                .iter()
                .filter(|m| self.is_up(m))
                .map(|m| m.member)
                .collect::<Vec<_>>(),
            self.leader,
        );
        match self.leader {
            Some((leader, _)) if !self.is_member_up(leader) || !self.voters.contains(&leader) => {
                self.leader = None;
                self.leaderless_since = self.now;
            }
            None if self.leaderless_since + ELECTION <= self.now => {
                let up = self
                    .voters
                    .iter()
                    .copied()
                    .find(|id| self.is_member_up(*id));
                self.leader = up.map(|id| (id, self.now));
            }
            _ => {}
        }
        if let Some((leader, since)) = self.leader
            && self.now.is_multiple_of(CHECK)
        {
            self.change(leader, since);
        }
        self.end_leavers();
    }

    fn change(&mut self, leader: u64, since: u64) {
        while let Some(change) = self.view(leader, since).next_change() {
            let borne = self.view(leader, since).losses_borne();
            match change {
                MemberChange::AddLearner(id) => {
                    self.learners.push(id.0);
                    let now = self.now;
                    let machine = self.machines.iter_mut().find(|m| m.member == id.0);
                    machine.unwrap().copy_since = Some(now);
                }
                MemberChange::Promote(id) => {
                    self.learners.retain(|other| *other != id.0);
                    self.voters.push(id.0);
                }
                MemberChange::Remove(id) => {
                    self.learners.retain(|other| *other != id.0);
                    self.voters.retain(|other| *other != id.0);
                }
            }
            let after = self.view(leader, since);
            assert!(after.losses_borne() >= borne, "{change:?} makes {after:?}");
            assert!(after.voters.len() >= after.wanted.min(self.voters.len()));
            if let MemberChange::Promote(id) = change {
                self.strike_promoted(id.0);
            }
            assert!(
                self.has_quorum(),
                "{change:?} is not committed: {:?}",
                self.view(leader, since)
            );
            if !self.voters.contains(&leader) {
                return;
            }
        }
    }

    /// Lets a member lose its disk between the proposal to promote it and the commit, if it is to and the pages allow it: a
    /// machine that still counts as lost may be lost again, another one only if no more are lost than tolerated.
    fn strike_promoted(&mut self, member: u64) {
        let at = self.machines.iter().position(|m| m.member == member);
        let at = at.unwrap();
        let counts = self.machines[at].counts_until > self.now;
        let left = self.machines[at].losses_at_promotion.checked_sub(1);
        if let Some(left) = left.filter(|_| counts || self.lost() < self.tolerated) {
            self.lose_disk(at, 1000, left);
        }
    }

    /// Ends the controllers that were told to stop and are released, or have waited for long enough.
    fn end_leavers(&mut self) {
        for at in 0..self.machines.len() {
            let Some(told) = self.machines[at].told_at else {
                continue;
            };
            let id = MemberId(self.machines[at].member);
            let released = self
                .leader
                .is_some_and(|(leader, since)| self.view(leader, since).may_leave(id));
            // A leader that has given its own vote away knows that.
            let released = released || !self.voters.contains(&id.0);
            if self.is_up(&self.machines[at]) && (released || told + LEAVE <= self.now) {
                let machine = &mut self.machines[at];
                (machine.up_at, machine.silent_since) = (None, self.now);
            }
        }
    }
}

fn events() -> impl Strategy<Value = Vec<(u64, usize, Event)>> {
    let event = prop_oneof![
        (50..5000u64).prop_map(Event::Pause),
        (500..4000u64).prop_map(Event::LostDisk),
        Just(Event::Lost),
        Just(Event::Planned),
        Just(Event::TwoGone),
    ];
    in_series(event)
}

/// Events by which only one controller is lost at a time, and those that lose their disks are the ones that come back.
fn disks_lost_again() -> impl Strategy<Value = Vec<(u64, usize, Event)>> {
    in_series(prop_oneof![
        (50..1400u64).prop_map(Event::Pause),
        (500..4000u64).prop_map(Event::LostDisk),
        lost_disk_again(),
    ])
}

/// All events.
fn all_events() -> impl Strategy<Value = Vec<(u64, usize, Event)>> {
    in_series(prop_oneof![
        (50..5000u64).prop_map(Event::Pause),
        (500..4000u64).prop_map(Event::LostDisk),
        lost_disk_again(),
        Just(Event::Lost),
        Just(Event::Planned),
        Just(Event::TwoGone),
    ])
}

fn lost_disk_again() -> impl Strategy<Value = Event> {
    (500..4000u64, 1..4u32).prop_map(|(down, times)| Event::LostDiskAgain(down, times))
}

fn in_series(
    event: impl Strategy<Value = Event>,
) -> impl Strategy<Value = Vec<(u64, usize, Event)>> {
    // The pauses are short and long, so that events overlap and follow each other as soon as the pages allow.
    let pause = prop_oneof![0..300u64, 1000..6000u64];
    proptest::collection::vec((pause, any::<usize>(), event), 1..40)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    /// Guards against a loss that the pages allow and that ends the quorum, after any earlier planned and unplanned ones.
    #[test]
    fn whenever_the_pages_allow_a_loss_a_majority_remains(
        (controllers, tolerated) in prop_oneof![Just((3, 1)), Just((4, 1)), Just((5, 2)), Just((6, 2)), Just((9, 2)), Just((30, 1)), Just((30, 3))],
        events in events(),
    ) {
        play(controllers, tolerated, events)?;
    }

    /// Guards against a promotion that can never be committed because the promoted one loses its disk before.
    #[test]
    fn a_disk_that_is_lost_again_as_its_controller_is_promoted_ends_no_quorum(
        controllers in prop_oneof![Just(3), Just(4), Just(5), Just(30)],
        events in disks_lost_again(),
    ) {
        play(controllers, 1, events)?;
    }

    /// Guards against the same beside voters that are silent and may come back, or never do.
    #[test]
    fn a_disk_that_is_lost_again_beside_silent_voters_ends_no_quorum(
        (controllers, tolerated) in prop_oneof![Just((3, 1)), Just((4, 1)), Just((5, 2)), Just((6, 2)), Just((9, 2)), Just((30, 1)), Just((30, 3))],
        events in all_events(),
    ) {
        play(controllers, tolerated, events)?;
    }
}

/// Plays events and checks at each step that a majority remains, and that the tolerated losses are borne in the end.
fn play(
    controllers: u64,
    tolerated: usize,
    events: Vec<(u64, usize, Event)>,
) -> Result<(), TestCaseError> {
    let mut model = Model::new(controllers, tolerated);
    for _ in 0..CATCH_UP / STEP {
        model.step();
    }
    for (pause, pick, event) in events {
        for _ in 0..pause / STEP {
            model.step();
        }
        model.strike(pick, event);
    }
    for _ in 0..4 * CATCH_UP / STEP {
        model.step();
    }
    let (leader, since) = model.leader.expect("a leader, once all is calm");
    prop_assert!(model.view(leader, since).losses_borne() >= tolerated);
    Ok(())
}
