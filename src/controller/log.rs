//! A handle to the replicated log: proposals, read barriers and the applied state.

use std::{
    sync::{Arc, PoisonError, RwLock, RwLockReadGuard},
    time::Duration,
};

use bytes::Bytes;
use prost::Message;
use tokio::{
    sync::{mpsc, oneshot, watch},
    time::timeout,
};

use crate::{
    domain::MemberId,
    replication::{MemberChange, MemberProgress, Rejection},
    state::{Command, Reply, State},
    wire::{MembershipRecord, ReplicaMessage},
};

/// Maximum number of requests queued for the driver; further senders wait.
const REQUEST_QUEUE_CAPACITY: usize = 8192;
/// Maximum time that a proposal or read barrier waits for a quorum.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(1500);

/// A request to the driver of the replica.
#[derive(Debug)]
pub(super) enum ReplicaRequest {
    /// A message of another member.
    Receive(ReplicaMessage),
    /// Append a command to the log.
    Propose {
        command: Bytes,
        reply: oneshot::Sender<Result<Applied, Rejection>>,
    },
    /// Wait until the applied state covers the read index.
    Read {
        reply: oneshot::Sender<Result<(), Rejection>>,
    },
    /// Change the membership.
    ChangeMembers {
        change: MemberChange,
        reply: oneshot::Sender<Result<Applied, Rejection>>,
    },
}

/// A committed and applied entry.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// Its index.
    pub index: u64,
    /// What the state machine returned for it.
    pub reply: Reply,
}

/// Why a request to the log failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// This controller does not lead; nothing was proposed.
    #[error("this controller does not lead; ask the leader")]
    NotLeader,
    /// Leadership was lost after the proposal; it may still be committed.
    #[error("leadership was lost on the way and the order may still take effect; resend it")]
    Deposed,
    /// The quorum did not answer in time; the proposal may still be committed.
    #[error("the quorum did not answer in time; the order may still take effect, so resend it")]
    NoQuorum,
    /// The membership change conflicts with another one or does not apply to the current members.
    #[error("another membership change is under way, or this one does not apply; look at status")]
    ChangeRefused,
    /// The command exceeds the maximum size of an entry.
    #[error("the order is too large for the log; make it smaller")]
    TooLarge,
    /// The log has reached its maximum size, because the disk does not take snapshots.
    #[error(
        "the log is full because the disk takes no snapshot; free or replace the disk, then resend"
    )]
    LogFull,
    /// The controller is stopping.
    #[error("this controller is stopping; ask another one")]
    Stopped,
}

impl From<Rejection> for LogError {
    fn from(rejection: Rejection) -> Self {
        match rejection {
            Rejection::NotLeader => Self::NotLeader,
            Rejection::Deposed => Self::Deposed,
            Rejection::ChangeRefused => Self::ChangeRefused,
            Rejection::TooLarge => Self::TooLarge,
            Rejection::LogFull => Self::LogFull,
        }
    }
}

/// Status of this controller's replica of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// The member id of this controller.
    pub member: MemberId,
    /// Whether this controller leads.
    pub leads: bool,
    /// The newest term seen.
    pub term: u64,
    /// The leader, if it is known.
    pub leader: Option<MemberId>,
    /// The last committed index.
    pub commit: u64,
    /// The last applied index.
    pub applied: u64,
    /// When this controller's leader lease ends, by the monotonic clock.
    pub lease_until: Option<Duration>,
    /// When this controller began to lead, by the monotonic clock, if it leads.
    pub led_since: Option<Duration>,
    /// The voters and learners, which may be uncommitted.
    pub membership: MembershipRecord,
    /// Whether the membership is committed.
    pub is_membership_committed: bool,
    /// The progress of each member; unknown unless this controller leads.
    pub progress: Vec<MemberProgress>,
}

