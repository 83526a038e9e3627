//! The messages of one client, one after the other.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::portal::{Portal, Prepared};
use super::value::{SqlValue, type_id};
use super::{SqlError, wire};
use crate::Faults;
use crate::faults::TargetFault;
use crate::group::control::ControlCall;
use crate::group::sql_result::{SqlColumn, SqlResult};
use crate::group::{Member, Members};
use bytes::{Buf, BytesMut};
use compio::net::TcpStream;
use futures::future;
use gullspar_model::{MemberName, MemberRole, Term};
use gullspar_net::TcpLink;
use gullspar_wire::{
    Channel, ErrorReport, Frame, WireError, bind_parts, caller, parse_parts,
    queue_server_parameters, ready, startup_parameters, status, subject, target,
};

/// A client that sends nothing for this long while it holds the database's lock is cut off.
const LONGEST_PAUSE_IN_TRANSACTION: Duration = Duration::from_secs(30);

/// Serves one client until it leaves or the member stops.
pub(crate) async fn run(
    stream: TcpStream,
    name: MemberName,
    members: Members,
    faults: Arc<Faults>,
) {
    let Some(member) = members.get(&name).map(Rc::clone) else { return };
    let stop = wait_for_stop(Rc::clone(&member), Arc::clone(&faults));
    let channel = Channel::new(Box::new(TcpLink::new(stream)), Channel::DEFAULT_LIMIT);
    let mut session = Session {
        channel,
        name,
        members,
        member,
        faults,
        guard: None,
        pending: Vec::new(),
        failed: false,
        failed_batch: false,
        begun_under: None,
        statements: HashMap::new(),
        portals: HashMap::new(),
        counted: false,
    };
    {
        let serve = session.serve();
        futures::pin_mut!(serve, stop);
        // Whichever ends first ends the session; the link goes with it.
        let _ = future::select(serve, stop).await;
    }
    session.end();
}

async fn wait_for_stop(member: Rc<RefCell<Member>>, faults: Arc<Faults>) {
    let target = member.borrow().target.clone();
    loop {
        let changed = faults.listen();
        if faults.target(&target) == TargetFault::Stopped {
            return;
        }
        changed.await;
    }
}

struct Session {
    channel: Channel,
    name: MemberName,
    members: Members,
    member: Rc<RefCell<Member>>,
    faults: Arc<Faults>,
    /// Held from the first statement of a transaction to its end.
    guard: Option<async_lock::MutexGuardArc<()>>,
    /// Statements of the open transaction that wrote, with their values.
    pending: Vec<String>,
    failed: bool,
    /// Whether messages are skipped up to the next Sync.
    failed_batch: bool,
    begun_under: Option<Term>,
    statements: HashMap<String, Prepared>,
    portals: HashMap<String, Portal>,
    counted: bool,
}

impl Session {
    async fn serve(&mut self) -> Result<(), WireError> {
        if !self.start().await? {
            return Ok(());
        }
        loop {
            let next = self.channel.next();
            let frame = if self.guard.is_some() {
                match compio::time::timeout(LONGEST_PAUSE_IN_TRANSACTION, next).await {
                    Ok(frame) => frame?,
                    Err(_) => return Ok(()),
                }
            } else {
                next.await?
            };
            self.wait_while_hung().await;
            match frame.kind() {
                caller::TERMINATE => return Ok(()),
                caller::QUERY => self.simple(&frame).await?,
                caller::SYNC => {
                    self.failed_batch = false;
                    self.finish().await?;
                }
                caller::FLUSH => self.channel.flush().await?,
                _ if self.failed_batch => {}
                _ => {
                    if let Err(err) = self.extended(&frame).await {
                        self.failed_batch = true;
                        self.report(&err);
                    }
                }
            }
        }
    }

