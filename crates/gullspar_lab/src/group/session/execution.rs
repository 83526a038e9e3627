//! Running statements and transactions on the member's database.

use std::sync::Arc;
use std::time::Duration;

use super::SqlError;
use super::session_loop::Session;
use super::sql_text::{settings_tag, word};
use super::value::{SqlValue, type_id};
use crate::faults::TargetFault;
use crate::group::control::ControlCall;
use crate::group::sql_result::{SqlColumn, SqlResult};
use gullspar_model::MemberRole;

impl Session {
    pub(super) async fn run_statement(
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

    pub(super) fn roll_back(&mut self) {
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
}

/// The columns of a statement's rows.
pub(super) fn describe(statement: &rusqlite::Statement<'_>) -> Vec<SqlColumn> {
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
