//! The platform's object for a group: its primary and the claim to promote another one.

use crate::{ClaimId, LogPoint, MemberName, Term};

crate::record! {
    /// The point in the log after which a term's records start.
    #[derive(Copy)]
    pub struct TermStart {
        pub term: Term,
        /// The end of the log that the term continued: the term and position of its last record.
        pub after: LogPoint,
    }
}

crate::record! {
    /// The leadership of a group. It is only changed by conditional updates.
    pub struct GroupObject {
        /// The highest term claimed; only the claimant may promote under it.
        pub claimed: Term,
        /// Unique id of the claim, by which a claimant recognizes its own claim if the answer was lost.
        pub claim: ClaimId,
        /// The term under which `primary` leads.
        pub term: Term,
        pub primary: Option<MemberName>,
        /// The most recent starts of terms, newest last; at most [`GroupObject::HISTORY_LIMIT`].
        pub history: Vec<TermStart>,
    }
}

impl GroupObject {
    /// Key prefix of group objects on the platform.
    pub const PREFIX: &'static str = "gullspar/groups/";

    /// Maximum length of `history`, which bounds the size of the object.
    pub const HISTORY_LIMIT: usize = 16;

    /// Whether the record at `point`, written under `point.term`, is part of the current log.
    ///
    /// The record is kept if the log that the next later term continued ends in `point.term` at or after the
    /// record. `None` if the history does not contain the terms needed to tell.
    pub fn is_in_current_log(&self, point: LogPoint) -> Option<bool> {
        let next = self.history.iter().find(|it| it.term > point.term)?;
        (next.after.term <= point.term).then_some(next.after >= point)
    }

    /// Creates the object of a group that has never had a primary.
    pub fn unclaimed() -> GroupObject {
        GroupObject {
            claimed: Term(0),
            claim: ClaimId::default(),
            term: Term(0),
            primary: None,
            history: Vec::new(),
        }
    }
}
