//! Number of near or far instances.

use crate::Tally;

/// Numbers of near or of far instances.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Population {
    /// Instances that are alive.
    pub(crate) alive: usize,
    /// Instances that are counted in majorities, including some dead ones.
    pub(crate) counted: usize,
}

impl Population {
    /// Estimates the number of reachable instances, with `links` as a sample.
    ///
    /// Right after a partition no deaths are known, so the share of silent contacts is the better
    /// estimate. Later, silent contacts have been replaced, and the number of live instances is the
    /// limit.
    pub(crate) fn estimate_reachable(self, links: Tally) -> usize {
        let by_links = match links.known {
            0 => self.counted,
            known => self.counted * links.responsive as usize / known as usize,
        };
        by_links.min(self.alive)
    }
}
