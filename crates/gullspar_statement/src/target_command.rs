//! Commands that gullspar sends to a target.

use arcstr::ArcStr;
use gullspar_model::{LogPoint, RequestId, record};

use crate::Definition;

record! {
    /// One command; those without a request id don't come from a caller.
    ///
    /// With `at_least`, the target refuses the command unless its log has reached that point.
    pub enum TargetCommand {
        /// Opens a transaction; only the group's current leader accepts it.
        Begin,
        BeginReadOnly { at_least: Option<LogPoint> },
        RollBack,
        /// Clears session values and prepared statements.
        Reset,
        Set { name: ArcStr, value: ArcStr },
        Prepare { name: ArcStr, definition: Definition },
        /// A caller's statement, unchanged.
        Run { id: RequestId, text: ArcStr, at_least: Option<LogPoint> },
        /// Runs a caller's prepared statement by its name on this connection.
        Execute { id: RequestId, name: ArcStr, arguments: ArcStr, at_least: Option<LogPoint> },
        /// Asks for the end of the log that the target has received.
        ReceivedPoint,
    }
}
