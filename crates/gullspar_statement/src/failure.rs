//! Why a statement failed.

use arcstr::ArcStr;

gullspar_model::record! {
    /// The kinds of failure that callers and routing tell apart.
    pub enum FailureCode {
        /// Too busy; it did not run.
        Congested,
        /// The transaction was rolled back; nothing of it is kept.
        RolledBack,
        /// The target's log does not reach the asked point; it did not run.
        Behind,
        /// The target does not lead; it did not run.
        ReadOnly,
        /// Another member answers at this address; it did not run.
        WrongTarget,
        /// No further connection is accepted; it did not run.
        TooManyConnections,
        /// It can't be told whether it ran.
        Unknown,
        /// It ran out of time and may have run.
        TimedOut,
        /// It ran and failed.
        Failed,
        /// No statement was prepared under that name; it did not run.
        NoSuchPrepared,
        /// No service has that name.
        NoSuchService,
        /// The caller's key is unknown; it did not run.
        Unauthenticated,
        /// It can't be understood, or makes no sense now.
        Malformed,
        /// The message is too long.
        TooLarge,
        /// A code of the target that is only passed on.
        Other(ArcStr),
    }
}

gullspar_model::record! {
    /// A failed statement's report.
    pub struct Failure {
        pub code: FailureCode,
        pub text: ArcStr,
    }
}

impl Failure {
    /// A report of our own.
    pub fn new(code: FailureCode, text: impl Into<ArcStr>) -> Failure {
        Failure { code, text: text.into() }
    }

    /// Whether the target ran it and it failed there; another target may do better.
    pub fn has_failed_on_target(&self) -> bool {
        self.code == FailureCode::Failed
    }

    /// Whether the target that reported it certainly did not run the statement.
    pub fn has_not_run(&self) -> bool {
        matches!(
            self.code,
            FailureCode::Congested
                | FailureCode::Behind
                | FailureCode::ReadOnly
                | FailureCode::WrongTarget
                | FailureCode::TooManyConnections
                | FailureCode::NoSuchPrepared
        )
    }
}