/// The driver's ends of the channels of a [`Log`].
#[derive(Debug)]
pub(super) struct DriverChannels {
    pub rx: mpsc::Receiver<ReplicaRequest>,
    pub status: watch::Sender<ReplicaStatus>,
    pub led_term: watch::Sender<Option<u64>>,
    pub view_index: watch::Sender<u64>,
    pub state: Arc<RwLock<State>>,
}

/// A handle to the replicated log; clones refer to the same log.
#[derive(Clone, Debug)]
pub struct Log {
    tx: mpsc::Sender<ReplicaRequest>,
    status: watch::Receiver<ReplicaStatus>,
    led_term: watch::Receiver<Option<u64>>,
    view_index: watch::Receiver<u64>,
    state: Arc<RwLock<State>>,
}

/// Creates a handle and the driver's ends of its channels.
pub(super) fn channel() -> (Log, DriverChannels) {
    let (tx, rx) = mpsc::channel(REQUEST_QUEUE_CAPACITY);
    let (status_tx, status) = watch::channel(ReplicaStatus::default());
    let (led_term_tx, led_term) = watch::channel(None);
    let (view_index_tx, view_index) = watch::channel(0);
    let state = Arc::new(RwLock::default());
    let log = Log {
        tx,
        status,
        led_term,
        view_index,
        state: Arc::clone(&state),
    };
    let channels = DriverChannels {
        rx,
        status: status_tx,
        led_term: led_term_tx,
        view_index: view_index_tx,
        state,
    };
    (log, channels)
}

impl Log {
    /// Returns the status of this controller's replica.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Returns the term that this controller leads, if its leader lease lasts beyond `now`.
    pub fn led_term(&self, now: Duration) -> Option<u64> {
        let status = self.status.borrow();
        let leased = status.lease_until.is_some_and(|until| until > now);
        (status.leads && leased).then_some(status.term)
    }

    /// Returns a receiver of the term that this controller leads, if any.
    pub fn watch_led_term(&self) -> watch::Receiver<Option<u64>> {
        self.led_term.clone()
    }

    /// Returns a receiver that is notified when the part of the state that gateways see changes.
    pub fn watch_view_index(&self) -> watch::Receiver<u64> {
        self.view_index.clone()
    }

    /// Locks the applied state for reading; hold the lock only briefly.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Proposes a command and waits until it is committed and applied.
    pub async fn propose(&self, command: &Command) -> Result<Applied, LogError> {
        let (reply, rx) = oneshot::channel();
        let command = command.encode_to_vec().into();
        self.request(ReplicaRequest::Propose { command, reply }, rx)
            .await
    }

    /// Waits until the applied state includes everything that was committed when the call began
    /// (the read index), so that a read of the state afterwards is linearizable.
    pub async fn read_barrier(&self) -> Result<(), LogError> {
        let (reply, rx) = oneshot::channel();
        self.request(ReplicaRequest::Read { reply }, rx).await
    }

    /// Adds, promotes or removes a member.
    pub async fn change_members(&self, change: MemberChange) -> Result<Applied, LogError> {
        let (reply, rx) = oneshot::channel();
        self.request(ReplicaRequest::ChangeMembers { change, reply }, rx)
            .await
    }

    pub(super) async fn receive(&self, message: ReplicaMessage) {
        // Fails only if the driver has stopped, which needs no messages.
        let _ = self.tx.send(ReplicaRequest::Receive(message)).await;
    }

    async fn request<R>(
        &self,
        request: ReplicaRequest,
        rx: oneshot::Receiver<Result<R, Rejection>>,
    ) -> Result<R, LogError> {
        let answer = async {
            self.tx.send(request).await.map_err(|_| LogError::Stopped)?;
            let result = rx.await.map_err(|_| LogError::Stopped)?;
            result.map_err(LogError::from)
        };
        timeout(QUORUM_TIMEOUT, answer)
            .await
            .unwrap_or(Err(LogError::NoQuorum))
    }
}
