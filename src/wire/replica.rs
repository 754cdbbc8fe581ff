//! Messages between the members of the replicated log.

/// A message with its sender and term.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ReplicaMessage {
    /// The sending member.
    #[prost(uint64, tag = "1")]
    pub from: u64,
    /// The member that it is meant for; another receiver drops it.
    #[prost(uint64, tag = "2")]
    pub to: u64,
    /// The sender's term. For a pre-vote, the term that it would start.
    #[prost(uint64, tag = "3")]
    pub term: u64,
    /// What is said.
    #[prost(oneof = "ReplicaPayload", tags = "10, 11, 12, 13, 14, 15")]
    pub payload: Option<ReplicaPayload>,
}

/// What one member says to another.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum ReplicaPayload {
    /// Asks for a vote or a pre-vote.
    #[prost(message, tag = "10")]
    Vote(VoteRequest),
    /// Answers it.
    #[prost(message, tag = "11")]
    VoteReply(VoteReply),
    /// Sends entries, or none as a heartbeat.
    #[prost(message, tag = "12")]
    Append(AppendRequest),
    /// Answers it.
    #[prost(message, tag = "13")]
    AppendReply(AppendReply),
    /// Sends the state to a member whose next entry was compacted away.
    #[prost(message, tag = "14")]
    InstallSnapshot(InstallSnapshot),
    /// Answers it.
    #[prost(message, tag = "15")]
    InstallSnapshotReply(InstallSnapshotReply),
}

/// A candidate's request.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteRequest {
    /// Whether the candidate only asks whether it could win.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Index of the candidate's last entry.
    #[prost(uint64, tag = "2")]
    pub last_index: u64,
    /// Term of the candidate's last entry.
    #[prost(uint64, tag = "3")]
    pub last_term: u64,
}

/// A voter's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct VoteReply {
    /// Whether it answers a pre-vote.
    #[prost(bool, tag = "1")]
    pub pre_vote: bool,
    /// Whether the vote is given.
    #[prost(bool, tag = "2")]
    pub granted: bool,
}

/// A leader's entries.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendRequest {
    /// Index of the entry before the first one sent.
    #[prost(uint64, tag = "1")]
    pub previous_index: u64,
    /// Term of that entry.
    #[prost(uint64, tag = "2")]
    pub previous_term: u64,
    /// The entries, in order.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<Entry>,
    /// Index up to which the leader has committed.
    #[prost(uint64, tag = "4")]
    pub commit: u64,
    /// Grows with each round of heartbeats; the reply repeats it, which renews the leader's lease
    /// from the time at which the round began.
    #[prost(uint64, tag = "5")]
    pub round: u64,
}

/// A follower's answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct AppendReply {
    /// Whether the entry before the first one matched.
    #[prost(bool, tag = "1")]
    pub matched: bool,
    /// If matched, the last index known to equal the leader's and synced; else a hint where to try.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The request's round.
    #[prost(uint64, tag = "3")]
    pub round: u64,
}

/// The whole state at an index.
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
    /// The encoded state.
    #[prost(bytes = "bytes", tag = "4")]
    pub state: bytes::Bytes,
    /// As in [`AppendRequest`].
    #[prost(uint64, tag = "5")]
    pub round: u64,
    /// Where in the whole state `state` begins, in bytes; a large state travels in several messages.
    #[prost(uint64, tag = "6")]
    pub offset: u64,
    /// Length of the whole state, in bytes.
    #[prost(uint64, tag = "7")]
    pub total: u64,
}

/// Says up to where a follower now holds synced state.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InstallSnapshotReply {
    /// The last index that the follower holds.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The request's round.
    #[prost(uint64, tag = "2")]
    pub round: u64,
    /// How much of the state has arrived, in bytes.
    #[prost(uint64, tag = "3")]
    pub offset: u64,
}

/// Asks a controller which member it is. Every controller answers, also one that is no member.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberQuery {
    /// The controller that asks, so that one which is new becomes known.
    #[prost(message, optional, tag = "1")]
    pub sender: Option<super::ControllerRecord>,
}

/// Says which member a controller is; see `replication::Bootstrap`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberReport {
    /// The controller's name in its settings.
    #[prost(string, tag = "1")]
    pub name: String,
    /// The identifier of its data folder.
    #[prost(uint64, tag = "2")]
    pub member: u64,
    /// Whether the folder has neither stored nor promised anything.
    #[prost(bool, tag = "3")]
    pub blank: bool,
    /// The names of all controllers in its settings.
    #[prost(string, repeated, tag = "4")]
    pub controllers: Vec<String>,
    /// The controllers that it knows of, with their addresses; more than its settings name where
    /// controllers were replaced.
    #[prost(message, repeated, tag = "5")]
    pub known: Vec<super::ControllerRecord>,
}

/// One entry of the log.
#[derive(Clone, PartialEq, Eq, Hash, prost::Message)]
pub struct Entry {
    /// Its place in the log, from one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The term of the leader that made it.
    #[prost(uint64, tag = "2")]
    pub term: u64,
    /// What it does.
    #[prost(enumeration = "EntryKind", tag = "3")]
    pub kind: i32,
    /// An encoded command or [`MembershipRecord`]; empty for the entry that opens a term.
    #[prost(bytes = "bytes", tag = "4")]
    pub data: bytes::Bytes,
}

/// What an entry does.
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
    /// Members that vote.
    #[prost(uint64, repeated, tag = "1")]
    pub voters: Vec<u64>,
    /// Members that only receive entries until they have caught up.
    #[prost(uint64, repeated, tag = "2")]
    pub learners: Vec<u64>,
}
