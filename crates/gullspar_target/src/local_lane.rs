//! A lane to a target whose connections this instance holds.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::within;
use gullspar_group::{GroupWatch, STATUS_QUERY, Settled, WatchGuard, parse_status};
use gullspar_model::{Access, LogPoint, NotRun, Outcome, Term, Unknown};
use gullspar_wire::{LaneUnit, status};

use crate::Pools;
use crate::keyed_request::{self, KeyedStart};
use crate::lane::{Canceller, FrameSink, Lane, LaneError, Unit};
use crate::target_pool::{CheckedOut, TargetPool};
use crate::unit_exchange::{Collector, ExchangeResult, Failure, apply_settings, exchange_messages};

/// What a unit needs in order to run.
struct Admitted {
    watch: WatchGuard,
    pool: Rc<TargetPool>,
    /// Term under which a unit on the primary runs; `None` for a replica.
    term: Option<Term>,
    checked_out: CheckedOut,
}

/// A connection held between the units of a transaction, or of a session that keeps its connection.
struct Pinned {
    checked_out: CheckedOut,
    watch: WatchGuard,
    pool: Rc<TargetPool>,
    term: Option<Term>,
}

/// Identifies the running statement in a cancel request.
#[derive(Clone)]
struct CancelTarget {
    address: SocketAddr,
    key: (i32, i32),
    cancelled: Rc<Cell<bool>>,
}

/// Runs units on connections of this instance's pools.
pub struct LocalLane {
    pools: Rc<Pools>,
    pinned: Option<Pinned>,
    running: Rc<RefCell<Option<CancelTarget>>>,
    /// Created once, since every request needs it.
    canceller: Canceller,
}

impl LocalLane {
    /// Creates a lane that holds no connection.
    pub fn new(pools: Rc<Pools>) -> LocalLane {
        let running = Rc::default();
        let canceller = canceller(&pools, &running);
        LocalLane { pools, pinned: None, running, canceller }
    }

    async fn run_unit(&mut self, unit: &Unit, sink: &mut dyn FrameSink) -> Outcome {
        let clock = Rc::clone(&self.pools.fleet.borders().clock);
        let started = clock.now();
        let deadline = started + Duration::from_millis(unit.head.remaining_ms);
        let in_transaction = unit.head.continues;
        let mut admitted = match self.admit(&unit.head, deadline).await {
            Ok(admitted) => admitted,
            Err(reason) => return Outcome::NotRun(reason),
        };
        let connection = &admitted.checked_out.connection;
        *self.running.borrow_mut() = Some(CancelTarget {
            address: admitted.pool.address(),
            key: connection.cancel_key,
            cancelled: Rc::clone(&connection.cancelled),
        });
        let result = self.exchange(unit, &mut admitted, sink, started, deadline).await;
        *self.running.borrow_mut() = None;
        match result {
            Ok(exchanged) => {
                self.finish_unit(&unit.head, admitted, exchanged, sink, started, deadline).await
            }
            Err(Failure::NotRun(reason)) => Outcome::NotRun(reason),
            // The transaction did not reach its commit. The target rolls it back when the connection
            // ends.
            Err(Failure::Lost(_)) if in_transaction && !unit.head.commits => {
                Outcome::NotRun(NotRun::TransactionLost)
            }
            Err(Failure::Lost(reason)) => Outcome::Unknown(reason),
        }
    }

    async fn admit(&mut self, head: &LaneUnit, deadline: Instant) -> Result<Admitted, NotRun> {
        if head.continues {
            let pinned = self.pinned.take().ok_or(NotRun::TransactionLost)?;
            let Pinned { checked_out, watch, pool, term } = pinned;
            return Ok(Admitted { watch, pool, term, checked_out });
        }
        // The caller has abandoned the pinned connection, whose state is not known.
        self.pinned = None;
        let (watch, pool) = self.pools.pool(&head.group, &head.member)?;
        let watch = watch.guard();
        let term = check_leadership(&watch, head)?;
        if !head.on_primary {
            if watch.is_silent(&head.member) {
                // Connecting to a partitioned target, or waiting for a hung one, would use up the time
                // in which another target could serve the read.
                log::debug!(
                    "G0309 {} of {} is silent; the read was refused",
                    head.member,
                    head.group
                );
                return Err(NotRun::Unreachable);
            }
            let clock = &self.pools.fleet.borders().clock;
            let until = deadline.min(clock.now() + Duration::from_millis(head.requirement.wait_ms));
            let max_age = head.requirement.max_age_ms.map(Duration::from_millis);
            watch.wait_fresh(&head.member, head.requirement.floor, max_age, until).await?;
        }
        let checked_out = pool.check_out(head, deadline).await?;
        Ok(Admitted { watch, pool, term, checked_out })
    }

