//! The phases of a shutdown that interrupts no request.

use std::cell::Cell;

use event_listener::{Event, EventListener};

use crate::session::session_end::EndReason;

/// The phase of the instance's shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    Serving,
    /// The instance reports that it is not ready; callers that still connect are served.
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

/// The shutdown phase and the partition state, with notification of their changes.
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
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// Enters `phase` and notifies all sessions.
    pub fn enter(&self, phase: Phase) {
        self.phase.set(phase);
        self.changed.notify(usize::MAX);
    }

    /// The current partition state.
    pub fn partition_state(&self) -> PartitionState {
        self.partition_state.get()
    }

    pub(crate) fn set_partition_state(&self, state: PartitionState) {
        if self.partition_state.replace(state) != state {
            self.changed.notify(usize::MAX);
        }
    }

    /// Makes all sessions check whether they should end.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Whether sessions without a transaction should be closed, so that their callers connect to other instances.
    pub(crate) fn should_close_idle(&self) -> bool {
        self.phase.get() >= Phase::ClosingIdle
            || self.partition_state.get() == PartitionState::OutOfRotation
    }

    /// Why sessions are closed.
    pub(crate) fn closing_reason(&self) -> EndReason {
        match self.phase.get() >= Phase::ClosingIdle {
            true => EndReason::Shutdown,
            false => EndReason::Partitioned,
        }
    }

    /// Returns a listener for the next change. Call this before reading the phase, so that no change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// The number of open sessions.
    pub fn sessions(&self) -> usize {
        self.sessions.get()
    }

    pub(crate) fn session_opened(&self) {
        self.sessions.set(self.sessions.get() + 1);
    }

    /// Counts a session as closed. This sends no notification, which would wake all other sessions.
    pub(crate) fn session_closed(&self) {
        self.sessions.set(self.sessions.get() - 1);
    }
}
