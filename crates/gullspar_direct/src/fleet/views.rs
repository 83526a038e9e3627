//! The newest heartbeats received from other instances, and what they report about groups.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_membership::{DEAD_COUNTED_PERIOD, Member};
use gullspar_model::{GroupName, InstanceId, MemberName, Revision};

use crate::groups::claim_spread::ClaimSpread;
use crate::{FencingToken, GroupView, Heartbeat, LeaderHealth};

/// An instance is alive if something was received from it within this time; this tolerates five
/// lost heartbeats in a row.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1200);

/// Age from which a view of a group says nothing about its leader any more.
const VIEW_TTL: Duration = Duration::from_millis(700);

/// How long a view counts as evidence that no other leader has been decided on.
///
/// This tolerates one lost heartbeat. It is shorter than the time that instances on the other side
/// of a partition need to promote a successor.
pub(crate) const CONFIRMATION_TTL: Duration = Duration::from_millis(350);

struct Received {
    heartbeat: Heartbeat,
    at: BootInstant,
}

/// The homes of a group by the list of members, where not every instance is one. Only these vote on its leader.
///
/// Other instances serve the group as well, for example while they don't reach its homes. Neither side of a cut may take such
/// instances for a majority.
#[derive(Default)]
pub(crate) struct GroupHomes {
    /// Whether this instance is one of them.
    pub(crate) includes_own: bool,
    pub(crate) others: BTreeSet<InstanceId>,
    /// Earlier homes that still send views, or did so until they died. They vote as well.
    earlier: BTreeSet<InstanceId>,
}

impl GroupHomes {
    pub(crate) fn new(homes: impl Iterator<Item = InstanceId>, own: &InstanceId) -> GroupHomes {
        let mut others: BTreeSet<InstanceId> = homes.collect();
        GroupHomes { includes_own: others.remove(own), others, earlier: BTreeSet::new() }
    }

    fn include(&self, id: &InstanceId) -> bool {
        self.others.contains(id) || self.earlier.contains(id)
    }
}

/// The newest heartbeat of each instance that sends heartbeats to this one: contacts and group
/// peers.
///
/// Group peers send theirs directly, so that the age of a view does not depend on the size of the
/// fleet.
#[derive(Default)]
pub(crate) struct Views {
    received: RefCell<BTreeMap<InstanceId, Received>>,
    /// The instances with a view of each group. With many groups and peers, searching all heartbeats for one group
    /// would cost more than everything else.
    monitors: RefCell<BTreeMap<GroupName, BTreeSet<InstanceId>>>,
    /// The homes of the groups that this instance serves. Of a group that is not listed, all monitoring instances are homes.
    homes: RefCell<BTreeMap<GroupName, GroupHomes>>,
}

impl Views {
    pub(crate) fn record(&self, mut heartbeat: Heartbeat, now: BootInstant) {
        heartbeat.sort_views();
        let from = heartbeat.from().clone();
        let mut received = self.received.borrow_mut();
        let old = received.get(&from).map(|it| &it.heartbeat);
        if !old.is_some_and(|it| it.groups().eq(heartbeat.groups())) {
            let mut monitors = self.monitors.borrow_mut();
            old.into_iter().for_each(|it| remove_monitor(&mut monitors, it));
            for group in heartbeat.groups() {
                monitors.entry(group.clone()).or_default().insert(from.clone());
            }
        }
        received.insert(from, Received { heartbeat, at: now });
    }

    /// Removes instances that have been silent for so long that they are no longer counted.
    pub(crate) fn forget_silent(&self, now: BootInstant) {
        let mut monitors = self.monitors.borrow_mut();
        self.received.borrow_mut().retain(|_, it| {
            let is_kept = now.since(it.at) < DEAD_COUNTED_PERIOD;
            if !is_kept {
                remove_monitor(&mut monitors, &it.heartbeat);
            }
            is_kept
        });
    }

    /// Sets the homes of all groups that this instance serves.
    pub(crate) fn set_homes(&self, homes: BTreeMap<GroupName, GroupHomes>) {
        let (mut known, monitors) = (self.homes.borrow_mut(), self.monitors.borrow());
        let old = std::mem::replace(&mut *known, homes);
        for (group, homes) in known.iter_mut() {
            let Some((old, monitors)) = old.get(group).zip(monitors.get(group)) else { continue };
            let earlier = old.others.iter().chain(&old.earlier).filter(|it| monitors.contains(*it));
            homes.earlier = earlier.cloned().collect();
        }
    }

    /// Whether this instance votes on the leader of `group`.
    pub(crate) fn is_own_vote_counted(&self, group: &GroupName) -> bool {
        self.homes.borrow().get(group).is_none_or(|it| it.includes_own)
    }

