//! What callers of this instance lose at a group's leader, and whether the leader itself is the reason.

use gullspar_border::BootInstant;

use crate::groups::decaying_rate::DecayingRate;
use crate::groups::recent_runs::RecentRuns;

/// How much a late answer counts; the fraction of a request's worth that lateness costs on average.
const LATE_WEIGHT: f64 = 0.7;

/// The leader counts as slow from this multiple of the usual duration. Queues of busy targets at most double the
/// duration, since all permits together are 1.5 times the slots.
const SLOW_RATIO: f64 = 4.0;

/// The leader counts as slow only if its slowdown is this multiple of the replicas'; a transfer would not help otherwise.
const SLOW_RATIO_TO_REPLICAS: f64 = 2.0;

/// A leader that refuses statements counts as impaired only if those that it runs take less than this multiple of the
/// usual duration. Otherwise its slots are in use: it is busy, and a transfer would not help.
const BUSY_RATIO: f64 = 1.5;

/// The leader counts as failing from this fraction of failed or refused statements.
const FAILING_FRACTION: f64 = 0.5;

/// If at least this fraction fails on replicas too, the leader is not the reason.
const MAX_REPLICA_FAILING_FRACTION: f64 = 0.25;

/// How a request that the leader served, or should have served, ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    InTime,
    /// Answered after the objective.
    Late,
    /// Refused, failed or not answered.
    Lost,
}

/// The load of a group's current leader, as this instance sees it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LeaderLoad {
    requests: DecayingRate,
    lost: DecayingRate,
    /// Requests that replicas could serve if they had applied enough.
    displaced: DecayingRate,
    leader: RecentRuns,
    replicas: RecentRuns,
}

impl LeaderLoad {
    /// Records a request whose last attempt was on the leader.
    pub(crate) fn record_request(&mut self, end: RequestEnd, is_displaced: bool, now: BootInstant) {
        self.requests.add(1.0, now);
        if is_displaced {
            self.displaced.add(1.0, now);
        }
        match end {
            RequestEnd::InTime => {}
            RequestEnd::Late => self.lost.add(LATE_WEIGHT, now),
            RequestEnd::Lost => self.lost.add(1.0, now),
        }
    }

    /// The recent statements on the leader, or on the replicas.
    pub(crate) fn runs_mut(&mut self, on_leader: bool) -> &mut RecentRuns {
        if on_leader { &mut self.leader } else { &mut self.replicas }
    }

    pub(crate) fn requests_per_s(&self, now: BootInstant) -> f64 {
        self.requests.per_second(now)
    }

    pub(crate) fn lost_per_s(&self, now: BootInstant) -> f64 {
        self.lost.per_second(now)
    }

    pub(crate) fn displaced_per_s(&self, now: BootInstant) -> f64 {
        self.displaced.per_second(now)
    }

    /// Whether the leader is much slower than is usual in the group, or refuses or fails much of what it is sent, and the
    /// replicas don't.
    pub(crate) fn is_impaired(&self, now: BootInstant) -> bool {
        let replica_slowdown = self.replicas.slowdown(now).unwrap_or(1.0).max(1.0);
        let is_slow = self
            .leader
            .slowdown(now)
            .is_some_and(|it| it >= SLOW_RATIO && it >= replica_slowdown * SLOW_RATIO_TO_REPLICAS);
        let is_large = |fraction: Option<f64>| fraction.is_some_and(|it| it >= FAILING_FRACTION);
        let is_busy = self.leader.slowdown(now).is_some_and(|it| it >= BUSY_RATIO);
        let is_failing = is_large(self.leader.failed_fraction(now))
            || !is_busy && is_large(self.leader.unserved_fraction(now));
        let replica_failures = self.replicas.unserved_fraction(now).unwrap_or(0.0);
        is_slow || is_failing && replica_failures < MAX_REPLICA_FAILING_FRACTION
    }
}
