//! Terms and positions of a group's log.

crate::value! {
    /// The number of a leadership period; the platform hands each out once.
    #[derive(Default)]
    pub struct Term(pub u64);
}

crate::value! {
    /// A position in a group's log, counted in records.
    #[derive(Default)]
    pub struct LogPosition(pub u64);
}

crate::value! {
    /// A position together with the term under which it was read.
    ///
    /// Ordered by term, then position: of two logs the one with the greater point at its end
    /// holds every record that a majority has seen. See `docs/design/acknowledgement.md`.
    #[derive(Default)]
    pub struct LogPoint {
        pub term: Term,
        pub position: LogPosition,
    }
}

impl Term {
    /// The term that a claimant asks for after this one.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl LogPoint {
    /// Joins a term and a position.
    pub fn new(term: u64, position: u64) -> LogPoint {
        LogPoint { term: Term(term), position: LogPosition(position) }
    }
}
