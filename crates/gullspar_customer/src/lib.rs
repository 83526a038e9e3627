//! Customers: who holds which key, and how many operations each may have run.
//!
//! Nothing here does input or output. A customer's limit holds over all instances together: one of them keeps its
//! [`Ledger`] and lends tokens, the others spend them from their [`Purse`]. See `docs/design/customers.md`.

mod customers;
mod key_fingerprint;
mod ledger;
mod purse;
mod rate_limit;
mod token_bucket;
mod token_message;

pub use customers::Customers;
pub use key_fingerprint::KeyFingerprint;
pub use ledger::{Ledger, SETTLE_FOR};
pub use purse::{Purse, Spending};
pub use rate_limit::RateLimit;
pub use token_bucket::TokenBucket;
pub use token_message::{LedgerHandover, TokenGrant, TokenRequest};
