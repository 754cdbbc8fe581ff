//! Membership changes, one member at a time.

use bytes::Bytes;
use prost::Message;

use super::{MemberChange, Rejection, Replica, Ticket, replica::RoleState};
use crate::wire::{EntryKind, MembershipRecord};

impl Replica {
    pub(super) fn change_members(&mut self, ticket: Ticket, change: MemberChange) {
        if !matches!(self.state, RoleState::Leader(_)) {
            return self.reject(ticket, Rejection::NotLeader);
        }
        let Some(record) = self.membership_after(change) else {
            return self.reject(ticket, Rejection::ChangeRefused);
        };
        let data = Bytes::from(record.encode_to_vec());
        self.append_entry(EntryKind::Membership, data, Some(ticket));
        self.track_members();
    }

    /// Returns the membership after a change, or `None` if the change is not allowed now.
    fn membership_after(&self, change: MemberChange) -> Option<MembershipRecord> {
        // Two uncommitted changes, or one from before this term, could lead to majorities that do not
        // overlap.
        if self.memberships.last_change_index() > self.commit || !self.has_committed_in_term() {
            return None;
        }
        let mut record = self.membership().clone();
        match change {
            MemberChange::AddLearner(id) => {
                if record.voters.contains(&id.0) || record.learners.contains(&id.0) {
                    return None;
                }
                record.learners.push(id.0);
            }
            MemberChange::Promote(id) => {
                let position = record.learners.iter().position(|other| *other == id.0)?;
                if !self.has_caught_up(id.0) {
                    return None;
                }
                record.learners.remove(position);
                record.voters.push(id.0);
            }
            MemberChange::Remove(id) => {
                if record.voters == [id.0] {
                    return None;
                }
                let before = record.voters.len() + record.learners.len();
                record.voters.retain(|other| *other != id.0);
                record.learners.retain(|other| *other != id.0);
                if record.voters.len() + record.learners.len() == before {
                    return None;
                }
            }
        }
        Some(record)
    }
}
