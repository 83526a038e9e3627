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
use crate::reading::placing::{self, Wanted};
use crate::session::refusal;
use crate::session::request::Request;
use crate::session::trace::Trace;
use crate::targets::attempt::{End, Surroundings};
use crate::targets::target::Target;
use crate::{Freshness, Proxy};

/// Pause before a read looks again for a target when none can serve it.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// Part of the allowed age that is not used, for the time that passes between choosing the point and
/// the target's checking it.
const AGE_MARGIN: Duration = Duration::from_millis(60);

/// Tries of one read at the same time. Two replicas may be silent while the leader could serve it; more
/// would only multiply the load.
const TRIES_AT_ONCE: usize = 3;

/// One try of a read, while it runs.
struct Try {
    member: MemberName,
    /// When it was begun, or last looked at while it waited for its place.
    looked_at: Cell<Instant>,
    /// When it got its place; from then on it may run.
    sent_at: Cell<Option<Instant>>,
    withdrawn: Cell<bool>,
    withdraw: Event,
}

impl Try {
    /// When to look whether another try is due.
    fn look_at(&self, patience: Duration) -> Instant {
        self.sent_at.get().unwrap_or(self.looked_at.get()) + patience
    }
}

/// Where a read goes.
pub(crate) struct Place {
    pub(crate) target: Rc<Target>,
    /// `Some` on a replica: the point that it must have reached.
    pub(crate) at_least: Option<LogPoint>,
    /// How old the reading behind that point is.
    pub(crate) reading_age: Option<Duration>,
}

impl Place {
    /// Notes the place as the next try.
    pub(crate) fn note(&self, trace: &mut Trace) {
        trace.member = Some(self.target.member());
        trace.on_leader = self.at_least.is_none();
        trace.at_least = self.at_least;
        trace.reading_age_ms = self.reading_age.map(|it| it.as_millis() as u64);
        trace.tries += 1;
    }
}

/// The point that a replica must have reached, and the age of the reading that says so.
pub(crate) struct Needed {
    pub(crate) point: LogPoint,
    pub(crate) reading_age: Duration,
}

impl Proxy {
    /// Runs a read outside of a transaction.
    pub(crate) async fn read(
        self: &Rc<Self>,
        group: &Rc<Group>,
        req: &Rc<Request>,
        trace: &mut Trace,
    ) -> Answer {
        let clock = Rc::clone(&self.borders.clock);
        let (tx, mut rx) = mpsc::unbounded();
        let mut tried: Vec<MemberName> = Vec::new();
        let mut running: Vec<Rc<Try>> = Vec::new();
        let mut last = NotRun::NoPrimary;
        let mut failed = None;
        let mut another_due = true;
        while clock.now() < req.deadline {
            if another_due && running.len() < TRIES_AT_ONCE {
                if let Some(place) = self.place(group, req, &tried) {
                    tried.push(place.target.member());
                    place.note(trace);
                    if trace.tries > 1 {
                        self.consume_retry_token(req.customer.as_ref());
                    }
                    running.push(self.spawn_try(group, req, place, tx.clone()));
                    another_due = false;
                } else if running.is_empty() {
                    if self.should_fail_fast(group) {
                        break;
                    }
                    // Nothing can serve it at this moment.
                    tried.clear();
                    let pause = (clock.now() + LOOK_AGAIN).min(req.deadline);
                    let _ = within(&*clock, pause, group.listen()).await;
                    continue;
                }
            }
            let newest = running.last().filter(|_| !another_due);
            let until = newest.map_or(req.deadline, |it| it.look_at(req.patience));
            let Ok((ended, end)) = next_end(&*clock, &mut rx, until.min(req.deadline)).await else {
                if let Some(newest) = running.last() {
                    another_due = self.another_is_due(group, req, &tried, newest);
                }
                continue;
            };
            running.retain(|it| !Rc::ptr_eq(it, &ended));
            another_due = true;
            match end {
                End::Answered(answer) => {
                    let retry = answer.result.as_ref().is_err_and(Failure::failed_there);
                    if !retry || failed.is_some() {
                        return answer;
                    }
                    failed = Some(answer);
                }
                End::NotRun(reason) => last = reason,
                End::Refused(reason) => {
                    last = reason;
                    if running.is_empty() && self.place(group, req, &tried).is_none() {
                        break;
                    }
                }
                End::Lost | End::Silent => {}
            }
        }
        if let Some(answer) = failed {
            return answer;
        }
        let sent = running.iter().any(|it| it.sent_at.get().is_some());
        let failure = if sent { refusal::timed_out() } else { refusal::not_run(last) };
        log::info!(request = req.id.as_str(), group = group.name.as_str(), reason = failure.text.as_str(), running = running.len(); "G0721 a read is given up");
        Answer::failed(failure, TransactionStatus::Idle)
    }

