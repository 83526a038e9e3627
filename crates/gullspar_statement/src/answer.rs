//! The answer to one statement.

use arcstr::ArcStr;
use gullspar_model::{LogPoint, record};

use crate::{Failure, TransactionStatus};

record! {
    /// A statement's rows, its result, and the session's transaction status after it.
    pub struct Answer {
        pub rows: Vec<ArcStr>,
        /// On success, the signature of the target that ran the statement; `None` for a statement that touches no data.
        pub result: Result<Option<ArcStr>, Failure>,
        pub status: TransactionStatus,
        /// The end of the log of the target that answered.
        pub point: Option<LogPoint>,
    }
}

impl Answer {
    /// The success of a statement that no target had to run.
    pub fn done_locally(status: TransactionStatus) -> Answer {
        Answer { rows: Vec::new(), result: Ok(None), status, point: None }
    }

    /// A failure that gullspar itself reports.
    pub fn failed(failure: Failure, status: TransactionStatus) -> Answer {
        Answer { rows: Vec::new(), result: Err(failure), status, point: None }
    }

    /// Whether this is the success of a statement that touches no data.
    pub fn is_plain_success(&self) -> bool {
        self.result == Ok(None)
    }
}
