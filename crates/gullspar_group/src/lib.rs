//! Observation of database groups, acknowledgement of writes, and promotion of a new primary.
//!
//! The rules and the alternatives considered are in `docs/design/acknowledgement.md` and
//! `docs/design/promotion.md`.

mod group_manager;
mod group_timing;
mod group_watch;
mod member_view;
mod observer;
mod position_samples;
mod promotion;
mod repair;
mod suspicion;
mod target_control;

pub use group_manager::GroupManager;
pub use group_timing::GroupTiming;
pub use group_watch::{GroupWatch, Leader, Settled, WatchGuard};
pub use member_view::MemberView;
pub use position_samples::{PositionSample, PositionSamples};
pub use promotion::{Promotion, PromotionError};
pub use target_control::{STATUS_QUERY, TargetControl, TargetError, parse_status};
