//! An instance's view of all groups, and the work that keeps it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BootInstant, within};
use gullspar_model::{DataCentre, GroupName, InstanceId};

use crate::fleet::discovery::Discovery;
use crate::fleet::home_plan::HomePlan;
use crate::fleet::limits::Limits;
use crate::groups::group::Group;
use crate::{Borders, CutOff, Directory, Member, PeerTable, Phase, Shutdown};

/// Time after start in which a missing leader is not held against a group.
pub(crate) const SETTLE: Duration = Duration::from_millis(1500);

/// How long callers may still be sent here once the balancer is refused: it asks every second and needs
/// two refusals.
pub const ROTATION: Duration = Duration::from_millis(2200);

/// How often capacities and memberships are looked at without a cause.
const TEND_EVERY: Duration = Duration::from_millis(500);

/// Who this instance is.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: InstanceId,
    pub data_centre: DataCentre,
    /// Its processor, in thousandths of a core.
    pub strength: u32,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// How long the last holder of a group's claim is alone in promoting there.
    pub claim_lease: Duration,
    /// How long after its announcement a target that leaves is given new work.
    pub leaving_serves: Duration,
}

impl Identity {
    /// This instance as others know it.
    pub(crate) fn member(&self) -> Member {
        Member {
            id: self.id.clone(),
            address: self.address,
            data_centre: self.data_centre.clone(),
            strength: self.strength,
        }
    }
}

/// Everything that serving callers needs.
pub struct Proxy {
    pub(crate) borders: Borders,
    pub(crate) own: Identity,
    pub directory: Rc<Directory>,
    pub peers: Rc<PeerTable>,
    pub shutdown: Rc<Shutdown>,
    pub(crate) discovery: Discovery,
    pub(crate) groups: RefCell<BTreeMap<GroupName, Rc<Group>>>,
    /// Homes that could not be reached, and until when they come last.
    pub(crate) avoided_homes: RefCell<BTreeMap<InstanceId, Instant>>,
    /// Groups that are served here for sessions that were handed on, and until when.
    pub(crate) held: RefCell<BTreeMap<GroupName, Instant>>,
    /// The homes of groups, as last worked out.
    pub(crate) home_plans: RefCell<BTreeMap<GroupName, HomePlan>>,
    pub(crate) limits: Limits,
    pub(crate) store_heard: RefCell<Option<BootInstant>>,
    pub(crate) started: Instant,
    /// It has been able to serve callers.
    pub(crate) useful: Cell<bool>,
}

impl Proxy {
    /// A proxy that knows nobody but `seeds`.
    pub fn new(own: Identity, seeds: Vec<SocketAddr>, borders: Borders) -> Rc<Proxy> {
        let started = borders.clock.now();
        Rc::new(Proxy {
            borders,
            peers: Rc::new(PeerTable::new(own.member(), seeds)),
            own,
            directory: Rc::default(),
            shutdown: Rc::default(),
            discovery: Discovery::default(),
            groups: RefCell::default(),
            avoided_homes: RefCell::default(),
            held: RefCell::default(),
            home_plans: RefCell::default(),
            limits: Limits::default(),
            store_heard: RefCell::new(None),
            started,
            useful: Cell::new(false),
        })
    }

    /// Keeps groups, capacities and other instances' news up to date; never ends.
    pub async fn run(self: Rc<Self>) {
        compio::runtime::spawn(Rc::clone(&self).send_heartbeats()).detach();
        compio::runtime::spawn(Rc::clone(&self).sync_from_peers()).detach();
        compio::runtime::spawn(Rc::clone(&self).monitor_connectivity()).detach();
        compio::runtime::spawn(Rc::clone(&self).discover_instances()).detach();
        loop {
            let changed = self.directory.listen();
            let now = self.borders.clock.now();
            let lapse = self.directory.drop_lapsed(now);
            self.maintain_groups();
            self.maintain_limits();
            self.borders.stats.levels(&self.levels());
            let until = lapse.map_or(now + TEND_EVERY, |it| it.min(now + TEND_EVERY));
            // Either way everything is looked at again.
            let _ = within(&*self.borders.clock, until, changed).await;
        }
    }

    /// Whether callers should be sent here.
    pub fn is_ready(&self) -> bool {
        self.directory.is_usable()
            && self.discovery.is_done()
            && self.shutdown.phase() == Phase::Serving
            && self.shutdown.cut_off() == CutOff::No
            && self.has_served()
    }

    /// The group `name`, if any target of it is there.
    pub fn group(&self, name: &GroupName) -> Option<Rc<Group>> {
        self.groups.borrow().get(name).cloned()
    }

    /// All groups.
    pub fn groups(&self) -> Vec<Rc<Group>> {
        self.groups.borrow().values().cloned().collect()
    }
}
