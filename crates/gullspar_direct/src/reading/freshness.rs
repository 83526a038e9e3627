//! How fresh the data of a read must be.

use std::time::Duration;

gullspar_model::record! {
    /// What the callers of a service may see in a read.
    #[derive(Copy)]
    pub enum Freshness {
        /// Every commit acknowledged before the read.
        Latest,
        /// Every commit acknowledged more than this many milliseconds before the read.
        MaxAge { ms: u64 },
        /// The same, and every commit of the session itself.
        OwnWrites { max_age_ms: u64 },
    }
}

impl Freshness {
    /// The greatest age that data may have; `None` where no age will do.
    pub(crate) fn max_age(self) -> Option<Duration> {
        match self {
            Freshness::Latest => None,
            Freshness::MaxAge { ms } | Freshness::OwnWrites { max_age_ms: ms } => {
                Some(Duration::from_millis(ms))
            }
        }
    }
}
