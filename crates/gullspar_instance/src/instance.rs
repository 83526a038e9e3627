//! Startup, operation and shutdown of an instance.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use futures::future::{self, Either};
use gullspar_border::{Clock, within};
use gullspar_caller::{
    CallerServer, CallerSettings, CallerStats, CancelRegistry, LanePool, Router,
};
use gullspar_fleet::{Borders, Fleet, FleetTiming};
use gullspar_group::{GroupManager, GroupTiming};
use gullspar_model::{InstanceRecord, InstanceState, TokenKey};
use gullspar_net::{
    HttpPlatform, SystemClock, SystemEntropy, TarpcPeers, TcpDialer, TcpLink, serve_peers,
};
use gullspar_operator::{MetricsError, Operator};
use gullspar_settings::InstanceSettings;
use gullspar_target::{ActiveLanes, Lanes, Pools, serve_lane};
use quick_error::quick_error;

/// Delay between announcing a shutdown and draining, so that other instances learn of it first.
const LEAVE_PROPAGATION_DELAY: Duration = Duration::from_millis(400);

/// Interval at which a draining instance checks whether it still has work.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

quick_error! {
    /// Why an instance failed to start.
    #[derive(Debug)]
    pub enum InstanceError {
        /// Listening on an address of the settings failed; `option` names the setting.
        Listen(option: &'static str, address: SocketAddr, err: io::Error) {
            source(err)
            display("`{option}`: can't listen on {address}: {err}")
        }
        /// Setting up the metrics failed.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// Intervals and timeouts of an instance's gossip and group management.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceTiming {
    pub fleet: FleetTiming,
    pub group: GroupTiming,
}

impl InstanceTiming {
    /// Default timing, with the values that `settings` define.
    pub fn from_settings(settings: &InstanceSettings) -> InstanceTiming {
        let mut timing = InstanceTiming::default();
        timing.fleet.gossip_interval = Duration::from_millis(settings.gossip_ms);
        timing.group.status_wait = Duration::from_millis(settings.status_wait_ms);
        timing.group.failed_after = Duration::from_millis(settings.failed_after_ms);
        timing
    }
}

/// Borders that use the system's network, clock and randomness, and the platform of `settings`.
pub fn system_borders(settings: &InstanceSettings) -> Borders {
    let clock: Rc<dyn Clock> = Rc::new(SystemClock);
    Borders {
        entropy: Rc::new(SystemEntropy),
        dialer: Rc::new(TcpDialer::new(Rc::clone(&clock))),
        peers: Rc::new(TarpcPeers::new(Rc::clone(&clock))),
        platform: Rc::new(HttpPlatform::new(settings.platform_address, Rc::clone(&clock))),
        clock,
    }
}

/// The components of an instance.
pub(crate) struct Components {
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) groups: Rc<GroupManager>,
    pub(crate) pools: Rc<Pools>,
    pub(crate) lanes: Rc<ActiveLanes>,
    pub(crate) cancels: Rc<CancelRegistry>,
    pub(crate) callers: Rc<CallerServer>,
    pub(crate) stats: Rc<CallerStats>,
}

/// A running instance.
pub struct Instance {
    settings: InstanceSettings,
    components: Rc<Components>,
    tasks: Vec<compio::runtime::JoinHandle<()>>,
}

impl Instance {
    /// Listens on all addresses and starts the background tasks.
    ///
    /// `incarnation` must be higher than in any earlier run under the same id.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be listened on or the metrics can't be set up.
    pub async fn start(
        settings: InstanceSettings,
        borders: Borders,
        timing: InstanceTiming,
        incarnation: u64,
    ) -> Result<Instance, InstanceError> {
        let callers = listen("caller_address", settings.caller_address).await?;
        let peers = listen("peer_address", settings.peer_address).await?;
        let lanes = listen("lane_address", settings.lane_address).await?;
        let operators = listen("operator_address", settings.operator_address).await?;
        let components = Rc::new(build_components(&settings, borders, timing, incarnation));
        let secret = settings.lane_secret.clone();
        let mut tasks = vec![
            compio::runtime::spawn(Rc::clone(&components.fleet).run()),
            compio::runtime::spawn(Rc::clone(&components.groups).run()),
            compio::runtime::spawn(release_moved_targets(Rc::clone(&components))),
            compio::runtime::spawn(serve_peers(peers, Rc::clone(&components) as _)),
            compio::runtime::spawn(accept_lanes(lanes, Rc::clone(&components), secret)),
            compio::runtime::spawn(accept_callers(callers, Rc::clone(&components.callers))),
        ];
        let operator = Operator::new(Rc::clone(&components.fleet), Rc::clone(&components) as _)?;
        let serve = cyper_axum::serve(operators, gullspar_operator::router(operator));
        tasks.push(compio::runtime::spawn(async move {
            if let Err(err) = serve.await {
                log::error!("G0101 serving the operator API failed: {err}");
            }
        }));
        log::info!(
            "G0102 instance {} is serving callers on {}",
            settings.id,
            settings.caller_address
        );
        Ok(Instance { settings, components, tasks })
    }

