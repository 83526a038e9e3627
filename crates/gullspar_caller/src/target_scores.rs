//! What was seen of targets lately, and which replicas are worth trying by it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::{Duration, Instant};

use gullspar_border::Entropy;
use gullspar_model::{DataCentre, GroupSpec, MemberName, MemberSpec, NotRun, Outcome, TargetKey};

/// A target that failed is avoided for so long.
const AVOID_FOR: Duration = Duration::from_millis(100);

/// A target whose home can't be reached, or does not hear it, is avoided for so long.
const AVOID_UNREACHABLE_FOR: Duration = Duration::from_millis(1500);

/// Replicas tried for one read before the primary is.
const REPLICA_TRIES: usize = 2;

/// One read in this many goes to a random replica, so that one that was slow is noticed when it has
/// recovered.
const EXPLORE_EVERY: u64 = 32;

/// Weight of the newest sample in the running mean of a target's latency, as one part in this many.
const MEAN_WEIGHT: u32 = 8;

/// What a read at a replica in another data centre is expected to take before one was tried.
const FAR_AT_FIRST: Duration = Duration::from_millis(1);

/// What was seen of a target lately.
#[derive(Clone, Copy, Default)]
struct TargetScore {
    mean_latency: Duration,
    /// Requests of this instance that are on their way there.
    in_flight: u32,
    avoid_until: Option<Instant>,
}

/// What this instance's requests have seen of each target.
#[derive(Default)]
pub struct TargetScores {
    scores: RefCell<HashMap<TargetKey, TargetScore>>,
}

impl TargetScores {
    /// The replicas of `group` worth trying at `now` for a read of an instance in `own`, best first.
    pub fn replicas<'g>(
        &self,
        group: &'g GroupSpec,
        primary: Option<&MemberName>,
        own: &DataCentre,
        entropy: &dyn Entropy,
        now: Instant,
    ) -> Vec<&'g MemberSpec> {
        let mut able: Vec<&MemberSpec> = group
            .members
            .iter()
            .filter(|it| Some(&it.name) != primary && !it.leaving)
            .filter(|it| self.score(group, &it.name).avoid_until.is_none_or(|at| at <= now))
            .collect();
        if entropy.next_u64().is_multiple_of(EXPLORE_EVERY) && !able.is_empty() {
            let turn = entropy.next_u64() as usize % able.len();
            able.rotate_left(turn);
        } else {
            able.sort_by_cached_key(|it| self.expected_latency(group, it, own));
        }
        able.truncate(REPLICA_TRIES);
        able
    }

    /// What a read will probably take there; one not tried yet counts as near when it is.
    ///
    /// The mean latency alone lags behind: all reads of a moment would go to the replica that was best
    /// a moment ago, and while it is swamped the others stand idle. Requests on their way count at once.
    fn expected_latency(
        &self,
        group: &GroupSpec,
        member: &MemberSpec,
        own: &DataCentre,
    ) -> Duration {
        let score = self.score(group, &member.name);
        let mean = score.mean_latency;
        if mean.is_zero() && member.data_centre != *own {
            FAR_AT_FIRST
        } else {
            mean * (score.in_flight + 1)
        }
    }

    fn score(&self, group: &GroupSpec, member: &MemberName) -> TargetScore {
        let key = TargetKey::new(&group.name, member);
        self.scores.borrow().get(&key).copied().unwrap_or_default()
    }

    /// Notes that a request is on its way to `key`.
    pub fn depart(&self, key: &TargetKey) {
        let mut scores = self.scores.borrow_mut();
        if !scores.contains_key(key) {
            scores.insert(key.clone(), TargetScore::default());
        }
        if let Some(score) = scores.get_mut(key) {
            score.in_flight += 1;
        }
    }

    /// Notes how a request that departed ended at `now`, `took` after it did.
    pub fn learn(&self, key: &TargetKey, outcome: &Outcome, took: Duration, now: Instant) {
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
                score.avoid_until = Some(now + AVOID_UNREACHABLE_FOR);
            }
            // Too old for one caller's class is good enough for another's: avoided by all, a cut-off data
            // centre's only target would refuse callers that accept any age.
            Outcome::NotRun(NotRun::Behind) => {}
            _ => score.avoid_until = Some(now + AVOID_FOR),
        }
    }
}
