//! The connection pool of one target.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{Clock, Dialer, within};
use gullspar_model::{Access, MemberSpec, NotRun};
use gullspar_wire::{LaneUnit, QueryClient, WireError};

use crate::{Admission, Permit, TargetConnection};

/// How long after its last use an idle connection is used for reads without a check.
const UNCHECKED_PERIOD: Duration = Duration::from_millis(20);

/// Connections of a target that are kept free for status queries and promotions.
const RESERVED_CONNECTIONS: u32 = 6;

/// A connection taken from a pool, with the permit to use it.
pub(crate) struct CheckedOut {
    pub(crate) connection: TargetConnection,
    pool: Rc<TargetPool>,
    _permit: Permit,
}

/// The connections to one target; only the target's home has a pool for it.
pub struct TargetPool {
    clock: Rc<dyn Clock>,
    dialer: Rc<dyn Dialer>,
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<TargetConnection>>,
    /// Permits for connections; a transaction holds one from start to end.
    connections: Rc<Admission>,
    /// Permits for statements that run concurrently.
    pub(crate) slots: Rc<Admission>,
}

impl TargetPool {
    /// Database user of pooled connections.
    pub const USER: &'static str = "gullspar";

    /// Creates a pool for `spec`, without connections.
    pub fn new(clock: Rc<dyn Clock>, dialer: Rc<dyn Dialer>, spec: &MemberSpec) -> Rc<TargetPool> {
        Rc::new(TargetPool {
            connections: Admission::new(Rc::clone(&clock), usable_connections(spec)),
            slots: Admission::new(Rc::clone(&clock), spec.slots),
            clock,
            dialer,
            address: Cell::new(spec.address),
            idle: RefCell::default(),
        })
    }

    /// Applies the current configuration of the target.
    pub(crate) fn apply_spec(&self, spec: &MemberSpec) {
        self.connections.set_capacity(usable_connections(spec));
        self.slots.set_capacity(spec.slots);
        if self.address.replace(spec.address) != spec.address {
            self.close_idle();
        }
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Connections in use.
    pub fn connections(&self) -> u32 {
        self.connections.busy()
    }

    /// Connections in use and idle.
    pub fn open_connections(&self) -> u32 {
        self.connections.busy() + self.idle.borrow().len() as u32
    }

    /// Statements that are running.
    pub fn busy_slots(&self) -> u32 {
        self.slots.busy()
    }

    /// Requests waiting for a connection or a slot.
    pub fn queued(&self) -> u32 {
        (self.connections.queued() + self.slots.queued()) as u32
    }

    /// Takes an idle connection, or opens one if there is none.
    pub(crate) async fn check_out(
        self: &Rc<Self>,
        head: &LaneUnit,
        deadline: Instant,
    ) -> Result<CheckedOut, NotRun> {
        let permit = self.connections.acquire(head.priority, deadline).await?;
        let connection = match self.take_idle(head.access) {
            Some(connection) => connection,
            None => self.open(deadline).await?,
        };
        Ok(CheckedOut { connection, pool: Rc::clone(self), _permit: permit })
    }

    /// Takes an idle connection that the target has not closed.
    ///
    /// The check costs a system call. It is skipped for reads, which can be retried, on a
    /// connection that was used within [`UNCHECKED_PERIOD`].
    fn take_idle(&self, access: Access) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let unchecked_from = self.clock.now() - UNCHECKED_PERIOD;
        while let Some(connection) = idle.pop() {
            let skip_check = access == Access::Read && connection.idle_since >= unchecked_from;
            if skip_check || connection.channel.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, deadline: Instant) -> Result<TargetConnection, NotRun> {
        let dialled = self.dialer.dial(self.address.get(), deadline).await;
        let link = dialled.map_err(|err| {
            log::debug!("G0302 connecting to target {} failed: {err}", self.address.get());
            NotRun::Unreachable
        })?;
        let start = QueryClient::start(link, TargetPool::USER, "postgres");
        let started =
            within(&*self.clock, deadline, start).await.map_err(|_| NotRun::DeadlinePassed)?;
        let client = started.map_err(|err| match err {
            // All connections are taken, for example because a former home still holds some.
            WireError::Server(report) if report.code == "53300" => {
                NotRun::Overloaded { retry_after_ms: 100 }
            }
            other => {
                log::debug!(
                    "G0303 starting a session on target {} failed: {other}",
                    self.address.get()
                );
                NotRun::Unreachable
            }
        })?;
        let cancel_key = client.cancel_key;
        Ok(TargetConnection {
            channel: client.into_channel(),
            prepared: HashSet::new(),
            settings: Vec::new(),
            cancel_key,
            cancelled: Rc::default(),
            dirty: false,
            idle_since: self.clock.now(),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get()
    }
}

impl CheckedOut {
    /// Returns the connection to the pool if another caller can use it, and closes it otherwise.
    pub(crate) fn check_in(mut self) {
        if self.connection.is_clean() {
            self.connection.idle_since = self.pool.clock.now();
            self.pool.idle.borrow_mut().push(self.connection);
        }
    }
}

fn usable_connections(spec: &MemberSpec) -> u32 {
    spec.connections.saturating_sub(RESERVED_CONNECTIONS).max(1)
}
