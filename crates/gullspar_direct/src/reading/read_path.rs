//! Reads outside of transactions.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use futures::channel::mpsc;
use futures::future::Either;
use futures::{StreamExt, future};
use gullspar_border::{DeadlinePassed, within};
use gullspar_model::{LogPoint, MemberName, NotRun};
use gullspar_statement::{Answer, Failure, TransactionStatus};

use crate::groups::group::Group;
use crate::reading::target_selection::{self, ReadCriteria};
use crate::session::refusal;
use crate::session::request::Request;
use crate::session::trace::Trace;
use crate::targets::attempt::{AttemptContext, AttemptOutcome};
use crate::targets::target::Target;
use crate::{Freshness, Proxy};

/// Delay before a read selects a target again if none could serve it.
const RESELECT_DELAY: Duration = Duration::from_millis(25);

/// Subtracted from the allowed age to cover the time from choosing the point until the target checks it.
const AGE_MARGIN: Duration = Duration::from_millis(60);

/// Maximum concurrent attempts of one read. With three, the leader can still serve a read that two replicas don't
/// answer.
const MAX_CONCURRENT_ATTEMPTS: usize = 3;

/// A running attempt of a read.
struct ReadAttempt {
    member: MemberName,
    /// When the attempt started, or was last checked while it waited for its permit.
    checked_at: Cell<Instant>,
    /// When the attempt got its permit; the target may run the statement from then on.
    sent_at: Cell<Option<Instant>>,
    is_withdrawn: Cell<bool>,
    withdraw: Event,
}

impl ReadAttempt {
    /// When to check next whether another attempt is due.
    fn next_check_at(&self, hedge_delay: Duration) -> Instant {
        self.sent_at.get().unwrap_or(self.checked_at.get()) + hedge_delay
    }
}

/// The target selected for a statement.
pub(crate) struct SelectedTarget {
    pub(crate) target: Rc<Target>,
    /// The point that the target must have reached; `None` on the leader.
    pub(crate) at_least: Option<LogPoint>,
    /// The age of the position sample behind that point.
    pub(crate) sample_age: Option<Duration>,
}

impl SelectedTarget {
    /// Records the target in `trace` as the next attempt.
    pub(crate) fn record_in(&self, trace: &mut Trace) {
        trace.member = Some(self.target.member());
        trace.on_leader = self.at_least.is_none();
        trace.at_least = self.at_least;
        trace.sample_age_ms = self.sample_age.map(|it| it.as_millis() as u64);
        trace.tries += 1;
    }
}

/// The point that a replica must have reached, and the age of the position sample behind it.
pub(crate) struct RequiredPoint {
    pub(crate) point: LogPoint,
    pub(crate) sample_age: Duration,
}

impl Proxy {
    /// Runs a read outside of a transaction, with further attempts on other targets until one answers or the deadline
    /// passes.
    pub(crate) async fn read(
        self: &Rc<Self>,
        group: &Rc<Group>,
        req: &Rc<Request>,
        trace: &mut Trace,
    ) -> Answer {
        let clock = Rc::clone(&self.borders.clock);
        let (tx, mut rx) = mpsc::unbounded();
        let mut tried: Vec<MemberName> = Vec::new();
        let mut running: Vec<Rc<ReadAttempt>> = Vec::new();
        let mut last_reason = NotRun::NoPrimary;
        let mut failed = None;
        let mut is_another_due = true;
        while clock.now() < req.deadline {
            if is_another_due && running.len() < MAX_CONCURRENT_ATTEMPTS {
                if let Some(selected) = self.select_read_target(group, req, &tried) {
                    tried.push(selected.target.member());
                    selected.record_in(trace);
                    if trace.tries > 1 {
                        self.consume_retry_token(req.customer.as_ref());
                    }
                    running.push(self.spawn_attempt(group, req, selected, tx.clone()));
                    is_another_due = false;
                } else if running.is_empty() {
                    if self.should_fail_fast(group) {
                        break;
                    }
                    // No target can serve the read at present.
                    tried.clear();
                    let pause = (clock.now() + RESELECT_DELAY).min(req.deadline);
                    let _ = within(&*clock, pause, group.listen()).await;
                    continue;
                }
            }
            let newest = running.last().filter(|_| !is_another_due);
            let until = newest.map_or(req.deadline, |it| it.next_check_at(req.hedge_delay));
            let Ok((finished, outcome)) =
                next_outcome(&*clock, &mut rx, until.min(req.deadline)).await
            else {
                if let Some(newest) = running.last() {
                    is_another_due = self.is_another_attempt_due(group, req, &tried, newest);
                }
                continue;
            };
            running.retain(|it| !Rc::ptr_eq(it, &finished));
            is_another_due = true;
            match outcome {
                AttemptOutcome::Answered(answer) => {
                    let retry = answer.result.as_ref().is_err_and(Failure::has_failed_on_target);
                    if !retry || failed.is_some() {
                        return answer;
                    }
                    failed = Some(answer);
                }
                AttemptOutcome::NotRun(reason) => last_reason = reason,
                AttemptOutcome::Refused(reason) => {
                    last_reason = reason;
                    if running.is_empty() && self.select_read_target(group, req, &tried).is_none() {
                        break;
                    }
                }
                AttemptOutcome::Lost | AttemptOutcome::Silent => {}
            }
        }
        if let Some(answer) = failed {
            return answer;
        }
        let was_sent = running.iter().any(|it| it.sent_at.get().is_some());
        let failure = if was_sent { refusal::timed_out() } else { refusal::not_run(last_reason) };
        log::info!(request = req.id.as_str(), group = group.name.as_str(), reason = failure.text.as_str(), running = running.len(); "G0721 giving up on a read");
        Answer::failed(failure, TransactionStatus::Idle)
    }

