//! What members of a fake group do wrong.

/// What a member may do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// It answers nothing.
    Unresponsive,
    /// It answers nothing to these instances, told by number, from 2 on.
    UnresponsiveTo(u16),
    /// It runs callers' statements and their answers are lost.
    LosesAnswers,
    /// It runs callers' statements and then resets the connection.
    ResetsConnection,
    /// It refuses callers' statements as too busy.
    Busy,
    /// It runs callers' statements and they fail; it answers checks.
    FailsStatements,
    /// The same with every other statement.
    FailsEverySecond,
    /// It takes no further connections.
    RefusesConnections,
    /// It takes none of this instance, told by number.
    RefusesConnectionsFrom(u16),
    /// Callers' statements take this many milliseconds longer.
    Slow(u64),
    /// It learns nothing new from the leader.
    ReplicationStopped,
}
