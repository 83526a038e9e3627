//! What became of the statements sent to some members of a group in the last second or so.

use gullspar_border::BootInstant;

use crate::groups::decaying_rate::DecayingRate;

/// Statements per second that must have been sent to judge the members.
const MIN_RUNS_PER_S: f64 = 5.0;

/// Recent statements on the leader, or on the replicas.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RecentRuns {
    sent: DecayingRate,
    /// Statements that failed or were not answered.
    failed: DecayingRate,
    /// Statements that the target refused as congested.
    refused: DecayingRate,
    /// Statements that were answered and whose usual duration is known.
    compared: DecayingRate,
    /// Sum of their ratios to the usual duration.
    ratios: DecayingRate,
}

impl RecentRuns {
    /// Records a statement that took `ratio` times as long as usual; `None` if the usual duration is unknown.
    pub(crate) fn record_answer(&mut self, ratio: Option<f64>, now: BootInstant) {
        self.sent.add(1.0, now);
        if let Some(ratio) = ratio {
            self.compared.add(1.0, now);
            self.ratios.add(ratio, now);
        }
    }

    /// Records a statement that the target refused as congested, or failed or did not answer.
    pub(crate) fn record_failure(&mut self, is_refused: bool, now: BootInstant) {
        self.sent.add(1.0, now);
        if is_refused {
            self.refused.add(1.0, now);
        } else {
            self.failed.add(1.0, now);
        }
    }

    /// The fraction of statements that failed or were not answered; `None` if too few were sent.
    pub(crate) fn failed_fraction(&self, now: BootInstant) -> Option<f64> {
        self.fraction(self.failed.per_second(now), now)
    }

    /// The fraction of statements that were not run or failed; `None` if too few were sent.
    pub(crate) fn unserved_fraction(&self, now: BootInstant) -> Option<f64> {
        self.fraction(self.failed.per_second(now) + self.refused.per_second(now), now)
    }

    fn fraction(&self, of: f64, now: BootInstant) -> Option<f64> {
        let sent = self.sent.per_second(now);
        (sent >= MIN_RUNS_PER_S).then(|| of / sent)
    }

    /// The mean ratio of durations to the usual ones; `None` if too few were compared.
    pub(crate) fn slowdown(&self, now: BootInstant) -> Option<f64> {
        let compared = self.compared.per_second(now);
        (compared >= MIN_RUNS_PER_S).then(|| self.ratios.per_second(now) / compared)
    }
}
