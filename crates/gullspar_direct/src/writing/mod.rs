//! Writes and transactions, and the confirmation of their commits.

pub(crate) mod confirmation;
pub(crate) mod transaction;
pub(crate) mod write_path;
