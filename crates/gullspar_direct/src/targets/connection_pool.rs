//! Pool of this instance's connections to one target.

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

/// How long opening a connection may take, including its handshake and the wait for a slot at the target.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);

/// How long to wait for a connection in use to be returned before another one is opened.
///
/// A read on a leader ends with a rollback, which completes shortly after the caller has its answer. A statement that
/// arrives in between waits, since opening another connection takes longer and uses a slot.
const RETURN_TIMEOUT: Duration = Duration::from_millis(4);

/// Percentage of this instance's share of connections that may stay idle.
///
/// For some seconds, a target keeps the connections of instances that lost power. Enough must be free for those
/// instances when they restart, and for instances that take over from one that leaves.
const MAX_IDLE_PERCENT: u32 = 50;

/// Connections that a burst may open beyond the share.
const BURST_CONNECTIONS: u32 = 1;

/// Maximum number of connections opened at the same time. Opening takes a slot at the target, which statements need.
const MAX_CONCURRENT_DIALS: u32 = 2;

/// How long a check waits while statements open connections.
const CHECK_WAIT_TIMEOUT: Duration = Duration::from_millis(50);

/// Connections to one target, in use or idle, each for one customer.
pub(crate) struct ConnectionPool {
    clock: Rc<dyn Clock>,
    entropy: Rc<dyn Entropy>,
    dialer: Rc<dyn TargetDialer>,
    stats: Rc<Stats>,
    idle: IdleConnections,
    open: Cell<u32>,
    share: Cell<u32>,
    is_long_term: Cell<bool>,
    /// Connections in use, by customer.
    in_use: RefCell<BTreeMap<Option<CustomerName>, u32>>,
    dials: Cell<u32>,
    throttle: DialThrottle,
    /// The customer that last acquired a connection.
    last_customer: RefCell<Option<CustomerName>>,
    freed: Event,
    closed: Cell<bool>,
}

/// A connection in use. Dropping the lease without returning it closes the connection, which rolls back an open
/// transaction.
pub(crate) struct Lease {
    pool: Rc<ConnectionPool>,
    customer: Option<CustomerName>,
    connection: Option<PooledConnection>,
    /// Set in a lease for a check: when a caller last used the connection.
    idle_since: Option<Instant>,
    /// Whether the connection was returned to the pool.
    is_returned: bool,
}

