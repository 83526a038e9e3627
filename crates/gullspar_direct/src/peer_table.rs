//! The other instances, as far as they were heard.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::{GroupName, InstanceId, MemberName};

use crate::count_note::CountBook;
use crate::{Beacon, CountNote, Member, Sighting};

/// An instance heard within this time is alive: five beacons in a row may get lost.
const ALIVE_FOR: Duration = Duration::from_millis(1200);

/// Silence of an instance after which it is out of reach, for judging whether this one is cut off.
const OUT_OF_REACH_AFTER: Duration = Duration::from_millis(700);

/// A view of a group older than this says nothing about its leader any more.
const VIEW_HOLDS_FOR: Duration = Duration::from_millis(700);

/// A view older than this no longer shows that nobody has decided on another leader.
///
/// Beacons come every 200 ms, so that one may get lost. Behind a cut the others need 70 to 300 ms to see that
/// the leader is out of their reach, and have ordered its successor 400 ms after the cut.
const VOUCH_HOLDS_FOR: Duration = Duration::from_millis(350);

/// How long a silent instance still counts when majorities are formed.
///
/// A cut-off data centre must not become its own majority within the seconds that cuts usually last;
/// an instance that was removed for good must not count for ever.
pub(crate) const COUNTS_FOR: Duration = Duration::from_secs(15);

/// How long an address is told news although nobody answers there.
///
/// Machines are replaced at other addresses; told for ever, the gone ones would take the turns of those
/// that are there. A cut lasts seconds.
const CONTACT_FOR: Duration = Duration::from_secs(60);

struct Heard {
    beacon: Beacon,
    at: BootInstant,
}

/// What the beacons brought.
#[derive(Default)]
pub struct PeerTable {
    heard: RefCell<BTreeMap<InstanceId, Heard>>,
    /// Addresses that were named somewhere, with the time until which they are told although they are
    /// silent; `None` for those of the settings, which are told for ever.
    contacts: RefCell<BTreeMap<SocketAddr, Option<BootInstant>>>,
    /// How many instances there are, as others told.
    told: CountBook,
    /// How much longer than a beacon's usual pause an instance may be silent, because all are too many to
    /// be told each time.
    slack: Cell<Duration>,
    /// Instances that are taken to work although they were not heard yet, and until when.
    expected: RefCell<Vec<Member>>,
    expected_until: Cell<Option<BootInstant>>,
}

impl PeerTable {
    /// A table that begins with some addresses to ask.
    pub fn new(seeds: impl IntoIterator<Item = SocketAddr>) -> PeerTable {
        let contacts = RefCell::new(seeds.into_iter().map(|it| (it, None)).collect());
        PeerTable { contacts, ..PeerTable::default() }
    }

    /// Takes a beacon that arrived at `now`.
    pub fn take(&self, beacon: Beacon, now: BootInstant) {
        beacon.known.iter().for_each(|it| self.add_contact(*it, now));
        self.add_contact(beacon.address, now);
        if let Some(Some(until)) = self.contacts.borrow_mut().get_mut(&beacon.address) {
            *until = now.plus(CONTACT_FOR);
        }
        self.told.take(beacon.counted, now);
        self.heard.borrow_mut().insert(beacon.from.clone(), Heard { beacon, at: now });
    }

    /// The most instances that are known of, for others.
    pub fn count_to_tell(&self, now: BootInstant) -> CountNote {
        self.told.to_tell(self.counted_here(now), now)
    }

    /// Adds an address where an instance may be.
    pub fn add_contact(&self, address: SocketAddr, now: BootInstant) {
        let until = Some(now.plus(CONTACT_FOR));
        self.contacts.borrow_mut().entry(address).or_insert(until);
    }

    /// Whether any instance alive reaches the platform's store.
    pub fn others_reach_store(&self, now: BootInstant) -> bool {
        !self.select(now, self.alive_for(), |it| it.reaches_store.then_some(())).is_empty()
    }

