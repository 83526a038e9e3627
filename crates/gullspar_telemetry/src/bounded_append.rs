//! Log lines as JSON, bounded in number.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use logforth::layout::{JsonLayout, Layout};
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};

use crate::{LineBudget, LineWriter};

/// Length of an event's number at the head of a message: a letter and four digits.
const NUMBER: usize = 5;

/// An appender that writes JSON lines, each event within its own budget.
#[derive(Debug)]
pub struct BoundedAppend {
    layout: JsonLayout,
    budgets: Mutex<BTreeMap<String, LineBudget>>,
    writer: LineWriter,
}

impl BoundedAppend {
    /// An appender that hands its lines to `writer`.
    pub fn new(writer: LineWriter) -> BoundedAppend {
        let layout = JsonLayout::default().timezone(jiff::tz::TimeZone::UTC);
        BoundedAppend { layout, budgets: Mutex::default(), writer }
    }

    /// Draws on the event's budget: `Some` if the line may be written, with those left out before it.
    fn draw(&self, event: &str) -> Option<u64> {
        let now = Instant::now();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get_mut(event) {
            return budget.try_consume(now);
        }
        let mut budget = LineBudget::new(now);
        let drawn = budget.try_consume(now);
        budgets.insert(event.to_owned(), budget);
        drawn
    }
}

impl Append for BoundedAppend {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let message = record.payload().to_string();
        let event = message.get(..NUMBER).unwrap_or(&message);
        let Some(left_out) = self.draw(event) else { return Ok(()) };
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        let lost = self.writer.take_lost_count();
        if left_out > 0 || lost > 0 {
            let note = format!(
                "{{\"message\":\"lines are missing before the next one\",\"event\":\"{event}\",\
                 \"left_out\":{left_out},\"lost\":{lost}}}\n"
            );
            self.writer.write(note.into_bytes());
        }
        self.writer.write(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.writer.flush();
        Ok(())
    }
}
