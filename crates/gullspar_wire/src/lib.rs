//! PostgreSQL frames over a link, and the few messages that gullspar reads or writes itself.
//!
//! Most bytes pass through untouched: a frame is a type byte, a length and a body, and only the
//! frames that a decision needs are decoded, by the `pgwire` library.

mod channel;
mod error_report;
mod frame;
mod lane_frame;
mod messages;
mod query_client;
mod wire_error;

pub use channel::{Channel, QueryRow};
pub use error_report::ErrorReport;
pub use frame::{Frame, FrameHeader};
pub use lane_frame::{LaneFrame, LaneRequirement, LaneUnit};
pub use messages::*;
pub use query_client::QueryClient;
pub use wire_error::WireError;
