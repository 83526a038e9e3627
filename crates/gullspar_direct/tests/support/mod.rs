//! Fakes of everything an instance talks to: targets, callers, the claim store, the promoter, the registry and
//! other instances.

#![allow(dead_code, unused_imports, reason = "each test file uses only some of the items")]
#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod fake_caller;
mod fake_claims;
mod fake_group;
mod fake_peers;
mod fake_promoter;
mod fake_registry;
mod fake_relay;
mod fake_target;
mod fault;
mod home_fleet;
mod load;
mod unpausing_callers;

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::Clock;
use gullspar_direct::{
    Borders, Catalogue, Freshness, GroupLimits, Identity, Member, Proxy, Route, Stats, TargetList,
    serve_caller,
};
use gullspar_model::{GroupName, InstanceId, Revision, ServiceName};
use gullspar_net::{SystemClock, SystemEntropy};

pub use fake_caller::FakeCaller;
pub use fake_claims::FakeClaims;
pub use fake_group::FakeGroup;
pub use fake_peers::FakeNetwork;
pub use fake_promoter::FakePromoter;
pub use fake_registry::FakeRegistry;
use fake_target::FakeDialer;
pub use fault::Fault;
pub use home_fleet::{CONNECTIONS, HomeFleet, INSTANCES};
pub use load::Load;
pub use unpausing_callers::UnpausingCallers;

pub const GROUP: &str = "group-1";

/// Services of the test configuration, one for each kind of freshness.
pub const LATEST: &str = "bookings";
pub const BOUNDED: &str = "map";
pub const OWN_WRITES: &str = "feeds";

/// Maximum age of data for callers of `BOUNDED` and `OWN_WRITES`, in milliseconds.
pub const MAX_AGE_MS: u64 = 1500;

/// Timeout of a statement, in milliseconds.
pub const STATEMENT_TIMEOUT_MS: u64 = 1000;

/// Idle time after which a transaction is rolled back, in milliseconds.
pub const TRANSACTION_IDLE_TIMEOUT_MS: u64 = 400;

/// How long the last holder of a claim keeps the exclusive right to promote a member.
pub const CLAIM_LEASE: Duration = Duration::from_millis(1500);

/// Time in which a failed leader must be replaced, in milliseconds. Covers two unanswered checks, the views of the
/// other instances, the claim and the fake promotion, and the first 1.5 s of an instance, in which it replaces no
/// leader.
pub const FAILOVER_TIMEOUT_MS: u64 = 5000;

/// How long a leaving target still receives new work.
pub const LEAVING_TARGET_TIMEOUT: Duration = Duration::from_millis(1200);

/// How long an instance must run before it replaces leaders, in milliseconds, including a margin of 200 ms.
const STARTUP_PERIOD_MS: u64 = 1700;

/// Additional duration of a statement on a slowed replica, in milliseconds.
const SLOW_REPLICA_DELAY_MS: u64 = 250;

/// Minimum time of reading from slowed replicas, in which instances learn their latency.
const LATENCY_LEARNING_PERIOD: Duration = Duration::from_secs(3);

/// The fakes that the instances of one test share.
pub struct World {
    pub group: Rc<FakeGroup>,
    /// Groups besides `group`; their leaders are not replaced.
    pub more_groups: Vec<Rc<FakeGroup>>,
    pub claims: Rc<FakeClaims>,
    pub promoter: Rc<FakePromoter>,
    pub network: Rc<FakeNetwork>,
    pub registry: Rc<FakeRegistry>,
    pub clock: Rc<dyn Clock>,
}

/// Runs a test on its own runtime.
pub fn run<F: Future<Output = ()>>(test: F) {
    compio::runtime::Runtime::new().unwrap().block_on(test);
}

/// Sleeps for `ms` milliseconds.
pub async fn pause(ms: u64) {
    compio::time::sleep(Duration::from_millis(ms)).await;
}

/// Waits until `condition` holds, and fails the test after `ms` milliseconds.
pub async fn wait_until(ms: u64, what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + Duration::from_millis(ms);
    while !condition() {
        assert!(Instant::now() < deadline, "{what} within {ms} ms");
        pause(5).await;
    }
}

impl World {
    /// A world with a group of three members, led by the first.
    pub fn new() -> World {
        let group = FakeGroup::new(GROUP, 3);
        World {
            promoter: FakePromoter::new(Rc::clone(&group)),
            group,
            more_groups: Vec::new(),
            claims: Rc::default(),
            network: Rc::default(),
            registry: Rc::default(),
            clock: Rc::new(SystemClock),
        }
    }

