//! The tokens of the customers whose limits this instance keeps.

use std::collections::BTreeMap;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::CustomerName;

use crate::{LedgerHandover, RateLimit, TokenBucket, TokenGrant, TokenRequest};

/// How long an instance that has become the keeper of a ledger lends nothing from it: until all have heard of the change,
/// its predecessor may still lend.
pub const SETTLE_FOR: Duration = Duration::from_secs(1);

/// One ledger for each customer that asked here.
///
/// A new ledger begins empty at the moment at which this instance may have become its keeper. Begun full, a customer could
/// have its burst again each time that the keeper changes, and from all of its keepers after a power loss.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<CustomerName, Entry>,
}

#[derive(Debug)]
struct Entry {
    bucket: TokenBucket,
    /// When this instance is surely the only keeper.
    opens_at: BootInstant,
}

impl Ledger {
    /// Lends tokens by `limit`.
    ///
    /// `keeper_since` is when this instance may have become the keeper; `part` is the part of the fleet that it speaks
    /// for, so that two sides of a cut do not lend more together than the whole.
    pub fn lend(
        &mut self,
        req: &TokenRequest,
        limit: RateLimit,
        keeper_since: BootInstant,
        part: f64,
        now: BootInstant,
    ) -> TokenGrant {
        let begin = || {
            let opens_at = keeper_since.plus(SETTLE_FOR);
            Entry { bucket: TokenBucket::empty_since(limit, opens_at, now), opens_at }
        };
        let entry = self.entries.entry(req.customer.clone()).or_insert_with(begin);
        let Entry { bucket, opens_at } = entry;
        if bucket.limit() != limit {
            bucket.set_limit(limit, part, now);
        }
        bucket.refill(part, now);
        let tokens = bucket.take(req.wanted);
        TokenGrant {
            customer: req.customer.clone(),
            tokens,
            next_token_ms: bucket.next_token_ms(part),
            is_settling: tokens == 0 && now < *opens_at,
        }
    }

    /// Closes the ledgers that `is_kept` no longer holds for; gives what their next keepers go on with.
    pub fn close(&mut self, is_kept: impl Fn(&CustomerName) -> bool) -> Vec<LedgerHandover> {
        let closed = self.entries.extract_if(.., |customer, _| !is_kept(customer));
        closed
            .map(|(customer, entry)| LedgerHandover {
                customer,
                thousandths: entry.bucket.thousandths(),
            })
            .collect()
    }

    /// Goes on where the keeper before ended; there is nothing to wait for then.
    pub fn take_over(&mut self, handover: &LedgerHandover, limit: RateLimit, now: BootInstant) {
        let bucket = TokenBucket::with(limit, handover.thousandths, now);
        let known = self.entries.get(&handover.customer);
        if known.is_none_or(|it| now < it.opens_at) {
            self.entries.insert(handover.customer.clone(), Entry { bucket, opens_at: now });
        }
    }
}
