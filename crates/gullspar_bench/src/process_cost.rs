//! What this process and its threads have used.

use std::time::Duration;

/// Processor time of all threads whose name begins with `name`.
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

/// Resident memory of the process in bytes.
pub fn resident_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or("");
    let kilobytes: u64 =
        resident.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    kilobytes * 1024
}
