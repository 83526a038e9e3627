//! A target with its connections, its load and its recent health, as seen by this instance.

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

/// Consecutive missed health checks after which a target counts as unresponsive.
///
/// A single check may be lost with its connection; the next one uses another connection.
const UNRESPONSIVE_AFTER_MISSES: u32 = 2;

/// How long a target is avoided after a failure while others can serve.
const AVOID_PERIOD: Duration = Duration::from_millis(300);

/// How much a failed statement adds to a target's failure score, and how much a successful one subtracts.
///
/// With these weights, a target that fails a fifth or more of its statements is eventually avoided.
const FAILURE_WEIGHT: u32 = 4;
const SUCCESS_WEIGHT: u32 = 1;

/// Failure score from which a target is avoided: two failures in a row.
const AVOID_SCORE: u32 = 2 * FAILURE_WEIGHT;

/// Upper bound of the failure score. It allows four doublings of [`AVOID_PERIOD`], so that a target that has recovered
/// is used again within seconds.
const MAX_FAILURE_SCORE: u32 = AVOID_SCORE + 4 * FAILURE_WEIGHT;

/// How long a replica that was behind a point is not selected again for that point, unless a check shows that it has
/// reached the point. Doubles with each further refusal up to [`MAX_BEHIND_PERIOD`].
const BEHIND_PERIOD: Duration = Duration::from_millis(60);

/// Upper limit of [`BEHIND_PERIOD`]. A replica that lags for seconds would otherwise refuse 16 reads per second.
const MAX_BEHIND_PERIOD: Duration = Duration::from_millis(240);

/// Time between two refusals from which the second counts as a first one.
const BEHIND_MEMORY: Duration = Duration::from_secs(1);

/// Each new sample has a weight of one divided by this number in the running mean.
const MEAN_DIVISOR: u64 = 8;

/// Half-life of the excess of a target's mean duration over the group's usual one. It lets a replica that was very slow
/// be tried again within a few seconds.
const EXCESS_HALF_LIFE: Duration = Duration::from_millis(500);

/// Maximum number of halvings of that excess, which prevents an overflow of the power of two.
const MAX_HALVINGS: u128 = 30;

/// A target of a group, with the connections, permits and recent measurements of this instance.
pub(crate) struct Target {
    spec: RefCell<Rc<TargetSpec>>,
    pub(crate) pool: Rc<ConnectionPool>,
    pub(crate) admission: Rc<Admission>,
    point: Cell<Option<LogPoint>>,
    /// The end of the log that the target has received from the current leader, as far as known.
    received: Cell<Option<LogPoint>>,
    missed_checks: Cell<u32>,
    last_response_at: Cell<Option<BootInstant>>,
    last_check_at: Cell<Option<BootInstant>>,
    in_flight: Cell<u32>,
    share: Cell<pacing::Share>,
    /// Running mean of statement durations, in microseconds; `None` until a statement was answered.
    mean_us: Cell<Option<u64>>,
    mean_updated_at: Cell<Instant>,
    avoid_until: Cell<Option<Instant>>,
    /// Failure score: rises with each failed statement and falls with each successful one.
    failure_score: Cell<u32>,
    behind: Cell<Option<Behind>>,
    /// When the target stops getting new work; `None` if it isn't leaving.
    work_ends_at: Cell<Option<BootInstant>>,
    pub(crate) removed: Cell<bool>,
    /// Whether a check is running on behalf of a write that waits for this replica.
    pub(crate) is_polled: Cell<bool>,
    clock: Rc<dyn Clock>,
    stats: Rc<Stats>,
}

/// A replica's last refusal because its log was behind.
#[derive(Clone, Copy)]
struct Behind {
    point: LogPoint,
    recorded_at: Instant,
    period: Duration,
}

