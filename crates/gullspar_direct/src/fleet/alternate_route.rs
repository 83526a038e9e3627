//! Serving callers through another instance while this one can't reach a group's leader.
//!
//! A leader may be cut off from some instances only. As long as most others use it, it is not replaced, and
//! what this instance refuses would be served by its neighbour. A caller's next try may meet one like it.

use std::time::Duration;

use gullspar_model::GroupName;

use crate::{Member, Proxy};

/// How long this instance must have been without the leader. One that fails for everybody is seen to by
/// all within half a second; then there is no way around.
const LEADERLESS_AFTER: Duration = Duration::from_millis(600);

/// How long it says that there is no room for this instance when a target refused it a connection:
/// longer than the pause between two checks.
///
/// Such a target works, so that there is no need to wait for [`LEADERLESS_AFTER`]. After a power loss of all, targets keep the
/// connections of the dead for seconds, and have no room for all of the living until then.
const CONNECTIONS_REFUSED_TTL: Duration = Duration::from_millis(500);

/// One in this many of the instances that look at the group must see it led. The view of a single one may
/// be from the moment before the leader failed.
const MIN_SEEING_ONE_IN: usize = 4;

/// Instances that are tried in offset.
const MAX_CANDIDATES: usize = 3;

impl Proxy {
    /// Instances through which callers of `group` are better served now, best first; `None` if this one
    /// reaches the leader, or nobody does.
    pub(crate) fn forwarding_candidates(&self, group: &GroupName) -> Option<Vec<Member>> {
        let known = self.group(group)?;
        let leaderless_since = known.leader_lacking_since()?;
        let now = self.borders.clock.now();
        let has_refused_connection =
            now.checked_sub(CONNECTIONS_REFUSED_TTL).is_some_and(|it| known.was_full_since(it));
        if now < leaderless_since + LEADERLESS_AFTER && !has_refused_connection {
            return None;
        }
        let now = self.borders.clock.boot_now();
        let mut candidates = self.peers.views.members_seeing_leader(group, now);
        if MIN_SEEING_ONE_IN * candidates.len() < self.peers.views.counted_for(group, now) {
            return None;
        }
        // Each session takes its own offset, so that they share the work.
        let offset = self.borders.entropy.next_u64() as usize % candidates.len();
        candidates.rotate_left(offset);
        candidates.sort_by_key(|it| it.data_centre != self.own.data_centre);
        candidates.truncate(MAX_CANDIDATES);
        Some(candidates)
    }

    /// Keeps in mind since when groups are without a leader here, and has sessions look where to go when
    /// a way around one appears or ends.
    pub(crate) fn refresh_alternate_routes(&self, routed: &mut Vec<GroupName>) {
        let now = self.borders.clock.now();
        let groups = self.groups();
        groups.iter().for_each(|it| it.look_for_leader(now));
        let names = groups.iter().map(|it| it.name.clone());
        let found: Vec<GroupName> =
            names.filter(|it| self.forwarding_candidates(it).is_some()).collect();
        if found == *routed {
            return;
        }
        for group in found.iter().filter(|it| !routed.contains(it)) {
            log::warn!(group = group.as_str(); "G0754 a leader is out of this instance's reach; sessions go through others");
        }
        for group in routed.iter().filter(|it| !found.contains(it)) {
            log::info!(group = group.as_str(); "G0755 sessions of a group are served here again");
        }
        *routed = found;
        self.shutdown.notify();
    }
}
