//! How a simulated fleet enforces the limit.

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// One owner leases tokens to the others.
    Leased,
    /// Each home has an even share of the limit.
    EvenShares,
}
