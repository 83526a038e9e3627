//! Requests by minute, from which burn rates are told.

use gullspar_model::record;

record! {
    /// Requests of one minute by outcome.
    #[derive(Copy, Default)]
    pub struct MinuteCount {
        pub good: u32,
        pub late: u32,
        pub not_run: u32,
        pub unknown: u32,
    }
}

record! {
    /// Failed requests that were last tried at one target.
    pub struct TargetFailureCount {
        /// `group/member`, or empty where no target was found.
        pub target: String,
        pub reason: String,
        pub count: u64,
    }
}

record! {
    /// One service and class at one instance or, added up, at all.
    pub struct BurnSeries {
        pub service: String,
        pub class: String,
        /// Share of requests that must be answered in time, in parts per million.
        pub objective_ppm: u64,
        /// The present minute first, then backwards.
        pub minutes: Vec<MinuteCount>,
        /// Of the last hour, the most frequent first.
        pub blames: Vec<TargetFailureCount>,
    }
}

impl MinuteCount {
    /// Requests that broke the objective.
    pub fn bad(&self) -> u64 {
        u64::from(self.late) + u64::from(self.not_run) + u64::from(self.unknown)
    }

    /// All requests.
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
        for blame in &other.blames {
            let known = self
                .blames
                .iter_mut()
                .find(|it| it.target == blame.target && it.reason == blame.reason);
            match known {
                Some(known) => known.count += blame.count,
                None => self.blames.push(blame.clone()),
            }
        }
        self.blames.sort_by_key(|it| std::cmp::Reverse(it.count));
    }
}
