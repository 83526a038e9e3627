//! How many instances of one class there are.

use crate::Tally;

/// Instances of one class.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Population {
    /// Those believed to be alive.
    pub(crate) alive: usize,
    /// Those that count in majorities, some of the dead included.
    pub(crate) counted: usize,
}

impl Population {
    /// Those that are in reach, where `links` stand for all.
    ///
    /// Soon after a cut nobody is known to be dead, and the silence of contacts tells how many are out of reach. Later
    /// the dead are known, and contacts that died have been replaced by others.
    pub(crate) fn estimate_reachable(self, links: Tally) -> usize {
        let by_links = match links.known {
            0 => self.counted,
            known => self.counted * links.responsive as usize / known as usize,
        };
        by_links.min(self.alive)
    }
}