    async fn exchange(
        &self,
        unit: &Unit,
        admitted: &mut Admitted,
        sink: &mut dyn FrameSink,
        started: Instant,
        deadline: Instant,
    ) -> Result<ExchangeResult, Failure> {
        let head = &unit.head;
        admitted.checked_out.connection.dirty |= head.changes_settings;
        let _slot = if head.continues {
            admitted.pool.slots.acquire_now()
        } else {
            admitted.pool.slots.acquire(head.priority, deadline).await?
        };
        if let (Some(term), false) = (admitted.term, head.continues) {
            // The leader may have changed while the unit was queued.
            check_leadership(&admitted.watch, head)?;
            if head.requirement.confirm {
                admitted.watch.wait_confirmed(term, started, deadline).await?;
            }
        }
        let clock = Rc::clone(&self.pools.fleet.borders().clock);
        let connection = &mut admitted.checked_out.connection;
        // Within a transaction the connection has the session's settings and can't be reset.
        if connection.settings != head.settings && !head.continues {
            let apply = apply_settings(connection, &head.settings);
            let applied = within(&*clock, deadline, apply).await;
            applied.map_err(|_| NotRun::DeadlinePassed)?.map_err(|_| NotRun::Unreachable)?;
        }
        if head.request_key.is_some() && head.commits && !head.continues {
            let run = self.exchange_keyed(unit, connection);
            return within(&*clock, deadline, run)
                .await
                .unwrap_or(Err(Failure::Lost(Unknown::DeadlinePassed)));
        }
        if let (Some(key), true) = (&head.request_key, head.continues) {
            let key = format!("{}/{key}", head.caller);
            let claim = keyed_request::claim_in_transaction(connection, &key, &unit.payload);
            let claimed = within(&*clock, deadline, claim).await;
            let refused = claimed
                .map_err(|_| NotRun::TransactionLost)?
                .map_err(|_| NotRun::TransactionLost)?;
            if let Some(report) = refused {
                let mut held = BytesMut::new();
                report.encode(&mut held);
                let (status, error) = (status::FAILED, Some(report.code));
                return Ok(ExchangeResult { held, status, error, ..ExchangeResult::default() });
            }
        }
        let run = exchange_messages(unit, connection, sink);
        within(&*clock, deadline, run).await.unwrap_or(Err(Failure::Lost(Unknown::DeadlinePassed)))
    }

    /// Runs a request that must run at most once, in the transaction that writes its key.
    async fn exchange_keyed(
        &self,
        unit: &Unit,
        connection: &mut crate::TargetConnection,
    ) -> Result<ExchangeResult, Failure> {
        let lost = |_| Failure::Lost(Unknown::ConnectionLost);
        let Some(key) = unit.head.request_key.as_deref() else {
            return Err(Failure::NotRun(NotRun::Unreachable));
        };
        let key = format!("{}/{key}", unit.head.caller);
        let start = keyed_request::start(connection, &key, &unit.payload).await;
        let mut exchanged = match start.map_err(|_| NotRun::ConnectionLost)? {
            KeyedStart::First => {
                let mut collected = Collector::default();
                let mut exchanged = exchange_messages(unit, connection, &mut collected).await?;
                let mut answer = collected.bytes;
                answer.extend_from_slice(&exchanged.held);
                exchanged.held = if exchanged.error.is_none() {
                    keyed_request::finish(connection, &key, &answer).await.map_err(lost)?;
                    answer
                } else {
                    connection.channel.query("ROLLBACK").await.map_err(lost)?;
                    answer
                };
                exchanged
            }
            KeyedStart::Repeated { answer } => {
                ExchangeResult { held: answer, holding: true, ..ExchangeResult::default() }
            }
            KeyedStart::Refused(report) => {
                let mut held = BytesMut::new();
                report.encode(&mut held);
                let error = Some(report.code);
                ExchangeResult { held, holding: true, error, ..ExchangeResult::default() }
            }
        };
        exchanged.status = status::IDLE;
        let rows = connection.channel.query(STATUS_QUERY).await.map_err(lost)?;
        exchanged.after = rows.first().and_then(parse_status);
        Ok(exchanged)
    }

    async fn finish_unit(
        &mut self,
        head: &LaneUnit,
        admitted: Admitted,
        exchanged: ExchangeResult,
        sink: &mut dyn FrameSink,
        started: Instant,
        deadline: Instant,
    ) -> Outcome {
        let Admitted { watch, pool, term, checked_out } = admitted;
        if let Some(outcome) = refused_by_target(head, &exchanged) {
            return outcome;
        }
        // The connection is returned before waiting for the acknowledgement, so that others can use
        // it, unless the transaction or the session keeps it.
        let pinned = exchanged.status != status::IDLE || head.keep_connection;
        if pinned {
            self.pinned = Some(Pinned { checked_out, watch: watch.guard(), pool, term });
        } else {
            checked_out.check_in();
        }
        let mut point = None;
        if head.acknowledge && exchanged.status == status::IDLE && exchanged.error.is_none() {
            match settle(&watch, &exchanged, term, deadline).await {
                Settled::Acknowledged(acknowledged) => point = Some(acknowledged),
                Settled::Undone => return Outcome::NotRun(NotRun::Undone),
                Settled::Unknown(reason) => return Outcome::Unknown(reason),
            }
        }
        let age_ms = if head.on_primary {
            None
        } else {
            watch.age(&head.member).map(|it| {
                let elapsed = watch.elapsed(started);
                (it + elapsed).as_millis() as u64
            })
        };
        if sink.push(&exchanged.held).await.is_err() {
            // The caller has disconnected, so the transaction can't continue.
            self.pinned = None;
        }
        Outcome::Done { status: exchanged.status, point, age_ms }
    }
}

