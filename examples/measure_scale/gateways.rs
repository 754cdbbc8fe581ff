//! Many idle gateway processes that only renew their leases with three controller processes.

use std::{path::Path, time::Duration};

use tokio::time::sleep;

use crate::{
    polls::{engines_only, shape},
    support::processes::Processes,
    usage,
};

const SETTLE_TIME: Duration = Duration::from_secs(2);
const MEASURE_TIME: Duration = Duration::from_secs(6);

/// Prints a row for each number of gateways.
pub async fn measure(program: &Path, counts: &[u8]) -> anyhow::Result<()> {
    println!("\ngateways without servers and callers; CPU as a share of one core");
    println!(
        "gateways | leader CPU % | leader MiB | follower CPU % | follower MiB | one gateway's CPU % | its MiB"
    );
    for &count in counts {
        let folder = tempfile::tempdir()?;
        let shape = shape(count);
        let processes = Processes::start(&shape, program, folder.path()).await?;
        processes.confirm(&engines_only(&shape)).await?;
        processes.wait_ready().await?;
        sleep(SETTLE_TIME).await;
        let leader = processes.leader().await?;
        let follower = (leader + 1) % processes.controllers.len();
        let pids = [
            processes.controllers[leader].pid(),
            processes.controllers[follower].pid(),
            processes.gateways[0].pid(),
        ];
        let [leader, follower, gateway] = usage::measure(MEASURE_TIME, pids).await?;
        println!(
            "{count:>8} | {:>12.1} | {:>10.1} | {:>14.1} | {:>12.1} | {:>19.1} | {:>7.1}",
            leader.cpu_percent,
            leader.rss_mib,
            follower.cpu_percent,
            follower.rss_mib,
            gateway.cpu_percent,
            gateway.rss_mib,
        );
    }
    Ok(())
}
