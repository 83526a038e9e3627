//! PostgreSQL protocol messages over a link.
//!
//! A frame is a type byte, a length and a body. Most frames are forwarded unchanged; only those that
//! routing and session handling depend on are decoded.

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
