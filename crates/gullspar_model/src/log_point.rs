//! Terms and positions of a group's log.

crate::value! {
    /// The number of a leadership period; the platform assigns each number only once.
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
    /// Ordered by term, then position. Of two logs, the one that ends at the greater point holds every record
    /// that a majority has. See `docs/design/acknowledgement.md`.
    #[derive(Default)]
    pub struct LogPoint {
        pub term: Term,
        pub position: LogPosition,
    }
}

impl Term {
    /// Returns the next term, which a claimant asks for.
    pub fn next(self) -> Term {
        Term(self.0 + 1)
    }
}

impl LogPoint {
    /// Creates a point from a term and a position.
    pub fn new(term: u64, position: u64) -> LogPoint {
        LogPoint { term: Term(term), position: LogPosition(position) }
    }
}
