//! What decided how a statement was served, for the log.

use std::fmt;

use gullspar_model::{LogPoint, MemberName};

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
    pub(crate) reading_age_ms: Option<u64>,
    /// Targets asked.
    pub(crate) tries: u32,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let member = self.member.as_ref().map_or("none", MemberName::as_str);
        let part = if self.on_leader { "leader" } else { "replica" };
        write!(f, "member={member} part={part} tries={}", self.tries)?;
        if let Some(point) = self.at_least {
            write!(f, " at_least={}.{}", point.term.0, point.position.0)?;
        }
        if let Some(age) = self.reading_age_ms {
            write!(f, " reading_age_ms={age}")?;
        }
        Ok(())
    }
}
