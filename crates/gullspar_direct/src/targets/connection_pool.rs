//! The connections of this instance to one target.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use arcstr::ArcStr;
use event_listener::Event;
use gullspar_border::{Clock, Entropy, within};
use gullspar_model::{CustomerName, NotRun};
use gullspar_statement::{FailureCode, OpenError, TargetDialer, TargetSpec};

use crate::targets::dial_throttle::DialThrottle;
use crate::targets::idle_connections::{IdleConnection, IdleConnections};
use crate::targets::pooled_connection::PooledConnection;
use crate::{Borders, Stats};

/// How long opening a connection may take, its handshake included.
///
/// Handshakes are short and queue for a slot; a target that needs longer is as good as away.
const OPEN_WITHIN: Duration = Duration::from_millis(600);

/// How long a connection of our own may take to come back before another one is opened.
///
/// A read on a leader ends with a rollback, which is answered a moment after the caller has its answer. A statement
/// that comes in between would open another connection, and that takes a slot for longer than this.
const RETURN_WITHIN: Duration = Duration::from_millis(4);

/// The part of an instance's connections that may lie idle, in percent.
///
/// A target keeps the connections of instances that lost power for three seconds. Unless half of what it takes is free,
/// those that start again meanwhile are refused, and so is whoever takes the place of an instance that leaves.
const KEPT_PERCENT: u32 = 50;

/// Connections beyond the share that a burst may open; seldom all instances have one at once.
const BURST: u32 = 1;

/// Connections being opened at the same time. Each takes one of the target's few slots, so that opening many keeps the
/// target from the statements that they are opened for.
const MOST_DIALS: u32 = 2;

/// How long a check may wait for a connection that statements open.
const CHECK_WAITS: Duration = Duration::from_millis(50);

/// Connections to one target, open or idle, each for one customer.
pub(crate) struct ConnectionPool {
    clock: Rc<dyn Clock>,
    entropy: Rc<dyn Entropy>,
    dialer: Rc<dyn TargetDialer>,
    stats: Rc<Stats>,
    idle: IdleConnections,
    open: Cell<u32>,
    share: Cell<u32>,
    stays: Cell<bool>,
    /// Connections in use, by customer.
    in_use: RefCell<BTreeMap<Option<CustomerName>, u32>>,
    dials: Cell<u32>,
    pace: DialThrottle,
    /// Who had a connection last.
    last_customer: RefCell<Option<CustomerName>>,
    freed: Event,
    closed: Cell<bool>,
}

/// A connection in use; dropped without being given back it is closed, which rolls back.
pub(crate) struct Lease {
    pool: Rc<ConnectionPool>,
    customer: Option<CustomerName>,
    connection: Option<PooledConnection>,
    /// When the connection was last in use for a caller, for one that is not in use for a caller now.
    idle_since: Option<Instant>,
    /// It is idle in the pool again and stays open.
    kept: bool,
}

/// A connection being opened.
struct Dial<'a> {
    pool: &'a ConnectionPool,
}

impl Drop for Dial<'_> {
    fn drop(&mut self) {
        self.pool.dials.set(self.pool.dials.get() - 1);
        self.pool.freed.notify(usize::MAX);
    }
}

impl ConnectionPool {
    pub(crate) fn new(borders: &Borders) -> Rc<ConnectionPool> {
        Rc::new(ConnectionPool {
            clock: Rc::clone(&borders.clock),
            entropy: Rc::clone(&borders.entropy),
            dialer: Rc::clone(&borders.dialer),
            stats: Rc::clone(&borders.stats),
            idle: IdleConnections::default(),
            open: Cell::new(0),
            share: Cell::new(1),
            stays: Cell::new(true),
            in_use: RefCell::default(),
            dials: Cell::new(0),
            pace: DialThrottle::default(),
            last_customer: RefCell::default(),
            freed: Event::new(),
            closed: Cell::new(false),
        })
    }

    /// Sets how many connections this instance may keep.
    pub(crate) fn set_share(&self, share: u32) {
        self.share.set(share.max(1));
    }

