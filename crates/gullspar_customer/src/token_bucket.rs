//! A bucket of tokens that refills steadily.

use gullspar_border::BootInstant;

use crate::RateLimit;

/// Tokens of one customer; a token is one operation.
///
/// The count may lie below zero: what was spent elsewhere before is then made up for first.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    refilled_at: BootInstant,
}

impl TokenBucket {
    /// A bucket that was as good as empty at `empty_at`, which may lie ahead of `now`.
    pub fn empty_since(limit: RateLimit, empty_at: BootInstant, now: BootInstant) -> TokenBucket {
        let ahead = empty_at.since(now).as_secs_f64();
        let passed = now.since(empty_at).as_secs_f64();
        let tokens = ((passed - ahead) * limit.per_s()).min(capacity(limit));
        TokenBucket { limit, tokens, refilled_at: now }
    }

    /// A bucket with this many thousandths of a token.
    pub fn with_thousandths(limit: RateLimit, thousandths: i64, now: BootInstant) -> TokenBucket {
        let tokens = (thousandths as f64 / 1000.0).min(capacity(limit));
        TokenBucket { limit, tokens, refilled_at: now }
    }

    /// What it holds, in thousandths of a token.
    pub fn thousandths(&self) -> i64 {
        (self.tokens * 1000.0) as i64
    }

    /// Goes by another limit from now on.
    pub fn set_limit(&mut self, limit: RateLimit, part: f64, now: BootInstant) {
        self.refill(part, now);
        self.limit = limit;
        self.tokens = self.tokens.min(capacity(limit));
    }

    /// Refills for the time passed, at `part` of the limit's rate.
    pub fn refill(&mut self, part: f64, now: BootInstant) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        let refilled = self.tokens + passed * part * self.limit.per_s();
        self.tokens = refilled.min(capacity(self.limit));
        self.refilled_at = now;
    }

    /// Takes up to `wanted` whole tokens.
    pub fn consume(&mut self, wanted: u32) -> u32 {
        let taken = (self.tokens.max(0.0) as u32).min(wanted);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Milliseconds until there is a token at `part` of the limit's rate.
    pub fn next_token_ms(&self, part: f64) -> u32 {
        let missing = (1.0 - self.tokens).max(0.0);
        (missing * 1000.0 / (part * self.limit.per_s()).max(f64::MIN_POSITIVE)).ceil() as u32
    }

    /// The limit that it goes by.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }
}

/// A limit without any burst still lets single operations through.
fn capacity(limit: RateLimit) -> f64 {
    limit.burst.max(1) as f64
}
