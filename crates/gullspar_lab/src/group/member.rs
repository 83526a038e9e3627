//! One member: its log, its database and the part it plays.

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

/// How a stand-in group behaves.
#[derive(Clone, Debug)]
pub struct GroupSettings {
    pub name: GroupName,
    pub members: Vec<MemberSettings>,
    /// Time that replicas stay behind, in milliseconds.
    pub lag_ms: u64,
    /// Time that a promotion takes, in milliseconds.
    pub promotion_ms: u64,
    /// Time that a new connection costs, in milliseconds.
    pub connection_cost_ms: u64,
    /// Time that a statement holds a slot, in microseconds.
    pub statement_us: u64,
    /// Statements that make the schema.
    pub schema: String,
}

/// How one member behaves.
#[derive(Clone, Debug)]
pub struct MemberSettings {
    pub name: MemberName,
    pub data_centre: DataCentre,
    pub slots: u32,
    pub connections: u32,
}

/// What a member counts, for checks.
#[derive(Debug, Default)]
pub struct MemberCounts {
    pub connections: AtomicU32,
    pub peak_connections: AtomicU32,
    pub refused_connections: AtomicU32,
    pub statements: AtomicU64,
}

impl MemberCounts {
    /// Counts a connection in, unless the limit is reached.
    pub(crate) fn connect(&self, limit: u32) -> bool {
        let now = self.connections.fetch_add(1, Ordering::Relaxed) + 1;
        if now > limit {
            self.connections.fetch_sub(1, Ordering::Relaxed);
            self.refused_connections.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        self.peak_connections.fetch_max(now, Ordering::Relaxed);
        true
    }

    /// Counts a connection out.
    pub(crate) fn disconnect(&self) {
        self.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// A member's state. All of it survives a stop, as on a disk.
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
            db: open(&group.schema)?,
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

    /// One reading, all of it of this instant.
    pub(crate) fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role,
            term: self.term,
            fence: self.fence,
            last_record_term: self.log.last().map_or(Term(0), |it| it.term),
            position: LogPosition(self.log.len() as u64),
        }
    }

    /// Appends a committed transaction of this member's own term.
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

    /// Becomes the primary of the term that it was fenced at.
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

    /// Follows `primary`, whose log is `other`, after dropping what that log doesn't hold.
    pub(crate) fn follow(&mut self, term: Term, primary: &MemberName, other: &[LogRecord]) -> bool {
        if term < self.fence || (term == self.term && self.role == MemberRole::Primary) {
            return false;
        }
        if self.role == MemberRole::Replica && self.term == term {
            return true;
        }
        let common =
            self.log.iter().zip(other).take_while(|(a, b)| a.term == b.term && a.sql == b.sql);
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

    /// Applies a record of the primary's log.
    pub(crate) fn apply(&mut self, record: LogRecord) {
        if let Err(err) = self.db.execute_batch(&record.sql) {
            log::error!("L0102 {} could not apply `{}`: {err}", self.target, record.sql);
        }
        self.log.push(record);
        self.changed.notify(usize::MAX);
    }

    /// Rebuilds the database from the first `length` records.
    fn truncate(&mut self, length: usize) {
        self.log.truncate(length);
        let Ok(db) = open(&self.schema) else { return };
        for record in &self.log {
            if let Err(err) = db.execute_batch(&record.sql) {
                log::error!("L0102 {} could not apply `{}`: {err}", self.target, record.sql);
            }
        }
        self.db = db;
    }
}

fn open(schema: &str) -> io::Result<Connection> {
    let db = Connection::open_in_memory().map_err(io::Error::other)?;
    db.execute_batch(schema).map_err(io::Error::other)?;
    Ok(db)
}
