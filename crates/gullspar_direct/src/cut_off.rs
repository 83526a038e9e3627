//! Judging whether callers are better served by other instances.

use std::rc::Rc;
use std::time::Duration;

use crate::group::Group;
use crate::{CutOff, Proxy, ROTATION};

/// Between two looks at whether this instance is cut off.
const JUDGE_EVERY: Duration = Duration::from_millis(50);

impl Proxy {
    /// Whether waiting for a leader of `group` that this instance can use is in vain: the others use it, or
    /// this instance is cut off from them, or it leaves and nobody is about to take its place. Refused at once, a
    /// caller's next try reaches another instance or comes when another one leads.
    pub(crate) fn is_hopeless(&self, group: &Group) -> bool {
        if group.serving_leader().is_some() {
            return false;
        }
        let now = self.borders.clock.boot_now();
        if group.working_leader().is_some() {
            return !group.is_being_replaced(now);
        }
        let led = group
            .leader()
            .is_some_and(|it| self.peers.others_see_lead(&group.name, &it.member, now));
        led || self.peers.is_isolated(now) || self.ways_around(&group.name).is_some()
    }

    /// Whether this instance is cut off from the other instances and from the leaders of half of the
    /// groups or more, so that callers are better served elsewhere.
    pub(crate) fn is_cut_off(&self) -> bool {
        if !self.peers.is_isolated(self.borders.clock.boot_now()) {
            return false;
        }
        let groups = self.groups();
        let lost = groups.iter().filter(|it| it.working_leader().is_none()).count();
        lost > 0 && 2 * lost >= groups.len()
    }

    /// Whether this instance has been able to serve callers since its start.
    ///
    /// Without a leader in reach nothing can be served, since how old the data of a replica is follows from what a
    /// leader said. An instance that starts behind a cut would draw a share of its data centre's callers and
    /// refuse them all; while it is not ready, they go to other data centres.
    pub(crate) fn has_been_useful(&self) -> bool {
        if self.useful.get() {
            return true;
        }
        let groups = self.groups();
        let led = groups.iter().filter(|it| it.working_leader().is_some()).count();
        let useful = match groups.is_empty() {
            // It hands all sessions on.
            true => !self.peers.alive(self.borders.clock.boot_now()).is_empty(),
            false => 2 * led >= groups.len(),
        };
        self.useful.set(useful);
        useful
    }

    /// Sends callers away while this instance is cut off, or around a leader that only it can't reach.
    pub(crate) async fn judge_itself(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut cut_off_since = None;
        let mut ways_around = Vec::new();
        loop {
            self.look_for_ways(&mut ways_around);
            if self.is_cut_off() {
                let since = *cut_off_since.get_or_insert_with(|| {
                    log::warn!("G0741 this instance is cut off; callers are sent elsewhere");
                    clock.now()
                });
                let out = clock.now() >= since + ROTATION;
                self.shutdown.set_cut_off(if out { CutOff::OutOfRotation } else { CutOff::Yes });
            } else if cut_off_since.take().is_some() {
                log::info!("G0742 this instance is no longer cut off");
                self.shutdown.set_cut_off(CutOff::No);
            }
            clock.sleep_until(clock.now() + JUDGE_EVERY).await;
        }
    }
}
