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
const STORE_KNOWN_FOR: Duration = Duration::from_secs(2);

/// How long word of a home that reaches its leaders holds: a few steps through a data centre.
const HOME_KNOWN_FOR: Duration = Duration::from_millis(700);

/// How long an instance that no longer looks at a group goes on telling those that do; they would count its last view
/// for as long as the dead count.
const CLOSE_FOR: Duration = Duration::from_secs(2);

/// A number that grows with each change of the members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Epoch(u64);

/// What the members follow from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Basis {
    generation: u64,
    /// Whether instances that were not heard yet are among them.
    expecting: bool,
}

#[derive(Default)]
struct CachedMembers {
    /// `None` if they have to be collected anew.
    basis: Option<Basis>,
    epoch: Epoch,
    members: Rc<Members>,
}

/// An instance that is told what this one sees.
struct Close {
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
    close: RefCell<BTreeMap<SocketAddr, Close>>,
    store_known: LastKnown,
    home_known: LastKnown,
    /// Instances that are taken to work although they were not heard yet, and until when.
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
            close: RefCell::default(),
            store_known: LastKnown::default(),
            home_known: LastKnown::default(),
            expected: RefCell::default(),
            expected_until: Cell::new(None),
            cached: RefCell::default(),
            changed: Event::new(),
        }
    }

    /// Takes a heartbeat that arrived at `now`.
    pub(crate) fn take(&self, heartbeat: Heartbeat, now: BootInstant) -> GossipOutcome {
        let taken = self.membership.borrow_mut().handle_gossip(&heartbeat.gossip, now);
        self.store_known.take(heartbeat.store_age_ms, now);
        if heartbeat.member().data_centre == self.own.data_centre {
            self.home_known.take(heartbeat.home_age_ms, now);
        }
        self.views.take(heartbeat, now);
        if taken.has_updates {
            self.changed.notify(usize::MAX);
        }
        taken
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

    /// Begins a round of heartbeats; gives whom to send one beside those that are close.
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

    /// Tells the instances that are `looking` at the same groups each time from now on, and some time longer.
    pub(crate) fn keep_close(
        &self,
        looking: BTreeMap<SocketAddr, BTreeSet<GroupName>>,
        now: BootInstant,
    ) {
        let mut close = self.close.borrow_mut();
        close.retain(|_, it| now < it.until);
        close.values_mut().for_each(|it| it.groups.clear());
        let until = now.plus(CLOSE_FOR);
        let others = looking.into_iter().filter(|(address, _)| *address != self.own.address);
        close.extend(others.map(|(address, groups)| (address, Close { groups, until })));
    }

    /// The instances that are told what this one sees of its groups, of those whose common groups are `chosen`.
    pub(crate) fn close(&self, chosen: impl Fn(&BTreeSet<GroupName>) -> bool) -> Vec<SocketAddr> {
        let close = self.close.borrow();
        close.iter().filter(|(_, it)| chosen(&it.groups)).map(|(address, _)| *address).collect()
    }

    /// The groups that this instance and the one at `address` look at.
    pub(crate) fn in_common(&self, address: SocketAddr) -> BTreeSet<GroupName> {
        self.close.borrow().get(&address).map(|it| it.groups.clone()).unwrap_or_default()
    }

    /// This instance reaches the platform's store.
    pub(crate) fn note_store(&self, now: BootInstant) {
        self.store_known.note(now);
    }

    pub(crate) fn store_age_ms(&self, now: BootInstant) -> Option<u32> {
        self.store_known.age_ms(now)
    }

    /// Whether any instance is known to reach the platform's store.
    pub(crate) fn is_store_reachable_by_any(&self, now: BootInstant) -> bool {
        self.store_known.is_within(STORE_KNOWN_FOR, now)
    }

    /// This instance is a home and reaches its leaders.
    pub(crate) fn note_home(&self, now: BootInstant) {
        self.home_known.note(now);
    }

    pub(crate) fn home_age_ms(&self, now: BootInstant) -> Option<u32> {
        self.home_known.age_ms(now)
    }

    /// Whether any home in this data centre is known to reach its leaders.
    pub(crate) fn is_home_at_work(&self, now: BootInstant) -> bool {
        self.home_known.is_within(HOME_KNOWN_FOR, now)
    }

    /// The instances heard lately whose news are newer than `version` and `revision`.
    pub(crate) fn ahead(
        &self,
        version: u64,
        revision: Option<Revision>,
        now: BootInstant,
    ) -> Vec<Member> {
        self.views.ahead(version, revision, STORE_KNOWN_FOR, now)
    }

    /// Takes `members` for instances at work until they are heard, but no longer than to `until`.
    pub(crate) fn expect(&self, members: Vec<Member>, until: BootInstant) {
        *self.expected.borrow_mut() = members;
        self.expected_until.set(Some(until));
        self.cached.borrow_mut().basis = None;
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
        let expecting = self.expected_until.get().is_some_and(|until| now < until);
        let basis = Basis { generation: self.membership.borrow().generation(), expecting };
        let mut cached = self.cached.borrow_mut();
        if cached.basis == Some(basis) {
            return;
        }
        cached.basis = Some(basis);
        let members = self.collect_members(expecting);
        if members[..] != cached.members[..] {
            cached.epoch = Epoch(cached.epoch.0 + 1);
            cached.members = Rc::new(Members::new(members));
        }
    }

    fn collect_members(&self, expecting: bool) -> Vec<Member> {
        let membership = self.membership.borrow();
        let mut members: Vec<Member> = membership.members().cloned().collect();
        if expecting {
            let expected = self.expected.borrow();
            members.extend(expected.iter().filter(|it| !membership.knows(&it.id)).cloned());
        }
        members.push(self.own.clone());
        members
    }

    /// Other instances that are alive, those on their way out included.
    pub(crate) fn running(&self) -> usize {
        self.membership.borrow().running().count()
    }

    /// Whether `id` is alive, on its way out or not.
    pub(crate) fn is_running(&self, id: &InstanceId, now: BootInstant) -> bool {
        let is_member = || self.membership.borrow().running().any(|it| it.id == *id);
        self.views.is_heard(id, now) || is_member()
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
