//! The link to one contact.

use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;

use crate::timing::UNREACHABLE_AFTER;
use crate::{LinkCounts, Proximity};

/// The link to a contact, which receives each heartbeat and is expected to send its own.
#[derive(Debug)]
pub(crate) struct Link {
    pub(crate) address: SocketAddr,
    pub(crate) proximity: Proximity,
    /// Start of the current silence: the last heartbeat received, the selection as a contact, or a
    /// later time after a pause of this instance.
    pub(crate) silent_since: BootInstant,
    pub(crate) has_responded: bool,
    /// It was suspected since the last heartbeat received from it. If it refuted that, others reach
    /// it, and suspecting it repeatedly would only cause more refutations.
    pub(crate) was_suspected: bool,
    /// The counts of its own contacts that it reported.
    pub(crate) reported: LinkCounts,
    /// Its view of the members differs from this instance's.
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

    /// Discounts the time for which this instance itself was paused and could receive nothing.
    pub(crate) fn discount_pause(&mut self, paused_for: Duration, now: BootInstant) {
        self.silent_since = self.silent_since.plus(paused_for).min(now);
    }
}
