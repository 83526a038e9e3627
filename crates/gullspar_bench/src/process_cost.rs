//! Processor time and memory used by this process.

use std::time::Duration;

/// Total processor time of the threads of this process whose name starts with `name`, from `/proc`.
pub fn processor_time(name: &str) -> Duration {
    let Ok(tasks) = std::fs::read_dir("/proc/self/task") else { return Duration::ZERO };
    let paths = tasks.flatten().map(|it| it.path());
    let named = paths
        .filter(|it| std::fs::read_to_string(it.join("comm")).is_ok_and(|it| it.starts_with(name)));
    let nanos = named.filter_map(|it| {
        let text = std::fs::read_to_string(it.join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}

/// Resident memory of this process in bytes, from `/proc`.
pub fn resident_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or("");
    let kilobytes: u64 =
        resident.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    kilobytes * 1024
}