    async fn start(&mut self) -> Result<bool, WireError> {
        const SSL_REQUEST: u32 = 80_877_103;
        const CANCEL_REQUEST: u32 = 80_877_102;
        let (code, body) = loop {
            let mut head = self.channel.next_raw(8).await?;
            let length = head.get_u32() as usize;
            let code = head.get_u32();
            if code == SSL_REQUEST {
                self.channel.queue(b"N");
                self.channel.flush().await?;
                continue;
            }
            break (code, self.channel.next_raw(length.saturating_sub(8)).await?);
        };
        if code == CANCEL_REQUEST {
            return Ok(false);
        }
        startup_parameters(&body)?;
        self.wait_while_hung().await;
        let (cost, limit) = {
            let member = self.member.borrow();
            (member.connection_cost_ms, member.settings.connections)
        };
        self.counted = self.member.borrow().counts.connect(limit);
        if !self.counted {
            ErrorReport::fatal("53300", "too many connections").encode(self.channel.outgoing());
            self.channel.flush().await?;
            return Ok(false);
        }
        compio::time::sleep(Duration::from_millis(cost)).await;
        self.channel.queue(Frame::new(target::AUTHENTICATION, &[0; 4]).bytes());
        queue_server_parameters(self.channel.outgoing());
        self.channel.queue(Frame::new(target::BACKEND_KEY, &[0; 8]).bytes());
        self.channel.queue(ready(status::IDLE).bytes());
        self.channel.flush().await?;
        Ok(true)
    }

    async fn wait_while_hung(&self) {
        let target = self.member.borrow().target.clone();
        loop {
            let changed = self.faults.listen();
            if self.faults.target(&target) != TargetFault::Hung {
                return;
            }
            changed.await;
        }
    }

    fn report(&mut self, err: &SqlError) {
        if self.guard.is_some() {
            self.failed = true;
        }
        ErrorReport::error(err.code, err.message.clone()).encode(self.channel.outgoing());
    }

    async fn finish(&mut self) -> Result<(), WireError> {
        let state = match (self.guard.is_some(), self.failed) {
            (false, _) => status::IDLE,
            (true, false) => status::IN_TRANSACTION,
            (true, true) => status::FAILED,
        };
        // A member hung in the middle of a statement must not answer either.
        self.wait_while_hung().await;
        self.channel.queue(ready(state).bytes());
        self.channel.flush().await
    }

    async fn simple(&mut self, frame: &Frame) -> Result<(), WireError> {
        let text = frame.first_text()?.to_owned();
        match self.run_script(&text).await {
            Ok(results) => {
                for result in results {
                    if !result.columns.is_empty() {
                        self.channel.queue(wire::row_description(&result.columns).bytes());
                    }
                    wire::rows(&result, self.channel.outgoing());
                }
            }
            Err(err) => self.report(&err),
        }
        self.finish().await
    }

    async fn run_script(&mut self, text: &str) -> Result<Vec<SqlResult>, SqlError> {
        if ControlCall::parse(text).is_some() {
            return Ok(vec![self.run_statement(text, &[]).await?]);
        }
        let mut results = Vec::new();
        for part in statements(text) {
            results.push(self.run_statement(part, &[]).await?);
        }
        Ok(results)
    }

