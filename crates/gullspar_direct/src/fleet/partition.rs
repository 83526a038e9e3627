//! Detects a network partition, and decides which sessions an instance opens meanwhile.

use std::rc::Rc;
use std::time::Duration;

use gullspar_model::NotRun;

use crate::groups::group::Group;
use crate::{PartitionState, Phase, Proxy, Route};

/// Time between two checks for silent peers and for a partition.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Proxy {
    /// Whether a request should fail at once instead of waiting for a usable leader of `group`.
    ///
    /// This is so if other instances still use the leader, if this instance is partitioned, or if the leader is leaving
    /// and no successor is being promoted. The caller's retry may then reach an instance that can serve it.
    pub(crate) fn should_fail_fast(&self, group: &Group) -> bool {
        if group.serving_leader().is_some() {
            return false;
        }
        let now = self.borders.clock.boot_now();
        if group.responsive_leader().is_some() {
            return !group.is_being_replaced(now);
        }
        let is_led_for_others = group.leader().is_some_and(|it| {
            self.peers.views.is_seen_leading_by_majority(&group.name, &it.member, now)
        });
        is_led_for_others
            || self.peers.is_isolated(now)
            || self.forwarding_candidates(&group.name).is_some()
    }

    /// Whether this instance has lost contact with most other instances and with the leaders of at least half of its
    /// groups, so that callers are better served elsewhere.
    ///
    /// This is by the instance's own view; see `docs/design/rotation.md` for when it applies.
    ///
    /// An instance that is a home of no group forwards its callers to the homes of its data centre. It counts as
    /// partitioned if it has lost contact with most other instances and none of these homes reaches its leaders.
    pub(crate) fn is_partitioned(&self) -> bool {
        let now = self.borders.clock.boot_now();
        if !self.peers.is_isolated(now) {
            return false;
        }
        match self.groups().is_empty() {
            true => !self.peers.has_working_home(now),
            false => !self.can_reach_most_leaders(),
        }
    }

    /// Whether this instance is a home of some groups and reaches the leaders of more than half of them.
    pub(crate) fn can_reach_most_leaders(&self) -> bool {
        2 * self.led_group_count() > self.groups().len()
    }

    /// The number of this instance's groups whose leader it reaches.
    pub(crate) fn led_group_count(&self) -> usize {
        self.groups().iter().filter(|it| it.responsive_leader().is_some()).count()
    }

    /// The reason to refuse a new session with `route`; `None` if it can be opened.
    ///
    /// A session opened in spite of the reason would be closed while its first request is on its way, and the caller
    /// would not know whether that request ran.
    pub(crate) fn session_refusal(&self, route: &Route, is_forwarded: bool) -> Option<NotRun> {
        if self.shutdown.phase() >= Phase::ClosingIdle {
            return Some(NotRun::Leaving);
        }
        let is_restricted = self.rotation.is_restricted.get();
        let should_refuse = match self.shutdown.partition_state() {
            PartitionState::Connected if !is_restricted => false,
            state @ (PartitionState::Connected | PartitionState::Partitioned) => {
                match self.group(&route.group) {
                    Some(group) => {
                        let has_other_way =
                            is_restricted && self.has_other_way(&group, is_forwarded);
                        !has_other_way && !self.can_serve(&group, route)
                    }
                    None if is_forwarded => state == PartitionState::Partitioned,
                    None => is_restricted && !self.can_forward(route, state),
                }
            }
            PartitionState::OutOfRotation => true,
        };
        should_refuse.then(|| self.unreachable_reason())
    }

    /// Whether a session may be served although `group` has no leader here: through another instance, or because this
    /// one became a home only just now.
    fn has_other_way(&self, group: &Group, is_forwarded: bool) -> bool {
        let has_route = !is_forwarded && self.forwarding_candidates(&group.name).is_some();
        has_route || self.is_new_home(group)
    }

    /// Whether an isolated instance that is no home of the group forwards a session: unless it is known that no home
    /// can serve it, the decision is left to the homes, which contact the leaders.
    fn can_forward(&self, route: &Route, state: PartitionState) -> bool {
        let needs_leader = route.freshness.max_age().is_none();
        if needs_leader && self.is_leader_lost_for_all(&route.group) {
            return false;
        }
        // Homes in other data centres can't be reached by a data centre that leaves rotation.
        state == PartitionState::Connected || self.has_near_home(&route.group)
    }

    /// Whether any statement with `route` can be served: its group has a usable leader, or a position sample is recent
    /// enough for reads from replicas.
    fn can_serve(&self, group: &Group, route: &Route) -> bool {
        let now = self.borders.clock.boot_now();
        let has_recent_sample = |max_age| group.position_sample_within(now, max_age).is_some();
        group.responsive_leader().is_some()
            || route.freshness.max_age().is_some_and(has_recent_sample)
    }

    /// Whether this instance has been able to serve callers since its start.
    ///
    /// An instance that starts during a partition reaches no leader and could serve nothing, since the age of a
    /// replica's data is computed from a leader's position samples. It must not become ready: it would attract callers
    /// and refuse them all.
    pub(crate) fn has_been_able_to_serve(&self) -> bool {
        if self.was_able_to_serve.get() {
            return true;
        }
        let is_able = match self.groups().len() {
            count if self.awaits_first_verdict() => self.is_told_to_stay().unwrap_or_else(|| {
                let now = self.borders.clock.boot_now();
                2 * self.led_group_count() >= count && self.peers.has_working_home(now)
            }),
            // An instance that is a home of no group forwards all sessions.
            0 => self.peers.running_count() > 0,
            count => 2 * self.led_group_count() >= count,
        };
        self.was_able_to_serve.set(is_able);
        is_able
    }

    /// Checks for silent peers, sends callers elsewhere while this instance is partitioned, and refreshes alternate
    /// routes to leaders that other instances reach and this one can't; never returns.
    pub(crate) async fn monitor_connectivity(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut routed_groups = Vec::new();
        loop {
            self.check_peers();
            self.refresh_alternate_routes(&mut routed_groups);
            self.maintain_rotation();
            // Readiness is not asked for all the time, and it ends the wait for a first verdict.
            self.has_been_able_to_serve();
            clock.sleep_until(clock.now() + CHECK_INTERVAL).await;
        }
    }
}
