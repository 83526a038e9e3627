//! Searches a query for anything that may write.

use std::ops::ControlFlow;

use sqlparser::ast::{Expr, Query, Select, SetExpr, TableFactor, Visitor};

/// Functions that are known not to write. Any other may be user-defined and write.
const READ_ONLY_FUNCTIONS: [&str; 44] = [
    "abs",
    "array_agg",
    "avg",
    "bool_and",
    "bool_or",
    "cast",
    "ceil",
    "char_length",
    "coalesce",
    "concat",
    "count",
    "current_date",
    "current_time",
    "current_timestamp",
    "date",
    "date_part",
    "date_trunc",
    "extract",
    "floor",
    "greatest",
    "json_agg",
    "least",
    "left",
    "length",
    "lower",
    "ltrim",
    "max",
    "min",
    "mod",
    "now",
    "nullif",
    "position",
    "replace",
    "right",
    "round",
    "row_number",
    "rtrim",
    "string_agg",
    "strftime",
    "substr",
    "substring",
    "sum",
    "trim",
    "upper",
];

/// Visitor that breaks at the first part of a query that may write.
pub(crate) struct WriteFinder;

impl Visitor for WriteFinder {
    type Break = ();

    fn pre_visit_query(&mut self, query: &Query) -> ControlFlow<()> {
        // Row locks (`FOR UPDATE`) can only be taken on the primary.
        if !query.locks.is_empty() {
            return ControlFlow::Break(());
        }
        check_body(&query.body)
    }

    fn pre_visit_select(&mut self, select: &Select) -> ControlFlow<()> {
        if select.into.is_some() { ControlFlow::Break(()) } else { ControlFlow::Continue(()) }
    }

    fn pre_visit_expr(&mut self, expr: &Expr) -> ControlFlow<()> {
        let Expr::Function(function) = expr else { return ControlFlow::Continue(()) };
        let name = function.name.to_string().to_ascii_lowercase();
        if READ_ONLY_FUNCTIONS.contains(&name.as_str()) {
            ControlFlow::Continue(())
        } else {
            ControlFlow::Break(())
        }
    }

    fn pre_visit_table_factor(&mut self, table: &TableFactor) -> ControlFlow<()> {
        match table {
            TableFactor::Table { args: None, .. }
            | TableFactor::Derived { .. }
            | TableFactor::NestedJoin { .. } => ControlFlow::Continue(()),
            _ => ControlFlow::Break(()),
        }
    }
}

fn check_body(body: &SetExpr) -> ControlFlow<()> {
    match body {
        SetExpr::Select(_) | SetExpr::Query(_) | SetExpr::Values(_) | SetExpr::Table(_) => {
            ControlFlow::Continue(())
        }
        SetExpr::SetOperation { left, right, .. } => {
            check_body(left)?;
            check_body(right)
        }
        _ => ControlFlow::Break(()),
    }
}
