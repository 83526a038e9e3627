//! When another connection to a target may be opened, and how long that takes.

use std::cell::Cell;
use std::time::{Duration, Instant};

use gullspar_border::{Entropy, jittered};

/// Pause after a target refused a connection; doubled with each further refusal.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// Refusals in a row after which the pause grows no more.
const MOST_DOUBLINGS: u32 = 4;

/// After a refusal, one more connection than there was room for is tried this often.
const ONE_MORE_EVERY: Duration = Duration::from_millis(300);

/// What opening is taken to need before the first connection was opened.
const UNKNOWN_DIAL: Duration = Duration::from_millis(15);

/// Weight of the newest dial in the running mean, as one part in this many.
const MEAN_WEIGHT: u64 = 8;

/// Paces the dials of one instance to one target.
///
/// A target that is full refuses each of many instances. If all of them asked again at once, for each of their waiting
/// statements, refusing would take the slots that the open connections need, and it would stay full of attempts.
#[derive(Default)]
pub(crate) struct DialThrottle {
    due: Cell<Option<Instant>>,
    refusals: Cell<u32>,
    usual_us: Cell<Option<u64>>,
    /// Connections that there was room for when the target last refused one, and when that was.
    room: Cell<Option<(u32, Instant)>>,
}

impl DialThrottle {
    /// When the next dial is due; `None` for now.
    pub(crate) fn due(&self) -> Option<Instant> {
        self.due.get()
    }

    /// What opening a connection takes of late.
    pub(crate) fn usual_dial(&self) -> Duration {
        self.usual_us.get().map_or(UNKNOWN_DIAL, Duration::from_micros)
    }

    /// A connection was opened, which took this long.
    pub(crate) fn opened(&self, took: Duration) {
        let sample = took.as_micros() as u64;
        let usual = self.usual_us.get().unwrap_or(sample);
        self.usual_us.set(Some((usual * (MEAN_WEIGHT - 1) + sample) / MEAN_WEIGHT));
        self.refusals.set(0);
        self.due.set(None);
    }

    /// How many connections to have at most, of the `allowed` ones: as many as there was room for, and more by and by.
    pub(crate) fn most(&self, allowed: u32, now: Instant) -> u32 {
        let Some((room, at)) = self.room.get() else { return allowed };
        let passed = now.saturating_duration_since(at).as_millis() / ONE_MORE_EVERY.as_millis();
        allowed.min(room.saturating_add(passed as u32))
    }

    /// The target has no room beyond `open` connections of this instance.
    pub(crate) fn refused(&self, open: u32, now: Instant, entropy: &dyn Entropy) {
        self.room.set(Some((open.max(1), now)));
        let doublings = self.refusals.get().min(MOST_DOUBLINGS);
        self.refusals.set(self.refusals.get().saturating_add(1));
        self.due.set(Some(now + jittered(entropy, REFUSED_PAUSE * 2u32.pow(doublings))));
    }
}
