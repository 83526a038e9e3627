//! What members of a fake group do wrong.

/// What a member may do wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// It answers nothing.
    Dark,
    /// It answers nothing to these instances, told by number, from 2 on.
    DarkTo(u16),
    /// It runs callers' statements and their answers are lost.
    LosesAnswers,
    /// It runs callers' statements and then resets the connection.
    Resets,
    /// It refuses callers' statements as too busy.
    Busy,
    /// It runs callers' statements and they fail; it answers checks.
    Fails,
    /// The same with every other statement.
    FailsHalf,
    /// It takes no further connections.
    Full,
    /// It takes none of this instance, told by number.
    FullTo(u16),
    /// Callers' statements take this many milliseconds longer.
    Slow(u64),
    /// It learns nothing new from the leader.
    Deaf,
}
