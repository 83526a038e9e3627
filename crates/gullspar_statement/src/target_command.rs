//! What gullspar sends to a target.

use arcstr::ArcStr;
use gullspar_model::{LogPoint, RequestId, record};

use crate::Definition;

record! {
    /// One command; those without a request id are gullspar's own.
    ///
    /// `at_least` makes the target refuse unless its log reaches that point.
    pub enum TargetCommand {
        /// Opens a transaction that only the group's leader accepts, and only while it leads.
        Begin,
        BeginReadOnly { at_least: Option<LogPoint> },
        RollBack,
        /// Forgets session values and prepared statements.
        Reset,
        Set { name: ArcStr, value: ArcStr },
        Prepare { name: ArcStr, definition: Definition },
        /// A caller's statement as it came.
        Run { id: RequestId, text: ArcStr, at_least: Option<LogPoint> },
        /// A caller's prepared statement, under the name that it has on this connection.
        Execute { id: RequestId, name: ArcStr, arguments: ArcStr, at_least: Option<LogPoint> },
        /// Asks how far the target's log reaches with what it has received.
        ReceivedPoint,
    }
}
