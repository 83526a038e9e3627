//! Classifies statements by their text.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use gullspar_model::Access;
use sqlparser::ast::{self, Visit};
use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::parser::Parser;

use crate::local_command::LocalCommand;
use crate::statement::{Statement, StatementKind};
use crate::statement_visitor::WriteFinder;

/// Maximum number of cached classifications.
const MAX_CACHED_TEXTS: usize = 4096;

/// Longer texts are not cached, in bytes; bounds the memory of the cache.
const MAX_CACHED_TEXT_BYTES: usize = 4096;

/// Classifies statements and caches the results, since callers often repeat the same texts.
#[derive(Default)]
pub struct Classifier {
    cache: RefCell<HashMap<Rc<str>, Rc<Statement>>>,
}

impl Classifier {
    /// Classifies `sql`.
    pub fn classify(&self, sql: &str) -> Rc<Statement> {
        if let Some(known) = self.cache.borrow().get(sql) {
            return Rc::clone(known);
        }
        let statement = Rc::new(classify(sql));
        if sql.len() <= MAX_CACHED_TEXT_BYTES && statement.request_key.is_none() {
            let mut cache = self.cache.borrow_mut();
            if cache.len() >= MAX_CACHED_TEXTS {
                // Texts with literal values seldom repeat; after a clear, each repeated text is
                // parsed just once more.
                cache.clear();
            }
            cache.insert(Rc::from(sql), Rc::clone(&statement));
        }
        statement
    }
}

fn classify(sql: &str) -> Statement {
    let marks = Marks::read(sql);
    let kind = match LocalCommand::parse(sql) {
        Some(command) => StatementKind::Local(command),
        None => kind_of(sql),
    };
    Statement { kind, request_key: marks.request_key, idempotent: marks.idempotent }
}

fn kind_of(sql: &str) -> StatementKind {
    // Text that can't be parsed may write, so it runs on the primary unchanged.
    let Ok(statements) = Parser::parse_sql(&PostgreSqlDialect {}, sql) else {
        return kind_by_first_word(sql);
    };
    match statements.as_slice() {
        [] => StatementKind::Data(Access::Read),
        [single] => kind_of_single(single),
        several => {
            let reads =
                several.iter().all(|it| kind_of_single(it) == StatementKind::Data(Access::Read));
            if reads { StatementKind::Data(Access::Read) } else { kind_of_script(several) }
        }
    }
}

fn kind_of_script(statements: &[ast::Statement]) -> StatementKind {
    for statement in statements {
        match kind_of_single(statement) {
            StatementKind::Refused(why) => return StatementKind::Refused(why),
            StatementKind::Pinning | StatementKind::Set | StatementKind::Reset => {
                return StatementKind::Pinning;
            }
            _ => {}
        }
    }
    StatementKind::Script
}

fn kind_of_single(statement: &ast::Statement) -> StatementKind {
    use ast::Statement as S;
    match statement {
        S::Query(query) => {
            let writes = query.visit(&mut WriteFinder).is_break();
            if !writes {
                return StatementKind::Data(Access::Read);
            }
            let text = query.to_string().to_ascii_lowercase();
            if text.contains("pg_advisory_lock") || text.contains("set_config") {
                return StatementKind::Pinning;
            }
            StatementKind::Data(Access::Write)
        }
        S::StartTransaction { modes, statements, .. } if statements.is_empty() => {
            let read_only = modes.iter().any(|it| {
                *it == ast::TransactionMode::AccessMode(ast::TransactionAccessMode::ReadOnly)
            });
            StatementKind::Begin { read_only }
        }
        S::Commit { .. } => StatementKind::Commit,
        S::Rollback { savepoint: None, .. } => StatementKind::RollBack,
        S::Set(ast::Set::SetTransaction { .. }) => StatementKind::Script,
        S::Set(set) => {
            let text = set.to_string().to_ascii_uppercase();
            if text.starts_with("SET LOCAL") { StatementKind::Script } else { StatementKind::Set }
        }
        S::Discard { .. } => StatementKind::Reset,
        S::ShowVariable { .. } => StatementKind::Data(Access::Read),
        S::Copy { .. } => StatementKind::Refused("COPY is not supported; use INSERT or SELECT"),
        S::LISTEN { .. } | S::UNLISTEN { .. } => {
            StatementKind::Refused("LISTEN is not supported: sessions share connections")
        }
        S::Prepare { .. } | S::Execute { .. } | S::Deallocate { .. } | S::Declare { .. } => {
            StatementKind::Pinning
        }
        S::CreateTable(table) if table.temporary => StatementKind::Pinning,
        S::Insert(_) | S::Update(_) | S::Delete(_) => StatementKind::Data(Access::Write),
        _ => StatementKind::Script,
    }
}

fn kind_by_first_word(sql: &str) -> StatementKind {
    let word: String = sql.trim_start().chars().take_while(char::is_ascii_alphabetic).collect();
    match word.to_ascii_uppercase().as_str() {
        "COPY" => StatementKind::Refused("COPY is not supported; use INSERT or SELECT"),
        "RESET" => StatementKind::Reset,
        "SET" => StatementKind::Set,
        _ => StatementKind::Script,
    }
}

/// Marks that a caller writes in a leading comment, as `/* gullspar key=job-17 idempotent */`.
#[derive(Default)]
struct Marks {
    request_key: Option<String>,
    idempotent: bool,
}

impl Marks {
    fn read(sql: &str) -> Marks {
        let mut marks = Marks::default();
        let comment = sql
            .trim_start()
            .strip_prefix("/*")
            .and_then(|it| it.split_once("*/"))
            .and_then(|(comment, _)| comment.trim().strip_prefix("gullspar "));
        for mark in comment.unwrap_or("").split_whitespace() {
            if let Some(key) = mark.strip_prefix("key=") {
                marks.request_key = Some(key.to_owned());
            } else if mark == "idempotent" {
                marks.idempotent = true;
            }
        }
        marks
    }
}
