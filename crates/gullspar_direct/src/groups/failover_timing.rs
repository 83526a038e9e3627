//! The pace of replacing a leader.

use std::time::Duration;

/// Between two looks at whether a group needs another leader.
pub(crate) const LOOK_EVERY: Duration = Duration::from_millis(50);

/// How long a group may be without a leader, while members answer, before one is made.
///
/// A promotion that another instance ordered shows as a leaderless moment; acting on it would only
/// repeat the order.
pub(crate) const LEADERLESS_FOR: Duration = Duration::from_millis(700);

/// How much longer each instance waits than the one before it in the group's order, so that usually one
/// alone asks the store.
pub(crate) const TURN: Duration = Duration::from_millis(250);

/// How long an ordered promotion may take to show before it is ordered anew.
///
/// Members take 600 to 1,000 ms to lead; the rest is the way of the order and of the next check.
pub(crate) const TAKES_EFFECT_WITHIN: Duration = Duration::from_millis(1800);

/// Times that a promotion is ordered in a row with one token while no answer comes: of a platform that loses
/// half of the answers, one in sixteen loses all.
pub(crate) const ORDER_TRIES: u32 = 4;

/// Pause after the store or the platform failed to answer.
pub(crate) const FAILED_PAUSE: Duration = Duration::from_millis(250);

/// How long a candidate may take to tell how far its log reaches.
pub(crate) const ASK_WITHIN: Duration = Duration::from_millis(150);

/// How long a leader that is leaving may wait for a successor that has all of its log.
///
/// Leaving members go on serving for about seven seconds; the handover must be over before.
pub(crate) const CATCH_UP_WITHIN: Duration = Duration::from_millis(4500);