    /// Ids of the instances that vote on the leader of `group` and are not leaving.
    pub(crate) fn voting_ids(&self, group: &GroupName, now: BootInstant) -> Vec<InstanceId> {
        self.select_voters(group, now, ALIVE_TIMEOUT, |it, _| {
            (!it.is_leaving()).then(|| it.from().clone())
        })
    }

    /// Ids of the instances that monitor `group` or did so recently, including those that are leaving or silent.
    pub(crate) fn recent_monitors(&self, group: &GroupName, now: BootInstant) -> Vec<InstanceId> {
        self.select_monitors(group, now, DEAD_COUNTED_PERIOD, |it, _| Some(it.from().clone()))
    }

    /// Addresses of the instances that monitor `group`.
    pub(crate) fn monitoring_addresses(
        &self,
        group: &GroupName,
        now: BootInstant,
    ) -> Vec<SocketAddr> {
        self.select_monitors(group, now, DEAD_COUNTED_PERIOD, |it, _| Some(it.address()))
    }

    /// Whether a heartbeat was recently received from `id`.
    pub(crate) fn is_responsive(&self, id: &InstanceId, now: BootInstant) -> bool {
        self.received.borrow().get(id).is_some_and(|it| now.since(it.at) < ALIVE_TIMEOUT)
    }

    /// Number of instances that are counted in majorities about `group`: its homes, also those that were never heard.
    pub(crate) fn counted_for(&self, group: &GroupName, now: BootInstant) -> usize {
        let is_staying = |it: &Heartbeat, _: &GroupView| (!it.is_leaving()).then_some(());
        let heard = self.select_voters(group, now, DEAD_COUNTED_PERIOD, is_staying).len();
        let (homes, monitors) = (self.homes.borrow(), self.monitors.borrow());
        let is_heard = |it: &InstanceId| monitors.get(group).is_some_and(|all| all.contains(it));
        let others = homes.get(group).into_iter().flat_map(|it| &it.others);
        self.own_vote(group) + heard + others.filter(|it| !is_heard(it)).count()
    }

    fn own_vote(&self, group: &GroupName) -> usize {
        usize::from(self.is_own_vote_counted(group))
    }

    /// Whether the other instances that see `leader` leading `group` are more than half of those
    /// counted.
    pub(crate) fn is_seen_leading_by_majority(
        &self,
        group: &GroupName,
        leader: &MemberName,
        now: BootInstant,
    ) -> bool {
        let sees = |_: &Heartbeat, view: &GroupView| {
            let leads = view.health == LeaderHealth::Leads && view.leader.as_ref() == Some(leader);
            leads.then_some(())
        };
        2 * self.select_voters(group, now, VIEW_TTL, sees).len() > self.counted_for(group, now)
    }

    /// Whether a majority of the counted instances does not oppose `leader` of `group`: this one, and
    /// those from which such a view arrived after `since` and within [`CONFIRMATION_TTL`].
    ///
    /// To replace a listed leader that is not leaving, at least half of them must oppose it. So no
    /// such promotion was decided on before `since`.
    pub(crate) fn is_leader_confirmed(
        &self,
        group: &GroupName,
        leader: &MemberName,
        since: BootInstant,
        now: BootInstant,
    ) -> bool {
        let confirms = |_: &Heartbeat, view: &GroupView| {
            let not_against = match view.health {
                LeaderHealth::Leads => view.leader.as_ref() == Some(leader),
                // An instance that has just started has no opinion yet.
                LeaderHealth::Unsure => true,
                LeaderHealth::Unresponsive | LeaderHealth::NoLeader => false,
            };
            not_against.then_some(())
        };
        let within = now.since(since).min(CONFIRMATION_TTL);
        let others = self.select_voters(group, now, within, confirms).len();
        let confirming = self.own_vote(group) + others;
        2 * confirming > self.counted_for(group, now)
    }

    /// Which of the other instances that are counted for `group` have reported the claim with `token`, or a later one.
    pub(crate) fn claim_spread(
        &self,
        group: &GroupName,
        token: FencingToken,
        now: BootInstant,
    ) -> ClaimSpread {
        let knows = |view: &GroupView| view.claim.as_ref().is_some_and(|it| it.token >= token);
        let counted = self.select_monitors(group, now, DEAD_COUNTED_PERIOD, |it, view| {
            (!it.is_leaving()).then(|| knows(view))
        });
        let running = self.select_monitors(group, now, ALIVE_TIMEOUT, |_, view| Some(knows(view)));
        ClaimSpread {
            counted: counted.len(),
            informed: counted.into_iter().filter(|it| *it).count(),
            running_uninformed: running.into_iter().filter(|it| !*it).count(),
        }
    }

