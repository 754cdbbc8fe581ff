//! Membership changes of the replicated log, step by step and for random losses.

use std::time::Duration;

use flamingocroft::{
    domain::MemberId,
    policy::members::{Member, Members, voters_needed},
    replication::MemberChange,
};
use proptest::prelude::*;

fn member(id: u64) -> Member {
    Member {
        id: MemberId(id),
        silence: Duration::ZERO,
        is_replaced: false,
        is_leaving: false,
        has_answered: true,
        has_caught_up: true,
    }
}

fn silent(id: u64, seconds: u64) -> Member {
    Member {
        silence: Duration::from_secs(seconds),
        ..member(id)
    }
}

fn replaced(id: u64) -> Member {
    Member {
        is_replaced: true,
        ..member(id)
    }
}

fn leaving(id: u64) -> Member {
    Member {
        is_leaving: true,
        ..member(id)
    }
}

fn members(voters: Vec<Member>) -> Members {
    Members {
        voters,
        wanted: 3,
        ..Members::default()
    }
}

/// Applies changes until there are none, and returns them.
fn settle(mut members: Members) -> (Members, Vec<MemberChange>) {
    let mut changes = Vec::new();
    while let Some(change) = members.next_change() {
        changes.push(change);
        match change {
            MemberChange::AddLearner(id) => {
                members.strangers.retain(|other| *other != id);
                members.learners.push(member(id.0));
            }
            MemberChange::Promote(id) => {
                members.learners.retain(|m| m.id != id);
                members.voters.push(member(id.0));
            }
            MemberChange::Remove(id) => {
                members.learners.retain(|m| m.id != id);
                members.voters.retain(|m| m.id != id);
            }
        }
        assert!(
            changes.len() < 50,
            "the membership does not converge: {changes:?}"
        );
    }
    (members, changes)
}

#[test]
fn a_controller_with_an_emptied_disk_votes_again_as_a_new_member() {
    let mut before = members(vec![member(1), member(2), replaced(3)]);
    before.strangers = vec![MemberId(13)];
    let (_, changes) = settle(before);
    let expected = [
        MemberChange::Remove(MemberId(3)),
        MemberChange::AddLearner(MemberId(13)),
        MemberChange::Promote(MemberId(13)),
    ];
    assert_eq!(changes, expected);
}

/// Guards against a promotion that can never be committed because a voter that is gone for good still counts.
#[test]
fn a_voter_whose_disk_is_lost_does_not_count_when_another_one_is_promoted() {
    for voters in [3, 4, 5] {
        let mut all = members((1..voters).map(member).chain([replaced(voters)]).collect());
        all.wanted = voters_needed(voters as usize / 2);
        all.learners = vec![member(13)];
        let borne = all.losses_borne();
        let MemberChange::Remove(MemberId(id)) = all.next_change().unwrap() else {
            panic!("{all:?}")
        };
        assert_eq!(id, voters);
        all.voters.pop();
        assert!(all.losses_borne() >= borne, "{all:?}");
    }
}

/// Guards against a removal that cannot be committed.
#[test]
fn a_voter_whose_disk_is_lost_stays_while_too_few_others_answer() {
    let all = members(vec![member(1), silent(2, 5), replaced(3)]);
    assert_eq!(all.next_change(), None);
}

#[test]
fn a_silent_voter_stays_while_nobody_can_replace_it() {
    assert_eq!(
        members(vec![member(1), member(2), silent(3, 5)]).next_change(),
        None
    );
    // A longer silence does not help either as long as no learner can replace the voter.
    assert_eq!(
        members(vec![member(1), member(2), silent(3, 60)]).next_change(),
        None
    );
}

#[test]
fn a_new_controller_stays_a_learner_until_a_voter_is_lost() {
    let mut all = members(vec![member(1), member(2), member(3)]);
    all.strangers = vec![MemberId(4)];
    let (mut settled, changes) = settle(all);
    assert_eq!(changes, [MemberChange::AddLearner(MemberId(4))]);
    settled.voters[0] = silent(1, 7);
    let (_, changes) = settle(settled);
    let expected = [
        MemberChange::Promote(MemberId(4)),
        MemberChange::Remove(MemberId(1)),
    ];
    assert_eq!(changes, expected);
}

#[test]
fn additional_controllers_become_voters_up_to_the_target() {
    let mut all = members(vec![member(1), member(2), member(3)]);
    all.wanted = 5;
    all.strangers = vec![MemberId(4), MemberId(5), MemberId(6)];
    let (settled, _) = settle(all);
    assert_eq!((settled.voters.len(), settled.learners.len()), (5, 1));
}

#[test]
fn a_learner_that_has_not_caught_up_is_not_promoted() {
    let mut all = members(vec![member(1), member(2), replaced(3)]);
    all.learners = vec![Member {
        has_caught_up: false,
        ..member(4)
    }];
    let (_, changes) = settle(all);
    assert_eq!(changes, [MemberChange::Remove(MemberId(3))]);
}

