//! Cancel requests, which arrive on connections of their own and at any instance.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use gullspar_border::{Entropy, PeerRequest};
use gullspar_fleet::Fleet;
use gullspar_target::Canceller;

type CancelSlot = Rc<RefCell<Option<Canceller>>>;

struct Entry {
    secret: i32,
    running: CancelSlot,
}

/// Bits of a process number that count sessions; the others tell the instance.
const SESSION_BITS: u32 = 16;

/// The sessions of this instance by the process number that they were told.
pub struct CancelRegistry {
    fleet: Rc<Fleet>,
    next: Cell<u32>,
    entries: RefCell<HashMap<i32, Entry>>,
}

/// A session's place in the registry; given up when dropped.
pub(crate) struct Registered {
    registry: Rc<CancelRegistry>,
    pub(crate) process: i32,
    pub(crate) secret: i32,
    running: CancelSlot,
}

impl CancelRegistry {
    /// An empty registry.
    pub fn new(fleet: Rc<Fleet>) -> Rc<CancelRegistry> {
        Rc::new(CancelRegistry { fleet, next: Cell::new(0), entries: RefCell::default() })
    }

    /// Gives a session its process number and secret.
    pub(crate) fn register(self: &Rc<Self>, entropy: &dyn Entropy) -> Registered {
        let mark = instance_mark(self.fleet.id().as_str());
        let process = loop {
            let number = self.next.get() & ((1 << SESSION_BITS) - 1);
            self.next.set(self.next.get().wrapping_add(1));
            let process = (mark << SESSION_BITS | number) as i32;
            // After 65,536 sessions a number comes again; an old session may still hold it.
            if !self.entries.borrow().contains_key(&process) || self.is_full() {
                break process;
            }
        };
        let secret = (entropy.next_u64() >> 33) as i32;
        let running = CancelSlot::default();
        let entry = Entry { secret, running: Rc::clone(&running) };
        self.entries.borrow_mut().insert(process, entry);
        Registered { registry: Rc::clone(self), process, secret, running }
    }

    fn is_full(&self) -> bool {
        self.entries.borrow().len() >= 1 << SESSION_BITS
    }

    /// Cancels what the session with this number and secret is running, wherever it is.
    ///
    /// Without the secret a caller could stop the statements of others.
    pub fn cancel(&self, process: i32, secret: i32) {
        let mark = process as u32 >> SESSION_BITS;
        if mark == instance_mark(self.fleet.id().as_str()) {
            self.cancel_here(process, secret);
            return;
        }
        // The balancer sends a cancel request to any instance.
        let borders = self.fleet.borders();
        for other in self.fleet.instances() {
            if instance_mark(other.id.as_str()) == mark && other.can_accept_work() {
                let deadline = borders.clock.now() + std::time::Duration::from_secs(1);
                let req = PeerRequest::CancelCaller { process, secret };
                let call = borders.peers.call(other.peer, req, deadline);
                compio::runtime::spawn(async move { drop(call.await) }).detach();
            }
        }
    }

    /// Cancels for a session of this instance.
    pub fn cancel_here(&self, process: i32, secret: i32) {
        let entries = self.entries.borrow();
        let entry = entries.get(&process).filter(|it| it.secret == secret);
        let running = entry.and_then(|it| it.running.borrow().clone());
        drop(entries);
        if let Some(cancel) = running {
            cancel();
        }
    }
}

impl Registered {
    /// Says what a cancel request would have to stop.
    pub(crate) fn set_running(&self, cancel: Option<Canceller>) {
        *self.running.borrow_mut() = cancel;
    }
}

impl Drop for Registered {
    fn drop(&mut self) {
        self.registry.entries.borrow_mut().remove(&self.process);
    }
}

fn instance_mark(id: &str) -> u32 {
    // Fifteen bits, so that process numbers stay positive.
    gullspar_fleet::weight("gullspar cancel", id) as u32 & 0x7fff
}
