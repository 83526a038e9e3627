//! The tokens of the customers whose limits this instance keeps.

use std::collections::BTreeMap;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::CustomerName;

use crate::{QuotaHandover, RateLimit, TokenBucket, TokenGrant, TokenRequest};

/// How long an instance that has become the owner of a quota grants nothing from it: until all have heard of the change,
/// its predecessor may still grant.
pub const SETTLE_PERIOD: Duration = Duration::from_secs(1);

/// One quota for each customer that asked here.
///
/// A new quota begins empty at the moment at which this instance may have become its owner. Begun full, a customer could
/// have its burst again each time that the owner changes, and from all of its owners after a power loss.
#[derive(Debug, Default)]
pub struct OwnedQuotas {
    entries: BTreeMap<CustomerName, Entry>,
}

#[derive(Debug)]
struct Entry {
    bucket: TokenBucket,
    /// When this instance is surely the only owner.
    opens_at: BootInstant,
}

impl OwnedQuotas {
    /// Grants tokens by `limit`.
    ///
    /// `owner_since` is when this instance may have become the owner; `part` is the part of the fleet that it speaks
    /// for, so that two sides of a cut do not grant more together than the whole.
    pub fn grant(
        &mut self,
        req: &TokenRequest,
        limit: RateLimit,
        owner_since: BootInstant,
        part: f64,
        now: BootInstant,
    ) -> TokenGrant {
        let begin = || {
            let opens_at = owner_since.plus(SETTLE_PERIOD);
            Entry { bucket: TokenBucket::empty_since(limit, opens_at, now), opens_at }
        };
        let entry = self.entries.entry(req.customer.clone()).or_insert_with(begin);
        let Entry { bucket, opens_at } = entry;
        if bucket.limit() != limit {
            bucket.set_limit(limit, part, now);
        }
        bucket.refill(part, now);
        let tokens = bucket.consume(req.wanted);
        TokenGrant {
            customer: req.customer.clone(),
            tokens,
            next_token_ms: bucket.next_token_ms(part),
            is_settling: tokens == 0 && now < *opens_at,
        }
    }

    /// Closes the quotas that `is_kept` no longer holds for; gives what their next owners go on with.
    pub fn close(&mut self, is_kept: impl Fn(&CustomerName) -> bool) -> Vec<QuotaHandover> {
        let closed = self.entries.extract_if(.., |customer, _| !is_kept(customer));
        closed
            .map(|(customer, entry)| QuotaHandover {
                customer,
                thousandths: entry.bucket.thousandths(),
            })
            .collect()
    }

    /// Goes on where the owner before ended; there is nothing to wait for then.
    pub fn apply_handover(&mut self, handover: &QuotaHandover, limit: RateLimit, now: BootInstant) {
        let bucket = TokenBucket::with_thousandths(limit, handover.thousandths, now);
        let known = self.entries.get(&handover.customer);
        if known.is_none_or(|it| now < it.opens_at) {
            self.entries.insert(handover.customer.clone(), Entry { bucket, opens_at: now });
        }
    }
}
