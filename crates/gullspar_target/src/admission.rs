//! Admission control: a limited number of permits, granted by priority and deadline.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::channel::oneshot;
use gullspar_border::{Clock, within};
use gullspar_model::{CallerClass, NotRun};

/// Number of priorities.
const PRIORITIES: usize = CallerClass::LOWEST_PRIORITY as usize + 1;

/// One grant in this many goes to the lowest priority that is waiting, to prevent starvation.
const GRANTS_PER_FAIR_GRANT: u32 = 8;

/// Maximum number of queued requests for each unit of capacity.
const MAX_QUEUED_PER_CAPACITY: usize = 64;

/// A request is queued only if this multiple of the expected wait ends before its deadline.
///
/// The expected wait is a mean, so many requests wait longer than that.
const WAIT_SAFETY_FACTOR: u32 = 2;

/// Divisor of the newest sample's weight in the running mean of holding times.
const MEAN_WEIGHT_DIVISOR: u32 = 8;

struct Waiter {
    tx: oneshot::Sender<Result<(), NotRun>>,
    /// When its caller wants the answer; may be before the deadline.
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

/// The right to use one unit of capacity; released when dropped.
pub struct Permit {
    admission: Rc<Admission>,
    granted_at: Instant,
}

impl Admission {
    /// Grants up to `capacity` permits at a time, but at least one.
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

    /// Changes the capacity; permits already granted stay valid.
    pub fn set_capacity(&self, capacity: u32) {
        self.capacity.set(capacity.max(1));
        self.grant_waiting();
    }

    /// Number of permits that can be held at a time.
    pub fn capacity(&self) -> u32 {
        self.capacity.get()
    }

    /// Number of permits that are held.
    pub fn busy(&self) -> u32 {
        self.busy.get()
    }

    /// Number of queued requests.
    pub fn queued(&self) -> usize {
        self.queues.borrow().iter().map(VecDeque::len).sum()
    }

    /// Takes a permit without waiting, even above the capacity.
    ///
    /// For statements that continue a transaction: the transaction may hold a lock that the holders
    /// of all permits wait for, so queueing it would block them all until their deadlines.
    pub fn acquire_now(self: &Rc<Self>) -> Permit {
        self.busy.set(self.busy.get() + 1);
        Permit { admission: Rc::clone(self), granted_at: self.clock.now() }
    }

    /// Waits for a permit until `deadline`.
    ///
    /// # Errors
    ///
    /// Fails at once with [`NotRun::Overloaded`] if the expected wait is too long for the deadline
    /// or the queue is full, and with [`NotRun::DeadlinePassed`] at the deadline.
    pub async fn acquire(
        self: &Rc<Self>,
        priority: u8,
        deadline: Instant,
    ) -> Result<Permit, NotRun> {
        self.acquire_by(priority, deadline, deadline).await
    }

    /// Like [`acquire`](Admission::acquire), for a caller that wants its answer by `objective`.
    ///
    /// Within a priority, the earliest objective that can still be met is served first. Under
    /// overload this keeps most requests in time, where the order of arrival would make nearly all
    /// of them late.
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
        if now + wait * WAIT_SAFETY_FACTOR > deadline {
            return Err(overloaded(wait));
        }
        self.shed_if_full(level, wait)?;
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

    /// Estimates how long a new request of this priority would wait, from recent holding times.
    fn expected_wait(&self, level: usize) -> Duration {
        let queues = self.queues.borrow();
        let ahead: usize = queues.iter().take(level + 1).map(VecDeque::len).sum();
        let rounds = (ahead as u64 + 1) * self.mean_held_us.get();
        Duration::from_micros(rounds / u64::from(self.capacity.get()))
    }

    /// If the queue is full, refuses the newest request of the lowest priority below `level`.
    ///
    /// Fails if the queue is full and no request of a lower priority waits.
    fn shed_if_full(&self, level: usize, wait: Duration) -> Result<(), NotRun> {
        let limit = self.capacity.get() as usize * MAX_QUEUED_PER_CAPACITY;
        if self.queued() < limit {
            return Ok(());
        }
        let mut queues = self.queues.borrow_mut();
        let lower_priority = queues.iter_mut().skip(level + 1).rev().find(|it| !it.is_empty());
        let Some(shed) = lower_priority.and_then(VecDeque::pop_back) else {
            return Err(overloaded(wait));
        };
        // Sending fails if the request has reached its deadline and was refused for that.
        let _ = shed.tx.send(Err(overloaded(wait)));
        Ok(())
    }

    fn release(&self, granted_at: Instant) {
        let held = self.clock.now().saturating_duration_since(granted_at);
        let mean = self.mean_held_us.get();
        let sample = held.as_micros() as u64;
        let divisor = u64::from(MEAN_WEIGHT_DIVISOR);
        let mean = if mean == 0 { sample } else { (mean * (divisor - 1) + sample) / divisor };
        self.mean_held_us.set(mean);
        self.busy.set(self.busy.get() - 1);
        self.grant_waiting();
    }

    fn grant_waiting(&self) {
        while self.busy.get() < self.capacity.get() {
            let Some(waiter) = self.next_waiter() else { return };
            self.busy.set(self.busy.get() + 1);
            if waiter.tx.send(Ok(())).is_err() {
                // The request has passed its deadline; grant the permit to the next one.
                self.busy.set(self.busy.get() - 1);
            }
        }
    }

    fn next_waiter(&self) -> Option<Waiter> {
        let now = self.clock.now();
        let mut queues = self.queues.borrow_mut();
        let grants = self.grants.get().wrapping_add(1);
        self.grants.set(grants);
        let is_fair_grant = grants.is_multiple_of(GRANTS_PER_FAIR_GRANT);
        let mut waiting = queues.iter_mut().filter(|it| !it.is_empty());
        if is_fair_grant {
            return waiting.next_back().and_then(VecDeque::pop_front);
        }
        let queue = waiting.next()?;
        let earliest_finish = now + Duration::from_micros(self.mean_held_us.get());
        queue.remove(most_urgent(queue, earliest_finish))
    }
}

/// Index of the waiter with the earliest objective after `earliest_finish`, or 0 (the first to
/// arrive) if there is none.
fn most_urgent(queue: &VecDeque<Waiter>, earliest_finish: Instant) -> usize {
    let in_time = queue.iter().enumerate().filter(|(_, it)| it.objective > earliest_finish);
    in_time.min_by_key(|(_, it)| it.objective).map_or(0, |(index, _)| index)
}

fn overloaded(wait: Duration) -> NotRun {
    NotRun::Overloaded { retry_after_ms: (wait.as_millis() as u64).max(10) }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.admission.release(self.granted_at);
    }
}
