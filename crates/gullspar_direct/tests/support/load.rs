//! Callers that keep the instances of a test busy.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use gullspar_direct::Proxy;

use super::{BOUNDED, FakeGroup, LATEST, World, pause};

/// Pause of a caller after a failure, in milliseconds.
const PAUSE_AFTER_FAILURE_MS: u64 = 20;

/// Reading and writing callers, until they are stopped.
pub struct Load {
    group: Rc<FakeGroup>,
    acknowledged: Rc<RefCell<Vec<String>>>,
    failures: Rc<Cell<u32>>,
    stopped: Rc<Cell<bool>>,
    running: Rc<Cell<usize>>,
}

impl Load {
    /// Starts this many readers and writers at each instance. Each sends its next statement after the answer.
    pub async fn start(
        world: &World,
        proxies: &[Rc<Proxy>],
        readers: usize,
        writers: usize,
    ) -> Load {
        let load = Load {
            group: Rc::clone(&world.group),
            acknowledged: Rc::default(),
            failures: Rc::default(),
            stopped: Rc::default(),
            running: Rc::default(),
        };
        for (index, proxy) in proxies.iter().enumerate() {
            for number in 0..readers + writers {
                let service = if number < readers { BOUNDED } else { LATEST };
                let caller = world.caller(proxy, service).await;
                let (acknowledged, failures) =
                    (Rc::clone(&load.acknowledged), Rc::clone(&load.failures));
                let (stopped, running) = (Rc::clone(&load.stopped), Rc::clone(&load.running));
                running.set(running.get() + 1);
                let task = async move {
                    let mut round = 0;
                    while !stopped.get() {
                        round += 1;
                        let item = format!("i{index}-{number}-{round}");
                        let text = match service {
                            BOUNDED => "READ slot".to_owned(),
                            _ => format!("WRITE {item} mine"),
                        };
                        if caller.execute(&text).await.result.is_err() {
                            failures.set(failures.get() + 1);
                            pause(PAUSE_AFTER_FAILURE_MS).await;
                        } else if service == LATEST {
                            acknowledged.borrow_mut().push(item);
                        }
                    }
                    running.set(running.get() - 1);
                };
                compio::runtime::spawn(task).detach();
            }
        }
        load
    }

    /// Number of statements that failed.
    pub fn failures(&self) -> u32 {
        self.failures.get()
    }

    /// Stops the callers.
    pub async fn stop(&self) {
        self.stopped.set(true);
        while self.running.get() > 0 {
            pause(10).await;
        }
    }

    /// Stops the callers and checks that the group still has all acknowledged writes. Returns their number.
    pub async fn stop_and_check(self) -> usize {
        self.stop().await;
        let acknowledged = self.acknowledged.borrow();
        let lost: Vec<_> =
            acknowledged.iter().filter(|it| self.group.value(it).is_none()).collect();
        assert!(lost.is_empty(), "acknowledged and lost: {lost:?}");
        acknowledged.len()
    }
}