    /// All groups.
    pub fn groups(&self) -> Vec<Rc<FakeGroup>> {
        [&self.group].into_iter().chain(&self.more_groups).map(Rc::clone).collect()
    }

    /// An instance that knows the configuration and all targets.
    pub fn instance(&self, number: u16) -> Rc<Proxy> {
        self.instance_with_seed(number, 1)
    }

    /// An instance that uses `catalogue`.
    pub fn instance_with_catalogue(&self, number: u16, catalogue: Catalogue) -> Rc<Proxy> {
        self.start(member(number), 1, Some(catalogue))
    }

    /// An instance that knows the targets and no configuration.
    pub fn instance_without_configuration(&self, number: u16) -> Rc<Proxy> {
        self.start(member(number), 1, None)
    }

    /// An instance with the identity `member`.
    pub fn instance_as(&self, member: Member, catalogue: Catalogue) -> Rc<Proxy> {
        self.start(member, 1, Some(catalogue))
    }

    /// An instance whose only seed is the instance with the number `seed`.
    pub fn instance_with_seed(&self, number: u16, seed: u16) -> Rc<Proxy> {
        self.start(member(number), seed, Some(catalogue(1)))
    }

    fn start(&self, member: Member, seed: u16, catalogue: Option<Catalogue>) -> Rc<Proxy> {
        let Member { id, address, data_centre, strength } = member;
        let borders = Borders {
            clock: Rc::clone(&self.clock),
            entropy: Rc::new(SystemEntropy),
            dialer: Rc::new(FakeDialer { groups: self.groups(), instance: address.port() }),
            claims: self.claims.for_instance(address.port()),
            promoter: Rc::clone(&self.promoter) as _,
            peers: self.network.channel(address),
            registry: Rc::clone(&self.registry) as _,
            stats: Rc::new(Stats::new(&opentelemetry::global::meter("test"))),
        };
        let own = Identity {
            id,
            data_centre,
            strength,
            address,
            claim_lease: CLAIM_LEASE,
            leaving_target_timeout: LEAVING_TARGET_TIMEOUT,
        };
        let proxy = Proxy::new(own, vec![SocketAddr::from(([127, 0, 0, 1], seed))], borders);
        self.network.join(address, Rc::clone(&proxy));
        if let Some(catalogue) = catalogue {
            proxy.directory.apply_catalogue(catalogue);
        }
        self.apply_target_list(&proxy, 1);
        compio::runtime::spawn(Rc::clone(&proxy).run()).detach();
        proxy
    }

    /// Instances `1..=count` that know the leader and have run long enough to replace it.
    pub async fn instances(&self, count: u16) -> Vec<Rc<Proxy>> {
        self.instances_with_catalogue(count, &catalogue(1)).await
    }

    /// Like [`World::instances`], for a group whose members acknowledge a commit only once a replica has received it.
    pub async fn synchronous_instances(&self, count: u16) -> Vec<Rc<Proxy>> {
        self.instances_with_catalogue(count, &synchronous_catalogue(1)).await
    }

    async fn instances_with_catalogue(&self, count: u16, catalogue: &Catalogue) -> Vec<Rc<Proxy>> {
        let start = |it| self.instance_with_catalogue(it, catalogue.clone());
        let proxies: Vec<Rc<Proxy>> = (1..=count).map(start).collect();
        for proxy in &proxies {
            self.wait_for_leader(proxy).await;
        }
        pause(STARTUP_PERIOD_MS).await;
        proxies
    }

    /// Three instances of a synchronous group that is led by the first member, and callers that one member alone can't serve.
    pub async fn loaded_synchronous_instances(&self) -> Load {
        self.group.statement_duration_ms.set(40);
        self.group.receive_lag_ms.set(60);
        let proxies = self.synchronous_instances(3).await;
        pause(1500).await;
        let load = Load::start(self, &proxies, 20, 3).await;
        pause(500).await;
        load
    }

    /// Starts an instance for each of `members` at once. All are registered already, and the fleet may open
    /// `connections` to each target.
    pub fn fleet(&self, members: &[Member], connections: u32) -> Vec<Rc<Proxy>> {
        self.fleet_with_catalogue(members, &catalogue_with_connections(2, connections))
    }

    /// Starts an instance with `catalogue` for each of `members` at once. All are registered already.
    pub fn fleet_with_catalogue(
        &self,
        members: &[Member],
        catalogue: &Catalogue,
    ) -> Vec<Rc<Proxy>> {
        members.iter().for_each(|it| self.registry.insert(it.clone()));
        let start = |it: &Member| self.instance_as(it.clone(), catalogue.clone());
        members.iter().map(start).collect()
    }