/// Checks that a unit may run on this member.
///
/// Returns the leader's term for a unit on the primary, and `None` for one on a replica.
///
/// # Errors
///
/// Fails if the member is not the group's leader, if its leadership is not confirmed as the unit
/// requires, or, for a write, if no majority has answered recently.
fn check_leadership(watch: &GroupWatch, head: &LaneUnit) -> Result<Option<Term>, NotRun> {
    if !head.on_primary {
        return Ok(None);
    }
    let leader = watch.leader().ok_or(NotRun::NoPrimary)?;
    let is_primary = watch
        .view(&head.member)
        .and_then(|it| it.status)
        .is_some_and(|it| it.is_primary_in(leader.term));
    if leader.member != head.member || !is_primary {
        return Err(NotRun::NotPrimary);
    }
    if head.requirement.floor.is_some_and(|it| it.term > leader.term) {
        // The session has seen a newer leader than the one that this instance knows.
        return Err(NotRun::NotPrimary);
    }
    if let Some(max_age_ms) = head.requirement.max_age_ms
        && !watch.confirmed_within(leader.term, Duration::from_millis(max_age_ms))
    {
        // A superseded primary may still answer, with data older than the unit allows.
        return Err(NotRun::NoMajority);
    }
    if head.access == Access::Write && !watch.has_responsive_majority(leader.term) {
        // Without a majority the write could take effect but not be acknowledged. Refusing it gives
        // the caller a definite outcome.
        return Err(NotRun::NoMajority);
    }
    Ok(Some(leader.term))
}

/// Returns the outcome if the target's error says that the unit did not run.
fn refused_by_target(head: &LaneUnit, exchanged: &ExchangeResult) -> Option<Outcome> {
    /// SQLSTATEs of a target that refuses a statement without running it, because it is read-only,
    /// shutting down or starting up.
    const REFUSED_BEFORE_RUNNING: [&str; 4] = ["25006", "57P01", "57P02", "57P03"];
    let code = exchanged.error.as_deref()?;
    if !head.on_primary || !REFUSED_BEFORE_RUNNING.contains(&code) {
        return None;
    }
    let reason = if head.continues { NotRun::TransactionLost } else { NotRun::NotPrimary };
    Some(Outcome::NotRun(reason))
}

/// Waits until the log position that a unit reached on a primary is acknowledged or undone.
async fn settle(
    watch: &GroupWatch,
    exchanged: &ExchangeResult,
    term: Option<Term>,
    deadline: Instant,
) -> Settled {
    let (Some(after), Some(term)) = (exchanged.after, term) else {
        return Settled::Unknown(Unknown::Superseded);
    };
    if !after.is_primary_in(term) {
        // The member was fenced between the commit and the status query, so the reported position
        // does not say whether the log contains the commit.
        return Settled::Unknown(Unknown::Superseded);
    }
    watch.settle(LogPoint { term, position: after.position }, deadline).await
}

impl Lane for LocalLane {
    fn run<'a>(
        &'a mut self,
        unit: &'a Unit,
        sink: &'a mut dyn FrameSink,
    ) -> LocalBoxFuture<'a, Result<Outcome, LaneError>> {
        async move { Ok(self.run_unit(unit, sink).await) }.boxed_local()
    }

    fn is_responsive(&mut self, _: Instant) -> LocalBoxFuture<'_, bool> {
        std::future::ready(true).boxed_local()
    }

    fn is_usable(&self) -> bool {
        true
    }

    fn canceller(&self) -> Canceller {
        Rc::clone(&self.canceller)
    }
}

/// Creates a function that cancels the statement in `running` at the time of the call.
fn canceller(pools: &Pools, running: &Rc<RefCell<Option<CancelTarget>>>) -> Canceller {
    let running = Rc::clone(running);
    let borders = pools.fleet.borders().clone();
    Rc::new(move || {
        let Some(running) = running.borrow().clone() else { return };
        // The target may process the request late, so the connection must not serve another caller.
        running.cancelled.set(true);
        let borders = borders.clone();
        compio::runtime::spawn(async move {
            let deadline = borders.clock.now() + Duration::from_secs(1);
            let Ok(mut link) = borders.dialer.dial(running.address, deadline).await else {
                return;
            };
            let message = gullspar_wire::cancel_request(running.key);
            // A cancel request has no answer; if it is lost, the statement keeps running.
            let _ = within(&*borders.clock, deadline, link.send(message)).await;
        })
        .detach();
    })
}
