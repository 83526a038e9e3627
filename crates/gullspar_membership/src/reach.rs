//! How much of the fleet an instance reaches.

/// How much of the fleet an instance reaches, which is how much of each limit it may grant.
///
/// The sides of a partition reach disjoint sets of instances, so that they never grant more than the
/// whole together, however many sides there are. See `docs/design/customers.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reach {
    /// Number of instances that are alive, this one included.
    pub reached: usize,
    /// Those, and the instances that fell silent and may be on the other side of a partition.
    pub known: usize,
}

impl Reach {
    /// The fraction of each limit that this instance may grant.
    pub fn fraction(self) -> f64 {
        self.reached as f64 / self.known.max(1) as f64
    }

    /// Whether more than half of the fleet is reached, which is true on one side at most.
    pub fn is_majority(self) -> bool {
        2 * self.reached > self.known
    }
}
