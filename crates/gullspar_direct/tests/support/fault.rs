//! Faults of the members of a fake group.

/// A fault that a test injects into a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// It answers no instance.
    Unresponsive,
    /// It doesn't answer the instance with this number.
    UnresponsiveTo(u16),
    /// It runs callers' statements, but their answers are lost.
    LosesAnswers,
    /// It runs callers' statements and then resets the connection.
    ResetsConnection,
    /// It refuses callers' statements as congested.
    Busy,
    /// Callers' statements fail, except for `COMMIT`; checks succeed.
    FailsStatements,
    /// Every other statement of callers fails, except for `COMMIT`; checks succeed.
    FailsEverySecond,
    /// It accepts no new connections.
    RefusesConnections,
    /// It accepts no new connections from the instance with this number.
    RefusesConnectionsFrom(u16),
    /// Callers' statements take this many milliseconds longer.
    Slow(u64),
    /// It receives no further commits from the leader.
    ReplicationStopped,
    /// It receives commits from the leader and applies none of them.
    AppliesLate,
}