    async fn extended(&mut self, frame: &Frame) -> Result<(), SqlError> {
        let broken = |err: WireError| SqlError::new("08P01", err.to_string());
        match frame.kind() {
            caller::PARSE => {
                let (name, sql, types) = parse_parts(frame).map_err(broken)?;
                let prepared = Prepared { sql: sql.to_owned(), parameter_types: read_types(types) };
                if !name.is_empty() && self.statements.contains_key(name) {
                    return Err(SqlError::new("42P05", format!("\"{name}\" already exists")));
                }
                self.statements.insert(name.to_owned(), prepared);
                self.channel.queue(Frame::new(target::PARSE_COMPLETE, &[]).bytes());
            }
            caller::BIND => {
                let (portal, statement, rest) = bind_parts(frame).map_err(broken)?;
                let prepared = self.prepared(statement)?;
                let values = read_values(rest, &prepared.parameter_types)
                    .ok_or_else(|| SqlError::new("08P01", "malformed Bind"))?;
                let bound = Portal { sql: prepared.sql, values, result: None };
                self.portals.insert(portal.to_owned(), bound);
                self.channel.queue(Frame::new(target::BIND_COMPLETE, &[]).bytes());
            }
            caller::DESCRIBE => {
                let (kind, name) = subject(frame).map_err(broken)?;
                let columns = if kind == b'S' {
                    let prepared = self.prepared(name)?;
                    let types = wire::parameter_description(&prepared.parameter_types);
                    self.channel.queue(types.bytes());
                    self.columns(&prepared.sql)?
                } else {
                    self.portal_result(name).await?.columns
                };
                if columns.is_empty() {
                    self.channel.queue(Frame::new(target::NO_DATA, &[]).bytes());
                } else {
                    self.channel.queue(wire::row_description(&columns).bytes());
                }
            }
            caller::EXECUTE => {
                let name = frame.first_text().map_err(broken)?.to_owned();
                let result = self.portal_result(&name).await?;
                self.portals.remove(&name);
                wire::rows(&result, self.channel.outgoing());
            }
            caller::CLOSE => {
                let (kind, name) = subject(frame).map_err(broken)?;
                if kind == b'S' {
                    self.statements.remove(name);
                } else {
                    self.portals.remove(name);
                }
                self.channel.queue(Frame::new(target::CLOSE_COMPLETE, &[]).bytes());
            }
            other => return Err(SqlError::new("08P01", format!("unknown message {other}"))),
        }
        Ok(())
    }

    fn prepared(&self, name: &str) -> Result<Prepared, SqlError> {
        let missing = || SqlError::new("26000", format!("no prepared statement \"{name}\""));
        self.statements.get(name).cloned().ok_or_else(missing)
    }

    async fn portal_result(&mut self, name: &str) -> Result<SqlResult, SqlError> {
        let portal = self.portals.get(name).cloned();
        let portal = portal.ok_or_else(|| SqlError::new("34000", "no such portal"))?;
        if let Some(result) = portal.result {
            return Ok(result);
        }
        let result = self.run_statement(&portal.sql, &portal.values).await?;
        if let Some(portal) = self.portals.get_mut(name) {
            portal.result = Some(result.clone());
        }
        Ok(result)
    }

    fn columns(&self, sql: &str) -> Result<Vec<SqlColumn>, SqlError> {
        if word(sql, 0) == "BEGIN" || settings_tag(sql).is_some() {
            return Ok(Vec::new());
        }
        let member = self.member.borrow();
        let statement = member.db.prepare(sql)?;
        Ok(describe(&statement))
    }

    async fn run_statement(
        &mut self,
        sql: &str,
        values: &[SqlValue],
    ) -> Result<SqlResult, SqlError> {
        if let Some(call) = ControlCall::parse(sql) {
            return call.run(&self.name, &self.members).await;
        }
        self.member.borrow().counts.statements.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let first = word(sql, 0);
        if self.failed && !matches!(first.as_str(), "ROLLBACK" | "COMMIT" | "END" | "ABORT") {
            return Err(SqlError::new("25P02", "the transaction is aborted"));
        }
        if let Some(tag) = settings_tag(sql) {
            if first == "DISCARD" && self.guard.is_some() {
                let text = "DISCARD ALL cannot run inside a transaction block";
                return Err(SqlError::new("25001", text));
            }
            return Ok(SqlResult { tag, ..SqlResult::default() });
        }
        match first.as_str() {
            "BEGIN" | "START" => {
                self.begin().await?;
                Ok(SqlResult { tag: "BEGIN".to_owned(), ..SqlResult::default() })
            }
            "COMMIT" | "END" if !self.failed => {
                self.commit()?;
                Ok(SqlResult { tag: "COMMIT".to_owned(), ..SqlResult::default() })
            }
            "COMMIT" | "END" | "ROLLBACK" | "ABORT" => {
                self.roll_back();
                Ok(SqlResult { tag: "ROLLBACK".to_owned(), ..SqlResult::default() })
            }
            _ => self.run_sql(sql, values).await,
        }
    }

