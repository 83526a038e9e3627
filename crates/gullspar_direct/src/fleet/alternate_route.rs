//! Forwards sessions to other instances while this one can't reach a group's leader.
//!
//! A leader that only some instances can't reach is not replaced as long as most others use it.
//! Refused callers might retry at another instance that can't reach the leader either, so their
//! sessions are forwarded.

use std::time::Duration;

use gullspar_model::GroupName;

use crate::{Member, Proxy};

/// How long the leader must have been unavailable here before sessions are forwarded. A leader that
/// fails for all instances is detected by all of them earlier, and then no alternate route exists.
const LEADERLESS_AFTER: Duration = Duration::from_millis(600);

/// How long a refused connection counts as a sign that a target has no connection left for this
/// instance. This is longer than the interval between two checks of a target.
///
/// Such a target works, so [`LEADERLESS_AFTER`] need not pass. After a power loss, targets keep the
/// connections of dead instances for seconds and may have none left for all running ones.
const CONNECTIONS_REFUSED_TTL: Duration = Duration::from_millis(500);

/// At least one in this many of the instances that monitor the group must see its leader. A single
/// view may still be from before the leader failed.
const MIN_SEEING_ONE_IN: usize = 4;

/// Maximum number of instances that are tried in turn.
const MAX_CANDIDATES: usize = 3;

impl Proxy {
    /// Instances to forward sessions of `group` to now, best first; `None` if this instance reaches
    /// the leader, lost it only just now, or too few others see one.
    pub(crate) fn forwarding_candidates(&self, group: &GroupName) -> Option<Vec<Member>> {
        let known = self.group(group)?;
        let leaderless_since = known.leader_unavailable_since()?;
        let now = self.borders.clock.now();
        let has_refused_connection = now
            .checked_sub(CONNECTIONS_REFUSED_TTL)
            .is_some_and(|it| known.has_hit_connection_limit_since(it));
        if now < leaderless_since + LEADERLESS_AFTER && !has_refused_connection {
            return None;
        }
        let now = self.borders.clock.boot_now();
        let mut candidates = self.peers.views.members_seeing_leader(group, now);
        if MIN_SEEING_ONE_IN * candidates.len() < self.peers.views.counted_for(group, now) {
            return None;
        }
        // Spreads sessions over the candidates.
        let offset = self.borders.entropy.next_u64() as usize % candidates.len();
        candidates.rotate_left(offset);
        candidates.sort_by_key(|it| it.data_centre != self.own.data_centre);
        candidates.truncate(MAX_CANDIDATES);
        Some(candidates)
    }

    /// Updates since when groups lack a leader here, and notifies sessions when an alternate route
    /// appears or ends. `routed` holds the groups that have one.
    pub(crate) fn refresh_alternate_routes(&self, routed: &mut Vec<GroupName>) {
        let now = self.borders.clock.now();
        let groups = self.groups();
        groups.iter().for_each(|it| it.refresh_leader_availability(now));
        let names = groups.iter().map(|it| it.name.clone());
        let found: Vec<GroupName> =
            names.filter(|it| self.forwarding_candidates(it).is_some()).collect();
        if found == *routed {
            return;
        }
        for group in found.iter().filter(|it| !routed.contains(it)) {
            log::warn!(group = group.as_str(); "G0754 a leader is unreachable; sessions are forwarded to other instances");
        }
        for group in routed.iter().filter(|it| !found.contains(it)) {
            log::info!(group = group.as_str(); "G0755 sessions of a group are no longer forwarded");
        }
        *routed = found;
        self.shutdown.notify();
    }
}
