//! State of the other instances, as received from them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::{Event, EventListener};
use gullspar_border::BootInstant;
use gullspar_membership::{Gossip, GossipOutcome, Member, Membership, Reach};
use gullspar_model::{DataCentre, GroupName, InstanceId, Revision};

use crate::fleet::last_known::LastKnown;
use crate::fleet::views::Views;
use crate::{Heartbeat, Members};

/// How long a report that some instance reaches the platform's store is valid. It spreads from
/// contact to contact with their heartbeats.
const STORE_CONTACT_TTL: Duration = Duration::from_secs(2);

/// How long a report that a home in this data centre reaches its leaders is valid. It takes a few
/// heartbeats to spread.
const HOME_CONTACT_TTL: Duration = Duration::from_millis(700);

/// How long an instance that no longer monitors a group still sends heartbeats to those that do.
/// Without these heartbeats, the receivers would count its last view for as long as they count dead
/// instances.
const GROUP_PEER_TTL: Duration = Duration::from_secs(2);

/// A version of the list of members; it grows with each change.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Epoch(u64);

/// Inputs that the cached members were computed from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CacheKey {
    generation: u64,
    /// Whether expected instances from which nothing was received yet are included.
    includes_expected: bool,
}

#[derive(Default)]
struct CachedMembers {
    /// `None` if the members must be collected again.
    key: Option<CacheKey>,
    epoch: Epoch,
    members: Rc<Members>,
}

/// An instance that monitors some of the same groups and receives this instance's views of them.
struct GroupPeer {
    /// The groups that both instances monitor.
    groups: BTreeSet<GroupName>,
    until: BootInstant,
}

/// Membership of the fleet and the last state received from each instance.
pub struct PeerTable {
    own: Member,
    membership: RefCell<Membership>,
    pub(crate) views: Views,
    /// Instances that monitor the same groups, by address.
    group_peers: RefCell<BTreeMap<SocketAddr, GroupPeer>>,
    store_contact: LastKnown,
    home_contact: LastKnown,
    /// Registered instances that count as members until `expected_until`, although nothing was
    /// received from them yet.
    expected: RefCell<Vec<Member>>,
    expected_until: Cell<Option<BootInstant>>,
    cached: RefCell<CachedMembers>,
    changed: Event,
}

impl PeerTable {
    /// Creates a table that contains only `own` and probes `seeds` for other instances.
    pub fn new(own: Member, seeds: impl IntoIterator<Item = SocketAddr>) -> PeerTable {
        PeerTable {
            membership: RefCell::new(Membership::new(own.clone(), seeds)),
            own,
            views: Views::default(),
            group_peers: RefCell::default(),
            store_contact: LastKnown::default(),
            home_contact: LastKnown::default(),
            expected: RefCell::default(),
            expected_until: Cell::new(None),
            cached: RefCell::default(),
            changed: Event::new(),
        }
    }

    /// Processes a heartbeat that arrived at `now`.
    pub(crate) fn handle_heartbeat(&self, heartbeat: Heartbeat, now: BootInstant) -> GossipOutcome {
        let outcome = self.membership.borrow_mut().handle_gossip(&heartbeat.gossip, now);
        self.store_contact.record_age(heartbeat.store_age_ms, now);
        if heartbeat.member().data_centre == self.own.data_centre {
            self.home_contact.record_age(heartbeat.home_age_ms, now);
        }
        self.views.record(heartbeat, now);
        if outcome.has_updates {
            self.changed.notify(usize::MAX);
        }
        outcome
    }

    /// Listens for membership updates to forward.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Whether there are membership updates to forward.
    pub(crate) fn has_updates(&self) -> bool {
        self.membership.borrow().has_updates()
    }

    /// Adds an address where an instance may run, to be probed.
    pub(crate) fn add_probe_address(&self, address: SocketAddr) {
        self.membership.borrow_mut().add_probe_address(address);
    }

