//! The whole answer to one statement.

use arcstr::ArcStr;
use gullspar_model::{LogPoint, record};

use crate::{Failure, TransactionStatus};

record! {
    /// Rows, how it ended, and what the session looks like afterwards.
    pub struct Answer {
        pub rows: Vec<ArcStr>,
        /// The signature of the target that ran it; `None` for a statement that touches no data.
        pub result: Result<Option<ArcStr>, Failure>,
        pub status: TransactionStatus,
        /// The end of the answering target's log.
        pub point: Option<LogPoint>,
    }
}

impl Answer {
    /// Success of a statement that no target had to run.
    pub fn done_locally(status: TransactionStatus) -> Answer {
        Answer { rows: Vec::new(), result: Ok(None), status, point: None }
    }

    /// A failure that gullspar itself reports.
    pub fn failed(failure: Failure, status: TransactionStatus) -> Answer {
        Answer { rows: Vec::new(), result: Err(failure), status, point: None }
    }

    /// Whether a target answered a statement that touches no data with success.
    pub fn is_plain_success(&self) -> bool {
        self.result == Ok(None)
    }
}
