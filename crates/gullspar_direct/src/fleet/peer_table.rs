//! The other instances, as far as they were heard.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use event_listener::{Event, EventListener};
use gullspar_border::BootInstant;
use gullspar_membership::{Gossip, GossipOutcome, Member, Membership};
use gullspar_model::{GroupName, InstanceId, Revision};

use crate::fleet::last_known::LastKnown;
use crate::fleet::views::Views;
use crate::{Heartbeat, Members};

/// How long word of an instance that reaches the platform's store holds; it is passed on from contact to contact, and
/// takes a heartbeat for each step.
const STORE_CONTACT_TTL: Duration = Duration::from_secs(2);

/// How long word of a home that reaches its leaders holds: a few steps through a data centre.
const HOME_CONTACT_TTL: Duration = Duration::from_millis(700);

/// How long an instance that no longer looks at a group goes on telling those that do; they would count its last view
/// for as long as the dead count.
const GROUP_PEER_TTL: Duration = Duration::from_secs(2);

/// A number that grows with each change of the members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Epoch(u64);

/// What the members follow from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct CacheKey {
    generation: u64,
    /// Whether instances that were not heard yet are among them.
    includes_expected: bool,
}

#[derive(Default)]
struct CachedMembers {
    /// `None` if they have to be collected anew.
    key: Option<CacheKey>,
    epoch: Epoch,
    members: Rc<Members>,
}

/// An instance that is told what this one sees.
struct GroupPeer {
    /// The groups that both look at.
    groups: BTreeSet<GroupName>,
    until: BootInstant,
}

/// Who is there, and what they said.
pub struct PeerTable {
    own: Member,
    membership: RefCell<Membership>,
    pub(crate) views: Views,
    /// Instances that look at the same groups, and until when they are told each time.
    group_peers: RefCell<BTreeMap<SocketAddr, GroupPeer>>,
    store_contact: LastKnown,
    home_contact: LastKnown,
    /// Instances that are outcome to work although they were not heard yet, and until when.
    expected: RefCell<Vec<Member>>,
    expected_until: Cell<Option<BootInstant>>,
    cached: RefCell<CachedMembers>,
    changed: Event,
}

impl PeerTable {
    /// A table of `own` alone that begins with some addresses to ask.
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

    /// Takes a heartbeat that arrived at `now`.
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

    /// Notified when there are news of instances to pass on.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Whether there are news of instances to pass on.
    pub(crate) fn has_updates(&self) -> bool {
        self.membership.borrow().has_updates()
    }

    /// Adds an address where an instance may be.
    pub(crate) fn add_probe_address(&self, address: SocketAddr) {
        self.membership.borrow_mut().add_probe_address(address);
    }

    /// Announces whether this instance takes no new work.
    pub(crate) fn set_leaving(&self, leaving: bool) {
        self.membership.borrow_mut().set_leaving(leaving);
    }

    /// Looks who has fallen silent; gives those that are dead now.
    pub(crate) fn check(&self, now: BootInstant) -> Vec<InstanceId> {
        let dead = self.membership.borrow_mut().check(now);
        self.views.forget_silent(now);
        if self.has_updates() {
            self.changed.notify(usize::MAX);
        }
        dead
    }

    /// Begins a round of heartbeats; gives whom to send one beside those that are group_peers.
    pub(crate) fn begin_round(&self, random: u64, now: BootInstant) -> Vec<SocketAddr> {
        self.membership.borrow_mut().begin_round(random, now)
    }

    /// What the heartbeat of this round to the instance at `to` tells of the fleet.
    pub(crate) fn gossip(&self, to: SocketAddr, now: BootInstant) -> Gossip {
        self.membership.borrow_mut().gossip_for(to, now)
    }

    /// What to answer the sender of `gossip`.
    pub(crate) fn answer(&self, gossip: &Gossip, now: BootInstant) -> Gossip {
        self.membership.borrow_mut().answer(gossip, now)
    }