    /// Announces whether this instance refuses new work.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.membership.borrow_mut().set_leaving(leaving);
    }

    /// Suspects silent instances and expires old state; returns the instances that are now declared
    /// dead.
    pub(crate) fn check(&self, now: BootInstant) -> Vec<InstanceId> {
        let dead = self.membership.borrow_mut().check(now);
        self.views.forget_silent(now);
        if self.has_updates() {
            self.changed.notify(usize::MAX);
        }
        dead
    }

    /// Begins a round of heartbeats; returns the receivers other than group peers.
    pub(crate) fn begin_round(&self, random: u64, now: BootInstant) -> Vec<SocketAddr> {
        self.membership.borrow_mut().begin_round(random, now)
    }

    /// The membership part of this round's heartbeat to the instance at `to`.
    pub(crate) fn gossip(&self, to: SocketAddr, now: BootInstant) -> Gossip {
        self.membership.borrow_mut().gossip_for(to, now)
    }

    /// The membership part of the answer to `gossip`.
    pub(crate) fn answer(&self, gossip: &Gossip, now: BootInstant) -> Gossip {
        self.membership.borrow_mut().answer(gossip, now)
    }

    /// Sets the instances that monitor the same groups. Those that no longer do so receive
    /// heartbeats until [`GROUP_PEER_TTL`] has passed.
    pub(crate) fn update_group_peers(
        &self,
        found: BTreeMap<SocketAddr, BTreeSet<GroupName>>,
        now: BootInstant,
    ) {
        let mut group_peers = self.group_peers.borrow_mut();
        group_peers.retain(|_, it| now < it.until);
        group_peers.values_mut().for_each(|it| it.groups.clear());
        let until = now.plus(GROUP_PEER_TTL);
        let others = found.into_iter().filter(|(address, _)| *address != self.own.address);
        group_peers.extend(others.map(|(address, groups)| (address, GroupPeer { groups, until })));
    }

    /// Addresses of the group peers whose shared groups satisfy `is_selected`.
    pub(crate) fn group_peers(
        &self,
        is_selected: impl Fn(&BTreeSet<GroupName>) -> bool,
    ) -> Vec<SocketAddr> {
        let group_peers = self.group_peers.borrow();
        group_peers
            .iter()
            .filter(|(_, it)| is_selected(&it.groups))
            .map(|(address, _)| *address)
            .collect()
    }

    /// The groups that both this instance and the one at `address` monitor.
    pub(crate) fn shared_groups(&self, address: SocketAddr) -> BTreeSet<GroupName> {
        self.group_peers.borrow().get(&address).map(|it| it.groups.clone()).unwrap_or_default()
    }

    /// Records that this instance reaches the platform's store.
    pub(crate) fn record_store_contact(&self, now: BootInstant) {
        self.store_contact.record(now);
    }

    pub(crate) fn store_age_ms(&self, now: BootInstant) -> Option<u32> {
        self.store_contact.age_ms(now)
    }

    /// Whether any instance, this one included, recently reached the platform's store.
    pub(crate) fn is_store_reachable_by_any(&self, now: BootInstant) -> bool {
        self.store_contact.is_within(STORE_CONTACT_TTL, now)
    }

    /// Records that this instance is a home and reaches its leaders.
    pub(crate) fn record_home_contact(&self, now: BootInstant) {
        self.home_contact.record(now);
    }

    pub(crate) fn home_age_ms(&self, now: BootInstant) -> Option<u32> {
        self.home_contact.age_ms(now)
    }

    /// Whether any home in this data centre recently reached its leaders.
    pub(crate) fn has_working_home(&self, now: BootInstant) -> bool {
        self.home_contact.is_within(HOME_CONTACT_TTL, now)
    }

    /// Responsive instances whose configuration is newer than `version` or whose list of targets is
    /// newer than `revision`.
    pub(crate) fn peers_with_updates(
        &self,
        version: u64,
        revision: Option<Revision>,
        now: BootInstant,
    ) -> Vec<Member> {
        self.views.peers_with_updates(version, revision, STORE_CONTACT_TTL, now)
    }

    /// Counts `members` as members until something is received from them, at most until `until`.
    pub(crate) fn set_expected_members(&self, members: Vec<Member>, until: BootInstant) {
        *self.expected.borrow_mut() = members;
        self.expected_until.set(Some(until));
        self.cached.borrow_mut().key = None;
    }

    /// The version of the list of members.
    pub(crate) fn epoch(&self, now: BootInstant) -> Epoch {
        self.refresh(now);
        self.cached.borrow().epoch
    }

    /// The instances that take work, this one included.
    pub fn members(&self, now: BootInstant) -> Rc<Members> {
        self.refresh(now);
        Rc::clone(&self.cached.borrow().members)
    }

    /// Collects the members again if their inputs changed.
    ///
    /// Most changes of the generation only concern suspicions and leave the members unchanged.
    fn refresh(&self, now: BootInstant) {
        let includes_expected = self.expected_until.get().is_some_and(|until| now < until);
        let key = CacheKey { generation: self.membership.borrow().generation(), includes_expected };
        let mut cached = self.cached.borrow_mut();
        if cached.key == Some(key) {
            return;
        }
        cached.key = Some(key);
        let members = self.collect_members(includes_expected);
        if members[..] != cached.members[..] {
            cached.epoch = Epoch(cached.epoch.0 + 1);
            cached.members = Rc::new(Members::new(members));
        }
    }

    fn collect_members(&self, includes_expected: bool) -> Vec<Member> {
        let membership = self.membership.borrow();
        let mut members: Vec<Member> = membership.members().cloned().collect();
        if includes_expected {
            let expected = self.expected.borrow();
            members.extend(expected.iter().filter(|it| !membership.is_known(&it.id)).cloned());
        }
        members.push(self.own.clone());
        members
    }

    /// The number of other instances that are alive, including those that are leaving.
    pub(crate) fn running_count(&self) -> usize {
        self.membership.borrow().running().count()
    }

    /// Whether any instance outside `data_centre` is alive.
    pub(crate) fn has_running_outside(&self, data_centre: &DataCentre) -> bool {
        self.membership.borrow().running().any(|it| it.data_centre != *data_centre)
    }

    /// Whether `id` is alive, including while it is leaving.
    pub(crate) fn is_running(&self, id: &InstanceId, now: BootInstant) -> bool {
        let is_member = || self.membership.borrow().running().any(|it| it.id == *id);
        self.views.is_responsive(id, now) || is_member()
    }

    /// Whether this instance can't reach most of the instances that are counted in majorities.
    pub fn is_isolated(&self, now: BootInstant) -> bool {
        self.membership.borrow().is_isolated(now)
    }

    /// How much of the fleet this instance reaches.
    pub(crate) fn reach(&self) -> Reach {
        self.membership.borrow().reach()
    }

    /// Number of instances that are counted in majorities, this one included.
    pub fn counted(&self, now: BootInstant) -> usize {
        self.membership.borrow().counted(now)
    }
}