    /// Other instances that take work and recently saw a leader of `group`.
    pub(crate) fn members_seeing_leader(&self, group: &GroupName, now: BootInstant) -> Vec<Member> {
        let sees = |it: &Heartbeat, view: &GroupView| {
            let leads = view.health == LeaderHealth::Leads;
            (!it.is_leaving() && leads).then(|| it.member().clone())
        };
        self.select_monitors(group, now, VIEW_TTL, sees)
    }

    /// Whether any other instance recently saw a leader of `group`.
    pub(crate) fn is_leader_seen_by_peers(&self, group: &GroupName, now: BootInstant) -> bool {
        let sees =
            |_: &Heartbeat, view: &GroupView| (view.health == LeaderHealth::Leads).then_some(());
        !self.select_monitors(group, now, VIEW_TTL, sees).is_empty()
    }

    /// Number of other instances that recently saw no leader in `group`, or saw `leader`
    /// unresponsive; any unresponsive leader counts if `leader` is `None`.
    pub(crate) fn count_against_leader(
        &self,
        group: &GroupName,
        leader: Option<&MemberName>,
        now: BootInstant,
    ) -> usize {
        let against = |_: &Heartbeat, view: &GroupView| match view.health {
            LeaderHealth::NoLeader => Some(()),
            LeaderHealth::Unresponsive => {
                (view.leader.as_ref() == leader || leader.is_none()).then_some(())
            }
            LeaderHealth::Leads | LeaderHealth::Unsure => None,
        };
        self.select_voters(group, now, VIEW_TTL, against).len()
    }

    /// Responsive instances whose configuration is newer than `version` or whose list of targets is
    /// newer than `revision`; `None` as `revision` ignores the lists of targets.
    ///
    /// A list of targets is only accepted from an instance with recent store contact. The list of
    /// an instance that is partitioned from the store may date from a moment when most entries had
    /// expired.
    pub(crate) fn peers_with_updates(
        &self,
        version: u64,
        revision: Option<Revision>,
        store_contact_ttl: Duration,
        now: BootInstant,
    ) -> Vec<Member> {
        let ttl_ms = store_contact_ttl.as_millis();
        let is_ahead = |it: &Heartbeat| {
            let has_recent_store_contact =
                it.store_age_ms.is_some_and(|age| u128::from(age) < ttl_ms);
            let has_newer_targets = revision
                .is_some_and(|known| it.target_revision > known && has_recent_store_contact);
            (it.catalogue_version > version || has_newer_targets).then(|| it.member().clone())
        };
        self.select(now, ALIVE_TIMEOUT, is_ahead)
    }

    fn select<T>(
        &self,
        now: BootInstant,
        within: Duration,
        pick: impl Fn(&Heartbeat) -> Option<T>,
    ) -> Vec<T> {
        let received = self.received.borrow();
        let recent = received.values().filter(|it| now.since(it.at) < within);
        recent.filter_map(|it| pick(&it.heartbeat)).collect()
    }

    /// Like [`Views::select`], among the instances that monitor `group`.
    fn select_monitors<T>(
        &self,
        group: &GroupName,
        now: BootInstant,
        within: Duration,
        pick: impl Fn(&Heartbeat, &GroupView) -> Option<T>,
    ) -> Vec<T> {
        let (received, monitors) = (self.received.borrow(), self.monitors.borrow());
        let known = monitors.get(group).into_iter().flatten().filter_map(|it| received.get(it));
        let recent = known.filter(|it| now.since(it.at) < within);
        recent.filter_map(|it| pick(&it.heartbeat, it.heartbeat.view(group)?)).collect()
    }

    /// Like [`Views::select_monitors`], among those that vote on the leader of `group`.
    fn select_voters<T>(
        &self,
        group: &GroupName,
        now: BootInstant,
        within: Duration,
        pick: impl Fn(&Heartbeat, &GroupView) -> Option<T>,
    ) -> Vec<T> {
        let homes = self.homes.borrow();
        let homes = homes.get(group);
        self.select_monitors(group, now, within, |it, view| {
            let votes = homes.is_none_or(|homes| homes.include(it.from()));
            if votes { pick(it, view) } else { None }
        })
    }
}

fn remove_monitor(monitors: &mut BTreeMap<GroupName, BTreeSet<InstanceId>>, heartbeat: &Heartbeat) {
    for group in heartbeat.groups() {
        if let Some(ids) = monitors.get_mut(group) {
            ids.remove(heartbeat.from());
            if ids.is_empty() {
                monitors.remove(group);
            }
        }
    }
}
