//! Counts by minute, as far back as the longest burn window.

use std::collections::{BTreeMap, VecDeque};

use gullspar_border::{MinuteCount, TargetFailureCount};
use gullspar_model::TargetKey;

/// Minutes kept: six hours, the longest window of the burn report.
const KEPT_MINUTES: usize = 360;

/// Minutes that blames are kept for.
const BLAMED_MINUTES: u64 = 60;

/// Failed requests of one minute at one target, for one reason.
struct Blame {
    minute: u64,
    target: Option<TargetKey>,
    reason: &'static str,
    count: u64,
}

/// Counts of the last hours; the newest minute last.
#[derive(Default)]
pub(crate) struct MinuteRing {
    minutes: VecDeque<MinuteCount>,
    /// Number of the newest minute.
    newest: u64,
    blames: VecDeque<Blame>,
}

impl MinuteRing {
    /// The count of `minute`, which is the newest or later.
    pub(crate) fn at(&mut self, minute: u64) -> &mut MinuteCount {
        if self.minutes.is_empty() {
            self.newest = minute;
            self.minutes.push_back(MinuteCount::default());
        }
        let passed = minute.saturating_sub(self.newest).min(KEPT_MINUTES as u64);
        for _ in 0..passed {
            self.minutes.push_back(MinuteCount::default());
        }
        self.newest = self.newest.max(minute);
        let surplus = self.minutes.len().saturating_sub(KEPT_MINUTES);
        self.minutes.drain(..surplus);
        let last = self.minutes.len() - 1;
        &mut self.minutes[last]
    }

    /// Notes a failed request.
    pub(crate) fn blame(&mut self, minute: u64, target: Option<&TargetKey>, reason: &'static str) {
        while self.blames.front().is_some_and(|it| it.minute + BLAMED_MINUTES < minute) {
            self.blames.pop_front();
        }
        let known = self
            .blames
            .iter_mut()
            .rev()
            .take_while(|it| it.minute == minute)
            .find(|it| it.target.as_ref() == target && it.reason == reason);
        match known {
            Some(known) => known.count += 1,
            None => {
                let target = target.cloned();
                self.blames.push_back(Blame { minute, target, reason, count: 1 });
            }
        }
    }

    /// Counts from `minute` backwards.
    pub(crate) fn minutes(&self, minute: u64) -> Vec<MinuteCount> {
        let quiet = minute.saturating_sub(self.newest).min(KEPT_MINUTES as u64) as usize;
        let mut counts = vec![MinuteCount::default(); quiet];
        counts.extend(self.minutes.iter().rev().copied());
        counts.truncate(KEPT_MINUTES);
        counts
    }

    /// Blames of the last hour, the most frequent first.
    pub(crate) fn blames(&self, minute: u64) -> Vec<TargetFailureCount> {
        let mut sums: BTreeMap<(String, &'static str), u64> = BTreeMap::new();
        for blame in self.blames.iter().filter(|it| it.minute + BLAMED_MINUTES >= minute) {
            let target = blame.target.as_ref().map_or(String::new(), ToString::to_string);
            *sums.entry((target, blame.reason)).or_default() += blame.count;
        }
        let mut blames: Vec<TargetFailureCount> = sums
            .into_iter()
            .map(|((target, reason), count)| TargetFailureCount {
                target,
                reason: reason.to_owned(),
                count,
            })
            .collect();
        blames.sort_by_key(|it| std::cmp::Reverse(it.count));
        blames
    }
}
