//! `flamingocroft token`.

use std::fmt::Write;

use clap::Args;
use rand::RngCore;
use serde::Serialize;
use sha2::{Digest, Sha256};

use super::{CmdError, Options, Run};

const TOKEN_BYTES: usize = 32;

/// Generates a bearer token and the hash to put in an intent or settings file.
#[derive(Debug, Args)]
pub(super) struct MakeToken {}

#[derive(Debug, Serialize)]
struct NewToken {
    token: String,
    sha256: String,
}

impl Run for MakeToken {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let mut bytes = [0; TOKEN_BYTES];
        rand::rng().fill_bytes(&mut bytes);
        let token = hex(&bytes);
        let sha256 = hex(&Sha256::digest(&token));
        options.output().print(&NewToken { token, sha256 }, |new| {
            format!("token   {}\nsha256  {}", new.token, new.sha256)
        })
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        // Writing to a string cannot fail.
        let _ = write!(text, "{byte:02x}");
        text
    })
}
