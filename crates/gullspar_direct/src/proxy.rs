//! An instance's view of all groups, and the work that keeps it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BootInstant, PeerError, within};
use gullspar_model::{DataCentre, GroupName, InstanceId};
use gullspar_statement::TargetSpec;

use crate::admission_limit::{connection_share, statements_at_once};
use crate::failover;
use crate::group::Group;
use crate::homes;
use crate::stats::Levels;
use crate::target::Target;
use crate::target_watch;
use crate::{
    Beacon, Borders, CutOff, Directory, GroupLimits, Member, PeerTable, Phase, Shutdown, Snapshot,
    SnapshotRequest,
};

/// Between two beacons to each contact.
const BEACON_EVERY: Duration = Duration::from_millis(200);

/// Least time between two beacons, however much happens.
const BEACON_SPACING: Duration = Duration::from_millis(40);

/// Contacts that get each beacon; more instances than this are reached in turns.
const BEACON_FANOUT: usize = 10;

/// Addresses of instances that a beacon names.
const BEACON_KNOWN: usize = 12;

/// How long handing over a snapshot may take.
const FETCH_WITHIN: Duration = Duration::from_millis(800);

/// Silence of the store after which the list of targets is taken from other instances.
const STORE_SILENT_AFTER: Duration = Duration::from_secs(3);

/// Time after start in which a missing leader is not held against a group.
const SETTLE: Duration = Duration::from_millis(1500);

/// Between two looks at whether this instance is cut off.
const JUDGE_EVERY: Duration = Duration::from_millis(50);

/// How long callers may still be sent here once the balancer is refused: it asks every second and needs
/// two refusals.
pub const ROTATION: Duration = Duration::from_millis(2200);

/// How long a group is served for a session that was handed on to an instance that is not its home.
const HOLD_FOR: Duration = Duration::from_secs(10);

/// Instances up to which all follow the store: more than today's 7 to 13.
const ALL_FOLLOW_UP_TO: usize = 16;

/// Instances of a data centre that follow the store for the others.
const FOLLOWERS: usize = 2;

/// What the followers of the store are ranked by.
const STORE_RANK: &str = "gullspar store";

/// How long an instance hears nobody before it looks others up.
const LONELY_AFTER: Duration = Duration::from_millis(1500);

/// How long a group that other instances are homes of now is kept for the sessions that are open.
const GIVE_UP_AFTER: Duration = Duration::from_secs(4);

/// How often capacities and memberships are looked at without a cause.
const TEND_EVERY: Duration = Duration::from_millis(500);

/// Who this instance is.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: InstanceId,
    pub data_centre: DataCentre,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// How long the last holder of a group's claim is alone in promoting there.
    pub claim_lease: Duration,
}

/// Everything that serving callers needs.
pub struct Proxy {
    pub(crate) borders: Borders,
    pub(crate) own: Identity,
    pub directory: Rc<Directory>,
    pub peers: Rc<PeerTable>,
    pub shutdown: Rc<Shutdown>,
    groups: RefCell<BTreeMap<GroupName, Rc<Group>>>,
    /// Groups that are served here for sessions that were handed on, and until when.
    held: RefCell<BTreeMap<GroupName, Instant>>,
    store_heard: RefCell<Option<BootInstant>>,
    started: Instant,
}

impl Proxy {
    /// A proxy that knows nobody but `seeds`.
    pub fn new(own: Identity, seeds: Vec<SocketAddr>, borders: Borders) -> Rc<Proxy> {
        let started = borders.clock.now();
        Rc::new(Proxy {
            borders,
            own,
            directory: Rc::default(),
            peers: Rc::new(PeerTable::new(seeds)),
            shutdown: Rc::default(),
            groups: RefCell::default(),
            held: RefCell::default(),
            store_heard: RefCell::new(None),
            started,
        })
    }

