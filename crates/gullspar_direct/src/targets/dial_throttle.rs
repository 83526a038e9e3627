//! Limits how often and how many connections to a target are opened.

use std::cell::Cell;
use std::time::{Duration, Instant};

use gullspar_border::{Entropy, jittered};

/// Delay after a target refused a connection; doubles with each further refusal.
const REFUSAL_DELAY: Duration = Duration::from_millis(30);

/// Consecutive refusals after which the delay no longer grows.
const MAX_DELAY_DOUBLINGS: u32 = 4;

/// After a refusal, the connection limit grows by one in each interval of this length.
const LIMIT_INCREASE_INTERVAL: Duration = Duration::from_millis(300);

/// Assumed time to open a connection until the first one was opened.
const INITIAL_DIAL_ESTIMATE: Duration = Duration::from_millis(15);

/// The newest sample's weight in the running mean is one divided by this.
const MEAN_DIVISOR: u64 = 8;

/// Throttles the connection attempts of one instance to one target.
///
/// Refusing a connection takes a slot at the target. If all instances retried at once for each waiting statement, the
/// refusals would use up the slots that the open connections need.
#[derive(Default)]
pub(crate) struct DialThrottle {
    next_dial_at: Cell<Option<Instant>>,
    refusals: Cell<u32>,
    mean_us: Cell<Option<u64>>,
    /// Connections that were open when the target last refused one, and the time of that refusal.
    limit_at_refusal: Cell<Option<(u32, Instant)>>,
}

impl DialThrottle {
    /// The earliest time of the next attempt, possibly in the past; `None` if none was refused since the last success.
    pub(crate) fn next_dial_at(&self) -> Option<Instant> {
        self.next_dial_at.get()
    }

    /// The recent mean time to open a connection.
    pub(crate) fn mean_dial_time(&self) -> Duration {
        self.mean_us.get().map_or(INITIAL_DIAL_ESTIMATE, Duration::from_micros)
    }

    /// Records that a connection was opened, and the time that it took.
    pub(crate) fn record_opened(&self, took: Duration) {
        let sample = took.as_micros() as u64;
        let mean = self.mean_us.get().unwrap_or(sample);
        self.mean_us.set(Some((mean * (MEAN_DIVISOR - 1) + sample) / MEAN_DIVISOR));
        self.refusals.set(0);
        self.next_dial_at.set(None);
    }

    /// The current connection limit, at most `allowed`. After a refusal it starts at the number that was open then, and
    /// grows over time.
    pub(crate) fn connection_limit(&self, allowed: u32, now: Instant) -> u32 {
        let Some((limit_at_refusal, at)) = self.limit_at_refusal.get() else { return allowed };
        let passed =
            now.saturating_duration_since(at).as_millis() / LIMIT_INCREASE_INTERVAL.as_millis();
        allowed.min(limit_at_refusal.saturating_add(passed as u32))
    }

    /// Records that the target refused a connection while `open` connections of this instance were open.
    pub(crate) fn record_refusal(&self, open: u32, now: Instant, entropy: &dyn Entropy) {
        self.limit_at_refusal.set(Some((open.max(1), now)));
        let doublings = self.refusals.get().min(MAX_DELAY_DOUBLINGS);
        self.refusals.set(self.refusals.get().saturating_add(1));
        self.next_dial_at.set(Some(now + jittered(entropy, REFUSAL_DELAY * 2u32.pow(doublings))));
    }
}
