//! A simulated member: its log, its database and its role.

use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Instant;

use event_listener::Event;
use gullspar_model::{
    DataCentre, FenceDecision, GroupName, LogPosition, MemberName, MemberRole, MemberStatus, Term,
};
use rusqlite::Connection;

use super::log_record::LogRecord;

/// The settings of a simulated group.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    pub name: GroupName,
    pub members: Vec<MemberSettings>,
    /// Replication lag in milliseconds.
    pub lag_ms: u64,
    /// Duration of a promotion in milliseconds.
    pub promotion_ms: u64,
    /// Time to set up a connection, in milliseconds.
    pub connection_cost_ms: u64,
    /// Time for which a statement occupies a slot, in microseconds.
    pub statement_us: u64,
    /// Statements that create the schema.
    pub schema: String,
}

/// The settings of one member.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    pub name: MemberName,
    pub data_centre: DataCentre,
    pub slots: u32,
    pub connections: u32,
}

/// Counters of a member, for checks in tests and benches.
#[derive(Debug, Default)]
pub struct MemberCounts {
    pub connections: AtomicU32,
    pub peak_connections: AtomicU32,
    pub refused_connections: AtomicU32,
    pub statements: AtomicU64,
}

impl MemberCounts {
    /// Counts a new connection and returns true, unless `limit` connections are open already.
    pub(crate) fn connect(&self, limit: u32) -> bool {
        let open_connections = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
        if open_connections > limit {
            self.connections.fetch_sub(1, Ordering::Relaxed);
            self.refused_connections.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.peak_connections.fetch_max(open_connections, Ordering::Relaxed);
        true
    }

    /// Counts a connection as closed.
    pub(crate) fn disconnect(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A member's state. A `Stopped` fault does not clear it, as if it were on disk.
pub struct Member {
    pub(crate) settings: MemberSettings,
    pub(crate) target: String,
    pub(crate) lag_ms: u64,
    pub(crate) promotion_ms: u64,
    pub(crate) connection_cost_ms: u64,
    pub(crate) statement_us: u64,
    pub(crate) schema: String,
    pub(crate) db: Connection,
    pub(crate) log: Vec<LogRecord>,
    pub(crate) role: MemberRole,
    pub(crate) term: Term,
    pub(crate) fence: Term,
    pub(crate) following: Option<MemberName>,
    pub(crate) changed: Rc<Event>,
    pub(crate) slots: Arc<async_lock::Semaphore>,
    pub(crate) lock: Arc<async_lock::Mutex<()>>,
    pub(crate) counts: Arc<MemberCounts>,
}

impl Member {
    pub(crate) fn new(
        group: &GroupSettings,
        settings: &MemberSettings,
        counts: Arc<MemberCounts>,
    ) -> io::Result<Member> {
        Ok(Member {
            settings: settings.clone(),
            target: format!("{}/{}", group.name, settings.name),
            lag_ms: group.lag_ms,
            promotion_ms: group.promotion_ms,
            connection_cost_ms: group.connection_cost_ms,
            statement_us: group.statement_us,
            schema: group.schema.clone(),
            db: open_database(&group.schema)?,
            log: Vec::new(),
            role: MemberRole::Detached,
            term: Term(0),
            fence: Term(0),
            following: None,
            changed: Rc::new(Event::new()),
            slots: Arc::new(async_lock::Semaphore::new(settings.slots as usize)),
            lock: Arc::default(),
            counts,
        })
    }

    /// A consistent snapshot of the member's status.
    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role,
            term: self.term,
            fence: self.fence,
            last_record_term: self.log.last().map_or(Term(0), |it| it.term),
            position: LogPosition(self.log.len() as u64),
        }
    }

    /// Appends a transaction to the log, in the member's current term.
    pub(crate) fn commit(&mut self, sql: String) {
        let term = self.term;
        self.log.push(LogRecord { term, sql, committed_at: Instant::now() });
        self.changed.notify(usize::MAX);
    }

    /// Refuses all terms below `term` from now on.
    pub(crate) fn fence(&mut self, term: Term) -> FenceDecision {
        let decision = FenceDecision::decide(self.fence, term);
        if decision == FenceDecision::Fenced && self.term < term {
            self.fence = term;
            self.role = MemberRole::Detached;
            self.following = None;
        }
        self.changed.notify(usize::MAX);
        decision
    }

    /// Becomes the primary of `term`; false if the member isn't fenced at that term.
    pub(crate) fn promote(&mut self, term: Term) -> bool {
        if self.fence != term {
            return false;
        }
        if self.role == MemberRole::Primary && self.term == term {
            return true;
        }
        self.role = MemberRole::Primary;
        self.term = term;
        self.following = None;
        self.commit(String::new());
        true
    }

    /// Becomes a replica of `primary`, whose log is `primary_log`, and drops the records that this log
    /// doesn't hold. False if the member is fenced at a later term or is the primary of `term` itself.
    pub(crate) fn follow(
        &mut self,
        term: Term,
        primary: &MemberName,
        primary_log: &[LogRecord],
    ) -> bool {
        if term < self.fence || (term == self.term && self.role == MemberRole::Primary) {
            return false;
        }
        if self.role == MemberRole::Replica && self.term == term {
            return true;
        }
        let common = self
            .log
            .iter()
            .zip(primary_log)
            .take_while(|(a, b)| a.term == b.term && a.sql == b.sql);
        let common = common.count();
        if common < self.log.len() {
            self.truncate(common);
        }
        self.fence = term;
        self.term = term;
        self.role = MemberRole::Replica;
        self.following = Some(primary.clone());
        self.changed.notify(usize::MAX);
        true
    }

    /// Applies a record of the primary's log and appends it to the own log.
    pub(crate) fn apply(&mut self, record: LogRecord) {
        if let Err(err) = self.db.execute_batch(&record.sql) {
            log::error!("L0102 {} could not apply `{}`: {err}", self.target, record.sql);
        }
        self.log.push(record);
        self.changed.notify(usize::MAX);
    }

    /// Drops all records after the first `length` and rebuilds the database from the rest.
    fn truncate(&mut self, length: usize) {
        self.log.truncate(length);
        let Ok(db) = open_database(&self.schema) else { return };
        for record in &self.log {
            if let Err(err) = db.execute_batch(&record.sql) {
                log::error!("L0102 {} could not apply `{}`: {err}", self.target, record.sql);
            }
        }
        self.db = db;
    }
}

fn open_database(schema: &str) -> io::Result<Connection> {
    let db = Connection::open_in_memory().map_err(io::Error::other)?;
    db.execute_batch(schema).map_err(io::Error::other)?;
    Ok(db)
}