proptest! {
    /// For any losses, the responsive voters that form a majority still do after all changes.
    #[test]
    fn no_change_loses_the_majority(
        lost in proptest::collection::vec(any::<bool>(), 3..6),
        strangers in 0..4u64,
    ) {
        let voters = lost.iter().enumerate().map(|(i, lost)| {
            let id = i as u64 + 1;
            if *lost { silent(id, 60) } else { member(id) }
        });
        let mut all = members(voters.collect());
        all.wanted = all.voters.len() / 2 * 2 + 1;
        all.strangers = (0..strangers).map(|i| MemberId(100 + i)).collect();
        let has_majority = |m: &Members| m.voters.iter().filter(|v| v.silence.is_zero()).count() * 2 > m.voters.len();
        prop_assume!(has_majority(&all));
        let (borne, voters) = (all.losses_borne(), all.voters.len());
        let (settled, _) = settle(all);
        prop_assert!(has_majority(&settled));
        prop_assert!(settled.voters.len() <= settled.wanted + 2);
        prop_assert!(settled.voters.len() >= voters.min(settled.wanted));
        prop_assert!(settled.losses_borne() >= borne, "{settled:?}");
    }
}

#[test]
fn missing_voters_follow_from_the_tolerated_losses() {
    let mut all = members(vec![member(1), member(2), member(3)]);
    assert_eq!(all.missing_voters(), 0);
    all.wanted = voters_needed(2);
    assert_eq!(all.missing_voters(), 2, "two losses need five voters");
}

#[test]
fn a_learner_is_awaited_only_while_a_vote_is_free_or_lost() {
    let lagging = Member {
        has_caught_up: false,
        ..member(4)
    };
    let mut all = members(vec![member(1), member(2), replaced(3)]);
    assert!(!all.awaits_learner(), "there is none");
    all.learners.push(lagging);
    assert!(all.awaits_learner());
    all.learners[0].silence = Duration::from_secs(3);
    assert!(!all.awaits_learner(), "it does not answer");
    all.learners[0].silence = Duration::ZERO;
    all.voters[2] = member(3);
    assert!(!all.awaits_learner(), "no vote is lost");
}

#[test]
fn a_voter_that_leaves_is_replaced_while_it_still_answers() {
    let mut all = members(vec![leaving(1), member(2), member(3)]);
    all.learners = vec![member(4)];
    assert!(!all.may_leave(MemberId(1)), "its successor has no vote yet");
    let (settled, changes) = settle(all);
    let expected = [
        MemberChange::Promote(MemberId(4)),
        MemberChange::Remove(MemberId(1)),
    ];
    assert_eq!(changes, expected);
    assert!(settled.may_leave(MemberId(1)));
    assert_eq!(settled.losses_borne(), 1);
}

#[test]
fn a_voter_that_nobody_can_replace_leaves_at_once_and_keeps_its_vote() {
    let all = members(vec![leaving(1), member(2), member(3)]);
    assert_eq!(all.next_change(), None);
    assert!(all.may_leave(MemberId(1)));
}

#[test]
fn voters_that_leave_together_are_replaced_and_the_leader_gives_its_vote_last() {
    let mut all = members(vec![leaving(1), leaving(2), member(3)]);
    all.leader = Some(MemberId(1));
    all.learners = vec![member(4), member(5)];
    let (settled, changes) = settle(all);
    let expected = [
        MemberChange::Promote(MemberId(4)),
        MemberChange::Remove(MemberId(2)),
        MemberChange::Promote(MemberId(5)),
        MemberChange::Remove(MemberId(1)),
    ];
    assert_eq!(changes, expected);
    assert_eq!(settled.losses_borne(), 1);
}

#[test]
fn a_learner_that_leaves_takes_no_vote() {
    let mut all = members(vec![replaced(1), member(2), member(3)]);
    all.learners = vec![leaving(4)];
    let (mut all, changes) = settle(all);
    assert_eq!(changes, [MemberChange::Remove(MemberId(1))]);
    all.learners.push(member(5));
    assert_eq!(all.next_change(), Some(MemberChange::Promote(MemberId(5))));
}

#[test]
fn learners_that_do_not_answer_keep_no_other_controller_from_standing_by() {
    let mut all = members(vec![member(1), member(2), member(3)]);
    all.learners = vec![silent(4, 2), silent(5, 2)];
    all.strangers = vec![MemberId(6)];
    assert_eq!(
        all.next_change(),
        Some(MemberChange::AddLearner(MemberId(6)))
    );
}

#[test]
fn controllers_that_stand_by_in_pairs_vote_so_that_two_may_be_lost_at_once() {
    let mut all = members(vec![member(1), member(2), member(3)]);
    all.learners = vec![member(4)];
    assert_eq!(
        all.next_change(),
        None,
        "four voters bear no more than three"
    );
    all.learners.push(member(5));
    let (mut settled, _) = settle(all);
    assert_eq!((settled.voters.len(), settled.losses_borne()), (5, 2));
    settled.voters[0] = silent(1, 2);
    settled.voters[1] = silent(2, 2);
    let (settled, _) = settle(settled);
    assert_eq!((settled.voters.len(), settled.losses_borne()), (3, 1));
}

#[test]
fn a_voter_that_leaves_waits_for_a_successor_that_is_still_catching_up() {
    let mut all = members(vec![leaving(1), member(2), member(3), member(4), member(5)]);
    all.learners = vec![Member {
        has_caught_up: false,
        ..member(6)
    }];
    assert_eq!(all.next_change(), None);
    assert!(!all.may_leave(MemberId(1)));
    all.learners[0].has_caught_up = true;
    let (settled, _) = settle(all);
    assert_eq!(settled.losses_borne(), 2);
}
