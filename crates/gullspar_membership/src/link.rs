//! One contact of this instance.

use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;

use crate::timing::UNREACHABLE_AFTER;
use crate::{LinkCounts, Proximity};

/// A contact: an instance that gets each heartbeat and is expected to send as many.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) proximity: Proximity,
    /// Since when it was silent: when it was last heard, became a contact, or this instance stood still.
    pub(crate) silent_since: BootInstant,
    pub(crate) has_responded: bool,
    /// It was suspected since it was last heard. If it objected, it is reached by others, and suspecting it again and
    /// again would only make it object again and again.
    pub(crate) was_suspected: bool,
    /// Which of its own contacts it said that it hears.
    pub(crate) reported: LinkCounts,
    /// It believes other instances to be there than this one.
    pub(crate) has_different_view: bool,
}

impl Link {
    pub(crate) fn new(address: SocketAddr, proximity: Proximity, now: BootInstant) -> Link {
        Link {
            address,
            proximity,
            silent_since: now,
            has_responded: false,
            was_suspected: false,
            reported: LinkCounts::default(),
            has_different_view: false,
        }
    }

    pub(crate) fn is_silent(&self, now: BootInstant) -> bool {
        now.since(self.silent_since) >= UNREACHABLE_AFTER
    }

    /// This instance stood still for `paused_for`, and heard nobody meanwhile.
    pub(crate) fn discount_pause(&mut self, paused_for: Duration, now: BootInstant) {
        self.silent_since = self.silent_since.plus(paused_for).min(now);
    }
}
