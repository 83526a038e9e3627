//! One connection to a target and what is in force on it.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

use gullspar_wire::Channel;

/// A connection of a pool.
pub struct TargetConnection {
    pub(crate) channel: Channel,
    /// Names of the statements prepared on it.
    pub(crate) prepared: HashSet<String>,
    /// SET statements in force on it.
    pub(crate) settings: Vec<String>,
    /// What a cancel request for its statement must carry.
    pub(crate) cancel_key: (i32, i32),
    /// Set when a cancel request was sent to the target for this connection.
    pub(crate) cancelled: Rc<Cell<bool>>,
    /// Whether settings were changed on it that are not known here.
    pub(crate) dirty: bool,
    /// When it last became idle.
    pub(crate) given_back_at: Instant,
}

impl TargetConnection {
    /// Statements prepared on one connection before it is replaced, so that the target's memory
    /// stays bounded.
    const PREPARED_LIMIT: usize = 512;

    /// Whether the connection may serve another caller.
    ///
    /// Settings that its caller changed would hold for the next one. Bytes that nobody asked for would be read as the next caller's answer. A cancel request
    /// may reach the target late and hit the next caller's statement.
    pub(crate) fn is_clean(&self) -> bool {
        !self.channel.has_unread()
            && !self.cancelled.get()
            && !self.dirty
            && self.prepared.len() < TargetConnection::PREPARED_LIMIT
    }
}
