//! Request counts by minute, for the longest window of the burn report.

use std::collections::{BTreeMap, VecDeque};

use gullspar_border::{MinuteCount, TargetFailureCount};
use gullspar_model::TargetKey;

/// Minutes retained: six hours, the longest window of the burn report.
const MAX_MINUTES: usize = 360;

/// How long failures are retained, in minutes.
const FAILURE_WINDOW_MINUTES: u64 = 60;

/// Failed requests of one minute at one target, for one reason.
struct FailureCount {
    minute: u64,
    target: Option<TargetKey>,
    reason: &'static str,
    count: u64,
}

/// Request counts of the last hours, newest minute last, and failures of the last hour.
#[derive(Default)]
pub(crate) struct MinuteRing {
    minutes: VecDeque<MinuteCount>,
    /// Number of the newest minute.
    newest: u64,
    failures: VecDeque<FailureCount>,
}

impl MinuteRing {
    /// The count of `minute`, which is the newest or later.
    pub(crate) fn at(&mut self, minute: u64) -> &mut MinuteCount {
        if self.minutes.is_empty() {
            self.newest = minute;
            self.minutes.push_back(MinuteCount::default());
        }
        let passed = minute.saturating_sub(self.newest).min(MAX_MINUTES as u64);
        for _ in 0..passed {
            self.minutes.push_back(MinuteCount::default());
        }
        self.newest = self.newest.max(minute);
        let surplus = self.minutes.len().saturating_sub(MAX_MINUTES);
        self.minutes.drain(..surplus);
        let last = self.minutes.len() - 1;
        &mut self.minutes[last]
    }

    /// Records a failed request.
    pub(crate) fn record_failure(
        &mut self,
        minute: u64,
        target: Option<&TargetKey>,
        reason: &'static str,
    ) {
        while self.failures.front().is_some_and(|it| it.minute + FAILURE_WINDOW_MINUTES < minute) {
            self.failures.pop_front();
        }
        let existing = self
            .failures
            .iter_mut()
            .rev()
            .take_while(|it| it.minute == minute)
            .find(|it| it.target.as_ref() == target && it.reason == reason);
        match existing {
            Some(existing) => existing.count += 1,
            None => {
                let target = target.cloned();
                self.failures.push_back(FailureCount { minute, target, reason, count: 1 });
            }
        }
    }

    /// Counts by minute, from `minute` backwards.
    pub(crate) fn minutes(&self, minute: u64) -> Vec<MinuteCount> {
        let idle = minute.saturating_sub(self.newest).min(MAX_MINUTES as u64) as usize;
        let mut counts = vec![MinuteCount::default(); idle];
        counts.extend(self.minutes.iter().rev().copied());
        counts.truncate(MAX_MINUTES);
        counts
    }

    /// Failures of the last hour by target and reason, the most frequent first.
    pub(crate) fn failures(&self, minute: u64) -> Vec<TargetFailureCount> {
        let mut sums: BTreeMap<(String, &'static str), u64> = BTreeMap::new();
        for failure in
            self.failures.iter().filter(|it| it.minute + FAILURE_WINDOW_MINUTES >= minute)
        {
            let target = failure.target.as_ref().map_or(String::new(), ToString::to_string);
            *sums.entry((target, failure.reason)).or_default() += failure.count;
        }
        let mut failures: Vec<TargetFailureCount> = sums
            .into_iter()
            .map(|((target, reason), count)| TargetFailureCount {
                target,
                reason: reason.to_owned(),
                count,
            })
            .collect();
        failures.sort_by_key(|it| std::cmp::Reverse(it.count));
        failures
    }
}