    /// Keeps groups, capacities and other instances' news up to date; never ends.
    pub async fn run(self: Rc<Self>) {
        compio::runtime::spawn(Rc::clone(&self).send_beacons()).detach();
        compio::runtime::spawn(Rc::clone(&self).follow_peers()).detach();
        compio::runtime::spawn(Rc::clone(&self).judge_itself()).detach();
        compio::runtime::spawn(Rc::clone(&self).find_others()).detach();
        loop {
            let changed = self.directory.listen();
            let now = self.borders.clock.now();
            let lapse = self.directory.drop_lapsed(now);
            self.tend_groups();
            self.borders.stats.levels(&self.levels());
            let until = lapse.map_or(now + TEND_EVERY, |it| it.min(now + TEND_EVERY));
            // Either way everything is looked at again.
            let _ = within(&*self.borders.clock, until, changed).await;
        }
    }

    /// Whether this instance follows the platform's store itself.
    ///
    /// A few instances all do. Of many, two in each data centre do, and the others hear of changes from
    /// them, since each call to the store is paid for; if nobody alive reaches the store, all try.
    pub fn follows_store(&self) -> bool {
        let members = self.members();
        if members.len() <= ALL_FOLLOW_UP_TO {
            return true;
        }
        let now = self.borders.clock.boot_now();
        if !self.reaches_store() && !self.peers.others_reach_store(now) {
            return true;
        }
        let mut near: Vec<&Member> =
            members.iter().filter(|it| it.data_centre == self.own.data_centre).collect();
        near.sort_by_key(|it| homes::weight(&STORE_RANK.into(), &it.id));
        near.iter().take(FOLLOWERS).any(|it| it.id == self.own.id)
    }

    /// Enters this instance into the registry, and looks others up there while it hears nobody.
    async fn find_others(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let registry = Rc::clone(&self.borders.registry);
        let mut entered = false;
        loop {
            if !entered {
                match registry.enter(&self.own.id, self.own.address).await {
                    Ok(()) => entered = true,
                    Err(err) => {
                        log::info!(reason = err.to_string().as_str(); "G0751 this instance could not be registered");
                    }
                }
            }
            clock.sleep_until(clock.now() + LONELY_AFTER).await;
            if self.members().len() > 1 {
                continue;
            }
            match registry.addresses().await {
                Ok(addresses) => {
                    let now = clock.boot_now();
                    addresses.iter().for_each(|it| self.peers.add_contact(*it, now));
                }
                Err(err) => {
                    log::info!(reason = err.to_string().as_str(); "G0752 other instances could not be looked up");
                }
            }
        }
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.directory.is_usable()
            && self.shutdown.phase() == Phase::Serving
            && self.shutdown.cut_off() == CutOff::No
    }

    /// The store answered; what it says is newer than what other instances know.
    pub fn store_answered(&self) {
        *self.store_heard.borrow_mut() = Some(self.borders.clock.boot_now());
    }

    /// The group `name`, if any target of it is there.
    pub fn group(&self, name: &GroupName) -> Option<Rc<Group>> {
        self.groups.borrow().get(name).cloned()
    }

    /// All groups.
    pub fn groups(&self) -> Vec<Rc<Group>> {
        self.groups.borrow().values().cloned().collect()
    }

    /// Whether waiting for a leader of `group` that this instance can use is in vain: the others use it, or
    /// this instance is cut off from them. Refused at once, a caller's next try reaches another instance.
    pub(crate) fn is_hopeless(&self, group: &Group) -> bool {
        if group.working_leader().is_some() {
            return false;
        }
        let now = self.borders.clock.boot_now();
        let led = group
            .leader()
            .is_some_and(|it| self.peers.others_see_lead(&group.name, &it.member, now));
        led || self.peers.is_isolated(now)
    }