    /// Whether another try is due beside `newest`, whose time to be looked at has come.
    ///
    /// One that was sent and is silent gets another beside it. One that still waits for its place here is
    /// withdrawn if another target is the better choice by now, and stays otherwise: beside it, the same
    /// read would stand in two queues and be run twice, just when targets have too much to do.
    fn another_is_due(
        &self,
        group: &Group,
        req: &Request,
        tried: &[MemberName],
        newest: &Try,
    ) -> bool {
        let now = self.borders.clock.now();
        if newest.sent_at.get().is_some() {
            return now >= newest.look_at(req.patience);
        }
        newest.looked_at.set(now);
        let others: Vec<MemberName> =
            tried.iter().filter(|it| **it != newest.member).cloned().collect();
        let better =
            self.place(group, req, &others).filter(|it| it.target.member() != newest.member);
        if better.is_some() {
            newest.withdrawn.set(true);
            newest.withdraw.notify(usize::MAX);
        }
        false
    }

    /// The best place for a read now.
    pub(crate) fn place(
        &self,
        group: &Group,
        req: &Request,
        tried: &[MemberName],
    ) -> Option<Place> {
        let needed = self.needed_point(group, req);
        let wanted = Wanted {
            at_least: needed.as_ref().map(|it| it.point),
            tried,
            own: &self.own.data_centre,
            customer: req.customer.as_ref(),
            now: self.borders.clock.now(),
        };
        let target = placing::choose(group, &wanted)?;
        let needed = if group.is_leader(&target.member()) { None } else { needed };
        Some(Place {
            target,
            at_least: needed.as_ref().map(|it| it.point),
            reading_age: needed.map(|it| it.reading_age),
        })
    }

    /// The point that a replica must have reached to serve `req`; `None` if only the leader can.
    pub(crate) fn needed_point(&self, group: &Group, req: &Request) -> Option<Needed> {
        let max_age = req.freshness.max_age()?.saturating_sub(AGE_MARGIN);
        let now = self.borders.clock.boot_now();
        let reading = group.reading_within(now, max_age)?;
        let own = match req.freshness {
            Freshness::OwnWrites { .. } => req.own_commit,
            Freshness::Latest | Freshness::MaxAge { .. } => None,
        };
        let point = own.map_or(reading.point, |it| it.max(reading.point));
        Some(Needed { point, reading_age: now.since(reading.begun) })
    }

    fn spawn_try(
        self: &Rc<Self>,
        group: &Rc<Group>,
        req: &Rc<Request>,
        place: Place,
        tx: mpsc::UnboundedSender<(Rc<Try>, End)>,
    ) -> Rc<Try> {
        let (this, group, req) = (Rc::clone(self), Rc::clone(group), Rc::clone(req));
        let own = Rc::new(Try {
            member: place.target.member(),
            looked_at: Cell::new(this.borders.clock.now()),
            sent_at: Cell::new(None),
            withdrawn: Cell::new(false),
            withdraw: Event::new(),
        });
        let tried = Rc::clone(&own);
        let task = async move {
            let end = this.try_read(&group, &req, place, &tried, &tx).await;
            // Nobody waits if another try was faster; the connection is back in its pool all the same.
            let _ = tx.unbounded_send((tried, end));
        };
        compio::runtime::spawn(task).detach();
        own
    }

    async fn try_read(
        &self,
        group: &Rc<Group>,
        req: &Request,
        place: Place,
        own: &Try,
        tx: &mpsc::UnboundedSender<(Rc<Try>, End)>,
    ) -> End {
        let target = place.target;
        let withdraw = own.withdraw.listen();
        let admitted = {
            let admit = target.admit(req);
            futures::pin_mut!(admit);
            match future::select(admit, withdraw).await {
                Either::Left((admitted, _)) => admitted,
                Either::Right(_) => return End::NotRun(NotRun::Overloaded { retry_after_ms: 0 }),
            }
        };
        let permit = match admitted {
            Ok(permit) => permit,
            Err(reason) => return End::Refused(reason),
        };
        if tx.is_closed() || own.withdrawn.get() {
            return End::NotRun(NotRun::DeadlinePassed);
        }
        own.sent_at.set(Some(self.borders.clock.now()));
        let around = Surroundings {
            borders: self.borders.clone(),
            group: Rc::clone(group),
            target: Rc::clone(&target),
        };
        match place.at_least {
            None => around.read_on_leader(req, permit).await,
            Some(_) => match self.needed_point(group, req) {
                Some(needed) => around.read_on_replica(req, permit, needed.point).await,
                None => End::NotRun(NotRun::Behind),
            },
        }
    }
}

async fn next_end(
    clock: &dyn gullspar_border::Clock,
    rx: &mut mpsc::UnboundedReceiver<(Rc<Try>, End)>,
    until: Instant,
) -> Result<(Rc<Try>, End), DeadlinePassed> {
    match within(clock, until, rx.next()).await? {
        Some(end) => Ok(end),
        // A sender is held while waiting, so that the channel can't have ended.
        None => future::pending().await,
    }
}
