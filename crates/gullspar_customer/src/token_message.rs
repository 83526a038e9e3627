//! What instances tell each other of a customer's tokens.

use std::net::SocketAddr;

use gullspar_model::{CustomerName, record};

record! {
    /// Asks the keeper of a customer's ledger for tokens.
    pub struct TokenRequest {
        pub customer: CustomerName,
        /// Tokens for the statements that wait, and for those expected soon.
        pub wanted: u32,
        /// Where to answer; an instance that is not the keeper passes the question on.
        pub reply_to: SocketAddr,
        /// It was passed on once, and is not passed on again.
        pub is_passed_on: bool,
    }
}

record! {
    /// Lends tokens for a short time.
    pub struct TokenGrant {
        pub customer: CustomerName,
        pub tokens: u32,
        /// When there will be another token; of interest where fewer were lent than wanted.
        pub next_token_ms: u32,
        /// The keeper is new and lends nothing yet: its predecessor's loans may still be spent.
        pub is_settling: bool,
    }
}

record! {
    /// What the next keeper of a ledger goes on with.
    pub struct LedgerHandover {
        pub customer: CustomerName,
        /// Thousandths of a token; negative where too many were lent.
        pub thousandths: i64,
    }
}
