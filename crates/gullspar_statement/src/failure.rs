//! Failures of statements.

use arcstr::ArcStr;

gullspar_model::record! {
    /// The kinds of failure that callers and routing distinguish.
    pub enum FailureCode {
        /// The target or gullspar is too busy; the statement did not run.
        Congested,
        /// The transaction was rolled back and had no effect.
        RolledBack,
        /// The target's log has not reached the required point; the statement did not run.
        Behind,
        /// The target is not the leader; the statement did not run.
        ReadOnly,
        /// Another member answers at this address; the statement did not run.
        WrongTarget,
        /// The target accepts no more connections; the statement did not run.
        TooManyConnections,
        /// It is unknown whether the statement ran.
        Unknown,
        /// The deadline passed; the statement may have run.
        TimedOut,
        /// The statement ran and failed.
        Failed,
        /// No statement is prepared under this name; nothing ran.
        NoSuchPrepared,
        /// No service has this name.
        NoSuchService,
        /// The caller's key is unknown; the statement did not run.
        Unauthenticated,
        /// The statement can't be parsed, or is not allowed in the session's current state.
        Malformed,
        /// The message is too long.
        TooLarge,
        /// Any other code of a target; it is forwarded to the caller unchanged.
        Other(ArcStr),
    }
}

gullspar_model::record! {
    /// The code and the message of a failed statement.
    pub struct Failure {
        pub code: FailureCode,
        pub text: ArcStr,
    }
}

impl Failure {
    /// Creates a failure that gullspar itself reports.
    pub fn new(code: FailureCode, text: impl Into<ArcStr>) -> Failure {
        Failure { code, text: text.into() }
    }

    /// Whether the target ran the statement and it failed there; it may succeed on another target.
    pub fn has_failed_on_target(&self) -> bool {
        self.code == FailureCode::Failed
    }

    /// Whether the target that reported this certainly did not run the statement.
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
