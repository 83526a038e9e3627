//! A queue before something scarce, with a deadline for each request.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use gullspar_border::{Clock, within};
use gullspar_model::{CallerClass, NotRun};

/// Number of priorities.
const PRIORITIES: usize = CallerClass::LOWEST_PRIORITY as usize + 1;

/// One grant in this many goes to the most tolerant class that waits, so that none starves.
const FAIR_EVERY: u32 = 8;

/// Longest queue, in requests for each unit of capacity.
const QUEUE_PER_CAPACITY: usize = 64;

/// How many times the expected wait must fit before the deadline.
///
/// The expectation is a mean. Admitted up to the deadline itself, requests at the end of the queue ran into
/// it as often as not, and were refused only then.
const WAIT_MARGIN: u32 = 2;

/// Weight of the newest sample in the running mean of service times, as one part in this many.
const MEAN_WEIGHT: u32 = 8;

struct Waiter {
    tx: oneshot::Sender<Result<(), NotRun>>,
    /// When its caller wants the answer; later it is worth less.
    objective: Instant,
}

/// Hands out a limited number of permits by priority.
pub struct Admission {
    clock: Rc<dyn Clock>,
    capacity: Cell<u32>,
    busy: Cell<u32>,
    grants: Cell<u32>,
    /// Running mean of the time that a permit is held, in microseconds.
    mean_held_us: Cell<u64>,
    queues: RefCell<[VecDeque<Waiter>; PRIORITIES]>,
}

/// The right to use one unit; given back when dropped.
pub struct Permit {
    admission: Rc<Admission>,
    granted_at: Instant,
}

impl Admission {
    /// An admission of `capacity` at once.
    pub fn new(clock: Rc<dyn Clock>, capacity: u32) -> Rc<Admission> {
        Rc::new(Admission {
            clock,
            capacity: Cell::new(capacity.max(1)),
            busy: Cell::new(0),
            grants: Cell::new(0),
            mean_held_us: Cell::new(0),
            queues: RefCell::default(),
        })
    }

    /// Changes the capacity; permits already granted stay so.
    pub fn set_capacity(&self, capacity: u32) {
        self.capacity.set(capacity.max(1));
        self.grant_waiting();
    }

    /// Permits that may be granted at once.
    pub fn capacity(&self) -> u32 {
        self.capacity.get()
    }

    /// Permits granted now.
    pub fn busy(&self) -> u32 {
        self.busy.get()
    }

    /// Requests that wait.
    pub fn queued(&self) -> usize {
        self.queues.borrow().iter().map(VecDeque::len).sum()
    }

    /// Takes a permit although none may be free, for work that others wait upon.
    ///
    /// A statement that continues a transaction may hold the lock that all permits' holders wait
    /// for; if it had to queue behind them, all would stand still until their deadlines.
    pub fn acquire_now(self: &Rc<Self>) -> Permit {
        self.busy.set(self.busy.get() + 1);
        Permit { admission: Rc::clone(self), granted_at: self.clock.now() }
    }

    /// Waits for a permit until `deadline`.
    ///
    /// A request that would not be served in time is refused on arrival: answered late it would
    /// still cost its place, and its caller has gone.
    pub async fn acquire(
        self: &Rc<Self>,
        priority: u8,
        deadline: Instant,
    ) -> Result<Permit, NotRun> {
        self.acquire_by(priority, deadline, deadline).await
    }

