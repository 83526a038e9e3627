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

/// Whether the instance is cut off from what it needs to serve callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutOff {
    No,
    /// Callers may still be sent here.
    Yes,
    /// Whoever is sent away comes to another instance.
    OutOfRotation,
}

/// The phase, and news of it.
pub struct Shutdown {
    cut_off: Cell<CutOff>,
    phase: Cell<Phase>,
    changed: Event,
    sessions: Cell<usize>,
}

impl Default for Shutdown {
    fn default() -> Shutdown {
        Shutdown {
            cut_off: Cell::new(CutOff::No),
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

    /// Whether the instance is cut off.
    pub fn cut_off(&self) -> CutOff {
        self.cut_off.get()
    }

    pub(crate) fn set_cut_off(&self, cut_off: CutOff) {
        if self.cut_off.replace(cut_off) != cut_off {
            self.changed.notify(usize::MAX);
        }
    }

    /// Has all sessions look whether they should end.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Whether sessions without a transaction are to connect elsewhere.
    pub(crate) fn sheds_idle(&self) -> bool {
        self.phase.get() >= Phase::ClosingIdle || self.cut_off.get() == CutOff::OutOfRotation
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