    /// Closes what is idle and keeps nothing from now on.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.close_idle();
    }

    /// Closes all idle connections, as when the target went dark: they would only be found silent.
    pub(crate) fn close_idle(&self) {
        self.note_closed(self.idle.clear());
        self.freed.notify(usize::MAX);
    }

    /// Closes idle connections that nobody wanted for a while.
    pub(crate) fn close_surplus(&self) {
        self.note_closed(self.idle.close_surplus(self.kept_idle(), self.clock.now()));
    }

    fn note_closed(&self, closed: u32) {
        self.open.set(self.open.get() - closed);
    }

    /// What a statement of `customer` is expected to wait for a connection here.
    pub(crate) fn opening_cost(&self, customer: &CustomerName) -> Duration {
        if self.idle.has(customer) { Duration::ZERO } else { self.pace.usual_dial() }
    }

    /// Takes a connection for a check; `None` if all are in use by statements, which tell as much.
    pub(crate) async fn acquire_for_check(
        self: &Rc<Self>,
        spec: &TargetSpec,
        even_if_busy: bool,
        deadline: Instant,
    ) -> Option<Result<Lease, NotRun>> {
        if let Some(idle) = self.take_quiet(IdleConnections::take_oldest) {
            return Some(Ok(self.lease(idle, true)));
        }
        if self.open.get() > 0 && !even_if_busy {
            return None;
        }
        // Callers of this customer are the likeliest to come next and use it.
        let customer = self.last_customer.borrow().clone();
        let wait_until = (self.clock.now() + CHECK_WAITS).min(deadline);
        while self.dials.get() >= MOST_DIALS && self.clock.now() < wait_until {
            // Either way it is looked at again.
            let _ = within(&*self.clock, wait_until, self.freed.listen()).await;
        }
        Some(self.dial(spec, customer, deadline).await)
    }

    /// Takes a connection of `customer`, one that holds `values` already if there is one.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        spec: &TargetSpec,
        customer: &Option<CustomerName>,
        values: &BTreeMap<ArcStr, ArcStr>,
        deadline: Instant,
    ) -> Result<Lease, NotRun> {
        self.last_customer.borrow_mut().clone_from(customer);
        let mut may_come_back = self.in_use.borrow().contains_key(customer);
        loop {
            if let Some(idle) = self.take_quiet(|it| it.take(customer, values)) {
                return Ok(self.lease(idle, false));
            }
            let freed = self.freed.listen();
            let now = self.clock.now();
            if std::mem::take(&mut may_come_back) {
                let until = (now + RETURN_WITHIN).min(deadline);
                // Either way the idle ones are looked at again.
                let _ = within(&*self.clock, until, freed).await;
                continue;
            }
            if self.dials.get() < MOST_DIALS && self.makes_room(now) {
                match self.dial(spec, customer.clone(), deadline).await {
                    Ok(lease) => return Ok(lease),
                    // Another connection of ours may come back before the target takes a new one.
                    Err(NotRun::Overloaded { .. }) => {}
                    Err(reason) => return Err(reason),
                }
            } else {
                let due = self.pace.due().filter(|it| *it > now);
                let until = due.map_or(deadline, |it| it.min(deadline));
                let _ = within(&*self.clock, until, freed).await;
            }
            if self.clock.now() >= deadline {
                return Err(NotRun::Overloaded { retry_after_ms: 100 });
            }
        }
    }

    /// Whether another connection may be opened now; closes those of other customers for it that are worth least.
    ///
    /// A target that is full takes one in place of one that is closed.
    fn makes_room(&self, now: Instant) -> bool {
        while self.idle.len() >= self.kept_idle() {
            if !self.close_for_another() {
                break;
            }
        }
        let most = self.pace.most(self.share.get() + BURST, now);
        let is_due = self.pace.due().is_none_or(|it| now >= it);
        (is_due && self.open.get() < most) || self.close_for_another()
    }

    fn close_for_another(&self) -> bool {
        let Some(closed) = self.idle.take_oldest() else { return false };
        drop(closed);
        self.note_closed(1);
        self.stats.connection("closed_for_another");
        true
    }

    /// Sets whether this instance is to serve the target's callers for long; if not, others need the room.
    pub(crate) fn set_long_term(&self, stays: bool) {
        self.stays.set(stays);
    }

    /// How many connections may lie idle.
    fn kept_idle(&self) -> usize {
        if !self.stays.get() {
            return 1;
        }
        (self.share.get() * KEPT_PERCENT / 100).max(1) as usize
    }

    /// Takes an idle connection by `take`; those that the target closed meanwhile are dropped.
    fn take_quiet(
        &self,
        take: impl Fn(&IdleConnections) -> Option<IdleConnection>,
    ) -> Option<IdleConnection> {
        loop {
            let idle = take(&self.idle)?;
            if idle.connection.is_quiet() {
                return Some(idle);
            }
            self.note_closed(1);
        }
    }

    fn lease(self: &Rc<Self>, idle: IdleConnection, is_check: bool) -> Lease {
        self.note_in_use(&idle.customer);
        Lease {
            pool: Rc::clone(self),
            customer: idle.customer,
            connection: Some(idle.connection),
            idle_since: is_check.then_some(idle.since),
            kept: false,
        }
    }

    fn note_in_use(&self, customer: &Option<CustomerName>) {
        *self.in_use.borrow_mut().entry(customer.clone()).or_default() += 1;
    }

    async fn dial(
        self: &Rc<Self>,
        spec: &TargetSpec,
        customer: Option<CustomerName>,
        deadline: Instant,
    ) -> Result<Lease, NotRun> {
        self.open.set(self.open.get() + 1);
        self.note_in_use(&customer);
        self.dials.set(self.dials.get() + 1);
        let _dial = Dial { pool: self };
        // Counts as open from here on, and no longer if this future is dropped.
        let mut lease = Lease {
            pool: Rc::clone(self),
            customer,
            connection: None,
            idle_since: None,
            kept: false,
        };
        let begun = self.clock.now();
        let deadline = deadline.min(begun + OPEN_WITHIN);
        match self.dialer.open(spec, lease.customer.as_ref(), deadline).await {
            Ok(opened) => {
                self.stats.connection("opened");
                self.pace.opened(self.clock.now().saturating_duration_since(begun));
                lease.connection = Some(PooledConnection::new(opened.link));
                Ok(lease)
            }
            Err(OpenError::Refused(failure)) => {
                self.stats.connection("refused");
                log::debug!(member = spec.member.as_str(), reason = failure.text.as_str(); "G0704 a target refused a connection");
                match failure.code {
                    FailureCode::TooManyConnections | FailureCode::Congested => {
                        self.pace.refused(self.open.get() - 1, self.clock.now(), &*self.entropy);
                        Err(NotRun::Overloaded { retry_after_ms: 50 })
                    }
                    _ => Err(NotRun::Unreachable),
                }
            }
            Err(OpenError::Unreachable(reason)) => {
                log::debug!(member = spec.member.as_str(), reason = reason.as_str(); "G0705 a target could not be reached");
                Err(NotRun::Unreachable)
            }
        }
    }
}

impl Lease {
    /// The connection itself.
    pub(crate) fn connection(&mut self) -> Option<&mut PooledConnection> {
        self.connection.as_mut()
    }

    /// Gives the connection back for others; only when nothing is in flight or open on it.
    pub(crate) fn return_to_pool(mut self) {
        if self.pool.closed.get() {
            return;
        }
        if let Some(connection) = self.connection.take() {
            let since = self.idle_since.unwrap_or_else(|| self.pool.clock.now());
            self.pool.idle.put(IdleConnection {
                customer: self.customer.clone(),
                connection,
                since,
            });
            self.kept = true;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.kept {
            self.pool.open.set(self.pool.open.get() - 1);
        }
        let mut in_use = self.pool.in_use.borrow_mut();
        if let Some(count) = in_use.get_mut(&self.customer) {
            *count -= 1;
            if *count == 0 {
                in_use.remove(&self.customer);
            }
        }
        // Whoever waits may want a connection of this customer, or room for one of its own.
        self.pool.freed.notify(usize::MAX);
    }
}
