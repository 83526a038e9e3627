//! Connection pools for targets, admission to them, and the execution of units of work.
//!
//! Each target's connections are held by one instance, its home; other instances use them over
//! lanes. `docs/design/scarce-connections.md` explains why.

mod admission;
mod exchange;
mod keyed_request;
mod lane;
mod lane_server;
mod local_lane;
mod pools;
mod remote_lane;
mod target_connection;
mod target_pool;
mod unit_exchange;

pub use admission::{Admission, Permit};
pub use lane::{Canceller, FrameSink, Lane, LaneError, Lanes, Unit};
pub use lane_server::{ActiveLanes, serve_lane};
pub use local_lane::LocalLane;
pub use pools::{PoolReport, Pools};
pub use remote_lane::RemoteLane;
pub use target_connection::TargetConnection;
pub use target_pool::TargetPool;
