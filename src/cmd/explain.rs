//! `flamingocroft explain`.

use std::{net::SocketAddr, path::PathBuf};

use clap::Args;

use super::{CmdError, Options, Run, client::OperatorClient, logs, output::format_table};
use crate::{
    domain::RequestId,
    operator::{Explanation, Status},
};

/// Shows what was decided about a request, an instance or a revision, and why.
#[derive(Debug, Args)]
pub(super) struct Explain {
    /// A request id, a revision number or an instance's name.
    subject: String,
    /// Explains a request from these log files, one for each daemon, without calling any server.
    #[arg(long, value_name = "FILE", num_args = 1..)]
    logs: Vec<PathBuf>,
}

impl Run for Explain {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let explanation = match self.logs.as_slice() {
            [] => self.fetch(&options.client()?).await?,
            files => logs::explain(&self.subject, files)?,
        };
        options.output().print(&explanation, describe)
    }
}

impl Explain {
    async fn fetch(&self, client: &OperatorClient) -> Result<Explanation, CmdError> {
        let subject = &self.subject;
        if subject.parse::<RequestId>().is_ok() {
            return fetch_from_gateways(client, subject).await;
        }
        if subject.parse::<u64>().is_ok() {
            return client.get(&format!("/v1/explain/revision/{subject}")).await;
        }
        if !subject.bytes().all(is_name_byte) {
            let message = format!("{subject} is no request id, revision or instance name");
            return Err(CmdError::Usage(message));
        }
        client.get(&format!("/v1/explain/instance/{subject}")).await
    }
}

fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)
}

/// Calls all gateways in turn, because only those that handled a request have its events.
async fn fetch_from_gateways(client: &OperatorClient, id: &str) -> Result<Explanation, CmdError> {
    let status: Status = client.get("/v1/status").await?;
    let gateways: Vec<SocketAddr> = status
        .gateways
        .iter()
        .map(|gateway| gateway.caller_address)
        .collect();
    client
        .get_from_any(&gateways, &format!("/v1/explain/request/{id}"))
        .await
}

fn describe(explanation: &Explanation) -> String {
    let rows: Vec<Vec<String>> = explanation
        .events
        .iter()
        .map(|event| {
            vec![
                super::history::format_time(event.at_unix_ms),
                event.what.clone(),
            ]
        })
        .collect();
    format!("{}\n{}", explanation.subject, format_table(&rows))
}
