//! The two messages of our own that lanes between instances add to PostgreSQL's.

use gullspar_model::{
    Access, CallerName, GroupName, LogPoint, MemberName, Outcome, ServiceName, record,
};

use crate::{Frame, WireError};

record! {
    /// What a read demands of the member that serves it.
    #[derive(Copy)]
    pub struct LaneRequirement {
        /// The member must have reached this.
        pub floor: Option<LogPoint>,
        /// Its data may be at most this old.
        pub max_age_ms: Option<u64>,
        /// How long the request may wait for the member to catch up.
        pub wait_ms: u64,
        /// The group's leadership must be confirmed by a majority after the request arrived.
        pub confirm: bool,
    }
}

record! {
    /// The head of a unit of work: all that a caller sent up to its Sync or simple query.
    pub struct LaneUnit {
        pub service: ServiceName,
        pub group: GroupName,
        pub member: MemberName,
        pub caller: CallerName,
        pub access: Access,
        /// Whether the unit must run on the primary.
        pub on_primary: bool,
        /// Whether the answer waits until a majority holds what it shows.
        pub acknowledge: bool,
        /// Whether the unit continues the transaction pinned to this lane.
        pub continues: bool,
        /// Whether the unit may make a change permanent: a write outside of a transaction, or a commit.
        pub commits: bool,
        /// Whether the connection stays with the caller after the unit, as for session state.
        pub keep_connection: bool,
        /// Whether the unit changes session settings, so that the connection must be reset after it.
        pub changes_settings: bool,
        /// SET statements that must be in force on the connection.
        pub settings: Vec<String>,
        pub priority: u8,
        /// Milliseconds left to the request's deadline when it was sent.
        pub remaining_ms: u64,
        pub requirement: LaneRequirement,
        /// Key of a request that must run at most once, and the statement it goes with.
        pub request_key: Option<String>,
        /// Bytes of PostgreSQL messages that follow.
        pub payload: u64,
    }
}

/// A message of a lane that is not PostgreSQL's.
pub struct LaneFrame;

impl LaneFrame {
    /// Type byte of a unit's head; PostgreSQL leaves it free.
    pub const UNIT: u8 = b'U';

    /// Type byte of a Parse that the caller did not send, and whose completion it must not see.
    pub const SILENT_PARSE: u8 = b'V';

    /// Type byte of a unit's outcome.
    pub const OUTCOME: u8 = b'O';

    /// Type byte of a question whether the home is there, and of its answer.
    pub const ECHO: u8 = b'y';

    /// Type byte of the greeting that opens a lane.
    pub const HELLO: u8 = b'Y';

    /// Writes the greeting, which carries the secret that instances share.
    pub fn hello(secret: &str) -> Frame {
        Frame::new(LaneFrame::HELLO, secret.as_bytes())
    }

    /// Writes a unit's head.
    pub fn unit(unit: &LaneUnit) -> Result<Frame, WireError> {
        LaneFrame::encode(LaneFrame::UNIT, unit)
    }

    /// Writes the answer to a greeting: the home's number for the lane.
    pub fn hello_answer(number: u64) -> Result<Frame, WireError> {
        LaneFrame::encode(LaneFrame::HELLO, &number)
    }

    /// Writes a unit's outcome.
    pub fn outcome(outcome: &Outcome) -> Result<Frame, WireError> {
        LaneFrame::encode(LaneFrame::OUTCOME, outcome)
    }

    /// Reads the body of a lane message.
    pub fn decode<T: serde::de::DeserializeOwned>(message: &Frame) -> Result<T, WireError> {
        postcard::from_bytes(message.body()).map_err(|err| WireError::Malformed(err.to_string()))
    }

    fn encode<T: serde::Serialize>(kind: u8, value: &T) -> Result<Frame, WireError> {
        let body =
            postcard::to_allocvec(value).map_err(|err| WireError::Malformed(err.to_string()))?;
        Ok(Frame::new(kind, &body))
    }
}
