//! What a group member says of itself.

use crate::{LogPoint, LogPosition, Term};

crate::value! {
    /// The part that a member plays.
    pub enum MemberRole {
        /// Accepts writes under its term.
        Primary,
        /// Follows a primary's log.
        Replica,
        /// Follows nobody and accepts no writes: fenced, or not yet attached.
        Detached,
    }
}

crate::value! {
    /// One reading of a member, all of it taken at one instant.
    ///
    /// Term and position must come from the same reading: read apart, a promotion between the two
    /// would join the old log's length to the new log's term and acknowledge a lost write.
    pub struct MemberStatus {
        pub role: MemberRole,
        /// The term whose log the member leads or follows.
        pub term: Term,
        /// The highest term that the member was fenced at; it refuses anything lower.
        pub fence: Term,
        /// The term of the last record in its log.
        pub last_record_term: Term,
        pub position: LogPosition,
    }
}

impl MemberStatus {
    /// Whether the member takes part in `term`: leads or follows its log and was not fenced above.
    pub fn is_active_in(&self, term: Term) -> bool {
        self.term == term && self.fence <= term && self.role != MemberRole::Detached
    }

    /// Whether the member leads `term`.
    pub fn is_primary_in(&self, term: Term) -> bool {
        self.is_active_in(term) && self.role == MemberRole::Primary
    }

    /// Whether a read here sees everything up to `floor`.
    ///
    /// A member of a lower term may hold another tail at the same positions, so it never does.
    pub fn has_reached(&self, floor: LogPoint) -> bool {
        self.is_active_in(self.term) && self.term >= floor.term && self.position >= floor.position
    }

    /// How far its log goes; the greatest among a fenced majority is promoted.
    pub fn log_end(&self) -> LogPoint {
        LogPoint { term: self.last_record_term, position: self.position }
    }
}
