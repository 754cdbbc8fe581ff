//! The memory that this process may use.

use std::fs;

/// What Linux reports for the machine.
const MACHINE_FILE: &str = "/proc/meminfo";
/// What control groups (version 2) allow this container.
const CONTAINER_FILE: &str = "/sys/fs/cgroup/memory.max";

/// Returns how much memory the machine has or the container may use, in bytes, or `None` if neither can be read.
pub fn memory_limit() -> Option<u64> {
    let machine = fs::read_to_string(MACHINE_FILE).ok();
    let machine = machine.and_then(|text| {
        let line = text.lines().find_map(|l| l.strip_prefix("MemTotal:"))?;
        let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
        kib.checked_mul(1024)
    });
    let container = fs::read_to_string(CONTAINER_FILE).ok();
    let container = container.and_then(|text| text.trim().parse().ok());
    machine.into_iter().chain(container).min()
}
