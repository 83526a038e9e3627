//! The connections of this instance to one target.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use arcstr::ArcStr;
use event_listener::Event;
use gullspar_border::{Clock, within};
use gullspar_model::NotRun;
use gullspar_statement::{FailureCode, OpenError, TargetDialer, TargetSpec};

use crate::pooled_connection::PooledConnection;

/// How long opening a connection may take, its handshake included.
///
/// Handshakes are short and queue for a slot; a target that needs longer is as good as away.
const OPEN_WITHIN: Duration = Duration::from_millis(600);

/// How long a connection of our own may take to come back before another one is opened.
///
/// A read on a leader ends with a rollback, which is answered a moment after the caller has its answer. A statement
/// that comes in between would open another connection, and that takes a slot for longer than this.
const RETURN_WITHIN: Duration = Duration::from_millis(4);

/// Pause after a target refused a further connection.
const REFUSED_PAUSE: Duration = Duration::from_millis(30);

/// How long a connection may lie idle if another one does as well.
///
/// A target keeps the connections of instances that lost power for three seconds. Unless half of what it
/// takes is free, the instances that start again meanwhile are refused, seen as four seconds in which
/// hardly anything is served.
const SURPLUS_IDLE: Duration = Duration::from_millis(800);

/// Connections beyond the share that a burst may open; seldom all instances have one at once.
const BURST: u32 = 1;

struct Idle {
    connection: PooledConnection,
    since: Instant,
}

/// Connections to one target, open or idle.
pub(crate) struct ConnectionPool {
    clock: Rc<dyn Clock>,
    dialer: Rc<dyn TargetDialer>,
    idle: RefCell<Vec<Idle>>,
    open: Cell<u32>,
    share: Cell<u32>,
    freed: Event,
    closed: Cell<bool>,
}

/// A connection in use; dropped without being given back it is closed, which rolls back.
pub(crate) struct Lease {
    pool: Rc<ConnectionPool>,
    connection: Option<PooledConnection>,
    /// It is idle in the pool again and stays open.
    kept: bool,
}

impl ConnectionPool {
    pub(crate) fn new(clock: Rc<dyn Clock>, dialer: Rc<dyn TargetDialer>) -> Rc<ConnectionPool> {
        Rc::new(ConnectionPool {
            clock,
            dialer,
            idle: RefCell::default(),
            open: Cell::new(0),
            share: Cell::new(1),
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
        self.drop_idle();
    }

    /// Closes all idle connections, as when the target went dark: they would only be found silent.
    pub(crate) fn drop_idle(&self) {
        let dropped = std::mem::take(&mut *self.idle.borrow_mut());
        self.open.set(self.open.get() - dropped.len() as u32);
        self.freed.notify(usize::MAX);
    }

    /// Closes all but one of the idle connections that nobody wanted for a while.
    pub(crate) fn drop_surplus(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        while idle.len() > 1 && idle.first().is_some_and(|it| now >= it.since + SURPLUS_IDLE) {
            idle.remove(0);
            self.open.set(self.open.get() - 1);
        }
    }

    /// Takes a connection for a check; `None` if all are in use by statements, which tell as much.
    pub(crate) async fn take_for_check(
        self: &Rc<Self>,
        spec: &TargetSpec,
        even_if_busy: bool,
        deadline: Instant,
    ) -> Option<Result<Lease, NotRun>> {
        if let Some(connection) = self.take_idle(&BTreeMap::new()) {
            let lease = Lease { pool: Rc::clone(self), connection: Some(connection), kept: false };
            return Some(Ok(lease));
        }
        if self.open.get() > 0 && !even_if_busy {
            return None;
        }
        Some(self.dial(spec, deadline).await)
    }

    /// Takes a connection, one that holds `values` already if there is one.
    pub(crate) async fn take(
        self: &Rc<Self>,
        spec: &TargetSpec,
        values: &BTreeMap<ArcStr, ArcStr>,
        deadline: Instant,
    ) -> Result<Lease, NotRun> {
        let mut may_come_back = self.open.get() > 0;
        loop {
            if let Some(connection) = self.take_idle(values) {
                return Ok(Lease {
                    pool: Rc::clone(self),
                    connection: Some(connection),
                    kept: false,
                });
            }
            let freed = self.freed.listen();
            if std::mem::take(&mut may_come_back) {
                let until = (self.clock.now() + RETURN_WITHIN).min(deadline);
                // Either way the idle ones are looked at again.
                let _ = within(&*self.clock, until, freed).await;
                continue;
            }
            if self.open.get() < self.share.get() + BURST {
                match self.dial(spec, deadline).await {
                    Ok(lease) => return Ok(lease),
                    Err(NotRun::Overloaded { .. }) => {
                        // Another connection of ours may come back before the target takes a new one.
                        let until = (self.clock.now() + REFUSED_PAUSE).min(deadline);
                        let _ = within(&*self.clock, until, freed).await;
                    }
                    Err(reason) => return Err(reason),
                }
            } else if within(&*self.clock, deadline, freed).await.is_err() {
                return Err(NotRun::Overloaded { retry_after_ms: 100 });
            }
            if self.clock.now() >= deadline {
                return Err(NotRun::Overloaded { retry_after_ms: 100 });
            }
        }
    }

    fn take_idle(&self, values: &BTreeMap<ArcStr, ArcStr>) -> Option<PooledConnection> {
        let mut idle = self.idle.borrow_mut();
        loop {
            let matching = idle.iter().rposition(|it| it.connection.holds(values));
            let at = matching.or_else(|| idle.len().checked_sub(1))?;
            let connection = idle.remove(at).connection;
            if connection.is_quiet() {
                return Some(connection);
            }
            // The target closed it meanwhile.
            self.open.set(self.open.get() - 1);
        }
    }

    async fn dial(self: &Rc<Self>, spec: &TargetSpec, deadline: Instant) -> Result<Lease, NotRun> {
        self.open.set(self.open.get() + 1);
        // Counts as open from here on, and no longer if this future is dropped.
        let mut lease = Lease { pool: Rc::clone(self), connection: None, kept: false };
        let deadline = deadline.min(self.clock.now() + OPEN_WITHIN);
        match self.dialer.open(spec, deadline).await {
            Ok(opened) => {
                lease.connection = Some(PooledConnection::new(opened.link));
                Ok(lease)
            }
            Err(OpenError::Refused(failure)) => {
                log::debug!(member = spec.member.as_str(), reason = failure.text.as_str(); "G0704 a target refused a connection");
                match failure.code {
                    FailureCode::TooManyConnections | FailureCode::Congested => {
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
    pub(crate) fn give_back(mut self) {
        if self.pool.closed.get() {
            return;
        }
        if let Some(connection) = self.connection.take() {
            let since = self.pool.clock.now();
            self.pool.idle.borrow_mut().push(Idle { connection, since });
            self.kept = true;
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if !self.kept {
            self.pool.open.set(self.pool.open.get() - 1);
        }
        self.pool.freed.notify(1);
    }
}
