//! Detection of network partitions that make other instances the better choice for callers.

use std::rc::Rc;
use std::time::Duration;

use gullspar_model::NotRun;

use crate::groups::group::Group;
use crate::{CutOff, Phase, Proxy, ROTATION, Route};

/// Time between two checks of the peers and of this instance's own connectivity.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Proxy {
    /// Whether an operation should be refused at once instead of waiting for a usable leader of
    /// `group`.
    ///
    /// This is the case if other instances use the leader, if sessions can be forwarded to one that
    /// does, if this instance is isolated, or if the leader is leaving and is not being replaced.
    /// The caller can then retry, at another instance or once another leader is in place.
    pub(crate) fn should_fail_fast(&self, group: &Group) -> bool {
        if group.serving_leader().is_some() {
            return false;
        }
        let now = self.borders.clock.boot_now();
        if group.working_leader().is_some() {
            return !group.is_being_replaced(now);
        }
        let is_led_for_others = group.leader().is_some_and(|it| {
            self.peers.views.is_seen_leading_by_majority(&group.name, &it.member, now)
        });
        is_led_for_others
            || self.peers.is_isolated(now)
            || self.forwarding_candidates(&group.name).is_some()
    }

    /// Whether this instance is isolated from the other instances and reaches the leaders of at most
    /// half of its groups. Callers are then better served elsewhere.
    ///
    /// An instance that is home of no group forwards its callers, so it relies on the homes in its
    /// data centre: it is partitioned if none of them reaches its leaders.
    pub(crate) fn is_partitioned(&self) -> bool {
        let now = self.borders.clock.boot_now();
        if !self.peers.is_isolated(now) {
            return false;
        }
        match self.groups().is_empty() {
            true => !self.peers.has_working_home(now),
            false => !self.can_reach_leaders(),
        }
    }

    /// Whether this instance is home of some groups and reaches the leaders of more than half of
    /// them.
    pub(crate) fn can_reach_leaders(&self) -> bool {
        2 * self.led_group_count() > self.groups().len()
    }

    /// The number of groups whose leaders this instance reaches.
    pub(crate) fn led_group_count(&self) -> usize {
        self.groups().iter().filter(|it| it.working_leader().is_some()).count()
    }

    /// The reason why no session with `route` can be opened here now; `None` if it can be opened.
    ///
    /// A session opened nevertheless would be closed while its first request is under way, and the
    /// caller would not know whether the request ran.
    pub(crate) fn session_refusal(&self, route: &Route, is_forwarded: bool) -> Option<NotRun> {
        if self.shutdown.phase() >= Phase::ClosingIdle {
            return Some(NotRun::Leaving);
        }
        let should_refuse = match self.shutdown.cut_off() {
            CutOff::No => false,
            // Instances without the group forward to its homes, whose state of the leaders is newer.
            CutOff::Yes => match self.group(&route.group) {
                Some(group) => !self.can_serve(&group, route),
                None => is_forwarded,
            },
            CutOff::OutOfRotation => true,
        };
        should_refuse.then_some(NotRun::Unreachable)
    }

    /// Whether any statement with `route` can be served: the group has a leader, or replicas are
    /// fresh enough.
    fn can_serve(&self, group: &Group, route: &Route) -> bool {
        let now = self.borders.clock.boot_now();
        let is_fresh = |max_age| group.reading_within(now, max_age).is_some();
        group.working_leader().is_some() || route.freshness.max_age().is_some_and(is_fresh)
    }

    /// Whether this instance has been able to serve callers since its start; it reports ready only
    /// then.
    ///
    /// Without a reachable leader nothing can be served, since the age of a replica's data is
    /// computed from the leader's position. A partitioned instance that started as ready would
    /// attract callers of its data centre and refuse them.
    pub(crate) fn has_served(&self) -> bool {
        if self.useful.get() {
            return true;
        }
        let can_serve = match self.groups().len() {
            // An instance without groups forwards all sessions.
            0 => self.peers.running_count() > 0,
            count => 2 * self.led_group_count() >= count,
        };
        self.useful.set(can_serve);
        can_serve
    }

    /// Checks the other instances, redirects callers while this instance is partitioned, and
    /// maintains alternate routes to leaders that only this instance can't reach.
    pub(crate) async fn monitor_connectivity(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut partitioned_since = None;
        let mut routed_groups = Vec::new();
        loop {
            self.check_peers();
            self.refresh_alternate_routes(&mut routed_groups);
            if self.is_partitioned() {
                let since = *partitioned_since.get_or_insert_with(|| {
                    log::warn!(
                        "G0741 this instance is partitioned; callers are sent to other instances"
                    );
                    clock.now()
                });
                let is_out_of_rotation = clock.now() >= since + ROTATION;
                self.shutdown.set_cut_off(if is_out_of_rotation {
                    CutOff::OutOfRotation
                } else {
                    CutOff::Yes
                });
            } else if partitioned_since.take().is_some() {
                log::info!("G0742 this instance is no longer partitioned");
                self.shutdown.set_cut_off(CutOff::No);
            }
            clock.sleep_until(clock.now() + CHECK_INTERVAL).await;
        }
    }
}
