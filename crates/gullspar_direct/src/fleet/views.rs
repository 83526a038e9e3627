//! What instances that were received say of groups and of themselves.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_membership::{DEAD_COUNTED_PERIOD, Member};
use gullspar_model::{GroupName, InstanceId, MemberName, Revision};

use crate::{Heartbeat, LeaderHealth};

/// An instance received within this time is alive: five heartbeats in a row may get lost.
const ALIVE_TIMEOUT: Duration = Duration::from_millis(1200);

/// A view of a group older than this says nothing about its leader any more.
const VIEW_TTL: Duration = Duration::from_millis(700);

/// A view older than this no longer shows that nobody has decided on another leader.
///
/// One heartbeat may get lost. Behind a cut the others order a successor some time after they see that the leader is out
/// of their reach, which takes them longer than this.
const CONFIRMATION_TTL: Duration = Duration::from_millis(350);

struct Received {
    heartbeat: Heartbeat,
    at: BootInstant,
}

/// The newest heartbeat of each instance that sends some here: contacts, and those that look at the same groups.
///
/// The latter tell each other directly, so that how old a view is does not depend on the size of the fleet.
#[derive(Default)]
pub(crate) struct Views {
    received: RefCell<BTreeMap<InstanceId, Received>>,
}

impl Views {
    pub(crate) fn record(&self, heartbeat: Heartbeat, now: BootInstant) {
        let from = heartbeat.from().clone();
        self.received.borrow_mut().insert(from, Received { heartbeat, at: now });
    }

    /// Forgets instances that were silent for so long that they count no more.
    pub(crate) fn forget_silent(&self, now: BootInstant) {
        self.received.borrow_mut().retain(|_, it| now.since(it.at) < DEAD_COUNTED_PERIOD);
    }

    /// Names of the instances that look at `group` and stay.
    pub(crate) fn monitoring_ids(&self, group: &GroupName, now: BootInstant) -> Vec<InstanceId> {
        self.select(now, ALIVE_TIMEOUT, |it| {
            let has_view = it.view(group).is_some();
            (!it.is_leaving() && has_view).then(|| it.from().clone())
        })
    }

    /// Addresses of the instances that look at `group`.
    pub(crate) fn monitoring_addresses(
        &self,
        group: &GroupName,
        now: BootInstant,
    ) -> Vec<SocketAddr> {
        self.select(now, DEAD_COUNTED_PERIOD, |it| it.view(group).map(|_| it.address()))
    }

    /// Whether `id` was received lately.
    pub(crate) fn is_responsive(&self, id: &InstanceId, now: BootInstant) -> bool {
        self.received.borrow().get(id).is_some_and(|it| now.since(it.at) < ALIVE_TIMEOUT)
    }

    /// Instances that count in a majority about `group`, this one included: those that look at it.
    pub(crate) fn counted_for(&self, group: &GroupName, now: BootInstant) -> usize {
        let monitors = |it: &Heartbeat| {
            let has_view = it.view(group).is_some();
            (!it.is_leaving() && has_view).then_some(())
        };
        1 + self.select(now, DEAD_COUNTED_PERIOD, monitors).len()
    }

    /// Whether at least half of the instances that count see `leader` lead `group`.
    pub(crate) fn is_seen_leading_by_majority(
        &self,
        group: &GroupName,
        leader: &MemberName,
        now: BootInstant,
    ) -> bool {
        let sees = |it: &Heartbeat| {
            let view = it.view(group)?;
            let leads = view.health == LeaderHealth::Leads && view.leader.as_ref() == Some(leader);
            leads.then_some(())
        };
        2 * self.select(now, VIEW_TTL, sees).len() > self.counted_for(group, now)
    }

    /// Whether most of the instances that count, this one included, have spoken since `since` and not against
    /// `leader` of `group`.
    ///
    /// A promotion needs half of them against the leader, so that none had been decided on as of `since`.
    pub(crate) fn is_leader_confirmed(
        &self,
        group: &GroupName,
        leader: &MemberName,
        since: BootInstant,
        now: BootInstant,
    ) -> bool {
        let confirms = |it: &Heartbeat| {
            let view = it.view(group)?;
            let not_against = match view.health {
                LeaderHealth::Leads => view.leader.as_ref() == Some(leader),
                // One that has just started has no say yet.
                LeaderHealth::Unsure => true,
                LeaderHealth::Unresponsive | LeaderHealth::NoLeader => false,
            };
            not_against.then_some(())
        };
        let confirming =
            1 + self.select(now, now.since(since).min(CONFIRMATION_TTL), confirms).len();
        2 * confirming > self.counted_for(group, now)
    }

    /// Other instances that take work and lately saw `group` led by somebody.
    pub(crate) fn members_seeing_leader(&self, group: &GroupName, now: BootInstant) -> Vec<Member> {
        let sees = |it: &Heartbeat| {
            let view = it.view(group)?;
            let leads = view.health == LeaderHealth::Leads;
            (!it.is_leaving() && leads).then(|| it.member().clone())
        };
        self.select(now, VIEW_TTL, sees)
    }

    /// Whether any other instance lately saw `group` led by somebody.
    pub(crate) fn is_leader_seen_by_peers(&self, group: &GroupName, now: BootInstant) -> bool {
        let sees = |it: &Heartbeat| {
            let view = it.view(group)?;
            (view.health == LeaderHealth::Leads).then_some(())
        };
        !self.select(now, VIEW_TTL, sees).is_empty()
    }

    /// Other instances that lately saw no working leader in `group`, or saw this one fail.
    pub(crate) fn count_against_leader(
        &self,
        group: &GroupName,
        leader: Option<&MemberName>,
        now: BootInstant,
    ) -> usize {
        let against = |it: &Heartbeat| {
            let view = it.view(group)?;
            match view.health {
                LeaderHealth::NoLeader => Some(()),
                LeaderHealth::Unresponsive => {
                    (view.leader.as_ref() == leader || leader.is_none()).then_some(())
                }
                LeaderHealth::Leads | LeaderHealth::Unsure => None,
            }
        };
        self.select(now, VIEW_TTL, against).len()
    }

    /// The instances received lately whose news are newer than `version` and `revision`.
    ///
    /// A list of targets is taken from one that knows of an instance that the store still answers: one that is cut off
    /// from it may hold a list from a moment at which most entries had lapsed.
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
        received
            .values()
            .filter(|it| now.since(it.at) < within)
            .filter_map(|it| pick(&it.heartbeat))
            .collect()
    }
}
