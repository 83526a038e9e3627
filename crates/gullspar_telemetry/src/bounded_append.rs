//! Log lines as JSON, limited in rate.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Instant;

use logforth::layout::{JsonLayout, Layout};
use logforth::record::Record;
use logforth::{Append, Diagnostic, Error};

use crate::{LineBudget, LineWriter};

/// Length of the event number at the start of a message: a letter and four digits.
const EVENT_NUMBER_LENGTH: usize = 5;

/// An appender that writes JSON lines and limits the rate of each event.
#[derive(Debug)]
pub struct BoundedAppend {
    layout: JsonLayout,
    budgets: Mutex<BTreeMap<String, LineBudget>>,
    writer: LineWriter,
}

impl BoundedAppend {
    /// Creates an appender that writes to `writer`.
    pub fn new(writer: LineWriter) -> BoundedAppend {
        let layout = JsonLayout::default().timezone(jiff::tz::TimeZone::UTC);
        BoundedAppend { layout, budgets: Mutex::default(), writer }
    }

    /// Consumes one line of the event's budget. Returns `None` if the line must be left out, otherwise the number
    /// of lines left out before it.
    fn try_consume(&self, event: &str) -> Option<u64> {
        let now = Instant::now();
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get_mut(event) {
            return budget.try_consume(now);
        }
        let mut budget = LineBudget::new(now);
        let left_out = budget.try_consume(now);
        budgets.insert(event.to_owned(), budget);
        left_out
    }
}

impl Append for BoundedAppend {
    fn append(&self, record: &Record, diags: &[Box<dyn Diagnostic>]) -> Result<(), Error> {
        let message = record.payload().to_string();
        let event = message.get(..EVENT_NUMBER_LENGTH).unwrap_or(&message);
        let Some(left_out) = self.try_consume(event) else { return Ok(()) };
        let mut line = self.layout.format(record, diags)?;
        line.push(b'\n');
        let lost = self.writer.take_lost_count();
        if left_out > 0 || lost > 0 {
            let gap_line = format!(
                "{{\"message\":\"lines are missing before the next one\",\"event\":\"{event}\",\
                 \"left_out\":{left_out},\"lost\":{lost}}}\n"
            );
            self.writer.write(gap_line.into_bytes());
        }
        self.writer.write(line);
        Ok(())
    }

    fn flush(&self) -> Result<(), Error> {
        self.writer.flush();
        Ok(())
    }
}
