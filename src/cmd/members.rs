//! `flamingocroft members`.

use clap::{Args, Subcommand};

use super::{CmdError, Options, Run};
use crate::{
    domain::MemberId,
    operator::{MemberChanged, MemberRequest},
};

/// Changes the members of the replicated log, one at a time.
#[derive(Debug, Args)]
pub(super) struct Members {
    #[command(subcommand)]
    change: Change,
}

#[derive(Clone, Copy, Debug, Subcommand)]
enum Change {
    /// Adds a new data folder as a learner, which receives entries but does not vote yet.
    Add {
        /// The member id, as the new controller logs it.
        id: u64,
    },
    /// Promotes a learner that has caught up to a voter.
    Promote {
        /// The member id.
        id: u64,
    },
    /// Removes a member, for example one whose disk is lost.
    Remove {
        /// The member id.
        id: u64,
    },
}

impl Run for Members {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let (req, done) = match self.change {
            Change::Add { id } => (MemberRequest::AddLearner(MemberId(id)), "learns"),
            Change::Promote { id } => (MemberRequest::Promote(MemberId(id)), "votes"),
            Change::Remove { id } => (MemberRequest::Remove(MemberId(id)), "is removed"),
        };
        let changed: MemberChanged = options.client()?.post("/v1/members", &req).await?;
        options.output().print(&changed, |changed| {
            format!("The member {done} as of log index {}.", changed.index)
        })
    }
}