    /// Whether this instance is cut off from the other instances and from the leaders of half of the
    /// groups or more, so that callers are better served elsewhere.
    fn is_cut_off(&self) -> bool {
        if !self.peers.is_isolated(self.borders.clock.boot_now()) {
            return false;
        }
        let groups = self.groups();
        let lost = groups.iter().filter(|it| it.working_leader().is_none()).count();
        lost > 0 && 2 * lost >= groups.len()
    }

    /// Sends callers away while this instance is cut off.
    async fn judge_itself(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut cut_off_since = None;
        loop {
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

    fn reaches_store(&self) -> bool {
        let now = self.borders.clock.boot_now();
        self.store_heard.borrow().is_some_and(|at| now.since(at) < STORE_SILENT_AFTER)
    }

    /// Brings groups, targets and their capacities in line with the directory and the other instances.
    fn tend_groups(&self) {
        let now = self.borders.clock.now();
        let targets = self.directory.targets();
        let catalogue = self.directory.catalogue();
        let members = self.members();
        for group in self.groups() {
            for target in group.targets() {
                let member = target.member();
                if !targets.iter().any(|it| it.member == member && it.group == group.name) {
                    group.remove(&member);
                }
            }
        }
        for spec in targets {
            let limits = catalogue.as_ref().and_then(|it| it.groups.get(&spec.group).copied());
            if limits.is_none_or(|it| self.is_home(&spec.group, it, &members)) {
                let holders = limits.map_or(1, |it| homes::holders(&spec.group, it, &members));
                self.tend_target(spec, limits, holders);
            }
        }
        self.give_up_groups(&members, now);
    }

    fn tend_target(&self, spec: Rc<TargetSpec>, limits: Option<GroupLimits>, holders: usize) {
        let group = self.group_or_new(&spec.group);
        let target = group.target(&spec.member).unwrap_or_else(|| self.new_target(&group, &spec));
        target.admission.set_capacity(statements_at_once(spec.slots, holders));
        if let Some(limits) = limits {
            target.pool.set_share(connection_share(limits, holders));
        }
        if *target.spec() != *spec {
            if spec.leaving && !target.spec().leaving {
                log::info!(member = spec.member.as_str(), group = spec.group.as_str(); "G0713 a target is leaving");
            }
            target.set_spec(spec);
            group.notify();
        }
    }

    fn new_target(&self, group: &Rc<Group>, spec: &Rc<TargetSpec>) -> Rc<Target> {
        let target = Target::new(Rc::clone(spec), &self.borders);
        group.add(Rc::clone(&target));
        let watch = target_watch::watch(self.borders.clone(), Rc::clone(group), Rc::clone(&target));
        compio::runtime::spawn(watch).detach();
        target
    }

    /// All instances that take work, this one included.
    fn members(&self) -> Vec<Member> {
        let mut members = self.peers.members(self.borders.clock.boot_now());
        members.push(Member {
            id: self.own.id.clone(),
            address: self.own.address,
            data_centre: self.own.data_centre.clone(),
        });
        members
    }

    /// Serves `group` here for a while, whoever its homes are.
    ///
    /// Instances learn of each other at different moments. One that takes this instance for a home hands
    /// on a session before this one knows that it is; refused, its callers would find no one.
    pub(crate) fn hold(&self, group: &GroupName) {
        let until = self.borders.clock.now() + HOLD_FOR;
        self.held.borrow_mut().insert(group.clone(), until);
        if self.group(group).is_none() {
            self.tend_groups();
        }
    }

    fn is_held(&self, group: &GroupName) -> bool {
        let now = self.borders.clock.now();
        self.held.borrow().get(group).is_some_and(|until| now < *until)
    }

    fn is_home(&self, group: &GroupName, limits: GroupLimits, members: &[Member]) -> bool {
        if self.is_held(group) {
            return true;
        }
        let homes = homes::homes(group, limits, &self.own.data_centre, members);
        homes.is_none_or(|it| it.iter().any(|it| it.id == self.own.id))
    }

    /// The instances to hand a session of `group` on to, best first; `None` if it is served here.
    pub(crate) fn other_homes(&self, group: &GroupName) -> Option<Vec<Member>> {
        let limits = self.directory.catalogue()?.groups.get(group).copied()?;
        let mut homes = homes::homes(group, limits, &self.own.data_centre, &self.members())?;
        if homes.iter().any(|it| it.id == self.own.id) {
            return None;
        }
        // Each session takes its own turn, so that the homes share the work.
        let turn = self.borders.entropy.next_u64() as usize % homes.len().max(1);
        homes.rotate_left(turn);
        Some(homes)
    }

    /// Whether this instance is no longer a home of `group` and keeps it only for sessions that are open.
    pub(crate) fn gives_up(&self, group: &GroupName) -> bool {
        self.group(group).is_some_and(|it| it.given_up_at().is_some())
    }

    /// Gives up groups that other instances are homes of now, once their sessions had time to leave.
    fn give_up_groups(&self, members: &[Member], now: Instant) {
        let Some(catalogue) = self.directory.catalogue() else { return };
        for group in self.groups() {
            let limits = catalogue.groups.get(&group.name).copied();
            let home = limits.is_none_or(|it| self.is_home(&group.name, it, members));
            match (home, group.given_up_at()) {
                (true, _) => group.set_given_up_at(None),
                (false, None) => {
                    log::info!(group = group.name.as_str(); "G0750 other instances are the homes of a group now");
                    group.set_given_up_at(Some(now + GIVE_UP_AFTER));
                    self.shutdown.notify();
                }
                (false, Some(at)) if now >= at => {
                    group.targets().iter().for_each(|it| group.remove(&it.member()));
                    self.groups.borrow_mut().remove(&group.name);
                    group.end();
                }
                (false, Some(_)) => {}
            }
        }
    }

    fn levels(&self) -> Levels {
        let groups = self.groups();
        let leaderless = groups.iter().filter(|it| it.working_leader().is_none()).count();
        Levels {
            sessions: self.shutdown.sessions() as u64,
            configuration: self.directory.version(),
            cut_off: self.shutdown.cut_off() != CutOff::No,
            leaderless: leaderless as u64,
            instances: 1 + self.peers.alive(self.borders.clock.boot_now()).len() as u64,
        }
    }

    fn group_or_new(&self, name: &GroupName) -> Rc<Group> {
        if let Some(group) = self.group(name) {
            return group;
        }
        let group = Group::new(name.clone(), self.borders.clock.now(), self.own.claim_lease);
        self.groups.borrow_mut().insert(name.clone(), Rc::clone(&group));
        let keeper = failover::Keeper {
            borders: self.borders.clone(),
            own: self.own.id.clone(),
            peers: Rc::clone(&self.peers),
            group: Rc::clone(&group),
            shutdown: Rc::clone(&self.shutdown),
            settle_until: self.started + SETTLE,
        };
        compio::runtime::spawn(keeper.run()).detach();
        group
    }

    async fn send_beacons(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut turn = 0;
        loop {
            let beacon = self.beacon();
            let contacts = self.peers.contacts(self.own.address);
            let count = contacts.len().min(BEACON_FANOUT);
            let rounds = contacts.len().div_ceil(BEACON_FANOUT).max(1) as u32;
            self.peers.set_slack(BEACON_EVERY * (rounds - 1));
            for close in self.close_contacts(&contacts) {
                self.borders.peers.send(close, &beacon);
            }
            for step in 0..count {
                let at = (turn + step) % contacts.len();
                self.borders.peers.send(contacts[at], &beacon);
            }
            turn = turn.wrapping_add(count);
            self.peers.forget_silent(clock.boot_now());
            let sent = clock.now();
            let groups = self.groups();
            let changed = futures::future::select_all(
                groups.iter().map(|it| it.listen()).chain([self.directory.listen()]),
            );
            // A leader that fell silent is news: a promotion waits for the views of most instances.
            let _ = within(&*clock, sent + BEACON_EVERY, changed).await;
            clock.sleep_until(sent + BEACON_SPACING).await;
        }
    }

    /// Instances that look at the same groups, if all are too many to be told each time: they decide on
    /// promotions together, and need each other's views at once.
    fn close_contacts(&self, contacts: &[SocketAddr]) -> Vec<SocketAddr> {
        if contacts.len() <= BEACON_FANOUT {
            return Vec::new();
        }
        let groups: Vec<GroupName> = self.groups().iter().map(|it| it.name.clone()).collect();
        self.peers.addresses_looking_at(&groups, self.borders.clock.boot_now())
    }

    /// What this instance tells the others now.
    fn beacon(&self) -> Beacon {
        let clock = &self.borders.clock;
        let (now, boot_now) = (clock.now(), clock.boot_now());
        let views =
            self.groups().iter().map(|it| it.view(now, boot_now, self.started + SETTLE)).collect();
        let mut known = self.peers.alive_addresses(boot_now);
        if !known.is_empty() {
            // By turns, so that everybody hears of everybody.
            let turn = self.borders.entropy.next_u64() as usize % known.len();
            known.rotate_left(turn);
            known.truncate(BEACON_KNOWN);
        }
        Beacon {
            from: self.own.id.clone(),
            address: self.own.address,
            data_centre: self.own.data_centre.clone(),
            leaving: self.shutdown.phase() != Phase::Serving,
            catalogue_version: self.directory.version(),
            target_revision: self.directory.target_revision(),
            reaches_store: self.reaches_store(),
            views,
            known,
        }
    }

    /// Takes what other instances have newer.
    ///
    /// An instance that the store turns away, or that is cut off from it, would go on by an old
    /// configuration that everybody else has left.
    async fn follow_peers(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        loop {
            let revision = (!self.reaches_store()).then(|| self.directory.target_revision());
            let newer = self.peers.newer(self.directory.version(), revision, clock.boot_now());
            if let Some(from) = newer {
                let req = SnapshotRequest {
                    catalogue_version: self.directory.version(),
                    target_revision: self.directory.target_revision(),
                };
                let deadline = clock.now() + FETCH_WITHIN;
                match self.borders.peers.fetch(from, req, deadline).await {
                    Ok(snapshot) => self.take(snapshot),
                    Err(PeerError::NoAnswer(reason)) => {
                        log::info!(from = from.to_string().as_str(), reason = reason.as_str(); "G0714 an instance did not hand over its configuration");
                    }
                }
            }
            clock.sleep_until(clock.now() + BEACON_EVERY).await;
        }
    }

    fn take(&self, snapshot: Snapshot) {
        if let Some(catalogue) = snapshot.catalogue {
            self.directory.apply_catalogue(catalogue);
        }
        if let Some(targets) = snapshot.targets
            && !self.reaches_store()
        {
            self.directory.apply_targets(targets, self.borders.clock.now());
        }
    }

    /// Takes a beacon of another instance.
    pub fn take_beacon(&self, beacon: Beacon) {
        if beacon.from == self.own.id {
            return;
        }
        let now = self.borders.clock.boot_now();
        for view in &beacon.views {
            if let (Some(claim), Some(group)) = (&view.claim, self.group(&view.group)) {
                group.claims().take(claim, now);
            }
        }
        self.peers.take(beacon, now);
    }

    /// What another instance lacks.
    pub fn snapshot(&self, req: SnapshotRequest) -> Snapshot {
        let catalogue = self.directory.catalogue().filter(|it| it.version > req.catalogue_version);
        let list = self.directory.target_list();
        Snapshot {
            catalogue: catalogue.map(|it| (*it).clone()),
            targets: (list.revision > req.target_revision).then_some(list),
        }
    }
}
