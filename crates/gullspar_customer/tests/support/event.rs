//! What happens to a simulated fleet.

#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The given percentage of instances, counted from the first, is partitioned from the others.
    Partition {
        percent: usize,
    },
    /// The given percentage of instances, counted from the first, are each partitioned from all others.
    Isolate {
        percent: usize,
        /// Whether the owner, as seen by the first home, is among them.
        with_owner: bool,
    },
    /// The given percentage of instances, counted from the first, loses power for good.
    Kill {
        percent: usize,
    },
    Heal,
    /// The owner, as seen by the first home, dies and doesn't restart.
    KillOwner,
    /// An instance leaves, and returns a second later.
    Leave(usize),
    PowerLoss,
}