    /// Forgets instances and addresses that have been silent for so long that they count no more.
    pub fn forget_silent(&self, now: BootInstant) {
        self.contacts.borrow_mut().retain(|_, until| until.is_none_or(|it| now < it));
        self.heard.borrow_mut().retain(|_, it| now.since(it.at) < COUNTS_FOR);
    }

    /// Where to send beacons.
    pub fn contacts(&self, own: SocketAddr) -> Vec<SocketAddr> {
        self.contacts.borrow().keys().copied().filter(|it| *it != own).collect()
    }

    /// Addresses of the instances that are alive.
    pub fn alive_addresses(&self, now: BootInstant) -> Vec<SocketAddr> {
        self.select(now, self.alive_for(), |it| Some(it.address))
    }

    /// Says how long beacons of one instance may be apart beyond the usual.
    pub fn set_slack(&self, slack: Duration) {
        self.slack.set(slack);
    }

    /// Takes `members` for instances at work until they are heard, but no longer than to `until`.
    pub fn expect(&self, members: Vec<Member>, until: BootInstant) {
        *self.expected.borrow_mut() = members;
        self.expected_until.set(Some(until));
    }

    /// The other instances that take work.
    pub fn members(&self, now: BootInstant) -> Vec<Member> {
        let mut members =
            self.select(now, self.alive_for(), |it| (!it.leaving).then(|| member(it)));
        if self.expected_until.get().is_some_and(|until| now < until) {
            let heard = self.heard.borrow();
            let expected = self.expected.borrow();
            members.extend(expected.iter().filter(|it| !heard.contains_key(&it.id)).cloned());
        }
        members
    }

    fn alive_for(&self) -> Duration {
        ALIVE_FOR + 2 * self.slack.get()
    }

    /// Names of the instances that are alive and stay.
    pub fn alive(&self, now: BootInstant) -> Vec<InstanceId> {
        self.select(now, self.alive_for(), |it| (!it.leaving).then(|| it.from.clone()))
    }

    /// Names of the instances that look at `group` and stay.
    pub fn looking_at(&self, group: &GroupName, now: BootInstant) -> Vec<InstanceId> {
        self.select(now, self.alive_for(), |it| {
            let has_view = it.view(group).is_some();
            (!it.leaving && has_view).then(|| it.from.clone())
        })
    }

    /// Addresses of the instances that look at any of `groups`.
    pub fn addresses_looking_at(&self, groups: &[GroupName], now: BootInstant) -> Vec<SocketAddr> {
        self.select(now, COUNTS_FOR, |it| {
            it.views.iter().any(|it| groups.contains(&it.group)).then_some(it.address)
        })
    }

    /// Names of the instances that are alive, those on their way out included.
    pub fn running(&self, now: BootInstant) -> Vec<InstanceId> {
        self.select(now, self.alive_for(), |it| Some(it.from.clone()))
    }

    /// Instances that count, this one included, by what was heard here and what others told.
    pub fn counted(&self, now: BootInstant) -> usize {
        self.counted_here(now).max(self.told.instances(now))
    }

    fn counted_here(&self, now: BootInstant) -> usize {
        1 + self.select(now, COUNTS_FOR, |it| (!it.leaving).then_some(())).len()
    }

    /// Instances that count in a majority about `group`, this one included: those that look at it.
    pub fn counted_for(&self, group: &GroupName, now: BootInstant) -> usize {
        let looks = |it: &Beacon| {
            let has_view = it.view(group).is_some();
            (!it.leaving && has_view).then_some(())
        };
        1 + self.select(now, COUNTS_FOR, looks).len()
    }

    /// Whether most of the instances that count are out of this one's reach.
    pub fn is_isolated(&self, now: BootInstant) -> bool {
        let reached = 1 + self
            .select(now, OUT_OF_REACH_AFTER + 2 * self.slack.get(), |it| Some(it.leaving))
            .len();
        2 * reached <= self.counted(now)
    }