    /// Slows the replicas down and reads with `caller` until the leader serves its reads.
    pub async fn slow_down_replicas(&self, caller: &FakeCaller) {
        [1, 2]
            .into_iter()
            .for_each(|it| self.group.inject_fault(it, Fault::Slow(SLOW_REPLICA_DELAY_MS)));
        let started = Instant::now();
        while started.elapsed() < LATENCY_LEARNING_PERIOD || !self.is_last_statement_on_leader() {
            caller.execute_ok("READ slot").await;
        }
    }

    /// Whether the last statement that succeeded ran on the leader.
    pub fn is_last_statement_on_leader(&self) -> bool {
        self.group.executed().last().map(|it| it.member.clone()) == self.group.leader()
    }

    /// Gives an instance the current list of targets as `revision`.
    pub fn apply_target_list(&self, proxy: &Proxy, revision: u64) {
        let targets = self.groups().iter().flat_map(|it| it.specs()).collect();
        let list = TargetList { revision: Revision::new(0, revision), targets };
        proxy.directory.apply_targets(list, self.clock.now());
    }

    /// Waits until an instance knows its group's leader.
    pub async fn wait_for_leader(&self, proxy: &Rc<Proxy>) {
        let proxy = Rc::clone(proxy);
        let leader = self.group.leader();
        wait_until(3000, "the leader is known", || leader_of(&proxy).as_ref() == leader.as_ref())
            .await;
    }

    /// Waits until another member than `old` leads, and fails the test after `ms` milliseconds.
    pub async fn wait_for_new_leader(&self, old: &str, ms: u64) {
        wait_until(ms, "another member leads", || self.group.leader() != Some(old.into())).await;
    }

    /// A caller with an open session.
    pub async fn caller(&self, proxy: &Rc<Proxy>, service: &str) -> FakeCaller {
        let (caller, link) = FakeCaller::new();
        compio::runtime::spawn(serve_caller(Rc::clone(proxy), Box::new(link))).detach();
        caller.open(service).await;
        caller
    }
}

/// A world with one instance that knows its group's leader.
pub async fn world_with_instance() -> (World, Rc<Proxy>) {
    let world = World::new();
    let proxy = world.instance(1);
    world.wait_for_leader(&proxy).await;
    (world, proxy)
}

/// The identity of an instance of this number, as other instances know it.
pub fn member(number: u16) -> Member {
    Member {
        id: InstanceId::new(format!("instance-{number}")),
        address: SocketAddr::from(([127, 0, 0, 1], number)),
        data_centre: "dc-1".into(),
        strength: 250,
    }
}

/// The leader that an instance uses.
pub fn leader_of(proxy: &Proxy) -> Option<gullspar_model::MemberName> {
    proxy.group(&GROUP.into())?.leader().map(|it| it.member)
}

/// The default configuration with this maximum of connections to each member.
pub fn catalogue_with_connections(version: u64, connections: u32) -> Catalogue {
    let mut catalogue = catalogue(version);
    catalogue.groups.insert(GROUP.into(), GroupLimits { connections, sync_replicas: 0 });
    catalogue
}

/// The default configuration, with members that acknowledge a commit only once a replica has received it.
pub fn synchronous_catalogue(version: u64) -> Catalogue {
    let mut catalogue = catalogue(version);
    catalogue.groups.values_mut().for_each(|it| it.sync_replicas = 1);
    catalogue
}

/// The default configuration.
pub fn catalogue(version: u64) -> Catalogue {
    let route = |freshness| Route {
        group: GROUP.into(),
        freshness,
        statement_ms: STATEMENT_TIMEOUT_MS,
        objective_ms: 200,
        priority: 1,
        needs_key: true,
    };
    let routes = [
        (ServiceName::new(LATEST), route(Freshness::Latest)),
        (ServiceName::new(BOUNDED), route(Freshness::MaxAge { ms: MAX_AGE_MS })),
        (ServiceName::new(OWN_WRITES), route(Freshness::OwnWrites { max_age_ms: MAX_AGE_MS })),
    ];
    let limits = GroupLimits { connections: 60, sync_replicas: 0 };
    Catalogue {
        version,
        routes: routes.into_iter().collect(),
        groups: [(GroupName::new(GROUP), limits)].into_iter().collect(),
        transaction_idle_ms: TRANSACTION_IDLE_TIMEOUT_MS,
        customers: None,
    }
}
