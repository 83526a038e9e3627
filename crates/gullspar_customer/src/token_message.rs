//! What instances tell each other of a customer's tokens.

use std::net::SocketAddr;

use gullspar_model::{CustomerName, record};

record! {
    /// Asks the owner of a customer's quota for tokens.
    pub struct TokenRequest {
        pub customer: CustomerName,
        /// Tokens for the statements that wait, and for those expected soon.
        pub wanted: u32,
        /// Where to answer; an instance that is not the owner passes the question on.
        pub reply_to: SocketAddr,
        /// It was passed on once, and is not passed on again.
        pub is_forwarded: bool,
    }
}

record! {
    /// Grants tokens for a short time.
    pub struct TokenGrant {
        pub customer: CustomerName,
        pub tokens: u32,
        /// When there will be another token; of interest where fewer were granted than wanted.
        pub next_token_ms: u32,
        /// The owner is new and grants nothing yet: tokens of its predecessor may still be spent.
        pub is_settling: bool,
    }
}

record! {
    /// What the next owner of a quota goes on with.
    pub struct QuotaHandover {
        pub customer: CustomerName,
        /// Thousandths of a token; negative where too many were granted.
        pub thousandths: i64,
    }
}
