//! The tokens of one customer that this instance may spend.

use std::time::Duration;

use gullspar_border::BootInstant;

use crate::TokenGrant;

/// How long granted tokens may be spent; afterwards they are worth nothing, and are not missed at their owner.
const SPEND_WITHIN: Duration = Duration::from_millis(250);

/// Time over which the rate of operations is averaged.
const RATE_OVER: Duration = Duration::from_secs(2);

/// How long operations go on at the usual rate while nobody grants any: until an owner that is silent is known to be dead, and
/// its successor grants.
const GRACE: Duration = Duration::from_millis(2500);

/// How long, for a customer that was at its limit lately.
const GRACE_AT_LIMIT: Duration = Duration::from_secs(1);

/// How long after it was at its limit a customer is likely to be there still.
const AT_LIMIT_FOR: Duration = Duration::from_secs(5);

/// Time in which what was spent while nobody granted any may be spent again.
const GRACE_REGAINED_IN: Duration = Duration::from_secs(10);

/// The longest time for which an empty quota is not asked again.
const MOST_PAUSE: Duration = Duration::from_millis(500);

/// What becomes of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConsumeOutcome {
    /// It may run.
    Granted,
    /// The customer is at its limit; the time after which to come back.
    Exhausted { retry_after: Duration },
    /// The owner has to be asked.
    NeedsGrant,
}

/// Tokens that were granted to this instance, and how it goes on while nobody grants any.
///
/// Waiting for the owner at each operation would cost a round trip; so tokens are granted for the operations of the next
/// moment as well. What is not spent soon is lost, so that tokens granted before a cut are not spent long after it.
#[derive(Clone, Debug)]
pub struct LeasedTokens {
    tokens: u32,
    expires_at: BootInstant,
    exhausted_until: Option<BootInstant>,
    /// When its owner last had no token for it.
    exhausted_at: Option<BootInstant>,
    /// Operations a second of late, and when that was worked out.
    rate: f64,
    rated_at: BootInstant,
    /// The part left of the operations that may run while nobody grants any.
    grace_left: f64,
    grace_spent_at: BootInstant,
}

impl LeasedTokens {
    /// No tokens yet.
    pub fn new(now: BootInstant) -> LeasedTokens {
        LeasedTokens {
            tokens: 0,
            expires_at: now,
            exhausted_until: None,
            exhausted_at: None,
            rate: 0.0,
            rated_at: now,
            grace_left: 1.0,
            grace_spent_at: now,
        }
    }

    /// Spends a token for one operation, if there is one.
    pub fn consume(&mut self, now: BootInstant) -> ConsumeOutcome {
        if now >= self.expires_at {
            self.tokens = 0;
        }
        if self.tokens > 0 {
            self.tokens -= 1;
            self.note_operation(now);
            return ConsumeOutcome::Granted;
        }
        match self.exhausted_until {
            Some(until) if now < until => {
                ConsumeOutcome::Exhausted { retry_after: until.since(now) }
            }
            _ => ConsumeOutcome::NeedsGrant,
        }
    }

    /// Spends a token for an operation that could not wait to be granted, such as the second try of a read.
    pub fn consume_if_available(&mut self) {
        self.tokens = self.tokens.saturating_sub(1);
    }

    /// Takes what the owner granted.
    pub fn apply_grant(&mut self, grant: &TokenGrant, now: BootInstant) {
        if now >= self.expires_at {
            self.tokens = 0;
        }
        self.tokens += grant.tokens;
        self.expires_at = now.plus(SPEND_WITHIN);
        if grant.tokens == 0 && !grant.is_settling {
            self.exhausted_at = Some(now);
        }
        self.exhausted_until = (grant.tokens == 0 && !grant.is_settling).then(|| {
            let pause = Duration::from_millis(u64::from(grant.next_token_ms));
            now.plus(pause.min(MOST_PAUSE))
        });
    }

    /// Lets an operation run although nobody grants any, as far as such operations go.
    ///
    /// The owner may be gone or cut off. Its successor grants nothing for a second, in which instances go on at the rate
    /// that they had; together that is no more than the customer was granted before.
    pub fn consume_in_grace_period(&mut self, now: BootInstant) -> bool {
        let at_limit = self.exhausted_at.is_some_and(|at| now.since(at) < AT_LIMIT_FOR);
        let time = if at_limit { GRACE_AT_LIMIT } else { GRACE };
        let allowed = (self.rate * time.as_secs_f64()).max(1.0);
        let passed = now.since(self.grace_spent_at).as_secs_f64();
        let regained = passed / GRACE_REGAINED_IN.as_secs_f64();
        self.grace_left = (self.grace_left + regained).min(1.0);
        self.grace_spent_at = now;
        let one = 1.0 / allowed;
        if self.grace_left < one {
            return false;
        }
        self.grace_left -= one;
        true
    }

    /// Tokens to ask for: those for the operations that wait, and for those expected until tokens expire.
    pub fn tokens_to_request(&self, waiting: u32, now: BootInstant) -> u32 {
        let expected = self.rate_at(now) * SPEND_WITHIN.as_secs_f64();
        waiting + expected as u32
    }

    /// Whether to ask for more before operations have to wait.
    pub fn is_running_low(&self, now: BootInstant) -> bool {
        let usual = self.rate_at(now) * SPEND_WITHIN.as_secs_f64();
        usual >= 2.0 && f64::from(self.tokens) * 2.0 < usual
    }

    fn rate_at(&self, now: BootInstant) -> f64 {
        let passed = now.since(self.rated_at).as_secs_f64();
        self.rate * (-passed / RATE_OVER.as_secs_f64()).exp()
    }

    fn note_operation(&mut self, now: BootInstant) {
        self.rate = self.rate_at(now) + 1.0 / RATE_OVER.as_secs_f64();
        self.rated_at = now;
    }

    /// Whether nothing was spent for so long that nothing is left to know.
    pub fn is_idle(&self, now: BootInstant) -> bool {
        now.since(self.rated_at) > GRACE_REGAINED_IN
            && now.since(self.grace_spent_at) > GRACE_REGAINED_IN
    }
}
