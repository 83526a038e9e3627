//! The state of one instance, and the tasks that maintain it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BootInstant, within};
use gullspar_model::{DataCentre, GroupName, InstanceId};

use crate::fleet::discovery::Discovery;
use crate::fleet::home_monitor::HomeMonitor;
use crate::fleet::home_plan::{HomePlan, OwnGroups};
use crate::fleet::limits::Limits;
use crate::fleet::rotation_state::RotationState;
use crate::groups::group::Group;
use crate::{Borders, Directory, Member, PartitionState, PeerTable, Phase, Shutdown};

/// Time after the start of the instance in which a group without a leader is not yet considered leaderless.
pub(crate) const SETTLE_PERIOD: Duration = Duration::from_millis(1500);

/// How long the load balancer may still send callers here after the instance stops reporting that it is ready. The
/// balancer polls every second and acts on the second refusal.
pub const ROTATION_DELAY: Duration = Duration::from_millis(2200);

/// Maximum time between two updates of groups, limits and gauges.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// The identity of this instance, and the settings that belong to it.
#[derive(Clone, Debug)]
pub struct Identity {
    pub id: InstanceId,
    pub data_centre: DataCentre,
    /// Processing capacity, in thousandths of a core.
    pub strength: u32,
    /// The address at which other instances reach this one.
    pub address: SocketAddr,
    /// How long the last holder of a group's claim keeps the exclusive right to promote a member.
    pub claim_lease: Duration,
    /// How long a target still gets new work after it announced that it is leaving.
    pub leaving_target_timeout: Duration,
}

impl Identity {
    /// This instance's entry in the member tables of the others.
    pub(crate) fn member(&self) -> Member {
        Member {
            id: self.id.clone(),
            address: self.address,
            data_centre: self.data_centre.clone(),
            strength: self.strength,
        }
    }
}

/// The state that serving callers needs.
pub struct Proxy {
    pub(crate) borders: Borders,
    pub(crate) own: Identity,
    pub directory: Rc<Directory>,
    pub peers: Rc<PeerTable>,
    pub shutdown: Rc<Shutdown>,
    pub(crate) discovery: Discovery,
    pub(crate) groups: RefCell<BTreeMap<GroupName, Rc<Group>>>,
    /// Homes that could not serve a session, and until when they are tried only after all others.
    pub(crate) avoided_homes: RefCell<BTreeMap<InstanceId, Instant>>,
    /// Whether the homes to which sessions are forwarded respond.
    pub(crate) home_monitor: HomeMonitor,
    /// Groups served here for sessions that other instances forwarded, and until when.
    pub(crate) forwarded_groups: RefCell<BTreeMap<GroupName, Instant>>,
    /// The homes of groups, as last computed.
    pub(crate) home_plans: RefCell<BTreeMap<GroupName, HomePlan>>,
    pub(crate) own_groups: RefCell<OwnGroups>,
    pub(crate) limits: Limits,
    pub(crate) rotation: RotationState,
    /// When the platform's store last answered this instance.
    pub(crate) last_store_contact: RefCell<Option<BootInstant>>,
    pub(crate) started: Instant,
    /// Whether the settings name other instances.
    pub(crate) has_seeds: bool,
    /// Whether the instance has been able to serve callers since its start.
    pub(crate) was_able_to_serve: Cell<bool>,
}

impl Proxy {
    /// Creates a proxy that knows no other instance; `seeds` are the addresses to find some at.
    pub fn new(own: Identity, seeds: Vec<SocketAddr>, borders: Borders) -> Rc<Proxy> {
        let started = borders.clock.now();
        let has_seeds = !seeds.is_empty();
        let rotation = RotationState::new(own.id.clone());
        Rc::new(Proxy {
            borders,
            peers: Rc::new(PeerTable::new(own.member(), seeds)),
            own,
            directory: Rc::default(),
            shutdown: Rc::default(),
            discovery: Discovery::default(),
            groups: RefCell::default(),
            avoided_homes: RefCell::default(),
            home_monitor: HomeMonitor::default(),
            forwarded_groups: RefCell::default(),
            home_plans: RefCell::default(),
            own_groups: RefCell::default(),
            limits: Limits::default(),
            rotation,
            last_store_contact: RefCell::new(None),
            started,
            has_seeds,
            was_able_to_serve: Cell::new(false),
        })
    }

    /// Runs the background tasks: heartbeats, updates from other instances, discovery, probes of unresponsive homes, and the
    /// maintenance of groups and limits. Never ends.
    pub async fn run(self: Rc<Self>) {
        compio::runtime::spawn(Rc::clone(&self).send_heartbeats()).detach();
        compio::runtime::spawn(Rc::clone(&self).sync_from_peers()).detach();
        compio::runtime::spawn(Rc::clone(&self).monitor_connectivity()).detach();
        compio::runtime::spawn(Rc::clone(&self).discover_instances()).detach();
        compio::runtime::spawn(Rc::clone(&self).monitor_homes()).detach();
        loop {
            let changed = self.directory.listen();
            let now = self.borders.clock.now();
            let next_expiry = self.directory.remove_expired(now);
            self.maintain_groups();
            self.maintain_limits();
            self.borders.stats.record_gauges(&self.gauge_values());
            let until = next_expiry
                .map_or(now + MAINTENANCE_INTERVAL, |it| it.min(now + MAINTENANCE_INTERVAL));
            // Everything is updated again, whether a change or the timeout ended the wait.
            let _ = within(&*self.borders.clock, until, changed).await;
        }
    }

    /// Whether the load balancer should send callers here.
    pub fn is_ready(&self) -> bool {
        self.directory.is_usable()
            && self.discovery.is_done()
            && self.shutdown.phase() == Phase::Serving
            && self.shutdown.partition_state() == PartitionState::Connected
            && self.has_been_able_to_serve()
    }

    /// The group `name`, if any of its targets is known.
    pub fn group(&self, name: &GroupName) -> Option<Rc<Group>> {
        self.groups.borrow().get(name).cloned()
    }

    /// All groups.
    pub fn groups(&self) -> Vec<Rc<Group>> {
        self.groups.borrow().values().cloned().collect()
    }
}
