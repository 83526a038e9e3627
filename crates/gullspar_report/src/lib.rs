//! The report on burn rates: how fast each service and class uses up its error budget, and which
//! targets the failed requests were sent to.

mod burn_report;
mod html;
mod text;

pub use burn_report::{BurnReport, BurnRow, BurnWindow, Urgency};
pub use html::{HtmlError, html};
pub use text::text;
