//! The platform's object for a group: who leads and who may promote.

use crate::{LogPoint, MemberName, Term};

crate::record! {
    /// Where a term's own records begin.
    #[derive(Copy)]
    pub struct TermStart {
        pub term: Term,
        /// The end of the log that the term took over: the term of its last record, and its position.
        pub after: LogPoint,
    }
}

crate::record! {
    /// The leadership of a group. Every change is a conditional update.
    pub struct GroupObject {
        /// The highest term claimed; the claimant alone may promote under it.
        pub claimed: Term,
        /// Unique for each claim, so that a claimant whose answer was lost knows its own.
        pub claim: String,
        /// The term under which `primary` leads.
        pub term: Term,
        pub primary: Option<MemberName>,
        /// Newest last, the last few only.
        pub history: Vec<TermStart>,
    }
}

impl GroupObject {
    /// Key prefix of group objects on the platform.
    pub const PREFIX: &'static str = "gullspar/groups/";

    /// Starts of terms that are kept, so that the object stays small.
    pub const HISTORY_LIMIT: usize = 16;

    /// Whether the record at `point`, written under `point.term`, is part of the present log.
    ///
    /// The first later term tells: it took over a log that ends with a record of that very term and
    /// reaches as far, or the record is gone. `None` if a term in between left no trace here.
    pub fn is_in_current_log(&self, point: LogPoint) -> Option<bool> {
        let next = self.history.iter().find(|it| it.term > point.term)?;
        (next.after.term <= point.term).then_some(next.after >= point)
    }

    /// A group that nobody has led yet.
    pub fn unclaimed() -> GroupObject {
        GroupObject {
            claimed: Term(0),
            claim: String::new(),
            term: Term(0),
            primary: None,
            history: Vec::new(),
        }
    }
}
