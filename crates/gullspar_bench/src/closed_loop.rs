//! Callers that send a statement, wait for the answer, and send the next.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_lab::{Client, RequestOutcome};

use crate::Percentiles;

/// How a closed loop goes.
#[derive(Clone, Debug)]
pub struct ClosedLoop {
    pub addresses: Vec<SocketAddr>,
    pub user: String,
    pub service: String,
    pub sql: String,
    pub connections: usize,
    /// Time before measuring begins.
    pub warm_up: Duration,
    pub measure: Duration,
    /// Pause after each answer.
    pub pause: Duration,
    /// Whether to connect without a password, as to a target itself.
    pub bare: bool,
}

/// What a closed loop saw.
#[derive(Default)]
pub struct LoopResult {
    pub done: Percentiles,
    /// Requests refused as not run.
    pub refused: Percentiles,
    pub unknown: u64,
    pub failed: u64,
    pub seconds: f64,
}

impl LoopResult {
    /// Statements done a second.
    pub fn rate(&self) -> f64 {
        self.done.len() as f64 / self.seconds
    }
}

impl ClosedLoop {
    /// Runs the loop on a thread of its own and waits for its end.
    pub fn run(self) -> LoopResult {
        self.start().finish()
    }

    /// Starts the loop on a thread of its own.
    pub fn start(self) -> RunningLoop {
        let thread = std::thread::spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else { return LoopResult::default() };
            runtime.block_on(self.drive())
        });
        RunningLoop { thread }
    }

    async fn drive(self) -> LoopResult {
        let this = Rc::new(self);
        let result = Rc::new(RefCell::new(LoopResult::default()));
        let phase = Rc::new(Cell::new(Phase::Warm));
        let mut tasks = Vec::new();
        for number in 0..this.connections {
            let caller = this.clone().call(number, Rc::clone(&result), Rc::clone(&phase));
            tasks.push(compio::runtime::spawn(caller));
        }
        compio::time::sleep(this.warm_up).await;
        phase.set(Phase::Measure);
        let started = Instant::now();
        compio::time::sleep(this.measure).await;
        phase.set(Phase::Over);
        let seconds = started.elapsed().as_secs_f64();
        drop(tasks);
        let mut result = result.take();
        result.seconds = seconds;
        result
    }

    async fn call(
        self: Rc<Self>,
        number: usize,
        result: Rc<RefCell<LoopResult>>,
        phase: Rc<Cell<Phase>>,
    ) {
        let address = self.addresses[number % self.addresses.len()];
        loop {
            let connecting = if self.bare {
                Client::connect_to_target(address).await
            } else {
                Client::connect(address, &self.user, &self.service, None).await
            };
            let Ok(mut client) = connecting else {
                compio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            loop {
                let started = Instant::now();
                let Ok(answer) = client.query(&self.sql).await else { break };
                let took = started.elapsed();
                if phase.get() == Phase::Measure {
                    let mut result = result.borrow_mut();
                    match answer.outcome() {
                        RequestOutcome::Done => result.done.add(took),
                        RequestOutcome::NotRun => result.refused.add(took),
                        RequestOutcome::Unknown => result.unknown += 1,
                        RequestOutcome::Failed => result.failed += 1,
                    }
                }
                if answer.outcome() == RequestOutcome::NotRun {
                    compio::time::sleep(Duration::from_millis(20)).await;
                }
                if !self.pause.is_zero() {
                    compio::time::sleep(self.pause).await;
                }
            }
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Warm,
    Measure,
    Over,
}

/// A loop that is under way.
pub struct RunningLoop {
    thread: std::thread::JoinHandle<LoopResult>,
}

impl RunningLoop {
    /// Waits for the loop's end.
    pub fn finish(self) -> LoopResult {
        self.thread.join().unwrap_or_default()
    }
}