    /// Whether another attempt is due in addition to `newest`.
    ///
    /// Another attempt is due if `newest` was sent and has no answer after the hedge delay. If `newest` still waits for
    /// its permit, no attempt is added, since overloaded targets would then run the read twice; instead, `newest` is
    /// withdrawn if another target is now the better choice.
    fn is_another_attempt_due(
        &self,
        group: &Group,
        req: &Request,
        tried: &[MemberName],
        newest: &ReadAttempt,
    ) -> bool {
        let now = self.borders.clock.now();
        if newest.sent_at.get().is_some() {
            return now >= newest.next_check_at(req.hedge_delay);
        }
        newest.checked_at.set(now);
        let others: Vec<MemberName> =
            tried.iter().filter(|it| **it != newest.member).cloned().collect();
        let better_target = self
            .select_read_target(group, req, &others)
            .filter(|it| it.target.member() != newest.member);
        if better_target.is_some() {
            newest.is_withdrawn.set(true);
            newest.withdraw.notify(usize::MAX);
        }
        false
    }

    /// Selects the best target for a read; `None` if no target can serve it now.
    pub(crate) fn select_read_target(
        &self,
        group: &Group,
        req: &Request,
        tried: &[MemberName],
    ) -> Option<SelectedTarget> {
        let required = self.required_point(group, req);
        let criteria = ReadCriteria {
            at_least: required.as_ref().map(|it| it.point),
            tried,
            own_data_centre: &self.own.data_centre,
            customer: req.customer.as_ref(),
            now: self.borders.clock.now(),
            boot_now: self.borders.clock.boot_now(),
        };
        let target = target_selection::select(group, &criteria)?;
        let required = if group.is_leader(&target.member()) { None } else { required };
        Some(SelectedTarget {
            target,
            at_least: required.as_ref().map(|it| it.point),
            sample_age: required.map(|it| it.sample_age),
        })
    }

    /// The point that a replica must have reached to serve `req`; `None` if only the leader can.
    pub(crate) fn required_point(&self, group: &Group, req: &Request) -> Option<RequiredPoint> {
        let max_age = req.freshness.max_age()?.saturating_sub(AGE_MARGIN);
        let now = self.borders.clock.boot_now();
        let sample = group.position_sample_within(now, max_age)?;
        let own_commit = match req.freshness {
            Freshness::OwnWrites { .. } => req.own_commit,
            Freshness::Latest | Freshness::MaxAge { .. } => None,
        };
        let point = own_commit.map_or(sample.point, |it| it.max(sample.point));
        Some(RequiredPoint { point, sample_age: now.since(sample.requested_at) })
    }

    fn spawn_attempt(
        self: &Rc<Self>,
        group: &Rc<Group>,
        req: &Rc<Request>,
        selected: SelectedTarget,
        tx: mpsc::UnboundedSender<(Rc<ReadAttempt>, AttemptOutcome)>,
    ) -> Rc<ReadAttempt> {
        let (this, group, req) = (Rc::clone(self), Rc::clone(group), Rc::clone(req));
        let attempt = Rc::new(ReadAttempt {
            member: selected.target.member(),
            checked_at: Cell::new(this.borders.clock.now()),
            sent_at: Cell::new(None),
            is_withdrawn: Cell::new(false),
            withdraw: Event::new(),
        });
        let running = Rc::clone(&attempt);
        let task = async move {
            let outcome = this.run_attempt(&group, &req, selected, &running, &tx).await;
            // The receiver is gone if the read has its answer or has given up; the outcome is then dropped.
            let _ = tx.unbounded_send((running, outcome));
        };
        compio::runtime::spawn(task).detach();
        attempt
    }

    async fn run_attempt(
        &self,
        group: &Rc<Group>,
        req: &Request,
        selected: SelectedTarget,
        attempt: &ReadAttempt,
        tx: &mpsc::UnboundedSender<(Rc<ReadAttempt>, AttemptOutcome)>,
    ) -> AttemptOutcome {
        let target = selected.target;
        let withdraw = attempt.withdraw.listen();
        let admitted = {
            let admit = target.admit(req);
            futures::pin_mut!(admit);
            match future::select(admit, withdraw).await {
                Either::Left((admitted, _)) => admitted,
                Either::Right(_) => {
                    return AttemptOutcome::NotRun(NotRun::Overloaded { retry_after_ms: 0 });
                }
            }
        };
        let permit = match admitted {
            Ok(permit) => permit,
            Err(reason) => return AttemptOutcome::Refused(reason),
        };
        if tx.is_closed() || attempt.is_withdrawn.get() {
            return AttemptOutcome::NotRun(NotRun::DeadlinePassed);
        }
        attempt.sent_at.set(Some(self.borders.clock.now()));
        let context = AttemptContext {
            borders: self.borders.clone(),
            group: Rc::clone(group),
            target: Rc::clone(&target),
        };
        match selected.at_least {
            None => context.read_on_leader(req, permit).await,
            Some(_) => match self.required_point(group, req) {
                Some(required) => context.read_on_replica(req, permit, required.point).await,
                None => AttemptOutcome::NotRun(NotRun::Behind),
            },
        }
    }
}

async fn next_outcome(
    clock: &dyn gullspar_border::Clock,
    rx: &mut mpsc::UnboundedReceiver<(Rc<ReadAttempt>, AttemptOutcome)>,
    until: Instant,
) -> Result<(Rc<ReadAttempt>, AttemptOutcome), DeadlinePassed> {
    match within(clock, until, rx.next()).await? {
        Some(outcome) => Ok(outcome),
        // The calling function holds a sender, so the channel can't be closed.
        None => future::pending().await,
    }
}
