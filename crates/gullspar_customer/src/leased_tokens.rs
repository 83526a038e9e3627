//! The tokens of one customer that were granted to this instance.

use std::time::Duration;

use gullspar_border::BootInstant;

use crate::TokenGrant;

/// How long granted tokens are valid. Expired tokens are not returned to the owner.
const TOKEN_TTL: Duration = Duration::from_millis(250);

/// Time constant of the average rate of operations.
const RATE_AVERAGING_PERIOD: Duration = Duration::from_secs(2);

/// Grace period: how long operations may continue at the average rate without grants. Covers the time until a silent
/// owner is known to be dead and the next owner grants tokens.
const GRACE_PERIOD: Duration = Duration::from_millis(2500);

/// Grace period for a customer that was at its limit recently.
const GRACE_PERIOD_AT_LIMIT: Duration = Duration::from_secs(1);

/// How long a customer counts as at its limit after a request for tokens got none.
const AT_LIMIT_PERIOD: Duration = Duration::from_secs(5);

/// Time after which an exhausted grace period is fully available again.
const GRACE_RECOVERY_PERIOD: Duration = Duration::from_secs(10);

/// Maximum delay before tokens are requested again after the quota was exhausted.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Whether an operation may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsumeOutcome {
    /// The operation may run.
    Granted,
    /// The customer is at its limit; the operation may be retried after `retry_after`.
    Exhausted { retry_after: Duration },
    /// There are no tokens; they have to be requested from the owner.
    NeedsGrant,
}

/// Tokens that were granted to this instance, and the grace period for operations without grants.
///
/// Tokens are also granted in advance for expected operations, which saves a round trip to the owner for each. They
/// expire soon, so that tokens granted before a network partition aren't consumed long after it.
#[derive(Clone, Debug)]
pub struct LeasedTokens {
    tokens: u32,
    expires_at: BootInstant,
    exhausted_until: Option<BootInstant>,
    /// When the owner last granted no tokens because the quota was exhausted.
    exhausted_at: Option<BootInstant>,
    /// Average rate, in operations per second, as of `rated_at`.
    rate: f64,
    rated_at: BootInstant,
    /// Remaining fraction of the grace period, from 0 to 1.
    grace_left: f64,
    grace_updated_at: BootInstant,
}

impl LeasedTokens {
    /// Starts without tokens and with the full grace period.
    pub fn new(now: BootInstant) -> LeasedTokens {
        LeasedTokens {
            tokens: 0,
            expires_at: now,
            exhausted_until: None,
            exhausted_at: None,
            rate: 0.0,
            rated_at: now,
            grace_left: 1.0,
            grace_updated_at: now,
        }
    }

    /// Consumes a token for one operation, if there is one.
    pub fn consume(&mut self, now: BootInstant) -> ConsumeOutcome {
        if now >= self.expires_at {
            self.tokens = 0;
        }
        if self.tokens > 0 {
            self.tokens -= 1;
            self.record_operation(now);
            return ConsumeOutcome::Granted;
        }
        match self.exhausted_until {
            Some(until) if now < until => {
                ConsumeOutcome::Exhausted { retry_after: until.since(now) }
            }
            _ => ConsumeOutcome::NeedsGrant,
        }
    }

    /// Consumes a token if one is available. Used for operations that run in any case, such as the second attempt of a
    /// read.
    pub fn consume_if_available(&mut self) {
        self.tokens = self.tokens.saturating_sub(1);
    }

    /// Adds the tokens that the owner granted, or records that the quota is exhausted.
    pub fn apply_grant(&mut self, grant: &TokenGrant, now: BootInstant) {
        if now >= self.expires_at {
            self.tokens = 0;
        }
        self.tokens += grant.tokens;
        self.expires_at = now.plus(TOKEN_TTL);
        if grant.tokens == 0 && !grant.is_settling {
            self.exhausted_at = Some(now);
        }
        self.exhausted_until = (grant.tokens == 0 && !grant.is_settling).then(|| {
            let retry_delay = Duration::from_millis(u64::from(grant.next_token_ms));
            now.plus(retry_delay.min(MAX_RETRY_DELAY))
        });
    }

    /// Consumes part of the grace period for one operation; `false` if the grace period is used up.
    ///
    /// Used while the owner is dead or unreachable, or its successor grants nothing yet. Operations continue at their
    /// average rate, so that all instances together run no more than was granted before.
    pub fn consume_in_grace_period(&mut self, now: BootInstant) -> bool {
        let at_limit = self.exhausted_at.is_some_and(|at| now.since(at) < AT_LIMIT_PERIOD);
        let grace_period = if at_limit { GRACE_PERIOD_AT_LIMIT } else { GRACE_PERIOD };
        let allowed = (self.rate * grace_period.as_secs_f64()).max(1.0);
        let passed = now.since(self.grace_updated_at).as_secs_f64();
        let recovered = passed / GRACE_RECOVERY_PERIOD.as_secs_f64();
        self.grace_left = (self.grace_left + recovered).min(1.0);
        self.grace_updated_at = now;
        let cost = 1.0 / allowed;
        if self.grace_left < cost {
            return false;
        }
        self.grace_left -= cost;
        true
    }

    /// The number of tokens to request: enough for the `waiting` operations and for those that are expected before the
    /// tokens expire.
    pub fn tokens_to_request(&self, waiting: u32, now: BootInstant) -> u32 {
        let expected = self.rate_at(now) * TOKEN_TTL.as_secs_f64();
        waiting + expected as u32
    }

    /// Whether to request more tokens now, before operations have to wait.
    pub fn is_running_low(&self, now: BootInstant) -> bool {
        let usual = self.rate_at(now) * TOKEN_TTL.as_secs_f64();
        usual >= 2.0 && f64::from(self.tokens) * 2.0 < usual
    }

    fn rate_at(&self, now: BootInstant) -> f64 {
        let passed = now.since(self.rated_at).as_secs_f64();
        self.rate * (-passed / RATE_AVERAGING_PERIOD.as_secs_f64()).exp()
    }

    fn record_operation(&mut self, now: BootInstant) {
        self.rate = self.rate_at(now) + 1.0 / RATE_AVERAGING_PERIOD.as_secs_f64();
        self.rated_at = now;
    }

    /// Whether neither tokens nor the grace period were used for so long that this state can be dropped without effect.
    pub fn is_idle(&self, now: BootInstant) -> bool {
        now.since(self.rated_at) > GRACE_RECOVERY_PERIOD
            && now.since(self.grace_updated_at) > GRACE_RECOVERY_PERIOD
    }
}
