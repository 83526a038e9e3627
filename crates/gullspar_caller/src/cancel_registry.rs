//! Cancel requests, which arrive on separate connections and at any instance.

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

/// Low bits of a process number, which number the sessions; the high bits identify the instance.
const SESSION_BITS: u32 = 16;

/// The sessions of this instance by process number, with what each is running.
pub struct CancelRegistry {
    fleet: Rc<Fleet>,
    next: Cell<u32>,
    entries: RefCell<HashMap<i32, Entry>>,
}

/// A session's entry in the registry; removed when dropped.
pub(crate) struct CancelRegistration {
    registry: Rc<CancelRegistry>,
    pub(crate) process: i32,
    pub(crate) secret: i32,
    running: CancelSlot,
}

impl CancelRegistry {
    /// Creates an empty registry.
    pub fn new(fleet: Rc<Fleet>) -> Rc<CancelRegistry> {
        Rc::new(CancelRegistry { fleet, next: Cell::new(0), entries: RefCell::default() })
    }

    /// Registers a session under a new process number and secret.
    pub(crate) fn register(self: &Rc<Self>, entropy: &dyn Entropy) -> CancelRegistration {
        let instance = instance_bits(self.fleet.id().as_str());
        let process = loop {
            let number = self.next.get() & ((1 << SESSION_BITS) - 1);
            self.next.set(self.next.get().wrapping_add(1));
            let process = (instance << SESSION_BITS | number) as i32;
            // Numbers repeat after 65,536 sessions, and an old session may still use one.
            if !self.entries.borrow().contains_key(&process) || self.is_full() {
                break process;
            }
        };
        let secret = (entropy.next_u64() >> 33) as i32;
        let running = CancelSlot::default();
        let entry = Entry { secret, running: Rc::clone(&running) };
        self.entries.borrow_mut().insert(process, entry);
        CancelRegistration { registry: Rc::clone(self), process, secret, running }
    }

    fn is_full(&self) -> bool {
        self.entries.borrow().len() >= 1 << SESSION_BITS
    }

    /// Cancels the running statement of the session with this process number, on any instance.
    ///
    /// The secret must match, so that a caller can't cancel the statements of others.
    pub fn cancel(&self, process: i32, secret: i32) {
        let instance = process as u32 >> SESSION_BITS;
        if instance == instance_bits(self.fleet.id().as_str()) {
            self.cancel_here(process, secret);
            return;
        }
        // The load balancer may have sent the request to another instance than the session's.
        let borders = self.fleet.borders();
        for other in self.fleet.instances() {
            if instance_bits(other.id.as_str()) == instance && other.can_accept_work() {
                let deadline = borders.clock.now() + std::time::Duration::from_secs(1);
                let req = PeerRequest::CancelCaller { process, secret };
                let call = borders.peers.call(other.peer, req, deadline);
                compio::runtime::spawn(async move { drop(call.await) }).detach();
            }
        }
    }

    /// Cancels the running statement of a session of this instance.
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

impl CancelRegistration {
    /// Sets what a cancel request calls; `None` while nothing runs.
    pub(crate) fn set_canceller(&self, cancel: Option<Canceller>) {
        *self.running.borrow_mut() = cancel;
    }
}

impl Drop for CancelRegistration {
    fn drop(&mut self) {
        self.registry.entries.borrow_mut().remove(&self.process);
    }
}

/// High bits of an instance's process numbers.
fn instance_bits(id: &str) -> u32 {
    // Fifteen bits, so that process numbers stay positive.
    gullspar_fleet::weight("gullspar cancel", id) as u32 & 0x7fff
}
