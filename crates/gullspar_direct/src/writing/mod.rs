//! Writes and transactions, and when their success may be told.

pub(crate) mod confirmation;
pub(crate) mod transaction;
pub(crate) mod write_path;
