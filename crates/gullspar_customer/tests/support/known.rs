//! What an instance of a simulated fleet knows of another.

/// What an instance knows of another.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Known {
    Member,
    /// It announced that it leaves.
    Left,
    Dead,
}
