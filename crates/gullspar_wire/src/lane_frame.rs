//! Messages that lanes between instances use in addition to PostgreSQL's.

use gullspar_model::{
    Access, CallerName, GroupName, LogPoint, MemberName, Outcome, ServiceName, record,
};

use crate::{Frame, WireError};

record! {
    /// Requirements of a read on the member that serves it.
    #[derive(Copy)]
    pub struct LaneRequirement {
        /// Log position that the member must have reached.
        pub floor: Option<LogPoint>,
        /// Maximum age of the member's data, in milliseconds.
        pub max_age_ms: Option<u64>,
        /// How long the request may wait for the member to catch up, in milliseconds.
        pub wait_ms: u64,
        /// Whether a majority must confirm the group's leadership after the request has arrived.
        pub confirm: bool,
    }
}

record! {
    /// The head of a unit of work, which is a simple query or a batch up to its Sync or Flush.
    pub struct LaneUnit {
        pub service: ServiceName,
        pub group: GroupName,
        pub member: MemberName,
        pub caller: CallerName,
        pub access: Access,
        /// Whether the unit must run on the primary.
        pub on_primary: bool,
        /// Whether the answer waits until a majority holds the data it shows.
        pub acknowledge: bool,
        /// Whether the unit continues the transaction pinned to this lane.
        pub continues: bool,
        /// Whether the unit may commit changes: a write outside of a transaction, or a COMMIT.
        pub commits: bool,
        /// Whether the connection stays reserved for the session after the unit.
        pub keep_connection: bool,
        /// Whether the unit changes session settings; the connection must be reset before others use it.
        pub changes_settings: bool,
        /// SET statements that must have been run on the connection.
        pub settings: Vec<String>,
        pub priority: u8,
        /// Time left until the request's deadline when the unit was sent, in milliseconds.
        pub remaining_ms: u64,
        pub requirement: LaneRequirement,
        /// Key of a request that must run at most once.
        pub request_key: Option<String>,
        /// Length of the PostgreSQL messages that follow, in bytes.
        pub payload: u64,
    }
}

/// Type bytes and encoding of the messages that only lanes use.
pub struct LaneFrame;

impl LaneFrame {
    /// Type byte of a unit's head; not used by PostgreSQL.
    pub const UNIT: u8 = b'U';

    /// Type byte of a Parse that gullspar adds; its ParseComplete is not forwarded to the caller.
    pub const SILENT_PARSE: u8 = b'V';

    /// Type byte of a unit's outcome.
    pub const OUTCOME: u8 = b'O';

    /// Type byte of an echo request, which checks that the home is responsive, and of its answer.
    pub const ECHO: u8 = b'y';

    /// Type byte of the greeting that opens a lane, and of its answer.
    pub const HELLO: u8 = b'Y';

    /// Encodes the greeting, which carries the secret shared by all instances.
    pub fn hello(secret: &str) -> Frame {
        Frame::new(LaneFrame::HELLO, secret.as_bytes())
    }

    /// Encodes a unit's head.
    pub fn unit(unit: &LaneUnit) -> Result<Frame, WireError> {
        LaneFrame::encode(LaneFrame::UNIT, unit)
    }

    /// Encodes the answer to a greeting, which carries the home's number for the lane.
    pub fn hello_answer(number: u64) -> Result<Frame, WireError> {
        LaneFrame::encode(LaneFrame::HELLO, &number)
    }

    /// Encodes a unit's outcome.
    pub fn outcome(outcome: &Outcome) -> Result<Frame, WireError> {
        LaneFrame::encode(LaneFrame::OUTCOME, outcome)
    }

    /// Decodes the body of a lane message.
    pub fn decode<T: serde::de::DeserializeOwned>(message: &Frame) -> Result<T, WireError> {
        postcard::from_bytes(message.body()).map_err(|err| WireError::Malformed(err.to_string()))
    }

    fn encode<T: serde::Serialize>(kind: u8, value: &T) -> Result<Frame, WireError> {
        let body =
            postcard::to_allocvec(value).map_err(|err| WireError::Malformed(err.to_string()))?;
        Ok(Frame::new(kind, &body))
    }
}
