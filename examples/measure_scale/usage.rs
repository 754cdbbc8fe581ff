//! CPU time and memory of a process, from the kernel's accounting.

use std::time::Duration;

use anyhow::Context;
use tokio::time::{Instant, sleep};

/// Clock ticks per second in `/proc/PID/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Resources used by a process.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// CPU time, in seconds.
    pub cpu_seconds: f64,
    /// Resident memory, in MiB.
    pub rss_mib: f64,
}

/// Reads the resources that a process has used so far.
pub fn read(pid: u32) -> anyhow::Result<Usage> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("no name in the stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |i: usize| -> anyhow::Result<f64> { Ok(fields[i].parse()?) };
    let status = std::fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .context("no VmRSS in the status")?;
    let kib: f64 = line.trim().trim_end_matches("kB").trim().parse()?;
    Ok(Usage {
        cpu_seconds: (ticks(11)? + ticks(12)?) / TICKS_PER_SECOND,
        rss_mib: kib / 1024.0,
    })
}

/// Resource use over an interval.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    /// CPU time as a share of one core, in percent.
    pub cpu_percent: f64,
    /// Resident memory at the end, in MiB.
    pub rss_mib: f64,
}

/// Measures the resource use of several processes over an interval.
pub async fn measure<const N: usize>(time: Duration, pids: [u32; N]) -> anyhow::Result<[Rate; N]> {
    let before = pids.map(read);
    let begin = Instant::now();
    sleep(time).await;
    let seconds = begin.elapsed().as_secs_f64();
    let after = pids.map(read);
    let mut rates = [Rate {
        cpu_percent: 0.0,
        rss_mib: 0.0,
    }; N];
    for (rate, (before, after)) in rates.iter_mut().zip(before.into_iter().zip(after)) {
        let after = after?;
        rate.cpu_percent = (after.cpu_seconds - before?.cpu_seconds) / seconds * 100.0;
        rate.rss_mib = after.rss_mib;
    }
    Ok(rates)
}

/// Returns the CPU time of the current thread, in seconds.
pub fn thread_cpu_seconds() -> anyhow::Result<f64> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    let nanos = text.split_whitespace().next().context("empty schedstat")?;
    Ok(nanos.parse::<f64>()? / 1e9)
}
