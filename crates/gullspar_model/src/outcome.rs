//! The three outcomes of a request: done, not run, unknown.

use crate::LogPoint;

/// A five-letter SQLSTATE.
pub type SqlState = &'static str;

crate::record! {
    /// Why a request certainly had no effect. In each case it is safe to run it again.
    #[derive(Copy)]
    pub enum NotRun {
        /// The instance that was asked is not the home of the target.
        NotHome,
        /// The target is not its group's primary, which the request needs.
        NotPrimary,
        /// No primary of the group is currently known.
        NoPrimary,
        /// No majority of the group is reachable, so a write could not be acknowledged.
        NoMajority,
        /// The replica has not reached the floor or is older than the class allows.
        Behind,
        /// The queue is too long to answer in time.
        Overloaded { retry_after_ms: u64 },
        /// The customer has reached its limit of operations.
        OverLimit { retry_after_ms: u64 },
        /// The deadline passed before the request reached a target.
        DeadlinePassed,
        /// Connecting to the target or its home failed.
        Unreachable,
        /// The instance is shutting down.
        Leaving,
        /// The connection was lost before the transaction could commit.
        ConnectionLost,
        /// The primary failed before a majority had the write, and the group's current log does not contain it.
        Undone,
        /// The target connection of the transaction was lost, and with it the transaction.
        TransactionLost,
        /// The instance is partitioned, and another one accepts the caller after this delay.
        Partitioned { retry_after_ms: u64 },
    }
}

crate::record! {
    /// Why it is not known whether a request took effect.
    #[derive(Copy)]
    pub enum Unknown {
        /// The connection to the target was lost after the request was sent.
        ConnectionLost,
        /// The write took effect on the primary, but no majority confirmed it in time.
        NotAcknowledged,
        /// The term ended between the write and its acknowledgement.
        Superseded,
        /// No answer was received before the deadline.
        DeadlinePassed,
    }
}

crate::record! {
    /// How a request ended.
    pub enum Outcome {
        /// The request ran and, if it wrote, a majority has the write. `status` is the transaction status byte,
        /// `point` the log position, `age_ms` the age bound of the data in milliseconds.
        Done { status: u8, point: Option<LogPoint>, age_ms: Option<u64> },
        NotRun(NotRun),
        Unknown(Unknown),
    }
}

impl NotRun {
    /// Returns the SQLSTATE that callers get; listed in `docs/callers.md`.
    pub fn sql_state(self) -> SqlState {
        match self {
            NotRun::Overloaded { .. } | NotRun::OverLimit { .. } => "53400",
            NotRun::DeadlinePassed => "57014",
            NotRun::TransactionLost | NotRun::ConnectionLost | NotRun::Undone => "40001",
            NotRun::Leaving => "57P01",
            _ => "57P03",
        }
    }

    /// Describes the reason for callers and operators.
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
            NotRun::Partitioned { .. } => "the instance is partitioned from the group",
        }
    }

    /// Returns the time after which the caller should retry, in milliseconds.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            NotRun::Overloaded { retry_after_ms }
            | NotRun::OverLimit { retry_after_ms }
            | NotRun::Partitioned { retry_after_ms } => retry_after_ms,
            NotRun::TransactionLost | NotRun::ConnectionLost | NotRun::Undone => 50,
            _ => 250,
        }
    }

    /// Whether the request may succeed on another target or at a later time.
    pub fn can_retry_elsewhere(self) -> bool {
        !matches!(self, NotRun::DeadlinePassed | NotRun::TransactionLost)
    }
}

impl Unknown {
    /// The SQLSTATE that callers get: `08007`, transaction resolution unknown.
    pub const SQL_STATE: SqlState = "08007";

    /// Describes the reason for callers and operators.
    pub fn text(self) -> &'static str {
        match self {
            Unknown::ConnectionLost => "the target was lost after the request was sent",
            Unknown::NotAcknowledged => "no majority of the group confirmed the write in time",
            Unknown::Superseded => "the primary was superseded before the write was confirmed",
            Unknown::DeadlinePassed => "the target did not answer before the deadline",
        }
    }
}
