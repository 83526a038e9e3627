//! Messages that instances send each other without waiting for an answer.

use gullspar_customer::{QuotaHandover, TokenGrant, TokenRequest};
use gullspar_model::record;

use crate::{Heartbeat, LeaderReports};

record! {
    /// The content of one datagram.
    pub enum PeerMessage {
        Heartbeat(Heartbeat),
        TokenRequest(TokenRequest),
        TokenGrant(TokenGrant),
        QuotaHandover(QuotaHandover),
        LeaderReports(LeaderReports),
    }
}
