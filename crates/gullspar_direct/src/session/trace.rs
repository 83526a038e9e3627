//! Details for the log on how a statement was served.

use gullspar_model::{LogPoint, MemberName};

/// Logged in place of an absent value.
const NONE: &str = "-";

/// The target of a statement's last attempt, and what was required of it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trace {
    /// The target of the last attempt; the statement may not have been sent to it.
    pub(crate) member: Option<MemberName>,
    /// Whether that target was the group's leader.
    pub(crate) on_leader: bool,
    /// The log point that a replica had to have reached.
    pub(crate) at_least: Option<LogPoint>,
    /// Age in milliseconds of the position sample that gave this point, when the target was selected.
    pub(crate) sample_age_ms: Option<u64>,
    /// The number of attempts, including those in which the statement was not sent.
    pub(crate) tries: u32,
}

impl Trace {
    /// The name of the target of the last attempt.
    pub(crate) fn member(&self) -> &str {
        self.member.as_ref().map_or(NONE, MemberName::as_str)
    }

    /// That target's role in its group.
    pub(crate) fn role(&self) -> &'static str {
        match (&self.member, self.on_leader) {
            (None, _) => NONE,
            (Some(_), true) => "leader",
            (Some(_), false) => "replica",
        }
    }

    /// The log point that a replica had to have reached.
    pub(crate) fn at_least(&self) -> String {
        point(self.at_least)
    }

    /// Age in milliseconds of the position sample that gave this point.
    pub(crate) fn sample_age(&self) -> String {
        self.sample_age_ms.map_or_else(|| NONE.to_owned(), |it| it.to_string())
    }
}

/// A log point in the notation of targets.
pub(crate) fn point(point: Option<LogPoint>) -> String {
    point.map_or_else(|| NONE.to_owned(), |it| format!("{}.{}", it.term.0, it.position.0))
}