/// Guard that counts a connection attempt until it is dropped.
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
            is_long_term: Cell::new(true),
            in_use: RefCell::default(),
            dials: Cell::new(0),
            throttle: DialThrottle::default(),
            last_customer: RefCell::default(),
            freed: Event::new(),
            closed: Cell::new(false),
        })
    }

    /// Sets this instance's share of the target's connections; at least one.
    pub(crate) fn set_share(&self, share: u32) {
        self.share.set(share.max(1));
    }

    /// Closes the idle connections, and from now on closes those that are returned.
    pub(crate) fn close(&self) {
        self.closed.set(true);
        self.close_idle();
    }

    /// Closes all idle connections, for example when the target became unresponsive.
    pub(crate) fn close_idle(&self) {
        self.record_closed(self.idle.clear());
        self.freed.notify(usize::MAX);
    }

    /// Closes surplus idle connections.
    pub(crate) fn close_surplus(&self) {
        self.record_closed(self.idle.close_surplus(self.max_idle(), self.clock.now()));
    }

    fn record_closed(&self, closed: u32) {
        self.open.set(self.open.get() - closed);
    }

    /// The expected time to get a connection for a statement of `customer`.
    pub(crate) fn opening_cost(&self, customer: &CustomerName) -> Duration {
        if self.idle.contains(customer) { Duration::ZERO } else { self.throttle.mean_dial_time() }
    }

    /// Acquires a connection for a check; `None` if statements use all connections and `even_if_busy` isn't set.
    pub(crate) async fn acquire_for_check(
        self: &Rc<Self>,
        spec: &TargetSpec,
        even_if_busy: bool,
        deadline: Instant,
    ) -> Option<Result<Lease, NotRun>> {
        if let Some(idle) = self.take_idle(IdleConnections::take_oldest) {
            return Some(Ok(self.lease(idle, true)));
        }
        if self.open.get() > 0 && !even_if_busy {
            return None;
        }
        // This customer is the most likely to use the connection next.
        let customer = self.last_customer.borrow().clone();
        let wait_until = (self.clock.now() + CHECK_WAIT_TIMEOUT).min(deadline);
        while self.dials.get() >= MAX_CONCURRENT_DIALS && self.clock.now() < wait_until {
            // The loop condition is checked again in either case.
            let _ = within(&*self.clock, wait_until, self.freed.listen()).await;
        }
        Some(self.dial(spec, customer, deadline).await)
    }

    /// Waits until a connection is idle if all are in use, for at most [`CHECK_WAIT_TIMEOUT`].
    pub(crate) async fn wait_for_idle(&self) {
        let until = self.clock.now() + CHECK_WAIT_TIMEOUT;
        while self.open.get() > 0 && self.idle.len() == 0 && self.clock.now() < until {
            // The loop condition is checked again in either case.
            let _ = within(&*self.clock, until, self.freed.listen()).await;
        }
    }

    /// Acquires a connection of `customer`, preferably one that has the session values `values`.
    ///
    /// # Errors
    ///
    /// Fails if the target can't be reached, or if no connection is available before `deadline`.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        spec: &TargetSpec,
        customer: &Option<CustomerName>,
        values: &BTreeMap<ArcStr, ArcStr>,
        deadline: Instant,
    ) -> Result<Lease, NotRun> {
        self.last_customer.borrow_mut().clone_from(customer);
        let mut may_be_returned = self.in_use.borrow().contains_key(customer);
        loop {
            if let Some(idle) = self.take_idle(|it| it.take(customer, values)) {
                return Ok(self.lease(idle, false));
            }
            let freed = self.freed.listen();
            let now = self.clock.now();
            if std::mem::take(&mut may_be_returned) {
                let until = (now + RETURN_TIMEOUT).min(deadline);
                // The idle connections are checked again in either case.
                let _ = within(&*self.clock, until, freed).await;
                continue;
            }
            if self.dials.get() < MAX_CONCURRENT_DIALS && self.make_room(now) {
                match self.dial(spec, customer.clone(), deadline).await {
                    Ok(lease) => return Ok(lease),
                    // A connection in use may be returned before the target accepts a new one.
                    Err(NotRun::Overloaded { .. }) => {}
                    Err(reason) => return Err(reason),
                }
            } else {
                let next_dial_at = self.throttle.next_dial_at().filter(|it| *it > now);
                let until = next_dial_at.map_or(deadline, |it| it.min(deadline));
                let _ = within(&*self.clock, until, freed).await;
            }
            if self.clock.now() >= deadline {
                return Err(NotRun::Overloaded { retry_after_ms: 100 });
            }
        }
    }

    /// Makes room for another connection, and returns whether one may be opened now.
    ///
    /// Closes the longest idle connections if the idle limit or the connection limit is reached, or if the throttle
    /// delays the next connection; a full target accepts a new connection in place of a closed one.
    fn make_room(&self, now: Instant) -> bool {
        while self.idle.len() >= self.max_idle() {
            if !self.evict_oldest_idle() {
                break;
            }
        }
        let limit = self.throttle.connection_limit(self.share.get() + BURST_CONNECTIONS, now);
        let is_due = self.throttle.next_dial_at().is_none_or(|it| now >= it);
        (is_due && self.open.get() < limit) || self.evict_oldest_idle()
    }

    fn evict_oldest_idle(&self) -> bool {
        let Some(closed) = self.idle.take_oldest() else { return false };
        drop(closed);
        self.record_closed(1);
        self.stats.connection("closed_for_another");
        true
    }

    /// Sets whether this instance is to serve the target's callers for long. If not, at most one connection stays idle.
    pub(crate) fn set_long_term(&self, is_long_term: bool) {
        self.is_long_term.set(is_long_term);
    }

    /// How many connections may stay idle.
    fn max_idle(&self) -> usize {
        if !self.is_long_term.get() {
            return 1;
        }
        (self.share.get() * MAX_IDLE_PERCENT / 100).max(1) as usize
    }

    /// Takes an idle connection with `take`, and drops connections that the target closed meanwhile.
    fn take_idle(
        &self,
        take: impl Fn(&IdleConnections) -> Option<IdleConnection>,
    ) -> Option<IdleConnection> {
        loop {
            let idle = take(&self.idle)?;
            if idle.connection.is_quiet() {
                return Some(idle);
            }
            self.record_closed(1);
        }
    }

    fn lease(self: &Rc<Self>, idle: IdleConnection, is_check: bool) -> Lease {
        self.record_in_use(&idle.customer);
        Lease {
            pool: Rc::clone(self),
            customer: idle.customer,
            connection: Some(idle.connection),
            idle_since: is_check.then_some(idle.since),
            is_returned: false,
        }
    }

    fn record_in_use(&self, customer: &Option<CustomerName>) {
        *self.in_use.borrow_mut().entry(customer.clone()).or_default() += 1;
    }

    async fn dial(
        self: &Rc<Self>,
        spec: &TargetSpec,
        customer: Option<CustomerName>,
        deadline: Instant,
    ) -> Result<Lease, NotRun> {
        self.open.set(self.open.get() + 1);
        self.record_in_use(&customer);
        self.dials.set(self.dials.get() + 1);
        let _dial = Dial { pool: self };
        // Dropping the lease, also with this future, undoes the counts of open connections and of those in use.
        let mut lease = Lease {
            pool: Rc::clone(self),
            customer,
            connection: None,
            idle_since: None,
            is_returned: false,
        };
        let started = self.clock.now();
        let deadline = deadline.min(started + OPEN_TIMEOUT);
        match self.dialer.open(spec, lease.customer.as_ref(), deadline).await {
            Ok(opened) => {
                self.stats.connection("opened");
                self.throttle.record_opened(self.clock.now().saturating_duration_since(started));
                lease.connection = Some(PooledConnection::new(opened.link));
                Ok(lease)
            }
            Err(OpenError::Refused(failure)) => {
                self.stats.connection("refused");
                log::debug!(member = spec.member.as_str(), reason = failure.text.as_str(); "G0704 a target refused a connection");
                match failure.code {
                    FailureCode::TooManyConnections | FailureCode::Congested => {
                        self.throttle.record_refusal(
                            self.open.get() - 1,
                            self.clock.now(),
                            &*self.entropy,
                        );
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
    /// The leased connection; `None` if it has not been opened.
    pub(crate) fn connection(&mut self) -> Option<&mut PooledConnection> {
        self.connection.as_mut()
    }

    /// Returns the connection to the pool. No answer may be outstanding on it, and no transaction open.
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
            self.is_returned = true;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.is_returned {
            self.pool.open.set(self.pool.open.get() - 1);
        }
        let mut in_use = self.pool.in_use.borrow_mut();
        if let Some(count) = in_use.get_mut(&self.customer) {
            *count -= 1;
            if *count == 0 {
                in_use.remove(&self.customer);
            }
        }
        // Wakes all waiters: they may need a connection of this customer, or room to open one.
        self.pool.freed.notify(usize::MAX);
    }
}
