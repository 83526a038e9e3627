//! How fresh the data of a read must be.

use std::time::Duration;

gullspar_model::record! {
    /// The freshness that a service guarantees for reads.
    #[derive(Copy)]
    pub enum Freshness {
        /// Includes every commit acknowledged before the read.
        Latest,
        /// Includes every commit acknowledged more than `ms` milliseconds before the read.
        MaxAge { ms: u64 },
        /// As [`MaxAge`](Freshness::MaxAge), and includes every commit of the session itself.
        OwnWrites { max_age_ms: u64 },
    }
}

impl Freshness {
    /// The maximum age of the data; `None` if it must be the latest.
    pub(crate) fn max_age(self) -> Option<Duration> {
        match self {
            Freshness::Latest => None,
            Freshness::MaxAge { ms } | Freshness::OwnWrites { max_age_ms: ms } => {
                Some(Duration::from_millis(ms))
            }
        }
    }
}
