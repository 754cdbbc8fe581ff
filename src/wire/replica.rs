//! Messages of the replicated log between its members, in the manner of Raft.

use prost::Message;

/// A message with its sender and term.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaMessage {
    /// The sending member.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The receiving member. Any other member drops the message.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// The sender's term. In a pre-vote, the term that the candidate would start.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// The message itself.
    #[prost(oneof = "ReplicaPayload", tags = "10, 11, 12, 13, 14, 15")]
    pub payload: Option<ReplicaPayload>,
}

/// The kinds of messages between members.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplicaPayload {
    /// Requests a vote or a pre-vote.
    #[prost(message, tag = "10")]
    Vote(VoteRequest),
    /// Reply to a vote request.
    #[prost(message, tag = "11")]
    VoteReply(VoteReply),
    /// Appends entries; without entries it is a heartbeat.
    #[prost(message, tag = "12")]
    Append(AppendRequest),
    /// Reply to an append request.
    #[prost(message, tag = "13")]
    AppendReply(AppendReply),
    /// Sends part of a snapshot to a member whose next entry was compacted away.
    #[prost(message, tag = "14")]
    InstallSnapshot(InstallSnapshot),
    /// Reply to a snapshot part.
    #[prost(message, tag = "15")]
    InstallSnapshotReply(InstallSnapshotReply),
}

/// A candidate's request for a vote.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteRequest {
    /// Whether this is a pre-vote, which asks whether the candidate could win an election.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
}

/// A voter's reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteReply {
    /// Whether this replies to a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is granted.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// Entries that a leader replicates.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Index of the entry before the first one sent.
    #[prost(uint64, tag = "1")]
    pub previous_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub previous_term: u64,
    /// The entries, in log order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Index up to which the leader has committed.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Increases with each round of heartbeats. The reply echoes it, which renews the leader's lease from
    /// the time at which the round began.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// A follower's reply.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendReply {
    /// Whether the entry that precedes the sent ones matched.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// If matched, the last index that is synced and known to equal the leader's log; otherwise a hint for
    /// the next attempt.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The request's round.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// Part of a snapshot: the replicated state at an index.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InstallSnapshot {
    /// Index of the last entry that the state includes.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The members at that index.
    #[prost(message, optional, tag = "3")]
    pub membership: Option<MembershipRecord>,
    /// A chunk of the encoded state.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: bytes::Bytes,
    /// As in [`AppendRequest`].
    #[prost(uint64, tag = "5")]
    pub round: u64,
    /// Offset of the chunk in the encoded state, in bytes. A large state is sent in several messages.
    #[prost(uint64, tag = "6")]
    pub offset: u64,
    /// Length of the complete encoded state, in bytes.
    #[prost(uint64, tag = "7")]
    pub total: u64,
}

/// A follower's reply to a snapshot part.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InstallSnapshotReply {
    /// The last index that the follower holds and has synced.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The request's round.
    #[prost(uint64, tag = "2")]
    pub round: u64,
    /// Length of the state received so far, in bytes.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// Asks a controller for its member identifier and state. Controllers that are not members reply too.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberQuery {
    /// The requesting controller, so that the receiver learns of new controllers.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<super::ControllerRecord>,
    /// The requesting controller's member identifier. Builds before [`LeaveReply`] send none, which reads as zero.
    #[prost(uint64, tag = "2")]
    pub member: u64,
    /// Whether the requesting controller is about to stop.
    #[prost(bool, tag = "3")]
    pub leaving: bool,
}

/// A controller's member identifier and state; see `replication::Bootstrap`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberReport {
    /// The controller's name in its settings.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The member identifier, which belongs to the data folder.
    #[prost(uint64, tag = "2")]
    pub member: u64,
    /// Whether the data folder holds neither entries nor a vote.
    #[prost(bool, tag = "3")]
    pub blank: bool,
    /// The names of all controllers in its settings.
    #[prost(string, repeated, tag = "4")]
    pub controllers: Vec<String>,
    /// The controllers that it knows, with their addresses. After replacements these can be more than its
    /// settings name.
    #[prost(message, repeated, tag = "5")]
    pub known: Vec<super::ControllerRecord>,
    /// Whether this controller is about to stop.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// The answer to a controller that is about to stop. Missing in builds that do not replace its vote.
    #[prost(message, optional, tag = "7")]
    pub leave: Option<LeaveReply>,
}

/// Whether a controller that is about to stop may do so; see `policy::members`.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LeaveReply {
    /// Whether the sender leads; otherwise it cannot tell.
    #[prost(bool, tag = "1")]
    pub leads: bool,
    /// Whether the controller that asks has no vote any more, or no other controller can take it.
    #[prost(bool, tag = "2")]
    pub may_leave: bool,
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Entry {
    /// Index in the log, starting at one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// Term of the leader that created the entry.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// The kind of entry.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// An encoded command or [`MembershipRecord`]; empty for the entry that opens a term.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: bytes::Bytes,
}

/// Why an entry of the log can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct UnreadableEntry(pub &'static str);

impl Entry {
    /// Returns the members that the entry puts in force, if it is a membership change.
    ///
    /// # Errors
    ///
    /// Fails if the entry can't be read. It must then not count as stored: read as empty, it would make nobody a
    /// majority.
    pub fn membership(&self) -> Result<Option<MembershipRecord>, UnreadableEntry> {
        match EntryKind::try_from(self.kind) {
            Ok(EntryKind::Open | EntryKind::Command) => Ok(None),
            Ok(EntryKind::Membership) => {
                let record = MembershipRecord::decode(self.data.clone());
                let record =
                    record.map_err(|_| UnreadableEntry("an entry's members can't be decoded"))?;
                match record.voters.is_empty() {
                    true => Err(UnreadableEntry("an entry leaves no member with a vote")),
                    false => Ok(Some(record)),
                }
            }
            Err(_) => Err(UnreadableEntry("an entry has an unknown kind")),
        }
    }
}

/// The kinds of log entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum EntryKind {
    /// Opens a leader's term.
    Open = 0,
    /// Changes the replicated state.
    Command = 1,
    /// Changes the members.
    Membership = 2,
}

/// The members of the replicated log.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct MembershipRecord {
    /// Members with a vote.
    #[prost(uint64, repeated, tag = "1")]
    pub voters: Vec<u64>,
    /// Members without a vote that receive entries until they have caught up.
    #[prost(uint64, repeated, tag = "2")]
    pub learners: Vec<u64>,
}
