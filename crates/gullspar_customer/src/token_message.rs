//! Messages between instances about a customer's tokens.

use std::net::SocketAddr;

use gullspar_model::{CustomerName, record};

record! {
    /// Asks the owner of a customer's quota for tokens.
    pub struct TokenRequest {
        pub customer: CustomerName,
        /// Tokens for the statements that wait, and for those expected in the near future.
        pub wanted: u32,
        /// Where to send the grant, since an instance that isn't the owner forwards the request.
        pub reply_to: SocketAddr,
        /// Whether the request was already forwarded; it isn't forwarded twice.
        pub is_forwarded: bool,
    }
}

record! {
    /// Grants tokens that expire after a short time.
    pub struct TokenGrant {
        pub customer: CustomerName,
        pub tokens: u32,
        /// Milliseconds until the next token is available; used if fewer tokens were granted than wanted.
        pub next_token_ms: u32,
        /// Whether the owner is new and grants nothing yet, since tokens of its predecessor may still be in use.
        pub is_settling: bool,
    }
}

record! {
    /// Hands the state of a quota to its next owner.
    pub struct QuotaHandover {
        pub customer: CustomerName,
        /// Tokens left, in thousandths of a token; negative if too many were granted.
        pub thousandths: i64,
    }
}
