//! `flamingocroft status`.

use clap::Args;

use super::{CmdError, Options, Run, output::format_table};
use crate::{
    domain::{Instance, InstanceState},
    operator::{GatewayStatus, MemberStatus, RolloutStatus, Status},
};

/// Shows the controllers, gateways and instances as the leader sees them.
#[derive(Debug, Args)]
pub(super) struct ShowStatus {}

impl Run for ShowStatus {
    async fn run(&self, options: &Options) -> Result<(), CmdError> {
        let status: Status = options.client()?.get("/v1/status").await?;
        options.output().print(&status, describe)
    }
}

fn describe(status: &Status) -> String {
    let members: Vec<_> = status.members.iter().map(member_row).collect();
    let gateways: Vec<_> = status.gateways.iter().map(gateway_row).collect();
    let instances: Vec<_> = status.instances.iter().map(instance_row).collect();
    let rollouts = match status.rollouts.is_empty() {
        true => String::new(),
        false => {
            let rows: Vec<_> = status.rollouts.iter().map(rollout_row).collect();
            format!("Roll-outs\n{}", format_table(&rows))
        }
    };
    format!(
        "Revision {} (leader {}, term {}, commit {})\n\
         Controllers\n{}Gateways\n{}Instances\n{}{rollouts}",
        status.revision,
        status.controller,
        status.term,
        status.commit,
        format_table(&members),
        format_table(&gateways),
        format_table(&instances)
    )
}

fn member_row(member: &MemberStatus) -> Vec<String> {
    let kind = if member.voter { "voter" } else { "learner" };
    vec![
        member.name.to_string(),
        format!("member {}", member.member),
        kind.to_owned(),
        format!("at {}", member.matched),
    ]
}

fn rollout_row(rollout: &RolloutStatus) -> Vec<String> {
    vec![
        rollout.service.clone(),
        format!("to {}", rollout.target),
        rollout.state.clone(),
        format!("share {:.3}", rollout.share),
    ]
}

fn gateway_row(gateway: &GatewayStatus) -> Vec<String> {
    let state = if gateway.leaving { "leaving" } else { "live" };
    vec![
        gateway.name.to_string(),
        gateway.zone.to_string(),
        gateway.caller_address.to_string(),
        state.to_owned(),
        format!("view {}", gateway.view_index),
    ]
}

fn instance_row(instance: &Instance) -> Vec<String> {
    let state = match instance.state {
        InstanceState::Live => "live",
        InstanceState::Leaving => "leaving",
        InstanceState::Gone => "gone",
    };
    vec![
        instance.name.to_string(),
        instance.service.to_string(),
        instance.zone.to_string(),
        instance.address.to_string(),
        state.to_owned(),
    ]
}
