//! The report on service-level burn: how fast each service and class uses up what its objective allows
//! to fail, and what is to blame.

mod burn_report;
mod html;
mod text;

pub use burn_report::{BurnReport, BurnRow, BurnWindow, Urgency};
pub use html::{HtmlError, html};
pub use text::text;