    async fn begin(&mut self) -> Result<(), SqlError> {
        if self.guard.is_none() {
            let lock = Arc::clone(&self.member.borrow().lock);
            self.guard = Some(lock.lock_arc().await);
            let member = self.member.borrow();
            self.begun_under = Some(member.term);
            member.db.execute_batch("BEGIN")?;
        }
        Ok(())
    }

    fn commit(&mut self) -> Result<(), SqlError> {
        if self.guard.is_none() {
            return Ok(());
        }
        let superseded = {
            let member = self.member.borrow();
            let leads = self.begun_under == Some(member.term) && member.role == MemberRole::Primary;
            !self.pending.is_empty() && !leads
        };
        if superseded {
            self.roll_back();
            return Err(SqlError::new("25006", "the member no longer leads"));
        }
        let sql = std::mem::take(&mut self.pending).join(";\n");
        {
            let mut member = self.member.borrow_mut();
            // The database may have been rebuilt meanwhile; then nothing was open in it.
            let _ = member.db.execute_batch("COMMIT");
            if !sql.is_empty() {
                member.commit(sql);
            }
        }
        self.roll_back();
        Ok(())
    }

    fn roll_back(&mut self) {
        if self.guard.is_some() {
            // Nothing is open any more after a commit or a rebuild.
            let _ = self.member.borrow().db.execute_batch("ROLLBACK");
        }
        self.guard = None;
        self.failed = false;
        self.pending.clear();
        self.begun_under = None;
    }

    async fn run_sql(&mut self, sql: &str, values: &[SqlValue]) -> Result<SqlResult, SqlError> {
        self.spend_time().await;
        let single = self.guard.is_none();
        if single {
            self.begin().await?;
        }
        match self.step(sql, values) {
            Ok(result) => {
                if single {
                    self.commit()?;
                }
                Ok(result)
            }
            Err(err) => {
                if single {
                    self.roll_back();
                }
                Err(err)
            }
        }
    }

    /// Holds a slot for as long as a statement takes.
    async fn spend_time(&self) {
        let slots = Arc::clone(&self.member.borrow().slots);
        let _slot = slots.acquire_arc().await;
        let (target, mut time) = {
            let member = self.member.borrow();
            (member.target.clone(), Duration::from_micros(member.statement_us))
        };
        if let TargetFault::Slow(ms) = self.faults.target(&target) {
            time += Duration::from_millis(ms);
        }
        if !time.is_zero() {
            compio::time::sleep(time).await;
        }
    }

    fn step(&mut self, sql: &str, values: &[SqlValue]) -> Result<SqlResult, SqlError> {
        let member = self.member.borrow();
        let mut statement = member.db.prepare_cached(sql)?;
        let reads = statement.readonly();
        if !reads && member.role != MemberRole::Primary {
            let text = "cannot execute a write in a read-only transaction";
            return Err(SqlError::new("25006", text));
        }
        for index in 1..=statement.parameter_count() {
            let name = statement.parameter_name(index).unwrap_or("").to_owned();
            let position = name.trim_start_matches(['$', '?']).parse().unwrap_or(index);
            let value = values.get(position - 1).cloned().unwrap_or(SqlValue::Null);
            statement.raw_bind_parameter(index, value)?;
        }
        let expanded = if reads { None } else { statement.expanded_sql() };
        let columns = describe(&statement);
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next()? {
            let mut line = Vec::with_capacity(columns.len());
            for index in 0..columns.len() {
                line.push(SqlValue::from_sqlite(row.get_ref(index)?));
            }
            rows.push(line);
        }
        drop(cursor);
        let changes = member.db.changes();
        self.pending.extend(expanded);
        let first = word(sql, 0);
        let tag = match first.as_str() {
            "INSERT" => format!("INSERT 0 {changes}"),
            "UPDATE" | "DELETE" => format!("{first} {changes}"),
            "SELECT" | "WITH" | "VALUES" => format!("SELECT {}", rows.len()),
            _ => format!("{first} {}", word(sql, 1)),
        };
        Ok(SqlResult { columns, rows, tag })
    }

