//! Idle connections to one target.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use arcstr::ArcStr;
use gullspar_model::CustomerName;

use crate::targets::pooled_connection::PooledConnection;

/// Idle time after which a connection may be closed as surplus.
const SURPLUS_IDLE_TIMEOUT: Duration = Duration::from_millis(800);

/// A connection that is not in use, kept for statements of its customer.
pub(crate) struct IdleConnection {
    pub(crate) customer: Option<CustomerName>,
    pub(crate) connection: PooledConnection,
    pub(crate) since: Instant,
}

/// Idle connections, the longest idle first.
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

    /// Takes a connection of `customer`, preferably one that has the session values `values`.
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

    /// Takes the connection that has been idle longest.
    pub(crate) fn take_oldest(&self) -> Option<IdleConnection> {
        let mut list = self.list.borrow_mut();
        (!list.is_empty()).then(|| list.remove(0))
    }

    /// Whether there is a connection of `customer`.
    pub(crate) fn contains(&self, customer: &CustomerName) -> bool {
        self.list.borrow().iter().any(|it| it.customer.as_ref() == Some(customer))
    }

    /// Closes all connections and returns how many there were.
    pub(crate) fn clear(&self) -> u32 {
        std::mem::take(&mut *self.list.borrow_mut()).len() as u32
    }

    pub(crate) fn len(&self) -> usize {
        self.list.borrow().len()
    }

    /// Closes connections that have been idle for [`SURPLUS_IDLE_TIMEOUT`] and are surplus: their customer has a newer
    /// one, or more than `kept` connections are idle. Returns how many were closed.
    pub(crate) fn close_surplus(&self, kept: usize, now: Instant) -> u32 {
        let mut list = self.list.borrow_mut();
        let before = list.len();
        let mut excess = before.saturating_sub(kept);
        let mut seen = BTreeSet::new();
        // Scans from the newest on, so that the newest connection of each customer is kept.
        let duplicates: Vec<bool> =
            list.iter().rev().map(|it| !seen.insert(it.customer.clone())).collect();
        let mut duplicates = duplicates.into_iter().rev();
        list.retain(|it| {
            let is_duplicate = duplicates.next().unwrap_or(false);
            let is_old = now >= it.since + SURPLUS_IDLE_TIMEOUT;
            let is_closed = is_old && (is_duplicate || excess > 0);
            excess -= usize::from(is_closed && excess > 0);
            !is_closed
        });
        (before - list.len()) as u32
    }
}
