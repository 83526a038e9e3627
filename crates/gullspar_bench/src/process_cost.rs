//! What this process has used.

use std::time::Duration;

/// Processor time and memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct ThreadCost {
    pub processor: Duration,
    /// Resident memory in bytes.
    pub memory: u64,
}

/// Ticks of processor time in a second, as Linux counts them for programs.
const TICKS: u64 = 100;

/// What the whole process has used so far.
pub fn thread_cost() -> ThreadCost {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, rest)| rest);
    let field = |index: usize| -> u64 {
        after_name.split_whitespace().nth(index).and_then(|it| it.parse().ok()).unwrap_or(0)
    };
    // Counted from the field after the name: user and system time are the 12th and 13th.
    let ticks = field(11) + field(12);
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let resident = status.lines().find(|it| it.starts_with("VmRSS:")).unwrap_or("");
    let kilobytes: u64 =
        resident.split_whitespace().nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
    ThreadCost { processor: Duration::from_millis(ticks * 1000 / TICKS), memory: kilobytes * 1024 }
}
