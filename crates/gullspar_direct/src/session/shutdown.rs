//! The steps of ending an instance without cutting off a request.

use std::cell::Cell;

use event_listener::{Event, EventListener};

/// How far the end of the instance has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// No new callers are sent here; those that come are served.
    Unready,
    /// Sessions without a transaction are closed between statements.
    ClosingIdle,
    /// Open transactions are rolled back.
    ClosingAll,
}

/// Whether a network partition keeps the instance from serving callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartitionState {
    Connected,
    /// The load balancer may still send callers here.
    Partitioned,
    /// The load balancer sends new connections to other instances.
    OutOfRotation,
}

/// The phase, and news of it.
pub struct Shutdown {
    partition_state: Cell<PartitionState>,
    phase: Cell<Phase>,
    changed: Event,
    sessions: Cell<usize>,
}

impl Default for Shutdown {
    fn default() -> Shutdown {
        Shutdown {
            partition_state: Cell::new(PartitionState::Connected),
            phase: Cell::new(Phase::Serving),
            changed: Event::new(),
            sessions: Cell::new(0),
        }
    }
}

impl Shutdown {
    /// How far it is.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Goes on to `phase`.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.notify(usize::MAX);
    }

    /// Whether the instance is partitioned.
    pub fn partition_state(&self) -> PartitionState {
        self.partition_state.get()
    }

    pub(crate) fn set_partition_state(&self, state: PartitionState) {
        if self.partition_state.replace(state) != state {
            self.changed.notify(usize::MAX);
        }
    }

    /// Has all sessions look whether they should end.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Whether sessions without a transaction are to connect elsewhere.
    pub(crate) fn should_close_idle(&self) -> bool {
        self.phase.get() >= Phase::ClosingIdle
            || self.partition_state.get() == PartitionState::OutOfRotation
    }

    /// Notified at each step; take it before reading the phase.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Sessions that are open.
    pub fn sessions(&self) -> usize {
        self.sessions.get()
    }

    pub(crate) fn session_opened(&self) {
        self.sessions.set(self.sessions.get() + 1);
    }

    /// Wakes nobody: all other sessions would look whether they should end, each time that one does.
    pub(crate) fn session_closed(&self) {
        self.sessions.set(self.sessions.get() - 1);
    }
}
