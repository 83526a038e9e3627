//! The status that a group member reports.

use crate::{LogPoint, LogPosition, Term};

crate::value! {
    /// The role of a member in its group.
    pub enum MemberRole {
        /// Accepts writes under its term.
        Primary,
        /// Follows a primary's log.
        Replica,
        /// Follows no primary and accepts no writes: it was fenced, or is not yet attached.
        Detached,
    }
}

crate::value! {
    /// The status of a member, all read at the same instant.
    ///
    /// Term and position must be read together: a promotion between two separate reads would combine the old
    /// log's length with the new log's term, and a lost write could be acknowledged.
    pub struct MemberStatus {
        pub role: MemberRole,
        /// The term whose log the member leads or follows.
        pub term: Term,
        /// The highest term that the member was fenced at; it refuses all lower terms.
        pub fence: Term,
        /// The term of the last record in its log.
        pub last_record_term: Term,
        pub position: LogPosition,
    }
}

impl MemberStatus {
    /// Whether the member leads or follows the log of `term` and was not fenced at a higher one.
    pub fn is_active_in(&self, term: Term) -> bool {
        self.term == term && self.fence <= term && self.role != MemberRole::Detached
    }

    /// Whether the member is the primary of `term`.
    pub fn is_primary_in(&self, term: Term) -> bool {
        self.is_active_in(term) && self.role == MemberRole::Primary
    }

    /// Whether a read on this member sees everything up to `floor`.
    ///
    /// Never true for a member of a lower term, whose log may hold other records at the same positions.
    pub fn has_reached(&self, floor: LogPoint) -> bool {
        self.is_active_in(self.term) && self.term >= floor.term && self.position >= floor.position
    }

    /// The end of the member's log; the member with the greatest one among a fenced majority is promoted.
    pub fn log_end(&self) -> LogPoint {
        LogPoint { term: self.last_record_term, position: self.position }
    }
}