    /// Whether at least half of the instances that count see `leader` lead `group`.
    pub fn others_see_lead(
        &self,
        group: &GroupName,
        leader: &MemberName,
        now: BootInstant,
    ) -> bool {
        let sees = |it: &Beacon| {
            let view = it.view(group)?;
            let leads = view.sighting == Sighting::Leads && view.leader.as_ref() == Some(leader);
            leads.then_some(())
        };
        2 * self.select(now, VIEW_HOLDS_FOR, sees).len() > self.counted_for(group, now)
    }

    /// Whether most of the instances that count, this one included, have spoken since `since` and not against
    /// `leader` of `group`.
    ///
    /// A promotion needs half of them against the leader, so that none had been decided on as of `since`.
    pub fn vouch_for(
        &self,
        group: &GroupName,
        leader: &MemberName,
        since: BootInstant,
        now: BootInstant,
    ) -> bool {
        let limit = VOUCH_HOLDS_FOR + 2 * self.slack.get();
        let vouches = |it: &Beacon| {
            let view = it.view(group)?;
            let not_against = match view.sighting {
                Sighting::Leads => view.leader.as_ref() == Some(leader),
                // One that has just started has no say yet.
                Sighting::Unsure => true,
                Sighting::Dark | Sighting::NoLeader => false,
            };
            not_against.then_some(())
        };
        let vouching = 1 + self.select(now, now.since(since).min(limit), vouches).len();
        2 * vouching > self.counted_for(group, now)
    }

    /// Other instances that take work and lately saw `group` led by somebody.
    pub fn seeing_leader(&self, group: &GroupName, now: BootInstant) -> Vec<Member> {
        let sees = |it: &Beacon| {
            let view = it.view(group)?;
            (!it.leaving && view.sighting == Sighting::Leads).then(|| member(it))
        };
        self.select(now, VIEW_HOLDS_FOR, sees)
    }

    /// Whether any other instance lately saw `group` led by somebody.
    pub fn others_see_leader(&self, group: &GroupName, now: BootInstant) -> bool {
        let sees = |it: &Beacon| {
            let view = it.view(group)?;
            (view.sighting == Sighting::Leads).then_some(())
        };
        !self.select(now, VIEW_HOLDS_FOR, sees).is_empty()
    }

    /// Other instances that lately saw no working leader in `group`, or saw this one fail.
    pub fn see_no_leader(
        &self,
        group: &GroupName,
        leader: Option<&MemberName>,
        now: BootInstant,
    ) -> usize {
        let against = |it: &Beacon| {
            let view = it.view(group)?;
            match view.sighting {
                Sighting::NoLeader => Some(()),
                Sighting::Dark => {
                    (view.leader.as_ref() == leader || leader.is_none()).then_some(())
                }
                Sighting::Leads | Sighting::Unsure => None,
            }
        };
        self.select(now, VIEW_HOLDS_FOR, against).len()
    }

    /// The instances alive whose news are newer than `version` and `revision`.
    pub fn ahead(&self, version: u64, revision: Option<u64>, now: BootInstant) -> Vec<Member> {
        let is_ahead = |it: &Beacon| {
            let list = revision.is_some_and(|known| it.target_revision > known && it.reaches_store);
            (it.catalogue_version > version || list).then(|| member(it))
        };
        self.select(now, self.alive_for(), is_ahead)
    }

    fn select<T>(
        &self,
        now: BootInstant,
        within: Duration,
        pick: impl Fn(&Beacon) -> Option<T>,
    ) -> Vec<T> {
        let heard = self.heard.borrow();
        heard
            .values()
            .filter(|it| now.since(it.at) < within)
            .filter_map(|it| pick(&it.beacon))
            .collect()
    }
}

fn member(beacon: &Beacon) -> Member {
    Member {
        id: beacon.from.clone(),
        address: beacon.address,
        data_centre: beacon.data_centre.clone(),
        strength: beacon.strength,
    }
}
