//! Customers: their keys and their rate limits.
//!
//! A customer's limit applies to all instances together: one instance owns its quota ([`OwnedQuotas`]) and grants
//! tokens, and the others consume the tokens granted to them ([`LeasedTokens`]). This crate does no input or output.
//! See `docs/design/customers.md`.

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
