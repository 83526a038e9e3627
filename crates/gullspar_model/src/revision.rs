//! Positions in the history of the platform's store.

crate::value! {
    /// The store's counter at some change, in one of its eras.
    ///
    /// A store that comes back from an older copy begins a new era and gives numbers out again: numbers of different
    /// eras say nothing of each other.
    #[derive(Default)]
    pub struct Revision {
        pub era: u64,
        pub number: u64,
    }
}

impl Revision {
    /// The revision `number` of `era`.
    pub fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
