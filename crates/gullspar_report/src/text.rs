//! Renders the report as text.

use crate::{BurnReport, BurnRow, Urgency};

/// Renders the report for a terminal.
pub fn text(report: &BurnReport) -> String {
    if report.rows.is_empty() {
        return "no requests so far\n".to_owned();
    }
    let mut page = format!(
        "{:<12} {:<12} {:>9} {:>8} {:>8} {:>8} {:>8}  {}\n",
        "service", "class", "objective", "5 min", "30 min", "1 h", "6 h", "urgency"
    );
    for row in &report.rows {
        page.push_str(&format_row(row));
        for blame in &row.blames {
            let target = if blame.target.is_empty() { "no target" } else { blame.target.as_str() };
            page.push_str(&format!("    {:>7} at {target}: {}\n", blame.count, blame.reason));
        }
    }
    page
}

fn format_row(row: &BurnRow) -> String {
    let mut line = format!(
        "{:<12} {:<12} {:>8.2}%",
        row.service,
        row.class,
        row.objective_ppm as f64 / 10_000.0
    );
    for window in &row.windows {
        line.push_str(&format!(" {:>8.2}", window.burn_hundredths as f64 / 100.0));
    }
    line.push_str(&format!("  {}\n", urgency(row.urgency)));
    line
}

/// The name of an urgency; `-` if there is none.
pub(crate) fn urgency(urgency: Urgency) -> &'static str {
    match urgency {
        Urgency::Page => "page",
        Urgency::Ticket => "ticket",
        Urgency::None => "-",
    }
}