    /// Runs until `shutdown` completes, then drains and returns.
    ///
    /// While draining, new work is refused, running work is finished and idle callers are told to
    /// connect elsewhere. Draining ends after `drain_ms` of the settings at the latest.
    pub async fn run(self, shutdown: impl Future<Output = ()>) {
        shutdown.await;
        let clock = Rc::clone(&self.components.fleet.borders().clock);
        log::info!("G0103 instance {} is shutting down", self.settings.id);
        self.components.fleet.leave();
        clock.sleep_until(clock.now() + LEAVE_PROPAGATION_DELAY).await;
        let deadline = clock.now() + Duration::from_millis(self.settings.drain_ms);
        while clock.now() < deadline && self.has_work() {
            clock.sleep_until(clock.now() + DRAIN_POLL_INTERVAL).await;
        }
        let connected = self.components.callers.connected();
        log::info!(
            "G0104 instance {} stopped with {connected} callers still connected",
            self.settings.id
        );
        drop(self.tasks);
    }

    fn has_work(&self) -> bool {
        self.components.callers.connected() > 0 || self.components.pools.busy() > 0
    }
}

async fn listen(option: &'static str, address: SocketAddr) -> Result<TcpListener, InstanceError> {
    TcpListener::bind(address).await.map_err(|err| InstanceError::Listen(option, address, err))
}

fn build_components(
    settings: &InstanceSettings,
    borders: Borders,
    timing: InstanceTiming,
    incarnation: u64,
) -> Components {
    let own = InstanceRecord {
        id: settings.id.clone(),
        data_centre: settings.data_centre.clone(),
        peer: settings.peer_address,
        lane: settings.lane_address,
        incarnation,
        state: InstanceState::Alive,
    };
    let fleet = Fleet::new(own, settings.seeds.clone(), borders, timing.fleet);
    let groups = GroupManager::new(Rc::clone(&fleet), timing.group);
    let pools = Pools::new(Rc::clone(&fleet), Rc::clone(&groups));
    let lanes = Lanes::new(Rc::clone(&fleet), Rc::clone(&pools), settings.lane_secret.clone());
    let router = Router::new(Rc::clone(&fleet), LanePool::new(lanes));
    let cancels = CancelRegistry::new(Rc::clone(&fleet));
    let stats = CallerStats::new(Rc::clone(&fleet.borders().clock));
    let caller_settings = CallerSettings {
        max_callers: settings.caller_limit,
        token_key: TokenKey::new(&settings.token_secret),
    };
    let callers = CallerServer::new(
        Rc::clone(&fleet),
        router,
        Rc::clone(&cancels),
        Rc::clone(&stats),
        caller_settings,
    );
    Components { fleet, groups, pools, lanes: Rc::default(), cancels, callers, stats }
}

async fn accept_callers(listener: TcpListener, callers: Rc<CallerServer>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = Box::new(TcpLink::new(stream));
                compio::runtime::spawn(Rc::clone(&callers).serve(link)).detach();
            }
            Err(err) => log::warn!("G0403 accepting a caller failed: {err}"),
        }
    }
}

async fn accept_lanes(listener: TcpListener, components: Rc<Components>, secret: String) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = Box::new(TcpLink::new(stream));
                let (pools, lanes) = (Rc::clone(&components.pools), Rc::clone(&components.lanes));
                let serve = serve_lane(link, pools, lanes, secret.clone());
                compio::runtime::spawn(serve).detach();
            }
            Err(err) => log::warn!("G0308 accepting a lane failed: {err}"),
        }
    }
}

/// Drops the pools of targets that moved to another instance, on each change of instances or
/// configuration.
async fn release_moved_targets(components: Rc<Components>) {
    /// Bounds the delay if a change between two checks was missed.
    const CHECK_INTERVAL: Duration = Duration::from_secs(1);
    let clock = Rc::clone(&components.fleet.borders().clock);
    loop {
        let changed = future::select(components.fleet.listen(), components.fleet.config.listen());
        components.pools.release_moved_targets();
        match within(&*clock, clock.now() + CHECK_INTERVAL, changed).await {
            Ok(Either::Left(_) | Either::Right(_)) | Err(_) => {}
        }
    }
}
