//! What callers were told, and whether it was true.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::client::RequestOutcome;

/// One write and what its caller was told.
#[derive(Clone, Debug)]
pub struct WriteRecord {
    pub id: String,
    pub outcome: RequestOutcome,
    pub sent_at: Instant,
    pub answered_at: Instant,
}

/// All writes of a run, and the reads that broke a promise.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub writes: Vec<WriteRecord>,
    /// Reads that missed a write that the same caller had been told was done.
    pub stale: Vec<String>,
    pub reads: u64,
}

/// Promises that a run broke; all empty in a sound one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Told done, but not there.
    pub lost: Vec<String>,
    /// There more than once.
    pub duplicated: Vec<String>,
    /// Told not run, but there.
    pub applied_despite_refusal: Vec<String>,
    pub stale: Vec<String>,
}

impl Violations {
    /// Whether every promise was kept.
    pub fn is_empty(&self) -> bool {
        *self == Violations::default()
    }
}

impl History {
    /// Takes another caller's history in.
    pub fn merge(&mut self, other: History) {
        self.writes.extend(other.writes);
        self.stale.extend(other.stale);
        self.reads += other.reads;
    }

    /// Compares what callers were told with the ids found in the target at the end.
    pub fn check(&self, found: &[String]) -> Violations {
        let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
        for id in found {
            *counts.entry(id).or_default() += 1;
        }
        let mut violations = Violations { stale: self.stale.clone(), ..Violations::default() };
        for write in &self.writes {
            let count = counts.get(write.id.as_str()).copied().unwrap_or(0);
            match (write.outcome, count) {
                (RequestOutcome::Done, 0) => violations.lost.push(write.id.clone()),
                (RequestOutcome::NotRun, 1..) => {
                    violations.applied_despite_refusal.push(write.id.clone())
                }
                _ => {}
            }
            if count > 1 {
                violations.duplicated.push(write.id.clone());
            }
        }
        violations
    }

    /// Writes with this outcome.
    pub fn count(&self, outcome: RequestOutcome) -> usize {
        self.writes.iter().filter(|it| it.outcome == outcome).count()
    }

    /// The longest time between two writes that landed, within a window.
    pub fn longest_gap(&self, from: Instant, to: Instant) -> Duration {
        let done = self.writes.iter().filter(|it| it.outcome == RequestOutcome::Done);
        let mut landed: Vec<Instant> =
            done.map(|it| it.answered_at).filter(|it| (from..=to).contains(it)).collect();
        landed.push(from);
        landed.push(to);
        landed.sort();
        landed.windows(2).map(|it| it[1] - it[0]).max().unwrap_or_default()
    }
}
