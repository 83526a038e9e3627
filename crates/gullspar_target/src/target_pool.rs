//! The connections to one target.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{Clock, Dialer, within};
use gullspar_model::{Access, MemberSpec, NotRun};
use gullspar_wire::{LaneUnit, QueryClient, WireError};

use crate::{Admission, Permit, TargetConnection};

/// How long a connection counts as being there after it served.
const TRUSTED_FOR: Duration = Duration::from_millis(20);

/// Connections left for observers and promotions, out of those that a target accepts.
const RESERVED: u32 = 6;

/// A connection taken out of a pool, with the right to have it.
pub(crate) struct CheckedOut {
    pub(crate) connection: TargetConnection,
    pool: Rc<TargetPool>,
    _permit: Permit,
}

/// The connections to one target, held by its home.
pub struct TargetPool {
    clock: Rc<dyn Clock>,
    dialer: Rc<dyn Dialer>,
    address: Cell<SocketAddr>,
    idle: RefCell<Vec<TargetConnection>>,
    /// Permits for connections, one for each transaction.
    connections: Rc<Admission>,
    /// Permits for statements that run at the same time.
    pub(crate) slots: Rc<Admission>,
}

impl TargetPool {
    /// The account that pooled connections use.
    pub const USER: &'static str = "gullspar";

    /// A pool for `spec` without connections yet.
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

    /// Takes over a changed configuration of the target.
    pub(crate) fn adopt(&self, spec: &MemberSpec) {
        self.connections.set_capacity(usable_connections(spec));
        self.slots.set_capacity(spec.slots);
        if self.address.replace(spec.address) != spec.address {
            self.forget_idle();
        }
    }

    /// Closes idle connections, as after a failure that broke them all.
    pub(crate) fn forget_idle(&self) {
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

    /// Statements running.
    pub fn busy_slots(&self) -> u32 {
        self.slots.busy()
    }

    /// Requests waiting for a connection or a slot.
    pub fn queued(&self) -> u32 {
        (self.connections.queued() + self.slots.queued()) as u32
    }

    /// Takes a connection, opening one where none is idle.
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

    /// An idle connection that is still there.
    ///
    /// One that served a moment ago is not looked at again for a read, which can be repeated; the
    /// look is a call to the system for each statement.
    fn take_idle(&self, access: Access) -> Option<TargetConnection> {
        let mut idle = self.idle.borrow_mut();
        let recent = self.clock.now() - TRUSTED_FOR;
        while let Some(connection) = idle.pop() {
            let trusted = access == Access::Read && connection.given_back_at >= recent;
            if trusted || connection.channel.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    async fn open(&self, deadline: Instant) -> Result<TargetConnection, NotRun> {
        let dialled = self.dialer.dial(self.address.get(), deadline).await;
        let link = dialled.map_err(|err| {
            log::debug!("G0302 dialling {} failed: {err}", self.address.get());
            NotRun::Unreachable
        })?;
        let start = QueryClient::start(link, TargetPool::USER, "postgres");
        let started =
            within(&*self.clock, deadline, start).await.map_err(|_| NotRun::DeadlinePassed)?;
        let client = started.map_err(|err| match err {
            // The target is full all the same, say because a former home still holds connections.
            WireError::Server(report) if report.code == "53300" => {
                NotRun::Overloaded { retry_after_ms: 100 }
            }
            other => {
                log::debug!("G0303 starting on {} failed: {other}", self.address.get());
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
            given_back_at: self.clock.now(),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address.get()
    }
}

impl CheckedOut {
    /// Gives the connection back for the next caller.
    pub(crate) fn give_back(mut self) {
        if self.connection.is_clean() {
            self.connection.given_back_at = self.pool.clock.now();
            self.pool.idle.borrow_mut().push(self.connection);
        }
    }
}

fn usable_connections(spec: &MemberSpec) -> u32 {
    spec.connections.saturating_sub(RESERVED).max(1)
}
