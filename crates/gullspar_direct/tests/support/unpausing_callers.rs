//! Callers that send their next statement as soon as they have an answer.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use gullspar_direct::Proxy;
use gullspar_statement::FailureCode;

use super::{LATEST, World, pause};

/// Pause of a caller after a failure, in milliseconds.
const PAUSE_AFTER_FAILURE_MS: u64 = 20;

/// What the callers have seen.
#[derive(Default)]
struct Seen {
    stopped: Cell<bool>,
    running: Cell<usize>,
    served: Cell<usize>,
    closed: Cell<usize>,
    failures: RefCell<Vec<FailureCode>>,
}

/// Callers that never pause, until they are stopped or their connections are closed.
pub struct UnpausingCallers {
    seen: Rc<Seen>,
}

impl UnpausingCallers {
    /// Connects this many callers to `proxy`. Each reads and writes in turn.
    pub async fn start(world: &World, proxy: &Rc<Proxy>, count: usize) -> UnpausingCallers {
        let seen: Rc<Seen> = Rc::default();
        for number in 0..count {
            let caller = world.caller(proxy, LATEST).await;
            let seen = Rc::clone(&seen);
            seen.running.set(seen.running.get() + 1);
            let task = async move {
                let mut round = 0;
                while !seen.stopped.get() {
                    round += 1;
                    let is_read = round % 2 == 0;
                    let write = format!("WRITE slot-{number} {round}");
                    caller.send_statement(if is_read { "READ slot" } else { &write });
                    let Some(answer) = caller.next().await else {
                        seen.closed.set(seen.closed.get() + 1);
                        break;
                    };
                    match answer.result {
                        Ok(_) => seen.served.set(seen.served.get() + 1),
                        Err(failure) => {
                            seen.failures.borrow_mut().push(failure.code);
                            pause(PAUSE_AFTER_FAILURE_MS).await;
                        }
                    }
                }
                seen.running.set(seen.running.get() - 1);
            };
            compio::runtime::spawn(task).detach();
        }
        UnpausingCallers { seen }
    }

    /// Number of statements served until now.
    pub fn served(&self) -> usize {
        self.seen.served.get()
    }

    /// Number of callers whose connections were closed.
    pub fn closed(&self) -> usize {
        self.seen.closed.get()
    }

    /// The failures until now.
    pub fn failures(&self) -> Vec<FailureCode> {
        self.seen.failures.borrow().clone()
    }

    pub async fn stop(&self) {
        self.seen.stopped.set(true);
        while self.seen.running.get() > 0 {
            pause(10).await;
        }
    }
}