    /// Tells the instances that are `found` at the same groups each time from now on, and some time longer.
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

    /// The instances that are told what this one sees of its groups, of those whose common groups are `is_selected`.
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

    /// The groups that this instance and the one at `address` look at.
    pub(crate) fn shared_groups(&self, address: SocketAddr) -> BTreeSet<GroupName> {
        self.group_peers.borrow().get(&address).map(|it| it.groups.clone()).unwrap_or_default()
    }

    /// This instance reaches the platform's store.
    pub(crate) fn record_store_contact(&self, now: BootInstant) {
        self.store_contact.record(now);
    }

    pub(crate) fn store_age_ms(&self, now: BootInstant) -> Option<u32> {
        self.store_contact.age_ms(now)
    }

    /// Whether any instance is known to reach the platform's store.
    pub(crate) fn is_store_reachable_by_any(&self, now: BootInstant) -> bool {
        self.store_contact.is_within(STORE_CONTACT_TTL, now)
    }

    /// This instance is a home and reaches its leaders.
    pub(crate) fn record_home_contact(&self, now: BootInstant) {
        self.home_contact.record(now);
    }

    pub(crate) fn home_age_ms(&self, now: BootInstant) -> Option<u32> {
        self.home_contact.age_ms(now)
    }

    /// Whether any home in this data centre is known to reach its leaders.
    pub(crate) fn has_working_home(&self, now: BootInstant) -> bool {
        self.home_contact.is_within(HOME_CONTACT_TTL, now)
    }

    /// The instances heard lately whose news are newer than `version` and `revision`.
    pub(crate) fn peers_with_updates(
        &self,
        version: u64,
        revision: Option<Revision>,
        now: BootInstant,
    ) -> Vec<Member> {
        self.views.peers_with_updates(version, revision, STORE_CONTACT_TTL, now)
    }

    /// Takes `members` for instances at work until they are heard, but no longer than to `until`.
    pub(crate) fn set_expected_members(&self, members: Vec<Member>, until: BootInstant) {
        *self.expected.borrow_mut() = members;
        self.expected_until.set(Some(until));
        self.cached.borrow_mut().key = None;
    }

    /// Changes whenever the members do.
    pub(crate) fn epoch(&self, now: BootInstant) -> Epoch {
        self.refresh(now);
        self.cached.borrow().epoch
    }

    /// The instances that take work, this one included.
    pub fn members(&self, now: BootInstant) -> Rc<Members> {
        self.refresh(now);
        Rc::clone(&self.cached.borrow().members)
    }

    /// Collects the members anew if anything changed that they follow from.
    ///
    /// Most of what changes is who is suspected, and leaves the members as they are.
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
            members.extend(expected.iter().filter(|it| !membership.knows(&it.id)).cloned());
        }
        members.push(self.own.clone());
        members
    }

    /// Other instances that are alive, those on their way out included.
    pub(crate) fn running_count(&self) -> usize {
        self.membership.borrow().running().count()
    }

    /// Whether `id` is alive, on its way out or not.
    pub(crate) fn is_running(&self, id: &InstanceId, now: BootInstant) -> bool {
        let is_member = || self.membership.borrow().running().any(|it| it.id == *id);
        self.views.is_responsive(id, now) || is_member()
    }

    /// Whether most of the instances that count are out of this one's reach.
    pub fn is_isolated(&self, now: BootInstant) -> bool {
        self.membership.borrow().is_isolated(now)
    }

    /// The part of the fleet, in percent, that is in data centres of which this instance reaches any.
    pub(crate) fn reachable_percent(&self, now: BootInstant) -> u32 {
        self.membership.borrow().reachable_percent(now)
    }

    /// Instances that count in majorities, this one included.
    pub fn counted(&self, now: BootInstant) -> usize {
        self.membership.borrow().counted(now)
    }
}
