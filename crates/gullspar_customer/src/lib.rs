//! Customers: who holds which key, and how many operations each may have run.
//!
//! Nothing here does input or output. A customer's limit holds over all instances together: one of them owns its
//! quota ([`OwnedQuotas`]) and grants tokens, the others spend what they have leased ([`LeasedTokens`]). See `docs/design/customers.md`.

mod customers;
mod key_fingerprint;
mod leased_tokens;
mod owned_quotas;
mod rate_limit;
mod token_bucket;
mod token_message;

pub use customers::Customers;
pub use key_fingerprint::KeyFingerprint;
pub use leased_tokens::{ConsumeOutcome, LeasedTokens};
pub use owned_quotas::{OwnedQuotas, SETTLE_PERIOD};
pub use rate_limit::RateLimit;
pub use token_bucket::TokenBucket;
pub use token_message::{QuotaHandover, TokenGrant, TokenRequest};
