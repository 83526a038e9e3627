//! Messages that instances send each other without waiting for an answer.

use gullspar_customer::{QuotaHandover, TokenGrant, TokenRequest};
use gullspar_model::record;

use crate::fleet::rotation::{RotationReport, RotationVerdict};
use crate::{CommitReports, Heartbeat, HomeProbe, HomeProbeAnswer, LeaderReports};

record! {
    /// The content of one datagram.
    pub enum PeerMessage {
        Heartbeat(Heartbeat),
        TokenRequest(TokenRequest),
        TokenGrant(TokenGrant),
        QuotaHandover(QuotaHandover),
        HomeProbe(HomeProbe),
        HomeProbeAnswer(HomeProbeAnswer),
        RotationReport(RotationReport),
        RotationVerdict(RotationVerdict),
        LeaderReports(LeaderReports),
        CommitReports(CommitReports),
    }
}
