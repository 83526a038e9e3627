//! Messages that instances send each other without waiting for an answer.

use gullspar_customer::{QuotaHandover, TokenGrant, TokenRequest};
use gullspar_model::record;

use crate::Heartbeat;
use crate::fleet::rotation::{RotationReport, RotationVerdict};

record! {
    /// The content of one datagram.
    pub enum PeerMessage {
        Heartbeat(Heartbeat),
        TokenRequest(TokenRequest),
        TokenGrant(TokenGrant),
        QuotaHandover(QuotaHandover),
        RotationReport(RotationReport),
        RotationVerdict(RotationVerdict),
    }
}
