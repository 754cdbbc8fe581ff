//! `flamingocroft key`.

use clap::Args;
use serde::Serialize;
use uuid::Uuid;

use super::{CmdError, Options, Run};

/// Generates an Idempotency-Key for a call that must not run twice.
#[derive(Debug, Args)]
pub(super) struct MakeKey {}

#[derive(Debug, Serialize)]
struct NewKey {
    key: Uuid,
}

impl Run for MakeKey {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let key = Uuid::now_v7();
        options
            .output()
            .print(&NewKey { key }, |new| new.key.to_string())
    }
}