    fn end(&mut self) {
        self.roll_back();
        if self.counted {
            self.member.borrow().counts.disconnect();
        }
    }
}

fn describe(statement: &rusqlite::Statement<'_>) -> Vec<SqlColumn> {
    let columns = statement.columns();
    columns
        .iter()
        .map(|it| {
            let declared = it.decl_type().unwrap_or("").to_ascii_uppercase();
            let name = it.name().to_owned();
            let call = name.to_ascii_lowercase();
            let counts = ["count(", "sum(", "max(", "min("].iter().any(|it| call.starts_with(it));
            let type_id = if declared.contains("INT") || counts {
                type_id::INT8
            } else if declared.contains("REAL") {
                type_id::FLOAT8
            } else {
                type_id::TEXT
            };
            SqlColumn { name, type_id }
        })
        .collect()
}

/// The statements of a script; a semicolon within quotes separates nothing.
fn statements(text: &str) -> Vec<&str> {
    let mut quoted = false;
    let parts = text.split(|it: char| {
        quoted ^= it == '\'';
        it == ';' && !quoted
    });
    parts.map(str::trim).filter(|it| !it.is_empty()).collect()
}

/// The statement's word at `index`, in capitals.
fn word(sql: &str, index: usize) -> String {
    let mut text = sql.trim_start();
    while let Some(rest) = text.strip_prefix("/*") {
        text = rest.split_once("*/").map_or("", |(_, tail)| tail).trim_start();
    }
    let found = text.split(|it: char| !it.is_ascii_alphanumeric() && it != '_').nth(index);
    found.unwrap_or("").to_ascii_uppercase()
}

/// The tag of a statement that only changes session settings, which the stand-in has none of.
fn settings_tag(sql: &str) -> Option<String> {
    match word(sql, 0).as_str() {
        "SET" => Some("SET".to_owned()),
        "DISCARD" => Some("DISCARD ALL".to_owned()),
        "DEALLOCATE" => Some("DEALLOCATE".to_owned()),
        _ => None,
    }
}

fn read_types(mut rest: &[u8]) -> Vec<u32> {
    if rest.len() < 2 {
        return Vec::new();
    }
    let count = usize::from(rest.get_u16());
    (0..count).map_while(|_| (rest.len() >= 4).then(|| rest.get_u32())).collect()
}

fn read_values(rest: &[u8], types: &[u32]) -> Option<Vec<SqlValue>> {
    let mut buf = BytesMut::from(rest);
    let formats = take_formats(&mut buf)?;
    let count = usize::from(take_u16(&mut buf)?);
    let mut values = Vec::with_capacity(count);
    for index in 0..count {
        if buf.len() < 4 {
            return None;
        }
        let length = buf.get_i32();
        let bytes = match usize::try_from(length) {
            Ok(length) if buf.len() >= length => Some(buf.split_to(length)),
            Ok(_) => return None,
            Err(_) => None,
        };
        let format = if formats.len() == 1 { formats.first() } else { formats.get(index) };
        let binary = format == Some(&1);
        let type_id = types.get(index).copied().unwrap_or(0);
        values.push(SqlValue::from_wire(bytes.as_deref(), type_id, binary));
    }
    Some(values)
}

fn take_formats(buf: &mut BytesMut) -> Option<Vec<u16>> {
    let count = take_u16(buf)?;
    (0..count).map(|_| take_u16(buf)).collect()
}

fn take_u16(buf: &mut BytesMut) -> Option<u16> {
    (buf.len() >= 2).then(|| buf.get_u16())
}
