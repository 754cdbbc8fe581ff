//! A handle to the replicated log: proposals, reads and the applied state.

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
    replication::{MemberChange, Rejection},
    state::{Command, Reply, State},
    wire::{MembershipRecord, ReplicaMessage},
};

/// Requests that may wait for the driver.
const REQUEST_QUEUE_CAPACITY: usize = 8192;
/// Longest time that a proposal or read waits for the quorum.
const QUORUM_TIMEOUT: Duration = Duration::from_millis(1500);

/// What the driver of the replica is asked to do.
#[derive(Debug)]
pub(super) enum ReplicaRequest {
    /// A member's message.
    Receive(ReplicaMessage),
    /// A command for the log.
    Propose {
        command: Bytes,
        reply: oneshot::Sender<Result<Applied, Rejection>>,
    },
    /// Wait until the applied state is the newest.
    Read {
        reply: oneshot::Sender<Result<(), Rejection>>,
    },
    /// A change of the members.
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
    /// What it answered.
    pub reply: Reply,
}

/// Why the log gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LogError {
    /// Nothing was proposed.
    #[error("this controller does not lead; ask the leader")]
    NotLeader,
    /// Leadership was lost on the way.
    #[error("leadership was lost on the way and the order may still take effect; resend it")]
    Deposed,
    /// The quorum did not answer in time.
    #[error("the quorum did not answer in time; the order may still take effect, so resend it")]
    NoQuorum,
    /// A change of members that does not apply now.
    #[error("another membership change is under way, or this one does not apply; look at status")]
    ChangeRefused,
    /// The command does not fit into an entry.
    #[error("the order is too large for the log; make it smaller")]
    TooLarge,
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
        }
    }
}

/// How this controller stands in the replicated log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicaStatus {
    /// This controller's member id.
    pub member: MemberId,
    /// Whether it leads.
    pub leads: bool,
    /// The newest term seen.
    pub term: u64,
    /// The leader, if it is known.
    pub leader: Option<MemberId>,
    /// The last committed index.
    pub commit: u64,
    /// The last applied index.
    pub applied: u64,
    /// When the leader's own lease ends, by the monotonic clock.
    pub lease_until: Option<Duration>,
    /// The members.
    pub membership: MembershipRecord,
    /// The last index known to be on each member's disk.
    pub matched: Vec<(MemberId, u64)>,
}

/// The driver's ends of a [`Log`].
#[derive(Debug)]
pub(super) struct DriverChannels {
    pub rx: mpsc::Receiver<ReplicaRequest>,
    pub status: watch::Sender<ReplicaStatus>,
    pub led_term: watch::Sender<Option<u64>>,
    pub view_index: watch::Sender<u64>,
    pub state: Arc<RwLock<State>>,
}

/// A handle to the replicated log; clones share it.
#[derive(Clone, Debug)]
pub struct Log {
    tx: mpsc::Sender<ReplicaRequest>,
    status: watch::Receiver<ReplicaStatus>,
    led_term: watch::Receiver<Option<u64>>,
    view_index: watch::Receiver<u64>,
    state: Arc<RwLock<State>>,
}

/// Makes a handle and the driver's ends of it.
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
    /// Returns how this controller stands.
    pub fn status(&self) -> ReplicaStatus {
        self.status.borrow().clone()
    }

    /// Returns the term that this controller leads, if its own lease lasts beyond a time.
    pub fn led_term(&self, now: Duration) -> Option<u64> {
        let status = self.status.borrow();
        let leased = status.lease_until.is_some_and(|until| until > now);
        (status.leads && leased).then_some(status.term)
    }

    /// Returns a receiver of the term that this controller leads, if any.
    pub fn watch_led_term(&self) -> watch::Receiver<Option<u64>> {
        self.led_term.clone()
    }

    /// Returns a receiver that is woken when something that gateways see changes in the log.
    pub fn watch_view_index(&self) -> watch::Receiver<u64> {
        self.view_index.clone()
    }

    /// Returns the applied state for a short look.
    pub fn state(&self) -> RwLockReadGuard<'_, State> {
        self.state.read().unwrap_or_else(PoisonError::into_inner)
    }

    /// Commits and applies a command.
    pub async fn propose(&self, command: &Command) -> Result<Applied, LogError> {
        let (reply, rx) = oneshot::channel();
        let command = command.encode_to_vec().into();
        self.request(ReplicaRequest::Propose { command, reply }, rx)
            .await
    }

    /// Waits until the applied state includes all that was committed when the call began.
    pub async fn read_barrier(&self) -> Result<(), LogError> {
        let (reply, rx) = oneshot::channel();
        self.request(ReplicaRequest::Read { reply }, rx).await
    }

    /// Changes the members.
    pub async fn change_members(&self, change: MemberChange) -> Result<Applied, LogError> {
        let (reply, rx) = oneshot::channel();
        self.request(ReplicaRequest::ChangeMembers { change, reply }, rx)
            .await
    }

    pub(super) async fn receive(&self, message: ReplicaMessage) {
        // A stopped driver needs no messages.
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
