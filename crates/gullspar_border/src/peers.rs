//! Calls between instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::future::LocalBoxFuture;
use gullspar_model::{
    DataCentre, GroupName, InstanceId, InstanceRecord, MemberName, MemberStatus, Term, record,
};
use quick_error::quick_error;

use crate::{BurnSeries, ObjectVersion};

record! {
    /// A configuration object on its way between instances.
    pub struct ConfigEntry {
        pub key: String,
        pub version: ObjectVersion,
        pub value: String,
    }
}

record! {
    /// How an instance sees a group's primary.
    #[derive(Copy)]
    pub enum PrimaryView {
        /// It answered lately.
        Answers,
        /// It has not answered for long enough to count as failed.
        Failed,
        /// This instance does not observe that group, or observes another term.
        NoView,
    }
}

record! {
    /// One member as an instance observes it.
    pub struct MemberReport {
        pub group: GroupName,
        pub member: MemberName,
        pub status: Option<MemberStatus>,
        /// Milliseconds since the last answer.
        pub silent_ms: Option<u64>,
        /// Age bound of its data in milliseconds, where one is known.
        pub age_ms: Option<u64>,
        pub connections: u32,
        pub busy_slots: u32,
        pub queued: u32,
        /// Whether the reporting instance holds the member's connections.
        pub home: bool,
    }
}

record! {
    /// What an instance says of itself to operators.
    pub struct InstanceReport {
        pub id: InstanceId,
        pub data_centre: DataCentre,
        pub callers: u64,
        pub live_instances: u64,
        pub configuration: Vec<ConfigEntry>,
        pub members: Vec<MemberReport>,
        pub outcomes: Vec<OutcomeCount>,
    }
}

pub use outcome_count::OutcomeCount;

mod outcome_count {
    use gullspar_model::record;

    record! {
        /// Requests of one service and class by outcome, since the instance started.
        pub struct OutcomeCount {
            pub service: String,
            pub class: String,
            pub objective_ppm: u64,
            pub done: u64,
            pub late: u64,
            pub not_run: u64,
            pub unknown: u64,
            pub replica_reads: u64,
            pub primary_reads: u64,
            pub writes: u64,
        }
    }

    impl OutcomeCount {
        /// No requests so far.
        pub fn empty(service: &str, class: &str) -> OutcomeCount {
            OutcomeCount {
                service: service.to_owned(),
                class: class.to_owned(),
                objective_ppm: 0,
                done: 0,
                late: 0,
                not_run: 0,
                unknown: 0,
                replica_reads: 0,
                primary_reads: 0,
                writes: 0,
            }
        }
    }
}

record! {
    /// A call to another instance.
    pub enum PeerRequest {
        /// Exchanges membership news; the answer carries what the caller seems not to know.
        Exchange { from: InstanceRecord, news: Vec<InstanceRecord>, config_digest: u64 },
        /// Asks to probe a third instance on the caller's behalf.
        Probe { peer: SocketAddr },
        /// Asks for all configuration newer than what the caller has.
        Pull { known: Vec<(String, ObjectVersion)> },
        /// Hands out changed configuration; with `pass_on` the receiver hands it on in its data centre.
        Push { entries: Vec<ConfigEntry>, pass_on: bool },
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
        Exchanged { from: InstanceRecord, news: Vec<InstanceRecord>, config_digest: u64 },
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
