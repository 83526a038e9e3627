//! What decided how a statement was served, for the log.

use gullspar_model::{LogPoint, MemberName};

/// What stands in the log where there is nothing to tell.
const NONE: &str = "-";

/// Where a statement ran last and what was asked of that target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Trace {
    /// The target asked last.
    pub(crate) member: Option<MemberName>,
    /// Whether that was the group's leader.
    pub(crate) on_leader: bool,
    /// The point that a replica had to have reached.
    pub(crate) at_least: Option<LogPoint>,
    /// How old the reading behind that point was when it was chosen, in milliseconds.
    pub(crate) sample_age_ms: Option<u64>,
    /// Targets asked.
    pub(crate) tries: u32,
}

impl Trace {
    /// The target asked last.
    pub(crate) fn member(&self) -> &str {
        self.member.as_ref().map_or(NONE, MemberName::as_str)
    }

    /// What that target was in its group.
    pub(crate) fn role(&self) -> &'static str {
        match (&self.member, self.on_leader) {
            (None, _) => NONE,
            (Some(_), true) => "leader",
            (Some(_), false) => "replica",
        }
    }

    /// The point that a replica had to have reached.
    pub(crate) fn at_least(&self) -> String {
        point(self.at_least)
    }

    /// How old the reading behind that point was.
    pub(crate) fn sample_age(&self) -> String {
        self.sample_age_ms.map_or_else(|| NONE.to_owned(), |it| it.to_string())
    }
}

/// A point as targets write it.
pub(crate) fn point(point: Option<LogPoint>) -> String {
    point.map_or_else(|| NONE.to_owned(), |it| format!("{}.{}", it.term.0, it.position.0))
}
