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
        /// Exchanges membership updates; the answer holds those that the sender seems not to know.
        Exchange { from: InstanceRecord, updates: Vec<InstanceRecord>, config_digest: u64 },
        /// Asks the receiver to probe a third instance on the sender's behalf.
        Probe { peer: SocketAddr },
        /// Asks for all configuration objects newer than those that the sender has.
        Pull { known: Vec<(String, ObjectVersion)> },
        /// Sends changed configuration; with `forward`, the receiver forwards it within its data centre.
        Push { entries: Vec<ConfigEntry>, forward: bool },
        /// Asks whether the primary of `term` has failed from the receiver's point of view.
        ViewOfPrimary { group: GroupName, term: Term },
        /// Cancels the statement that runs on a lane.
        CancelLane { lane: u64 },
        /// Forwards a caller's cancel request, with the process id and the secret of the session to cancel.
        CancelCaller { process: i32, secret: i32 },
        /// Asks for a report for operators.
        Report,
        /// Asks for request counts by minute.
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
        /// No answer was received before the deadline; the call may have been executed.
        NoAnswer(reason: String) {
            display("no answer from the instance: {reason}")
        }
    }
}

impl PeerError {
    /// Creates a [`PeerError::NoAnswer`].
    pub fn no_answer(reason: impl ToString) -> PeerError {
        PeerError::NoAnswer(reason.to_string())
    }
}

/// Calls other instances.
pub trait Peers {
    /// Sends `req` to the instance at `to` and waits for the reply until `deadline`.
    fn call(
        &self,
        to: SocketAddr,
        req: PeerRequest,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<PeerReply, PeerError>>;
}

/// Handles the calls of other instances.
pub trait PeerHandler {
    /// Handles one call and returns the reply.
    fn handle(self: Rc<Self>, req: PeerRequest) -> LocalBoxFuture<'static, PeerReply>;
}
