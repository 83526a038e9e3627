//! Connections to one target that nobody uses at the moment.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use arcstr::ArcStr;
use gullspar_model::CustomerName;

use crate::targets::pooled_connection::PooledConnection;

/// How long a connection may lie idle if another one of its customer does as well, or if many do.
const SURPLUS_IDLE: Duration = Duration::from_millis(800);

/// A connection that waits for the next statement of its customer.
pub(crate) struct IdleConnection {
    pub(crate) customer: Option<CustomerName>,
    pub(crate) connection: PooledConnection,
    pub(crate) since: Instant,
}

/// IdleConnection connections, those that have waited longest first.
#[derive(Default)]
pub(crate) struct IdleConnections {
    list: RefCell<Vec<IdleConnection>>,
}

impl IdleConnections {
    pub(crate) fn put(&self, idle: IdleConnection) {
        let mut list = self.list.borrow_mut();
        let at = list.partition_point(|it| it.since <= idle.since);
        list.insert(at, idle);
    }

    /// Takes a connection of `customer`, one that holds `values` if there is one.
    pub(crate) fn take(
        &self,
        customer: &Option<CustomerName>,
        values: &BTreeMap<ArcStr, ArcStr>,
    ) -> Option<IdleConnection> {
        let mut list = self.list.borrow_mut();
        let is_own = |it: &IdleConnection| it.customer == *customer;
        let matching = list.iter().rposition(|it| is_own(it) && it.connection.has_values(values));
        let at = matching.or_else(|| list.iter().rposition(is_own))?;
        Some(list.remove(at))
    }

    /// Takes the connection that has waited longest.
    pub(crate) fn take_oldest(&self) -> Option<IdleConnection> {
        let mut list = self.list.borrow_mut();
        (!list.is_empty()).then(|| list.remove(0))
    }

    /// Whether there is a connection of `customer`.
    pub(crate) fn has(&self, customer: &CustomerName) -> bool {
        self.list.borrow().iter().any(|it| it.customer.as_ref() == Some(customer))
    }

    /// Closes all; tells how many.
    pub(crate) fn clear(&self) -> u32 {
        std::mem::take(&mut *self.list.borrow_mut()).len() as u32
    }

    pub(crate) fn len(&self) -> usize {
        self.list.borrow().len()
    }

    /// Closes those that waited for long and whose customer has another one, or that are more than `kept`; tells how
    /// many.
    pub(crate) fn close_surplus(&self, kept: usize, now: Instant) -> u32 {
        let mut list = self.list.borrow_mut();
        let before = list.len();
        let mut beyond = before.saturating_sub(kept);
        let mut seen = BTreeSet::new();
        // From the newest on, so that of a customer's connections the newest stays.
        let second: Vec<bool> =
            list.iter().rev().map(|it| !seen.insert(it.customer.clone())).collect();
        let mut second = second.into_iter().rev();
        list.retain(|it| {
            let is_second = second.next().unwrap_or(false);
            let is_old = now >= it.since + SURPLUS_IDLE;
            let is_dropped = is_old && (is_second || beyond > 0);
            beyond -= usize::from(is_dropped && beyond > 0);
            !is_dropped
        });
        (before - list.len()) as u32
    }
}
