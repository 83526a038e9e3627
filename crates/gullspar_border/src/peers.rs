//! Calls between instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::future::LocalBoxFuture;
use gullspar_model::{GroupName, InstanceRecord, Term, record};
use quick_error::quick_error;

use crate::{BurnSeries, ConfigEntry, InstanceReport, ObjectVersion, PrimaryView};

record! {
    /// A call to another instance.
    pub enum PeerRequest {
        /// Exchanges membership news; the answer carries what the caller seems not to know.
        Exchange { from: InstanceRecord, updates: Vec<InstanceRecord>, config_digest: u64 },
        /// Asks to probe a third instance on the caller's behalf.
        Probe { peer: SocketAddr },
        /// Asks for all configuration newer than what the caller has.
        Pull { known: Vec<(String, ObjectVersion)> },
        /// Hands out changed configuration; with `forward` the receiver hands it on in its data centre.
        Push { entries: Vec<ConfigEntry>, forward: bool },
        /// Asks whether the primary of a term seems to have failed.
        ViewOfPrimary { group: GroupName, term: Term },
        /// Cancels the statement that a lane is running.
        CancelLane { lane: u64 },
        /// Cancels for a caller whose cancel request arrived at another instance.
        CancelCaller { process: i32, secret: i32 },
        /// Asks for a report for operators.
        Report,
        /// Asks for requests by minute.
        Burn,
    }
}

record! {
    /// The answer to a [`PeerRequest`].
    pub enum PeerReply {
        Exchanged { from: InstanceRecord, updates: Vec<InstanceRecord>, config_digest: u64 },
        Probed { answered: bool },
        Entries(Vec<ConfigEntry>),
        View(PrimaryView),
        Report(Box<InstanceReport>),
        Burn(Vec<BurnSeries>),
        Accepted,
    }
}

quick_error! {
    /// Why a call to another instance failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    pub enum PeerError {
        /// No answer in time, or the connection broke; the call may have been carried out.
        NoAnswer(reason: String) {
            display("no answer from the instance: {reason}")
        }
    }
}

impl PeerError {
    /// No answer came, for this reason.
    pub fn no_answer(reason: impl ToString) -> PeerError {
        PeerError::NoAnswer(reason.to_string())
    }
}

/// Calls other instances.
pub trait Peers {
    /// Sends `req` to the instance at `to` and waits for its reply until `deadline`.
    fn call(
        &self,
        to: SocketAddr,
        req: PeerRequest,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<PeerReply, PeerError>>;
}

/// Answers the calls of other instances.
pub trait PeerHandler {
    /// Answers one call.
    fn handle(self: Rc<Self>, req: PeerRequest) -> LocalBoxFuture<'static, PeerReply>;
}
