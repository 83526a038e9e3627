//! Who leads a database group, and what its members have: observation, acknowledgement, promotion.
//!
//! The rules and the ways that were weighed are in `docs/design/acknowledgement.md` and
//! `docs/design/promotion.md`.

mod group_manager;
mod group_timing;
mod group_watch;
mod member_view;
mod observer;
mod promotion;
mod reading_history;
mod repair;
mod suspicion;
mod target_control;

pub use group_manager::GroupManager;
pub use group_timing::GroupTiming;
pub use group_watch::{GroupWatch, Leader, Settled, WatchUse};
pub use member_view::MemberView;
pub use promotion::{Promotion, PromotionError};
pub use reading_history::{Reading, ReadingHistory};
pub use target_control::{STATUS_NOW, TargetControl, TargetError, read_status};
