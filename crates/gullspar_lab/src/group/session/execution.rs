//! Runs statements and transactions on the member's database.

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
            self.transaction_term = Some(member.term);
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
            let is_leader =
                self.transaction_term == Some(member.term) && member.role == MemberRole::Primary;
            !self.pending_writes.is_empty() && !is_leader
        };
        if superseded {
            self.roll_back();
            return Err(SqlError::new("25006", "the member is no longer the primary"));
        }
        let sql = std::mem::take(&mut self.pending_writes).join(";\n");
        {
            let mut member = self.member.borrow_mut();
            // Fails if the database was rebuilt after BEGIN: the new one has no open transaction.
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
            // Fails after a commit or a rebuild, when no transaction is open.
            let _ = self.member.borrow().db.execute_batch("ROLLBACK");
        }
        self.guard = None;
        self.failed = false;
        self.pending_writes.clear();
        self.transaction_term = None;
    }

    async fn run_sql(&mut self, sql: &str, values: &[SqlValue]) -> Result<SqlResult, SqlError> {
        self.occupy_slot().await;
        let is_autocommit = self.guard.is_none();
        if is_autocommit {
            self.begin().await?;
        }
        match self.execute(sql, values) {
            Ok(result) => {
                if is_autocommit {
                    self.commit()?;
                }
                Ok(result)
            }
            Err(err) => {
                if is_autocommit {
                    self.roll_back();
                }
                Err(err)
            }
        }
    }

    /// Occupies a slot for the simulated duration of a statement.
    async fn occupy_slot(&self) {
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

    fn execute(&mut self, sql: &str, values: &[SqlValue]) -> Result<SqlResult, SqlError> {
        let member = self.member.borrow();
        let mut statement = member.db.prepare_cached(sql)?;
        let is_read_only = statement.readonly();
        if !is_read_only && member.role != MemberRole::Primary {
            let text = "cannot execute a write in a read-only transaction";
            return Err(SqlError::new("25006", text));
        }
        for index in 1..=statement.parameter_count() {
            let name = statement.parameter_name(index).unwrap_or("").to_owned();
            let position = name.trim_start_matches(['$', '?']).parse().unwrap_or(index);
            let value = values.get(position - 1).cloned().unwrap_or(SqlValue::Null);
            statement.raw_bind_parameter(index, value)?;
        }
        let expanded = if is_read_only { None } else { statement.expanded_sql() };
        let columns = describe(&statement);
        let mut rows = Vec::new();
        let mut cursor = statement.raw_query();
        while let Some(row) = cursor.next()? {
            let mut row_values = Vec::with_capacity(columns.len());
            for index in 0..columns.len() {
                row_values.push(SqlValue::from_sqlite(row.get_ref(index)?));
            }
            rows.push(row_values);
        }
        drop(cursor);
        let changes = member.db.changes();
        self.pending_writes.extend(expanded);
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

/// The columns of a statement's result, with types guessed from declarations and names.
pub(super) fn describe(statement: &rusqlite::Statement<'_>) -> Vec<SqlColumn> {
    let columns = statement.columns();
    columns
        .iter()
        .map(|it| {
            let declared = it.decl_type().unwrap_or("").to_ascii_uppercase();
            let name = it.name().to_owned();
            let call = name.to_ascii_lowercase();
            let is_aggregate =
                ["count(", "sum(", "max(", "min("].iter().any(|it| call.starts_with(it));
            let type_id = if declared.contains("INT") || is_aggregate {
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
