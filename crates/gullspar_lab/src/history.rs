//! Records the outcomes that callers received and checks them against the stored data.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::client::RequestOutcome;

/// One write and the outcome that its caller received.
#[derive(Clone, Debug)]
pub struct WriteRecord {
    pub id: String,
    pub outcome: RequestOutcome,
    pub sent_at: Instant,
    pub answered_at: Instant,
}

/// All writes of a run, and its stale reads.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub writes: Vec<WriteRecord>,
    /// Ids of acknowledged writes that a later read of the same caller missed.
    pub stale: Vec<String>,
    pub reads: u64,
}

/// Ids of writes that violate a guarantee; all lists are empty in a correct run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    /// Acknowledged, but not stored.
    pub lost: Vec<String>,
    /// Stored more than once.
    pub duplicated: Vec<String>,
    /// Reported as not run, but stored.
    pub applied_despite_refusal: Vec<String>,
    /// Acknowledged, but missed by a later read of the same caller.
    pub stale: Vec<String>,
}

impl Violations {
    /// Whether no guarantee was violated.
    pub fn is_empty(&self) -> bool {
        *self == Violations::default()
    }
}

impl History {
    /// Adds another caller's history.
    pub fn merge(&mut self, other: History) {
        self.writes.extend(other.writes);
        self.stale.extend(other.stale);
        self.reads += other.reads;
    }

    /// Compares the recorded outcomes with the ids that are stored in the target at the end.
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

    /// The number of writes with this outcome.
    pub fn count(&self, outcome: RequestOutcome) -> usize {
        self.writes.iter().filter(|it| it.outcome == outcome).count()
    }

    /// The longest time between two acknowledged writes within `from..=to`, counting both ends as writes.
    pub fn longest_gap(&self, from: Instant, to: Instant) -> Duration {
        let done = self.writes.iter().filter(|it| it.outcome == RequestOutcome::Done);
        let mut acknowledged_at: Vec<Instant> =
            done.map(|it| it.answered_at).filter(|it| (from..=to).contains(it)).collect();
        acknowledged_at.push(from);
        acknowledged_at.push(to);
        acknowledged_at.sort();
        acknowledged_at.windows(2).map(|it| it[1] - it[0]).max().unwrap_or_default()
    }
}
