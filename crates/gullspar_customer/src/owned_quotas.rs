//! The quotas that this instance owns.

use std::collections::BTreeMap;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_membership::Reach;
use gullspar_model::CustomerName;

use crate::{QuotaHandover, RateLimit, TokenBucket, TokenGrant, TokenRequest};

/// How long a new owner grants no tokens from a quota. Until all instances know of the change, the previous owner may
/// still grant.
pub const SETTLE_PERIOD: Duration = Duration::from_secs(1);

/// One quota for each customer for which tokens were requested here.
///
/// A new quota is empty until the settle period has passed. If it started full, a customer would get its burst again
/// with each change of the owner, and from each owner after a power loss.
#[derive(Debug, Default)]
pub struct OwnedQuotas {
    entries: BTreeMap<CustomerName, Entry>,
}

#[derive(Debug)]
struct Entry {
    bucket: TokenBucket,
    /// When the settle period ends and this instance is certainly the only owner.
    settled_at: BootInstant,
}

impl OwnedQuotas {
    /// Grants tokens for `req` within `limit`.
    ///
    /// `owner_since` is the earliest time at which this instance can have become the owner. `reach` is how much
    /// of the fleet it grants for, so that all sides of a network partition together stay within the limit.
    pub fn grant(
        &mut self,
        req: &TokenRequest,
        limit: RateLimit,
        owner_since: BootInstant,
        reach: Reach,
        now: BootInstant,
    ) -> TokenGrant {
        let new_entry = || {
            let settled_at = owner_since.plus(SETTLE_PERIOD);
            Entry { bucket: TokenBucket::empty_since(limit, settled_at, now), settled_at }
        };
        let entry = self.entries.entry(req.customer.clone()).or_insert_with(new_entry);
        let Entry { bucket, settled_at } = entry;
        if bucket.limit() != limit {
            bucket.set_limit(limit, reach, now);
        }
        bucket.refill(reach, now);
        let tokens = bucket.consume(req.wanted);
        TokenGrant {
            customer: req.customer.clone(),
            tokens,
            next_token_ms: bucket.next_token_ms(reach),
            is_settling: tokens == 0 && now < *settled_at,
        }
    }

    /// Closes the quotas of customers for which `is_owned` is false, and returns the handovers for their next owners.
    pub fn close(&mut self, is_owned: impl Fn(&CustomerName) -> bool) -> Vec<QuotaHandover> {
        let closed = self.entries.extract_if(.., |customer, _| !is_owned(customer));
        closed
            .map(|(customer, entry)| QuotaHandover {
                customer,
                thousandths: entry.bucket.thousandths(),
            })
            .collect()
    }

    /// Continues a quota with the state of its previous owner. No settle period is needed then, as that owner grants no
    /// more. Ignored if the settle period of the quota here has ended already.
    pub fn apply_handover(&mut self, handover: &QuotaHandover, limit: RateLimit, now: BootInstant) {
        let bucket = TokenBucket::with_thousandths(limit, handover.thousandths, now);
        let known = self.entries.get(&handover.customer);
        if known.is_none_or(|it| now < it.settled_at) {
            self.entries.insert(handover.customer.clone(), Entry { bucket, settled_at: now });
        }
    }
}
