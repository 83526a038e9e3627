//! One target as this instance knows it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BootInstant, Clock};
use gullspar_model::{LogPoint, MemberName, NotRun};
use gullspar_statement::TargetSpec;
use gullspar_target::{Admission, Permit};

use crate::session::request::Request;
use crate::targets::connection_pool::ConnectionPool;
use crate::targets::pacing;
use crate::{Borders, Stats};

/// Checks in a row without an answer after which a target counts as dark.
///
/// One may be lost with its connection; two on different connections hardly are.
const DARK_AFTER: u32 = 2;

/// How long a target that failed a statement is passed over while others can serve.
const AVOID_FOR: Duration = Duration::from_millis(300);

/// What a failed statement counts against a target, and a sound one for it: a target that fails a fifth or more of
/// what it is asked is passed over by and by.
const FAILURE_WEIGHT: u32 = 4;
const SUCCESS_WEIGHT: u32 = 1;

/// From here on a target is passed over: two failures in a row.
const PASSED_OVER_FROM: u32 = 2 * FAILURE_WEIGHT;

/// The most that counts: four doublings of [`AVOID_FOR`], so that a target that is well again is found in seconds.
const MOST_FAILURES: u32 = PASSED_OVER_FROM + 4 * FAILURE_WEIGHT;

/// How long a replica that was behind a point is not asked for that point again.
const BEHIND_FOR: Duration = Duration::from_millis(60);

/// Weight of the newest sample in the running mean, as one part in this many.
const MEAN_WEIGHT: u64 = 8;

/// Time in which half of what was learnt beyond that is forgotten: a replica that was taken to be very
/// slow is asked again within a few seconds.
const SLOWNESS_HALVES_EVERY: Duration = Duration::from_millis(500);

/// Halvings after which nothing is left.
const MOST_HALVINGS: u128 = 30;

/// A target, its connections and what was seen of it lately.
pub(crate) struct Target {
    spec: RefCell<Rc<TargetSpec>>,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) admission: Rc<Admission>,
    point: Cell<Option<LogPoint>>,
    misses: Cell<u32>,
    heard: Cell<Option<BootInstant>>,
    in_flight: Cell<u32>,
    share: Cell<pacing::Share>,
    /// Running mean of what statements took, and when it was last learnt; `None` until one was answered.
    mean_us: Cell<Option<u64>>,
    learnt_at: Cell<Instant>,
    avoid_until: Cell<Option<Instant>>,
    /// What statements that failed here count, less those that did not.
    failures: Cell<u32>,
    behind: Cell<Option<(LogPoint, Instant)>>,
    /// When it gets no new work any more, as it leaves.
    work_ends_at: Cell<Option<BootInstant>>,
    pub(crate) removed: Cell<bool>,
    /// A write waits for this replica and has it asked.
    pub(crate) is_polled: Cell<bool>,
    clock: Rc<dyn Clock>,
    stats: Rc<Stats>,
}

/// Counts a statement as in flight while it lives.
pub(crate) struct InFlight {
    target: Rc<Target>,
}

impl Target {
    pub(crate) fn new(spec: Rc<TargetSpec>, borders: &Borders) -> Rc<Target> {
        let pool = ConnectionPool::new(borders);
        let admission = Admission::new(Rc::clone(&borders.clock), spec.slots);
        Rc::new(Target {
            spec: RefCell::new(spec),
            pool,
            admission,
            point: Cell::new(None),
            misses: Cell::new(0),
            heard: Cell::new(None),
            in_flight: Cell::new(0),
            share: Cell::new(pacing::Share::default()),
            mean_us: Cell::new(None),
            learnt_at: Cell::new(borders.clock.now()),
            avoid_until: Cell::new(None),
            failures: Cell::new(0),
            behind: Cell::new(None),
            work_ends_at: Cell::new(None),
            removed: Cell::new(false),
            is_polled: Cell::new(false),
            clock: Rc::clone(&borders.clock),
            stats: Rc::clone(&borders.stats),
        })
    }

    /// Waits for the right to run `req` here.
    pub(crate) async fn admit(&self, req: &Request) -> Result<Permit, NotRun> {
        let asked = self.clock.now();
        let permit = self.admission.enter_by(req.priority, req.objective, req.deadline).await?;
        self.stats.place(self.clock.now().saturating_duration_since(asked));
        // It may have waited for long.
        if self.is_closed_to_new_work() { Err(NotRun::NoPrimary) } else { Ok(permit) }
    }

    /// Sets when it gets no new work any more, as it leaves.
    pub(crate) fn set_work_ends_at(&self, at: Option<BootInstant>) {
        self.work_ends_at.set(at);
    }

    /// Whether it said so long ago that it leaves that it gets no new work any more.
    ///
    /// A leader that leaves serves until it is replaced. Where nobody can take its place it would be given work
    /// until it ends, and what it then runs is cut off; callers are refused instead, as not run.
    pub(crate) fn is_closed_to_new_work(&self) -> bool {
        self.work_ends_at.get().is_some_and(|at| at <= self.clock.boot_now())
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

    pub(crate) fn record_point(&self, point: Option<LogPoint>) {
        if point.is_some() {
            self.point.set(point);
        }
    }

    /// It answered a check.
    pub(crate) fn record_response(&self, now: BootInstant) {
        self.misses.set(0);
        self.heard.set(Some(now));
    }

    /// It did not answer a check; `true` when this makes it dark.
    pub(crate) fn record_missed_check(&self) -> bool {
        self.misses.set(self.misses.get().saturating_add(1));
        self.misses.get() == DARK_AFTER
    }

    pub(crate) fn has_missed_checks(&self) -> bool {
        self.misses.get() > 0
    }

    /// Whether it answers nothing.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.misses.get() >= DARK_AFTER
    }

