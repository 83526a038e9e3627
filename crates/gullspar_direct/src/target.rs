//! One target as this instance knows it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BootInstant, Clock};
use gullspar_model::{LogPoint, MemberName, NotRun};
use gullspar_statement::TargetSpec;
use gullspar_target::{Admission, Permit};

use crate::connection_pool::ConnectionPool;
use crate::request::Request;
use crate::{Borders, Stats};

/// Checks in a row without an answer after which a target counts as dark.
///
/// One may be lost with its connection; two on different connections hardly are.
const DARK_AFTER: u32 = 2;

/// How long a target that failed a statement is passed over while others can serve.
const AVOID_FOR: Duration = Duration::from_millis(300);

/// How long a replica that was behind a point is not asked for that point again.
const BEHIND_FOR: Duration = Duration::from_millis(60);

/// Weight of the newest sample in the running mean, as one part in this many.
const MEAN_WEIGHT: u64 = 8;

/// Time that a statement is expected to take where nothing is known yet.
const UNKNOWN_MEAN: Duration = Duration::from_millis(20);

/// A target, its connections and what was seen of it lately.
pub(crate) struct Target {
    spec: RefCell<Rc<TargetSpec>>,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) admission: Rc<Admission>,
    point: Cell<Option<LogPoint>>,
    misses: Cell<u32>,
    heard: Cell<Option<BootInstant>>,
    in_flight: Cell<u32>,
    mean_us: Cell<u64>,
    avoid_until: Cell<Option<Instant>>,
    behind: Cell<Option<(LogPoint, Instant)>>,
    pub(crate) removed: Cell<bool>,
    /// A write waits for this replica and has it asked.
    pub(crate) looking: Cell<bool>,
    clock: Rc<dyn Clock>,
    stats: Rc<Stats>,
}

/// Counts a statement as in flight while it lives.
pub(crate) struct InFlight {
    target: Rc<Target>,
}

impl Target {
    pub(crate) fn new(spec: Rc<TargetSpec>, borders: &Borders) -> Rc<Target> {
        let pool = ConnectionPool::new(Rc::clone(&borders.clock), Rc::clone(&borders.dialer));
        let admission = Admission::new(Rc::clone(&borders.clock), spec.slots);
        Rc::new(Target {
            spec: RefCell::new(spec),
            pool,
            admission,
            point: Cell::new(None),
            misses: Cell::new(0),
            heard: Cell::new(None),
            in_flight: Cell::new(0),
            mean_us: Cell::new(UNKNOWN_MEAN.as_micros() as u64),
            avoid_until: Cell::new(None),
            behind: Cell::new(None),
            removed: Cell::new(false),
            looking: Cell::new(false),
            clock: Rc::clone(&borders.clock),
            stats: Rc::clone(&borders.stats),
        })
    }

    /// Waits for the right to run `req` here.
    pub(crate) async fn admit(&self, req: &Request) -> Result<Permit, NotRun> {
        let asked = self.clock.now();
        let permit = self.admission.enter_by(req.priority, req.objective, req.deadline).await?;
        self.stats.place(self.clock.now().saturating_duration_since(asked));
        Ok(permit)
    }

    pub(crate) fn spec(&self) -> Rc<TargetSpec> {
        Rc::clone(&self.spec.borrow())
    }

    pub(crate) fn set_spec(&self, spec: Rc<TargetSpec>) {
        *self.spec.borrow_mut() = spec;
    }

    pub(crate) fn member(&self) -> MemberName {
        self.spec.borrow().member.clone()
    }

    /// The end of its log when it last told.
    pub(crate) fn point(&self) -> Option<LogPoint> {
        self.point.get()
    }

    pub(crate) fn note_point(&self, point: Option<LogPoint>) {
        if point.is_some() {
            self.point.set(point);
        }
    }

    /// It answered a check.
    pub(crate) fn heard(&self, now: BootInstant) {
        self.misses.set(0);
        self.heard.set(Some(now));
    }

    /// It did not answer a check; `true` when this makes it dark.
    pub(crate) fn missed(&self) -> bool {
        self.misses.set(self.misses.get().saturating_add(1));
        self.misses.get() == DARK_AFTER
    }

    pub(crate) fn has_misses(&self) -> bool {
        self.misses.get() > 0
    }

    /// Whether it answers nothing.
    pub(crate) fn is_dark(&self) -> bool {
        self.misses.get() >= DARK_AFTER
    }

    /// Whether it answered anything since `instant`.
    pub(crate) fn heard_since(&self, instant: BootInstant) -> bool {
        self.heard.get().is_some_and(|at| at >= instant)
    }

    /// Whether it ever answered a check.
    pub(crate) fn was_heard(&self) -> bool {
        self.heard.get().is_some()
    }

    /// A statement on it failed in a way that another may not.
    pub(crate) fn avoid(&self, now: Instant) {
        self.avoid_until.set(Some(now + AVOID_FOR));
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.get().is_some_and(|until| now < until)
    }

    /// It said that its log does not reach `point`.
    pub(crate) fn note_behind(&self, point: LogPoint, now: Instant) {
        self.behind.set(Some((point, now + BEHIND_FOR)));
    }

    pub(crate) fn is_behind(&self, point: LogPoint, now: Instant) -> bool {
        self.behind.get().is_some_and(|(missing, until)| point >= missing && now < until)
    }

    /// A statement begins; it ends when the guard is dropped.
    pub(crate) fn depart(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight { target: Rc::clone(self) }
    }

    /// A statement took this long.
    pub(crate) fn learn(&self, took: Duration) {
        let mean = self.mean_us.get();
        let sample = took.as_micros() as u64;
        self.mean_us.set((mean * (MEAN_WEIGHT - 1) + sample) / MEAN_WEIGHT);
    }

    /// What one more statement will probably take, those on their way included.
    pub(crate) fn expected(&self) -> Duration {
        let slots = u64::from(self.spec.borrow().slots.max(1));
        let rounds = u64::from(self.in_flight.get()) / slots;
        let extra = self.mean_us.get() * u64::from(self.in_flight.get()) / slots / 4;
        Duration::from_micros(self.mean_us.get() * (rounds + 1) + extra)
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.in_flight.set(self.target.in_flight.get() - 1);
    }
}
