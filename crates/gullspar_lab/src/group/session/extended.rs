//! Messages of the extended query protocol: Parse, Bind, Describe, Execute and Close.

use super::parameters::{read_types, read_values};
use super::portal::{Portal, Prepared};
use super::session_loop::Session;
use super::sql_text::{settings_tag, word};
use super::{SqlError, execution, wire};
use crate::group::sql_result::{SqlColumn, SqlResult};
use gullspar_wire::{Frame, WireError, bind_parts, caller, kind_and_name, parse_parts, target};

impl Session {
    pub(super) async fn extended(&mut self, frame: &Frame) -> Result<(), SqlError> {
        let protocol_error = |err: WireError| SqlError::new("08P01", err.to_string());
        match frame.kind() {
            caller::PARSE => {
                let (name, sql, types) = parse_parts(frame).map_err(protocol_error)?;
                let prepared = Prepared { sql: sql.to_owned(), parameter_types: read_types(types) };
                if !name.is_empty() && self.statements.contains_key(name) {
                    return Err(SqlError::new("42P05", format!("\"{name}\" already exists")));
                }
                self.statements.insert(name.to_owned(), prepared);
                self.channel.queue(Frame::new(target::PARSE_COMPLETE, &[]).bytes());
            }
            caller::BIND => {
                let (portal, statement, rest) = bind_parts(frame).map_err(protocol_error)?;
                let prepared = self.prepared(statement)?;
                let values = read_values(rest, &prepared.parameter_types)
                    .ok_or_else(|| SqlError::new("08P01", "malformed Bind"))?;
                let bound = Portal { sql: prepared.sql, values, result: None };
                self.portals.insert(portal.to_owned(), bound);
                self.channel.queue(Frame::new(target::BIND_COMPLETE, &[]).bytes());
            }
            caller::DESCRIBE => {
                let (kind, name) = kind_and_name(frame).map_err(protocol_error)?;
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
                let name = frame.first_text().map_err(protocol_error)?.to_owned();
                let result = self.portal_result(&name).await?;
                self.portals.remove(&name);
                wire::rows(&result, self.channel.outgoing());
            }
            caller::CLOSE => {
                let (kind, name) = kind_and_name(frame).map_err(protocol_error)?;
                if kind == b'S' {
                    self.statements.remove(name);
                } else {
                    self.portals.remove(name);
                }
                self.channel.queue(Frame::new(target::CLOSE_COMPLETE, &[]).bytes());
            }
            other => return Err(SqlError::new("08P01", format!("unknown message type {other}"))),
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
        Ok(execution::describe(&statement))
    }
}
