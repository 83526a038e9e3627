//! Latency and failures of targets, and the choice of replicas for reads.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use gullspar_border::Entropy;
use gullspar_model::{DataCentre, GroupSpec, MemberName, MemberSpec, NotRun, Outcome, TargetKey};

/// How long a target is avoided after a failure.
const AVOID_PERIOD: Duration = Duration::from_millis(100);

/// How long a target is avoided after it or its home was unreachable.
const AVOID_UNREACHABLE_PERIOD: Duration = Duration::from_millis(1500);

/// Replicas tried for a read before the primary.
const MAX_REPLICA_ATTEMPTS: usize = 2;

/// One read in this many goes to a random replica, so that the recovery of a slow replica is
/// detected.
const EXPLORE_EVERY: u64 = 32;

/// Weight of the newest sample in the running mean of a target's latency, as one part in this many.
const MEAN_WEIGHT: u32 = 8;

/// Expected latency of a replica in another data centre that was not used yet.
const DEFAULT_REMOTE_LATENCY: Duration = Duration::from_millis(1);

/// Recent latency, load and failures of a target.
#[derive(Clone, Copy, Default)]
struct TargetScore {
    mean_latency: Duration,
    /// Requests of this instance that are running on the target.
    in_flight: u32,
    avoid_until: Option<Instant>,
}

/// Scores of targets, updated by the requests of this instance.
#[derive(Default)]
pub struct TargetScores {
    scores: RefCell<HashMap<TargetKey, TargetScore>>,
}

impl TargetScores {
    /// The replicas of `group` to try for a read, lowest expected latency first.
    ///
    /// `data_centre` is the one of this instance. Replicas avoided at `now` are left out.
    pub fn replicas<'g>(
        &self,
        group: &'g GroupSpec,
        primary: Option<&MemberName>,
        data_centre: &DataCentre,
        entropy: &dyn Entropy,
        now: Instant,
    ) -> Vec<&'g MemberSpec> {
        let mut candidates: Vec<&MemberSpec> = group
            .members
            .iter()
            .filter(|it| Some(&it.name) != primary && !it.leaving)
            .filter(|it| self.score(group, &it.name).avoid_until.is_none_or(|at| at <= now))
            .collect();
        if entropy.next_u64().is_multiple_of(EXPLORE_EVERY) && !candidates.is_empty() {
            let offset = entropy.next_u64() as usize % candidates.len();
            candidates.rotate_left(offset);
        } else {
            candidates.sort_by_cached_key(|it| self.expected_latency(group, it, data_centre));
        }
        candidates.truncate(MAX_REPLICA_ATTEMPTS);
        candidates
    }

    /// Expected latency of a read; an unused replica in the same data centre counts as fastest.
    ///
    /// The mean latency alone lags behind: a burst of reads would go to one replica and overload it
    /// while the others stay idle. Counting the requests in flight spreads the burst.
    fn expected_latency(
        &self,
        group: &GroupSpec,
        member: &MemberSpec,
        data_centre: &DataCentre,
    ) -> Duration {
        let score = self.score(group, &member.name);
        let mean = score.mean_latency;
        if mean.is_zero() && member.data_centre != *data_centre {
            DEFAULT_REMOTE_LATENCY
        } else {
            mean * (score.in_flight + 1)
        }
    }

    fn score(&self, group: &GroupSpec, member: &MemberName) -> TargetScore {
        let key = TargetKey::new(&group.name, member);
        self.scores.borrow().get(&key).copied().unwrap_or_default()
    }

    /// Records that a request was sent to `key`.
    pub fn record_start(&self, key: &TargetKey) {
        let mut scores = self.scores.borrow_mut();
        if !scores.contains_key(key) {
            scores.insert(key.clone(), TargetScore::default());
        }
        if let Some(score) = scores.get_mut(key) {
            score.in_flight += 1;
        }
    }

    /// Records the outcome of a request that ended at `now` and took `took`.
    pub fn record_end(&self, key: &TargetKey, outcome: &Outcome, took: Duration, now: Instant) {
        let mut scores = self.scores.borrow_mut();
        let Some(score) = scores.get_mut(key) else { return };
        score.in_flight = score.in_flight.saturating_sub(1);
        match outcome {
            Outcome::Done { .. } => {
                let mean = score.mean_latency;
                score.mean_latency = if mean.is_zero() {
                    took
                } else {
                    (mean * (MEAN_WEIGHT - 1) + took) / MEAN_WEIGHT
                };
                score.avoid_until = None;
            }
            Outcome::NotRun(NotRun::Unreachable) => {
                score.avoid_until = Some(now + AVOID_UNREACHABLE_PERIOD);
            }
            // A replica too far behind for one caller may serve another. Avoiding it would refuse callers
            // that accept data of any age when it is the only target in a partitioned data centre.
            Outcome::NotRun(NotRun::Behind) => {}
            _ => score.avoid_until = Some(now + AVOID_PERIOD),
        }
    }
}
