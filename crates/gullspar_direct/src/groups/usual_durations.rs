//! How long statements of each kind usually take in a group.

use std::collections::BTreeMap;
use std::time::Duration;

use gullspar_model::Access;

/// Statements whose durations are comparable: those of one access and priority, and commits apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct StatementKind {
    pub(crate) writes: bool,
    pub(crate) commits: bool,
    pub(crate) priority: u8,
}

/// Number of statements after which the usual duration changes only slowly.
///
/// A target that has become slow raises it by a tenth within some 50 statements, long after it was noticed.
const MAX_SAMPLES: u32 = 512;

/// Number of statements from which the usual duration of a kind is known well enough to compare with.
const MIN_SAMPLES: u32 = 16;

/// A longer statement counts as this multiple of the usual duration, so that single long ones have little influence.
const MAX_SAMPLE_FACTOR: f64 = 2.0;

#[derive(Clone, Copy, Debug, Default)]
struct UsualDuration {
    mean_s: f64,
    samples: u32,
}

/// The usual durations of a group's statements on all members.
#[derive(Debug, Default)]
pub(crate) struct UsualDurations {
    kinds: BTreeMap<StatementKind, UsualDuration>,
}

impl StatementKind {
    pub(crate) fn new(access: Access, commits: bool, priority: u8) -> StatementKind {
        StatementKind { writes: access == Access::Write, commits, priority }
    }
}

impl UsualDurations {
    /// Records a duration. Returns its ratio to the usual one; `None` while too few are known.
    pub(crate) fn record(&mut self, kind: StatementKind, took: Duration) -> Option<f64> {
        let usual = self.kinds.entry(kind).or_default();
        let took_s = took.as_secs_f64();
        let is_known = usual.samples >= MIN_SAMPLES && usual.mean_s > 0.0;
        let ratio = is_known.then(|| took_s / usual.mean_s);
        let sample = if is_known { took_s.min(usual.mean_s * MAX_SAMPLE_FACTOR) } else { took_s };
        usual.samples = (usual.samples + 1).min(MAX_SAMPLES);
        usual.mean_s += (sample - usual.mean_s) / f64::from(usual.samples);
        ratio
    }
}
