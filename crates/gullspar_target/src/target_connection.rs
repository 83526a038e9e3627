//! A connection to a target and its session state.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Instant;

use gullspar_wire::Channel;

/// A pooled connection.
pub struct TargetConnection {
    pub(crate) channel: Channel,
    /// Names of the statements prepared on it.
    pub(crate) prepared: HashSet<String>,
    /// SET statements applied to it.
    pub(crate) settings: Vec<String>,
    /// Process id and secret key that a cancel request for this connection must carry.
    pub(crate) cancel_key: (i32, i32),
    /// Whether a cancel request was sent for this connection.
    pub(crate) cancelled: Rc<Cell<bool>>,
    /// Whether a caller changed settings that `settings` does not list.
    pub(crate) dirty: bool,
    /// When it last became idle.
    pub(crate) idle_since: Instant,
}

impl TargetConnection {
    /// Prepared statements after which a connection is replaced; bounds the target's memory use.
    const MAX_PREPARED_STATEMENTS: usize = 512;

    /// Whether the connection may serve another caller.
    ///
    /// Settings that one caller changed would apply to the next. Unread bytes would be taken for
    /// the next caller's answer. A delayed cancel request could cancel the next caller's statement.
    pub(crate) fn is_clean(&self) -> bool {
        !self.channel.has_unread()
            && !self.cancelled.get()
            && !self.dirty
            && self.prepared.len() < TargetConnection::MAX_PREPARED_STATEMENTS
    }
}
