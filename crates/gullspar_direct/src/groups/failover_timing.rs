//! Intervals and timeouts of a failover.

use std::time::Duration;

/// Interval between checks of whether a group needs another leader.
pub(crate) const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between checks whether a group needs another leader while its leader answers and stays. All that can change
/// this notifies the group.
pub(crate) const CALM_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long a group may have no leader, while members answer, before one is promoted.
///
/// A promotion that another instance ordered leaves the group without a leader for a moment, which must not
/// cause a second order.
pub(crate) const LEADERLESS_TIMEOUT: Duration = Duration::from_millis(700);

/// How much longer each instance waits than the one ranked before it, so that usually only one asks the store
/// for the claim.
pub(crate) const TURN_DELAY: Duration = Duration::from_millis(250);

/// How long an ordered promotion may take to become visible before another one is ordered.
///
/// Covers the delivery of the order, the promotion itself and the next check of the member.
pub(crate) const PROMOTION_TIMEOUT: Duration = Duration::from_millis(1800);

/// Maximum number of times that a promotion is ordered with the same token if the platform does not answer.
pub(crate) const MAX_ORDER_ATTEMPTS: u32 = 4;

/// Delay before the next attempt after the store or the platform failed.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(250);

/// How long a candidate may take to report where its log ends.
pub(crate) const POINT_QUERY_TIMEOUT: Duration = Duration::from_millis(150);

/// How long the replacement of a leaving leader waits for a candidate that has the leader's whole log.
///
/// Leaving members keep serving for about seven seconds; the handover must be complete before that.
pub(crate) const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(4500);

/// Time from the claim of a transfer to its order, in which the other homes must learn of it and the candidate must show
/// that it has received everything.
///
/// Homes hold commits back for [`PROMOTION_TIMEOUT`] after they learn of the claim. The promotion, which takes 600 ms,
/// must take effect within that time even if they receive nothing more of this instance.
pub(crate) const TRANSFER_PREPARATION_TIMEOUT: Duration = Duration::from_millis(700);

/// Interval between checks of what the preparation of a transfer waits for.
pub(crate) const TRANSFER_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between two answered queries for what a replica has received. Each takes a slot there, and replicas receive
/// commits after some 50 to 90 ms.
pub(crate) const RECEIVED_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long the search for a candidate of a transfer may take. Covers refused queries, and the time that replicas need
/// to receive what the leader had when the search began.
pub(crate) const SUCCESSOR_QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay before a candidate of a transfer is searched for again.
pub(crate) const TRANSFER_RETRY_DELAY: Duration = Duration::from_millis(300);

/// Delay before the next attempt after the store or the platform failed, if the group is served meanwhile.
pub(crate) const SERVED_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Minimum time between two log lines about a group whose leader role is worth transferring; the verdict may come and go.
pub(crate) const VERDICT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Time from the claim of a failover to its order, in which the other homes must learn of the claim. Covers the time after
/// which a home that has stopped counts as silent.
pub(crate) const FAILOVER_PREPARATION_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a group's claim is read again after the store failed.
pub(crate) const CLAIM_READ_RETRY_DELAY: Duration = Duration::from_secs(1);
