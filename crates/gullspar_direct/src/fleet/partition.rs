//! Judging whether callers are better served by other instances.

use std::rc::Rc;
use std::time::Duration;

use gullspar_model::NotRun;

use crate::groups::group::Group;
use crate::{CutOff, Phase, Proxy, ROTATION, Route};

/// Between two looks at who has fallen silent and whether this instance is cut off.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl Proxy {
    /// Whether waiting for a leader of `group` that this instance can use is in vain: the others use it, or
    /// this instance is cut off from them, or it leaves and nobody is about to take its place. Refused at once, a
    /// caller's next try reaches another instance or comes when another one leads.
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

    /// Whether this instance is cut off from the other instances and from the leaders of half of the
    /// groups or more, so that callers are better served elsewhere.
    ///
    /// One that is home of no group goes by the homes of its data centre, which it hands its callers on to: if none of
    /// them reaches its leaders, it would only keep callers waiting to be refused.
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

    /// Whether this instance is home of some groups and reaches the leaders of more than half of them.
    pub(crate) fn can_reach_leaders(&self) -> bool {
        2 * self.led_group_count() > self.groups().len()
    }

    /// How many of its groups' leaders this instance reaches.
    pub(crate) fn led_group_count(&self) -> usize {
        self.groups().iter().filter(|it| it.working_leader().is_some()).count()
    }

    /// Why no session with `route` is opened here now, if none is.
    ///
    /// Opened all the same, it would be closed while its first request is on the way, and the caller would not know
    /// whether that ran.
    pub(crate) fn session_refusal(&self, route: &Route, is_forwarded: bool) -> Option<NotRun> {
        if self.shutdown.phase() >= Phase::ClosingIdle {
            return Some(NotRun::Leaving);
        }
        let should_refuse = match self.shutdown.cut_off() {
            CutOff::No => false,
            // One that is home of nothing leaves it to homes, which hear of leaders until the last moment.
            CutOff::Yes => match self.group(&route.group) {
                Some(group) => !self.can_serve(&group, route),
                None => is_forwarded,
            },
            CutOff::OutOfRotation => true,
        };
        should_refuse.then_some(NotRun::Unreachable)
    }

    /// Whether any statement with `route` can be served: its group is led, or replicas were heard of lately enough.
    fn can_serve(&self, group: &Group, route: &Route) -> bool {
        let now = self.borders.clock.boot_now();
        let fresh = |max_age| group.reading_within(now, max_age).is_some();
        group.working_leader().is_some() || route.freshness.max_age().is_some_and(fresh)
    }

    /// Whether this instance has been able to serve callers since its start.
    ///
    /// Without a leader in reach nothing can be served, since how old the data of a replica is follows from what a
    /// leader said. An instance that starts behind a cut would draw a share of its data centre's callers and
    /// refuse them all; while it is not ready, they go to other data centres.
    pub(crate) fn has_served(&self) -> bool {
        if self.useful.get() {
            return true;
        }
        let can_serve = match self.groups().len() {
            // It hands all sessions on.
            0 => self.peers.running_count() > 0,
            count => 2 * self.led_group_count() >= count,
        };
        self.useful.set(can_serve);
        can_serve
    }

    /// Notices who has fallen silent, and sends callers away while this instance is cut off, or around a leader that
    /// only it can't reach.
    pub(crate) async fn monitor_connectivity(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut partitioned_since = None;
        let mut forwarding_candidates = Vec::new();
        loop {
            self.check_peers();
            self.refresh_alternate_routes(&mut forwarding_candidates);
            if self.is_partitioned() {
                let since = *partitioned_since.get_or_insert_with(|| {
                    log::warn!("G0741 this instance is cut off; callers are sent elsewhere");
                    clock.now()
                });
                let is_out_of_rotation = clock.now() >= since + ROTATION;
                self.shutdown.set_cut_off(if is_out_of_rotation {
                    CutOff::OutOfRotation
                } else {
                    CutOff::Yes
                });
            } else if partitioned_since.take().is_some() {
                log::info!("G0742 this instance is no longer cut off");
                self.shutdown.set_cut_off(CutOff::No);
            }
            clock.sleep_until(clock.now() + CHECK_INTERVAL).await;
        }
    }
}