    /// Whether it answered anything since `instant`.
    pub(crate) fn has_responded_since(&self, instant: BootInstant) -> bool {
        self.heard.get().is_some_and(|at| at >= instant)
    }

    /// Whether it ever answered a check.
    pub(crate) fn has_responded(&self) -> bool {
        self.heard.get().is_some()
    }

    /// A statement on it failed in a way that another may not.
    pub(crate) fn avoid(&self, now: Instant) {
        self.avoid_for(now, AVOID_FOR);
    }

    fn avoid_for(&self, now: Instant, time: Duration) {
        self.avoid_until.set(self.avoid_until.get().max(Some(now + time)));
    }

    /// It ran a statement, and the statement failed or did not.
    ///
    /// A target may fail what it is asked, or half of it, and answer each check. Asked for every other read all the
    /// same, one such replica would fail hundreds of statements. One failure may be the
    /// statement's own fault; where they prevail the target is passed over, twice as long each time, and the reads
    /// that try it again show when it is well.
    pub(crate) fn record_result(&self, failed: bool, now: Instant) {
        if !failed {
            self.failures.set(self.failures.get().saturating_sub(SUCCESS_WEIGHT));
            return;
        }
        let failures = (self.failures.get() + FAILURE_WEIGHT).min(MOST_FAILURES);
        self.failures.set(failures);
        if let Some(beyond) = failures.checked_sub(PASSED_OVER_FROM) {
            let avoid_for = AVOID_FOR * 2u32.pow(beyond / FAILURE_WEIGHT);
            self.avoid_for(now, avoid_for);
        }
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.get().is_some_and(|until| now < until)
    }

    /// It said that its log does not reach `point`.
    pub(crate) fn record_behind(&self, point: LogPoint, now: Instant) {
        self.behind.set(Some((point, now + BEHIND_FOR)));
    }

    pub(crate) fn is_behind(&self, point: LogPoint, now: Instant) -> bool {
        self.behind.get().is_some_and(|(missing, until)| point >= missing && now < until)
    }

    /// Gives a place back after a statement that took `taken`, at once or, while the target is crowded, after
    /// a rest.
    pub(crate) fn release_permit(&self, permit: Permit, taken: Duration, usual: Option<Duration>) {
        let rest = pacing::cooldown_after(self.share.get(), taken, self.mean_duration(), usual);
        if rest.is_zero() {
            return;
        }
        let until = self.clock.now() + rest;
        let clock = Rc::clone(&self.clock);
        let task = async move {
            clock.sleep_until(until).await;
            drop(permit);
        };
        compio::runtime::spawn(task).detach();
    }

    /// Sets what part of the target this instance uses.
    pub(crate) fn set_share(&self, share: pacing::Share) {
        self.share.set(share);
        self.admission.set_capacity(share.permits());
    }

    /// A statement begins; it ends when the guard is dropped.
    pub(crate) fn start_statement(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight { target: Rc::clone(self) }
    }

    /// A statement took this long.
    pub(crate) fn record_duration(&self, took: Duration) {
        let sample = took.as_micros() as u64;
        let mean = self.mean_us.get().unwrap_or(sample);
        self.mean_us.set(Some((mean * (MEAN_WEIGHT - 1) + sample) / MEAN_WEIGHT));
        self.learnt_at.set(self.clock.now());
    }

    /// What a statement took here of late; `None` before the first.
    pub(crate) fn mean_duration(&self) -> Option<Duration> {
        self.mean_us.get().map(Duration::from_micros)
    }

    /// What a statement takes here, where others of the group need `usual`.
    ///
    /// What was learnt beyond that is forgotten by and by: a target that nobody asks any more has no way
    /// to show that it is fast again. Its group's leader would refuse callers that it could serve.
    fn decayed_mean(&self, usual: Duration) -> Duration {
        // One that has just started is taken to be like the others; it gets work and shows what it takes.
        let mean = self.mean_duration().unwrap_or(usual);
        let passed = self.clock.now().saturating_duration_since(self.learnt_at.get());
        let halvings = passed.as_millis() / SLOWNESS_HALVES_EVERY.as_millis();
        let beyond = mean.saturating_sub(usual);
        mean.min(usual) + beyond / 2u32.pow(halvings.min(MOST_HALVINGS) as u32)
    }

    /// What one more statement will probably take, those on their way and those that wait for a place
    /// included.
    ///
    /// Without the latter a burst goes to one target as long as none of it has been sent, and a leader with
    /// sixty reads before it looks idle.
    pub(crate) fn expected_duration(&self, usual: Duration) -> Duration {
        let before = self.in_flight.get() + self.admission.queued() as u32;
        let places = self.admission.capacity();
        let mean = self.decayed_mean(usual);
        mean * (before / places + 1) + mean * before / places / 4
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.in_flight.set(self.target.in_flight.get() - 1);
    }
}
