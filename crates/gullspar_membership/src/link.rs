//! One contact of this instance.

use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;

use crate::timing::OUT_OF_REACH_AFTER;
use crate::{Class, LinkCounts};

/// A contact: an instance that gets each heartbeat and is expected to send as many.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) class: Class,
    /// Since when it was silent: when it was last heard, became a contact, or this instance stood still.
    pub(crate) silent_since: BootInstant,
    pub(crate) was_heard: bool,
    /// It was suspected since it was last heard. If it objected, it is reached by others, and suspecting it again and
    /// again would only make it object again and again.
    pub(crate) was_suspected: bool,
    /// Which of its own contacts it said that it hears.
    pub(crate) told: LinkCounts,
    /// It believes other instances to be there than this one.
    pub(crate) differs: bool,
}

impl Link {
    pub(crate) fn new(address: SocketAddr, class: Class, now: BootInstant) -> Link {
        Link {
            address,
            class,
            silent_since: now,
            was_heard: false,
            was_suspected: false,
            told: LinkCounts::default(),
            differs: false,
        }
    }

    pub(crate) fn is_silent(&self, now: BootInstant) -> bool {
        now.since(self.silent_since) >= OUT_OF_REACH_AFTER
    }

    /// This instance stood still for `stalled`, and heard nobody meanwhile.
    pub(crate) fn forgive(&mut self, stalled: Duration, now: BootInstant) {
        self.silent_since = self.silent_since.plus(stalled).min(now);
    }
}
