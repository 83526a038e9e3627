//! Revisions of the platform's store.

crate::value! {
    /// The store's change counter at one change, and the era to which it belongs.
    ///
    /// A store that is restored from an older copy starts a new era and issues numbers again. Numbers of different
    /// eras can't be compared with each other.
    #[derive(Default)]
    pub struct Revision {
        pub era: u64,
        pub number: u64,
    }
}

impl Revision {
    /// Creates a revision from an era and a number.
    pub fn new(era: u64, number: u64) -> Revision {
        Revision { era, number }
    }
}

impl std::fmt::Display for Revision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.era, self.number)
    }
}
