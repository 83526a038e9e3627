//! Request counts by minute, from which burn rates are calculated.

use gullspar_model::record;

record! {
    /// Number of requests in one minute, by outcome.
    #[derive(Copy, Default)]
    pub struct MinuteCount {
        pub good: u32,
        pub late: u32,
        pub not_run: u32,
        pub unknown: u32,
    }
}

record! {
    /// Number of requests that failed at one target, for one reason.
    pub struct TargetFailureCount {
        /// The target that was tried last, as `group/member`; empty if none was found.
        pub target: String,
        pub reason: String,
        pub count: u64,
    }
}

record! {
    /// Request counts of one service and class, of one instance or summed over all.
    pub struct BurnSeries {
        pub service: String,
        pub class: String,
        /// Share of requests that must be answered in time, in parts per million.
        pub objective_ppm: u64,
        /// The current minute first, then the preceding ones.
        pub minutes: Vec<MinuteCount>,
        /// Failures of the last hour, the most frequent first.
        pub blames: Vec<TargetFailureCount>,
    }
}

impl MinuteCount {
    /// Number of requests that missed the objective.
    pub fn bad(&self) -> u64 {
        u64::from(self.late) + u64::from(self.not_run) + u64::from(self.unknown)
    }

    /// Number of all requests.
    pub fn total(&self) -> u64 {
        u64::from(self.good) + self.bad()
    }

    /// Adds another instance's count of the same minute.
    pub fn add(&mut self, other: &MinuteCount) {
        self.good += other.good;
        self.late += other.late;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
    }
}

impl BurnSeries {
    /// Adds another instance's series of the same service and class.
    pub fn add(&mut self, other: &BurnSeries) {
        let length = self.minutes.len().max(other.minutes.len());
        self.minutes.resize(length, MinuteCount::default());
        for (own, other) in self.minutes.iter_mut().zip(&other.minutes) {
            own.add(other);
        }
        for failures in &other.blames {
            let existing = self
                .blames
                .iter_mut()
                .find(|it| it.target == failures.target && it.reason == failures.reason);
            match existing {
                Some(existing) => existing.count += failures.count,
                None => self.blames.push(failures.clone()),
            }
        }
        self.blames.sort_by_key(|it| std::cmp::Reverse(it.count));
    }
}