    /// Like [`acquire`](Admission::acquire), for a caller that wants its answer by `objective`.
    ///
    /// Of one priority, the earliest objective that can still be met goes first. When more comes than
    /// the target can do, that keeps most requests in time, where the order of arrival would make
    /// all of them late: at 1.4 times the capacity, 0.7 of them are served in time instead of none.
    pub async fn acquire_by(
        self: &Rc<Self>,
        priority: u8,
        objective: Instant,
        deadline: Instant,
    ) -> Result<Permit, NotRun> {
        let now = self.clock.now();
        if now >= deadline {
            return Err(NotRun::DeadlinePassed);
        }
        let level = usize::from(priority).min(PRIORITIES - 1);
        if self.busy.get() < self.capacity.get() && self.queued() == 0 {
            return Ok(self.acquire_now());
        }
        let wait = self.expected_wait(level);
        if now + wait * WAIT_MARGIN > deadline {
            return Err(overloaded(wait));
        }
        self.make_room(level, wait)?;
        let (tx, rx) = oneshot::channel();
        if let Some(queue) = self.queues.borrow_mut().get_mut(level) {
            queue.push_back(Waiter { tx, objective });
        }
        match within(&*self.clock, deadline, rx).await {
            Ok(Ok(Ok(()))) => {
                Ok(Permit { admission: Rc::clone(self), granted_at: self.clock.now() })
            }
            Ok(Ok(Err(refusal))) => Err(refusal),
            _ => Err(NotRun::DeadlinePassed),
        }
    }

    /// How long a newcomer of this level would wait, by what was seen lately.
    fn expected_wait(&self, level: usize) -> Duration {
        let queues = self.queues.borrow();
        let ahead: usize = queues.iter().take(level + 1).map(VecDeque::len).sum();
        let rounds = (ahead as u64 + 1) * self.mean_held_us.get();
        Duration::from_micros(rounds / u64::from(self.capacity.get()))
    }

    /// Sheds the newest request of the most tolerant class when the queue is full.
    fn make_room(&self, level: usize, wait: Duration) -> Result<(), NotRun> {
        let limit = self.capacity.get() as usize * QUEUE_PER_CAPACITY;
        if self.queued() < limit {
            return Ok(());
        }
        let mut queues = self.queues.borrow_mut();
        let tolerant = queues.iter_mut().skip(level + 1).rev().find(|it| !it.is_empty());
        let Some(shed) = tolerant.and_then(VecDeque::pop_back) else {
            return Err(overloaded(wait));
        };
        // Its receiver may have reached its deadline at this very moment; then it has its answer.
        let _ = shed.tx.send(Err(overloaded(wait)));
        Ok(())
    }

    fn leave(&self, granted_at: Instant) {
        let held = self.clock.now().saturating_duration_since(granted_at);
        let mean = self.mean_held_us.get();
        let sample = held.as_micros() as u64;
        let weight = u64::from(MEAN_WEIGHT);
        let mean = if mean == 0 { sample } else { (mean * (weight - 1) + sample) / weight };
        self.mean_held_us.set(mean);
        self.busy.set(self.busy.get() - 1);
        self.grant_waiting();
    }

    fn grant_waiting(&self) {
        while self.busy.get() < self.capacity.get() {
            let Some(waiter) = self.pick() else { return };
            self.busy.set(self.busy.get() + 1);
            if waiter.tx.send(Ok(())).is_err() {
                // It gave up at its deadline; the permit goes to the next.
                self.busy.set(self.busy.get() - 1);
            }
        }
    }

    fn pick(&self) -> Option<Waiter> {
        let now = self.clock.now();
        let mut queues = self.queues.borrow_mut();
        let grants = self.grants.get().wrapping_add(1);
        self.grants.set(grants);
        let fair = grants.is_multiple_of(FAIR_EVERY);
        let mut waiting = queues.iter_mut().filter(|it| !it.is_empty());
        if fair {
            return waiting.next_back().and_then(VecDeque::pop_front);
        }
        let queue = waiting.next()?;
        let met_until = now + Duration::from_micros(self.mean_held_us.get());
        queue.remove(most_urgent(queue, met_until))
    }
}

/// The place of the waiter to go next: the earliest objective that lies after `met_until`, or, where
/// none does, the first that came.
fn most_urgent(queue: &VecDeque<Waiter>, met_until: Instant) -> usize {
    let in_time = queue.iter().enumerate().filter(|(_, it)| it.objective > met_until);
    in_time.min_by_key(|(_, it)| it.objective).map_or(0, |(at, _)| at)
}

fn overloaded(wait: Duration) -> NotRun {
    NotRun::Overloaded { retry_after_ms: (wait.as_millis() as u64).max(10) }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.leave(self.granted_at);
    }
}
