//! CPU time of another process.

use anyhow::Context;

/// Clock ticks per second in `/proc/PID/stat`, fixed by the kernel's interface.
const TICKS_PER_SECOND: f64 = 100.0;

/// Returns the CPU time that a process has used, in seconds.
pub fn cpu_seconds(pid: u32) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
    let (_, fields) = stat.rsplit_once(')').context("no name in the stat")?;
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = |i: usize| -> anyhow::Result<f64> { Ok(fields[i].parse()?) };
    Ok((ticks(11)? + ticks(12)?) / TICKS_PER_SECOND)
}
