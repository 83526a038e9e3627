//! Starting, running and ending an instance.

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
use gullspar_target::{ActiveLanes, Lanes, Pools, serve_lanes};
use quick_error::quick_error;

/// How long the news of a shutdown may spread before callers are sent away.
const LEAVE_SPREADS_IN: Duration = Duration::from_millis(400);

/// How often a draining instance looks whether it is empty.
const DRAIN_LOOK: Duration = Duration::from_millis(20);

quick_error! {
    /// Why an instance could not start.
    #[derive(Debug)]
    pub enum InstanceError {
        /// An address of the settings could not be listened on.
        Listen(option: &'static str, address: SocketAddr, err: io::Error) {
            source(err)
            display("`{option}`: can't listen on {address}: {err}")
        }
        /// Metrics could not be set up.
        Metrics(err: MetricsError) {
            from()
            source(err)
            display("{err}")
        }
    }
}

/// The pace of an instance's control work.
#[derive(Clone, Copy, Debug, Default)]
pub struct InstanceTiming {
    pub fleet: FleetTiming,
    pub group: GroupTiming,
}

impl InstanceTiming {
    /// The pace that `settings` ask for.
    pub fn from_settings(settings: &InstanceSettings) -> InstanceTiming {
        let mut timing = InstanceTiming::default();
        timing.fleet.gossip_interval = Duration::from_millis(settings.gossip_ms);
        timing.group.status_wait = Duration::from_millis(settings.status_wait_ms);
        timing.group.failed_after = Duration::from_millis(settings.failed_after_ms);
        timing
    }
}

/// The real borders, for an instance with these settings.
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

/// The parts of an instance that answer others.
pub(crate) struct Parts {
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
    parts: Rc<Parts>,
    tasks: Vec<compio::runtime::JoinHandle<()>>,
}

impl Instance {
    /// Listens on all addresses and starts all work; `incarnation` must be higher than that of any
    /// earlier run under the same name.
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
        let parts = Rc::new(assemble(&settings, borders, timing, incarnation));
        let secret = settings.lane_secret.clone();
        let mut tasks = vec![
            compio::runtime::spawn(Rc::clone(&parts.fleet).run()),
            compio::runtime::spawn(Rc::clone(&parts.groups).run()),
            compio::runtime::spawn(release_moved_targets(Rc::clone(&parts))),
            compio::runtime::spawn(serve_peers(peers, Rc::clone(&parts) as _)),
            compio::runtime::spawn(accept_lanes(lanes, Rc::clone(&parts), secret)),
            compio::runtime::spawn(accept_callers(callers, Rc::clone(&parts.callers))),
        ];
        let operator = Operator::new(Rc::clone(&parts.fleet), Rc::clone(&parts) as _)?;
        let serve = cyper_axum::serve(operators, gullspar_operator::router(operator));
        tasks.push(compio::runtime::spawn(async move {
            if let Err(err) = serve.await {
                log::error!("G0101 the operators' API ended: {err}");
            }
        }));
        log::info!("G0102 instance {} serves callers on {}", settings.id, settings.caller_address);
        Ok(Instance { settings, parts, tasks })
    }

    /// Runs until `shutdown`, then drains and ends.
    ///
    /// New work is refused first; what is in flight is finished, within the time that the settings
    /// give, and idle callers are told to connect elsewhere.
    pub async fn run(self, shutdown: impl Future<Output = ()>) {
        shutdown.await;
        let clock = Rc::clone(&self.parts.fleet.borders().clock);
        log::info!("G0103 instance {} shuts down", self.settings.id);
        self.parts.fleet.leave();
        clock.sleep_until(clock.now() + LEAVE_SPREADS_IN).await;
        let deadline = clock.now() + Duration::from_millis(self.settings.drain_ms);
        while clock.now() < deadline && self.has_work() {
            clock.sleep_until(clock.now() + DRAIN_LOOK).await;
        }
        let left = self.parts.callers.connected();
        log::info!("G0104 instance {} ends with {left} callers left", self.settings.id);
        drop(self.tasks);
    }

    fn has_work(&self) -> bool {
        self.parts.callers.connected() > 0 || self.parts.pools.busy() > 0
    }
}

async fn listen(option: &'static str, address: SocketAddr) -> Result<TcpListener, InstanceError> {
    TcpListener::bind(address).await.map_err(|err| InstanceError::Listen(option, address, err))
}

fn assemble(
    settings: &InstanceSettings,
    borders: Borders,
    timing: InstanceTiming,
    incarnation: u64,
) -> Parts {
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
    Parts { fleet, groups, pools, lanes: Rc::default(), cancels, callers, stats }
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

async fn accept_lanes(listener: TcpListener, parts: Rc<Parts>, secret: String) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let link = Box::new(TcpLink::new(stream));
                let (pools, lanes) = (Rc::clone(&parts.pools), Rc::clone(&parts.lanes));
                let serve = serve_lanes(link, pools, lanes, secret.clone());
                compio::runtime::spawn(serve).detach();
            }
            Err(err) => log::warn!("G0308 accepting a lane failed: {err}"),
        }
    }
}

/// Gives up targets that moved to another instance, at each change of instances or configuration.
async fn release_moved_targets(parts: Rc<Parts>) {
    /// Bounds how long a change that fell between two looks stays unnoticed.
    const LOOK_EVERY: Duration = Duration::from_secs(1);
    let clock = Rc::clone(&parts.fleet.borders().clock);
    loop {
        let either = future::select(parts.fleet.listen(), parts.fleet.config.listen());
        parts.pools.release_moved_targets();
        match within(&*clock, clock.now() + LOOK_EVERY, either).await {
            Ok(Either::Left(_) | Either::Right(_)) | Err(_) => {}
        }
    }
}
