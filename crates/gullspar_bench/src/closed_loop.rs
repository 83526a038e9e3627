//! Closed-loop load: each caller sends its next statement after the response to the previous one.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_lab::{Client, RequestOutcome};

use crate::Percentiles;

/// The parameters of a closed-loop load.
#[derive(Clone, Debug)]
pub struct ClosedLoop {
    pub addresses: Vec<SocketAddr>,
    pub user: String,
    pub service: String,
    pub sql: String,
    pub connections: usize,
    /// Time before the measurement begins.
    pub warm_up: Duration,
    pub measure: Duration,
    /// Pause after each response.
    pub pause: Duration,
    /// Whether to connect without a password, as targets require.
    pub without_password: bool,
}

/// The results of a closed-loop load.
#[derive(Default)]
pub struct LoopResult {
    /// Durations of statements that were done.
    pub done: Percentiles,
    /// Durations of statements that were refused and not run.
    pub refused: Percentiles,
    pub unknown: u64,
    pub failed: u64,
    pub seconds: f64,
}

impl LoopResult {
    /// Statements done per second.
    pub fn rate(&self) -> f64 {
        self.done.len() as f64 / self.seconds
    }
}

impl ClosedLoop {
    /// Runs the load on its own thread and waits for its end.
    pub fn run(self) -> LoopResult {
        self.start().finish()
    }

    /// Starts the load on its own thread.
    pub fn start(self) -> RunningLoop {
        let thread = std::thread::spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else { return LoopResult::default() };
            runtime.block_on(self.run_callers())
        });
        RunningLoop { thread }
    }

    async fn run_callers(self) -> LoopResult {
        let this = Rc::new(self);
        let result = Rc::new(RefCell::new(LoopResult::default()));
        let phase = Rc::new(Cell::new(Phase::WarmUp));
        let mut tasks = Vec::new();
        for number in 0..this.connections {
            let caller = this.clone().run_caller(number, Rc::clone(&result), Rc::clone(&phase));
            tasks.push(compio::runtime::spawn(caller));
        }
        compio::time::sleep(this.warm_up).await;
        phase.set(Phase::Measure);
        let started = Instant::now();
        compio::time::sleep(this.measure).await;
        phase.set(Phase::Finished);
        let seconds = started.elapsed().as_secs_f64();
        drop(tasks);
        let mut result = result.take();
        result.seconds = seconds;
        result
    }

    async fn run_caller(
        self: Rc<Self>,
        number: usize,
        result: Rc<RefCell<LoopResult>>,
        phase: Rc<Cell<Phase>>,
    ) {
        let address = self.addresses[number % self.addresses.len()];
        loop {
            let connected = if self.without_password {
                Client::connect_to_target(address).await
            } else {
                Client::connect(address, &self.user, &self.service, None).await
            };
            let Ok(mut client) = connected else {
                compio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            loop {
                let started = Instant::now();
                let Ok(response) = client.query(&self.sql).await else { break };
                let duration = started.elapsed();
                if phase.get() == Phase::Measure {
                    let mut result = result.borrow_mut();
                    match response.outcome() {
                        RequestOutcome::Done => result.done.add(duration),
                        RequestOutcome::NotRun => result.refused.add(duration),
                        RequestOutcome::Unknown => result.unknown += 1,
                        RequestOutcome::Failed => result.failed += 1,
                    }
                }
                if response.outcome() == RequestOutcome::NotRun {
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
    WarmUp,
    Measure,
    Finished,
}

/// A running closed-loop load.
pub struct RunningLoop {
    thread: std::thread::JoinHandle<LoopResult>,
}

impl RunningLoop {
    /// Waits for the end of the load and returns its results.
    pub fn finish(self) -> LoopResult {
        self.thread.join().unwrap_or_default()
    }
}
