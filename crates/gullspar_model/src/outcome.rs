//! The three outcomes of a request, never mixed: done, not run, unknown.

use crate::LogPoint;

/// A five-letter SQLSTATE.
pub type SqlState = &'static str;

crate::record! {
    /// Why a request certainly did not run. Each is safe to retry as far as the data is concerned.
    #[derive(Copy)]
    pub enum NotRun {
        /// The asked instance is not the home of that target.
        NotHome,
        /// The target does not lead; the request belongs to another one.
        NotPrimary,
        /// No primary is known at the moment.
        NoPrimary,
        /// A majority of the group is out of sight, so a write could not be acknowledged.
        NoMajority,
        /// The replica has not reached the floor or is older than the class allows.
        Behind,
        /// The queue is too long to answer in time.
        Overloaded { retry_after_ms: u64 },
        /// The customer has had as many operations run as it may.
        OverLimit { retry_after_ms: u64 },
        /// The deadline passed before the request reached a target.
        DeadlinePassed,
        /// No connection to the target or its home could be made.
        Unreachable,
        /// The instance is shutting down.
        Leaving,
        /// The connection was lost before the transaction reached its commit.
        ConnectionLost,
        /// The primary failed before a majority had the write, and the group's log does not hold it.
        Undone,
        /// The pinned target connection is gone, and with it the transaction.
        TransactionLost,
    }
}

crate::record! {
    /// Why it can't be told whether a request ran.
    #[derive(Copy)]
    pub enum Unknown {
        /// The target went away after the request was sent.
        ConnectionLost,
        /// The write took effect on the primary, but no majority showed it in time.
        NotAcknowledged,
        /// The term ended between the write and its acknowledgement.
        Superseded,
        /// The answer did not come before the deadline.
        DeadlinePassed,
    }
}

crate::record! {
    /// How a request ended.
    pub enum Outcome {
        /// It ran and, if it wrote, a majority holds it. `status` is the transaction status byte.
        Done { status: u8, point: Option<LogPoint>, age_ms: Option<u64> },
        NotRun(NotRun),
        Unknown(Unknown),
    }
}

impl NotRun {
    /// The SQLSTATE that callers see; listed in `docs/callers.md`.
    pub fn sql_state(self) -> SqlState {
        match self {
            NotRun::Overloaded { .. } | NotRun::OverLimit { .. } => "53400",
            NotRun::DeadlinePassed => "57014",
            NotRun::TransactionLost | NotRun::ConnectionLost | NotRun::Undone => "40001",
            NotRun::Leaving => "57P01",
            _ => "57P03",
        }
    }

    /// What went wrong, for people.
    pub fn text(self) -> &'static str {
        match self {
            NotRun::NotHome => "the instance asked does not hold that target's connections",
            NotRun::NotPrimary => "the target does not lead its group",
            NotRun::NoPrimary => "no primary of the group is known",
            NotRun::NoMajority => "a majority of the group is out of sight",
            NotRun::Behind => "no target within reach is fresh enough",
            NotRun::Overloaded { .. } => "the service is overloaded",
            NotRun::OverLimit { .. } => "the customer is at its limit",
            NotRun::DeadlinePassed => "the deadline passed before the request reached a target",
            NotRun::Unreachable => "no target could be reached",
            NotRun::Leaving => "the instance is shutting down",
            NotRun::ConnectionLost => "the target was lost before the request could commit",
            NotRun::Undone => "the primary failed and the write was undone with it",
            NotRun::TransactionLost => "the target was lost and the transaction with it",
        }
    }

    /// When the caller should come back, in milliseconds.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            NotRun::Overloaded { retry_after_ms } | NotRun::OverLimit { retry_after_ms } => {
                retry_after_ms
            }
            NotRun::TransactionLost | NotRun::ConnectionLost | NotRun::Undone => 50,
            _ => 250,
        }
    }

    /// Whether another target or a later moment may serve the same request.
    pub fn can_retry_elsewhere(self) -> bool {
        !matches!(self, NotRun::DeadlinePassed | NotRun::TransactionLost)
    }
}

impl Unknown {
    /// The SQLSTATE that callers see: `08007`, transaction resolution unknown.
    pub const SQL_STATE: SqlState = "08007";

    /// What went wrong, for people.
    pub fn text(self) -> &'static str {
        match self {
            Unknown::ConnectionLost => "the target was lost after the request was sent",
            Unknown::NotAcknowledged => "no majority of the group confirmed the write in time",
            Unknown::Superseded => "the primary was superseded before the write was confirmed",
            Unknown::DeadlinePassed => "the target did not answer before the deadline",
        }
    }
}