/// Counts a statement as in flight until it is dropped.
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
            received: Cell::new(None),
            missed_checks: Cell::new(0),
            last_response_at: Cell::new(None),
            last_check_at: Cell::new(None),
            in_flight: Cell::new(0),
            share: Cell::new(pacing::Share::default()),
            mean_us: Cell::new(None),
            mean_updated_at: Cell::new(borders.clock.now()),
            avoid_until: Cell::new(None),
            failure_score: Cell::new(0),
            behind: Cell::new(None),
            work_ends_at: Cell::new(None),
            removed: Cell::new(false),
            is_polled: Cell::new(false),
            clock: Rc::clone(&borders.clock),
            stats: Rc::clone(&borders.stats),
        })
    }

    /// Waits for a permit to run `req` on this target.
    ///
    /// # Errors
    ///
    /// Fails if no permit is granted in time, or if the target has stopped taking new work meanwhile.
    pub(crate) async fn admit(&self, req: &Request) -> Result<Permit, NotRun> {
        let requested_at = self.clock.now();
        let permit = self.admission.acquire_by(req.priority, req.objective, req.deadline).await?;
        self.stats.permit_wait(self.clock.now().saturating_duration_since(requested_at));
        // The target may have stopped taking new work during the wait.
        if self.is_closed_to_new_work() { Err(NotRun::NoPrimary) } else { Ok(permit) }
    }

    /// Sets when the target stops getting new work because it is leaving; `None` if it isn't leaving.
    pub(crate) fn set_work_ends_at(&self, at: Option<BootInstant>) {
        self.work_ends_at.set(at);
    }

    /// Whether the target has been leaving for so long that it gets no new work.
    ///
    /// A leader that leaves serves until it is replaced. If no replacement takes over, statements sent to it would be
    /// lost when it stops. Refusing them in time lets callers know that they did not run.
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

    /// The end of the target's log, as last reported.
    pub(crate) fn point(&self) -> Option<LogPoint> {
        self.point.get()
    }

    pub(crate) fn record_point(&self, point: Option<LogPoint>) {
        if point.is_some() {
            self.point.set(point);
        }
    }

    /// Whether the target is known to have the commit at `point`, applied or only received.
    pub(crate) fn has_commit(&self, point: LogPoint) -> bool {
        let has = |end: LogPoint| end.term == point.term && end.position >= point.position;
        [self.point.get(), self.received.get()].into_iter().flatten().any(has)
    }

    /// Records the end of the log that the target has received; it never shrinks while the same member leads.
    pub(crate) fn record_received(&self, point: LogPoint) {
        self.received.set(self.received.get().max(Some(point)));
    }

    /// Forgets what the target has received, since members drop what a new leader lacks.
    pub(crate) fn forget_received(&self) {
        self.received.set(None);
    }

    /// Forgets how long statements took, since the target's work has changed.
    pub(crate) fn forget_durations(&self) {
        self.mean_us.set(None);
    }

    /// Records that the target answered a check or a statement.
    pub(crate) fn record_response(&self, now: BootInstant) {
        self.missed_checks.set(0);
        self.last_response_at.set(Some(now));
    }

    /// Records that the target answered a check.
    pub(crate) fn record_answered_check(&self, now: BootInstant) {
        self.last_check_at.set(Some(now));
    }

    /// Whether the target answered a check since `instant`.
    pub(crate) fn has_answered_check_since(&self, instant: BootInstant) -> bool {
        self.last_check_at.get().is_some_and(|at| at >= instant)
    }

    /// Records a missed check. Returns whether the target became unresponsive with this check.
    pub(crate) fn record_missed_check(&self) -> bool {
        self.missed_checks.set(self.missed_checks.get().saturating_add(1));
        self.missed_checks.get() == UNRESPONSIVE_AFTER_MISSES
    }

    pub(crate) fn has_missed_checks(&self) -> bool {
        self.missed_checks.get() > 0
    }

    /// Whether the target missed its last checks.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.missed_checks.get() >= UNRESPONSIVE_AFTER_MISSES
    }

    /// Whether the target has answered, and answered its last checks.
    pub(crate) fn is_answering(&self) -> bool {
        self.has_responded() && !self.is_unresponsive()
    }

    /// Whether the target answers and has not announced that it will leave.
    pub(crate) fn is_staying(&self) -> bool {
        self.is_answering() && !self.spec.borrow().leaving
    }

    /// Whether the target answered anything since `instant`.
    pub(crate) fn has_responded_since(&self, instant: BootInstant) -> bool {
        self.last_response_at.get().is_some_and(|at| at >= instant)
    }

    /// Whether the target ever answered anything.
    pub(crate) fn has_responded(&self) -> bool {
        self.last_response_at.get().is_some()
    }

    /// Avoids the target for a short time, after a failure that may be specific to it.
    pub(crate) fn avoid(&self, now: Instant) {
        self.avoid_for(now, AVOID_PERIOD);
    }

    fn avoid_for(&self, now: Instant, time: Duration) {
        self.avoid_until.set(self.avoid_until.get().max(Some(now + time)));
    }

    /// Records whether a statement on the target failed.
    ///
    /// A target may answer each check and still fail many statements. A single failure may be caused by the statement
    /// itself, so the target is avoided only when its score reaches [`AVOID_SCORE`], and twice as long after each further
    /// failure. Reads that try it again show when it has recovered.
    pub(crate) fn record_result(&self, failed: bool, now: Instant) {
        if !failed {
            self.failure_score.set(self.failure_score.get().saturating_sub(SUCCESS_WEIGHT));
            return;
        }
        let failure_score = (self.failure_score.get() + FAILURE_WEIGHT).min(MAX_FAILURE_SCORE);
        self.failure_score.set(failure_score);
        if let Some(excess) = failure_score.checked_sub(AVOID_SCORE) {
            let avoid_period = AVOID_PERIOD * 2u32.pow(excess / FAILURE_WEIGHT);
            self.avoid_for(now, avoid_period);
        }
    }

    pub(crate) fn is_avoided(&self, now: Instant) -> bool {
        self.avoid_until.get().is_some_and(|until| now < until)
    }

    /// Records that the replica reported its log to be behind `point`.
    pub(crate) fn record_behind(&self, point: LogPoint, now: Instant) {
        let last = self.behind.get().filter(|it| now < it.recorded_at + BEHIND_MEMORY);
        let period = last.map_or(BEHIND_PERIOD, |it| (it.period * 2).min(MAX_BEHIND_PERIOD));
        self.behind.set(Some(Behind { point, recorded_at: now, period }));
    }

    pub(crate) fn is_behind(&self, point: LogPoint, now: Instant) -> bool {
        let has_reached = self.point.get().is_some_and(|it| it >= point);
        let is_recent = |it: Behind| point >= it.point && now < it.recorded_at + it.period;
        !has_reached && self.behind.get().is_some_and(is_recent)
    }

    /// Releases a permit after a statement that took `taken`: at once, or after a cooldown while the target is
    /// congested. `usual` is the mean statement time on the fastest target of the group.
    pub(crate) fn release_permit(&self, permit: Permit, taken: Duration, usual: Option<Duration>) {
        let cooldown = pacing::cooldown_after(self.share.get(), taken, self.mean_duration(), usual);
        if cooldown.is_zero() {
            return;
        }
        let until = self.clock.now() + cooldown;
        let clock = Rc::clone(&self.clock);
        let task = async move {
            clock.sleep_until(until).await;
            drop(permit);
        };
        compio::runtime::spawn(task).detach();
    }

    /// Sets the share of the target's slots that this instance uses.
    pub(crate) fn set_share(&self, share: pacing::Share) {
        self.share.set(share);
        self.admission.set_capacity(share.permits());
    }

    /// Counts a statement as in flight until the guard is dropped.
    pub(crate) fn start_statement(self: &Rc<Self>) -> InFlight {
        self.in_flight.set(self.in_flight.get() + 1);
        InFlight { target: Rc::clone(self) }
    }

    /// Adds the duration of a statement to the running mean.
    pub(crate) fn record_duration(&self, took: Duration) {
        let sample = took.as_micros() as u64;
        let mean = self.mean_us.get().unwrap_or(sample);
        self.mean_us.set(Some((mean * (MEAN_DIVISOR - 1) + sample) / MEAN_DIVISOR));
        self.mean_updated_at.set(self.clock.now());
    }

    /// The recent mean duration of statements; `None` before the first.
    pub(crate) fn mean_duration(&self) -> Option<Duration> {
        self.mean_us.get().map(Duration::from_micros)
    }

    /// The mean duration of statements, decayed towards `usual`, the mean on the fastest target of the group.
    ///
    /// The excess over `usual` decays with time, since a target that gets no statements can't show that it is fast
    /// again.
    fn decayed_mean(&self, usual: Duration) -> Duration {
        // Without samples, assume the usual mean, so that a new target gets work and yields samples.
        let mean = self.mean_duration().unwrap_or(usual);
        let passed = self.clock.now().saturating_duration_since(self.mean_updated_at.get());
        let halvings = passed.as_millis() / EXCESS_HALF_LIFE.as_millis();
        let excess = mean.saturating_sub(usual);
        mean.min(usual) + excess / 2u32.pow(halvings.min(MAX_HALVINGS) as u32)
    }

    /// The expected duration of one more statement, including its wait for statements in flight and in the queue.
    ///
    /// Queued statements count too; otherwise a whole burst would go to one target before its first statement is sent.
    pub(crate) fn expected_duration(&self, usual: Duration) -> Duration {
        let pending = self.in_flight.get() + self.admission.queued() as u32;
        let permits = self.admission.capacity();
        let mean = self.decayed_mean(usual);
        mean * (pending / permits + 1) + mean * pending / permits / 4
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.target.in_flight.set(self.target.in_flight.get() - 1);
    }
}
