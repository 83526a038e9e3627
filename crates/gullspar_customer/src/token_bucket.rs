//! Token bucket that refills at a constant rate.

use gullspar_border::BootInstant;
use gullspar_membership::Reach;

use crate::RateLimit;

/// Token bucket of one customer; each operation takes one token.
///
/// The level may be negative, to account for tokens that were consumed elsewhere before.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    limit: RateLimit,
    tokens: f64,
    refilled_at: BootInstant,
}

impl TokenBucket {
    /// A bucket that is empty at `empty_at`, which may be later than `now`; the level is negative until then.
    pub fn empty_since(limit: RateLimit, empty_at: BootInstant, now: BootInstant) -> TokenBucket {
        let ahead = empty_at.since(now).as_secs_f64();
        let passed = now.since(empty_at).as_secs_f64();
        let tokens = ((passed - ahead) * limit.per_s()).min(capacity(limit));
        TokenBucket { limit, tokens, refilled_at: now }
    }

    /// A bucket whose level is `thousandths` of a token, capped at the burst of `limit`.
    pub fn with_thousandths(limit: RateLimit, thousandths: i64, now: BootInstant) -> TokenBucket {
        let tokens = (thousandths as f64 / 1000.0).min(capacity(limit));
        TokenBucket { limit, tokens, refilled_at: now }
    }

    /// The level, in thousandths of a token.
    pub fn thousandths(&self) -> i64 {
        (self.tokens * 1000.0) as i64
    }

    /// Replaces the limit. Refills at the old rate up to `now`, then caps the level at the new burst.
    pub fn set_limit(&mut self, limit: RateLimit, reach: Reach, now: BootInstant) {
        self.refill(reach, now);
        self.limit = limit;
        self.tokens = self.tokens.min(reachable_capacity(limit, reach));
    }

    /// Adds the tokens for the time since the last refill, at the part of the limit's rate that may be granted with
    /// `reach`.
    pub fn refill(&mut self, reach: Reach, now: BootInstant) {
        let passed = now.since(self.refilled_at).as_secs_f64();
        let refilled = self.tokens + passed * reach.fraction() * self.limit.per_s();
        self.tokens = refilled.min(reachable_capacity(self.limit, reach));
        self.refilled_at = now;
    }

    /// Takes up to `wanted` whole tokens and returns how many were taken.
    pub fn consume(&mut self, wanted: u32) -> u32 {
        let taken = (self.tokens.max(0.0) as u32).min(wanted);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Milliseconds until a whole token is available, with `reach`.
    pub fn next_token_ms(&self, reach: Reach) -> u32 {
        let missing = (1.0 - self.tokens).max(0.0);
        (missing * 1000.0 / (reach.fraction() * self.limit.per_s()).max(f64::MIN_POSITIVE)).ceil()
            as u32
    }

    /// The current limit.
    pub fn limit(&self) -> RateLimit {
        self.limit
    }
}

/// The capacity of a bucket; at least one token, so that a limit without a burst still permits single operations.
fn capacity(limit: RateLimit) -> f64 {
    limit.burst.max(1) as f64
}

/// The part of the capacity that an owner with `reach` may use. Where most instances are reached, it is at least one
/// token; only one side of a partition can be such.
fn reachable_capacity(limit: RateLimit, reach: Reach) -> f64 {
    let least = if reach.is_majority() { 1.0 } else { 0.0 };
    (capacity(limit) * reach.fraction()).max(least)
}
