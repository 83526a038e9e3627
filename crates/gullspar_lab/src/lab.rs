//! Runs a simulated platform, simulated database groups and instances in one process.

use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use futures::channel::oneshot;
use futures::future;
use gullspar_instance::InstanceTiming;
use gullspar_model::{
    CallerSpec, DataCentre, GroupName, GroupObject, GroupSpec, MemberName, MemberSpec,
    ServiceObject, record,
};
use gullspar_net::{StoredInstance, TcpLink};
use gullspar_settings::InstanceSettings;
use gullspar_wire::QueryClient;
use quick_error::quick_error;

use crate::group::{GroupSettings, MemberCounts, MemberSettings, run_group};
use crate::lab_settings::{LabService, verifier};
use crate::platform::{PlatformStore, run_platform};
use crate::reserved_addresses::ReservedAddresses;
use crate::{Faults, InstanceAddresses, LabInstance, LabInstanceSettings, LabSettings, Network};

quick_error! {
    /// Why a lab could not start.
    #[derive(Debug)]
    pub enum LabError {
        /// An address could not be bound, or an instance or simulated server could not start.
        Io(err: io::Error) {
            from()
            source(err)
            display("{err}")
        }
    }
}

record! {
    /// The address of a simulated target.
    pub struct LabTarget {
        pub group: GroupName,
        pub member: MemberName,
        pub data_centre: DataCentre,
        pub address: SocketAddr,
    }
}

record! {
    /// The addresses of all servers of a lab.
    pub struct LabAddresses {
        pub platform: SocketAddr,
        /// The address of the control server; `None` for a lab within a test.
        pub control: Option<SocketAddr>,
        pub instances: Vec<InstanceAddresses>,
        pub targets: Vec<LabTarget>,
    }
}

/// A thread that runs a simulated server until this value is dropped.
struct ServerThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<std::thread::JoinHandle<()>>,
}

impl ServerThread {
    fn start<F>(make_server: impl FnOnce() -> F + Send + 'static) -> ServerThread
    where
        F: Future<Output = io::Result<()>>,
    {
        let (tx, rx) = oneshot::channel::<()>();
        let thread = std::thread::spawn(move || {
            let runtime = match compio::runtime::Runtime::new() {
                Ok(runtime) => runtime,
                Err(err) => {
                    return log::error!(
                        "L0103 could not create the runtime of a simulated server: {err}"
                    );
                }
            };
            runtime.block_on(async {
                let serve = make_server();
                futures::pin_mut!(serve);
                if let future::Either::Left((Err(err), _)) = future::select(serve, rx).await {
                    log::error!("L0103 a simulated server failed: {err}");
                }
            });
        });
        ServerThread { stop: Some(tx), thread: Some(thread) }
    }
}

impl Drop for ServerThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // The panic hook has already reported a panic of the thread.
            let _ = thread.join();
        }
    }
}

/// A running lab.
pub struct Lab {
    pub faults: Arc<Faults>,
    pub store: Arc<PlatformStore>,
    /// The counters of each target, by `group/member`.
    pub counts: BTreeMap<String, Arc<MemberCounts>>,
    pub instances: Vec<LabInstance>,
    pub addresses: LabAddresses,
    pub network: Arc<Network>,
    settings: LabSettings,
    timing: InstanceTiming,
    reserved_addresses: ReservedAddresses,
    _server_threads: Vec<ServerThread>,
}

impl Lab {
    /// Starts everything that `settings` describe, with the default timing.
    pub fn start(settings: LabSettings) -> Result<Lab, LabError> {
        Lab::start_with(settings, InstanceTiming::default())
    }

    /// Starts everything that `settings` describe.
    pub fn start_with(settings: LabSettings, timing: InstanceTiming) -> Result<Lab, LabError> {
        let faults = Faults::new();
        let one_way = Duration::from_micros(settings.one_way_us);
        let network = Network::new(one_way, Arc::clone(&faults));
        let store = Arc::new(PlatformStore::default());
        let platform = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let mut addresses = LabAddresses {
            platform: platform.local_addr()?,
            control: None,
            instances: Vec::new(),
            targets: Vec::new(),
        };
        let mut server_threads = vec![start_platform(platform, &store, &faults)];
        let mut counts = BTreeMap::new();
        for service in &settings.services {
            let started =
                start_group(&settings, service, &network, &faults, &mut counts, &mut addresses)?;
            server_threads.push(started);
            write_service(service, &addresses, &store)?;
        }
        let mut lab = Lab {
            faults,
            store,
            counts,
            instances: Vec::new(),
            addresses,
            network,
            timing,
            reserved_addresses: ReservedAddresses::default(),
            _server_threads: server_threads,
            settings,
        };
        for instance in lab.settings.instances.clone() {
            lab.add_instance(&instance)?;
        }
        Ok(lab)
    }

    /// Starts one more instance.
    pub fn add_instance(&mut self, instance: &LabInstanceSettings) -> Result<(), LabError> {
        let started = self.start_instance(instance)?;
        self.addresses.instances.push(started.addresses.clone());
        self.instances.push(started);
        self.publish_instances();
        Ok(())
    }

    /// Starts an instance on free addresses. Another process may listen on an address before the instance
    /// does, so the start is repeated with new addresses.
    fn start_instance(&mut self, instance: &LabInstanceSettings) -> Result<LabInstance, LabError> {
        const MAX_ATTEMPTS: u32 = 8;
        for _ in 0..MAX_ATTEMPTS {
            let settings = self.instance_settings(instance)?;
            let network = Arc::clone(&self.network);
            if let Some(started) = LabInstance::start(settings, self.timing, network) {
                return Ok(started);
            }
        }
        Err(LabError::Io(io::Error::other(format!("instance {} could not start", instance.id))))
    }

    /// Updates the platform's list of instances to those that run.
    pub fn publish_instances(&self) {
        let running = self.instances.iter().filter(|it| it.is_running());
        let listed = running.map(|it| StoredInstance {
            id: it.addresses.id.to_string(),
            peer: it.addresses.peer,
            leaving: false,
        });
        self.store.set_instances(listed.collect());
    }

    fn instance_settings(
        &mut self,
        instance: &LabInstanceSettings,
    ) -> Result<InstanceSettings, LabError> {
        let seeds = self.instances.iter().take(3).map(|it| it.addresses.peer).collect();
        Ok(InstanceSettings {
            id: instance.id.clone(),
            data_centre: instance.data_centre.clone(),
            caller_address: self.reserved_addresses.reserve()?,
            peer_address: self.reserved_addresses.reserve()?,
            lane_address: self.reserved_addresses.reserve()?,
            operator_address: self.reserved_addresses.reserve()?,
            platform_address: self.addresses.platform,
            seeds,
            lane_secret: "lab lanes".to_owned(),
            token_secret: "lab tokens".to_owned(),
            caller_limit: 20_000,
            gossip_ms: 200,
            status_wait_ms: 100,
            failed_after_ms: 400,
            drain_ms: 10_000,
        })
    }

    /// Whether every group has a primary according to the platform.
    pub fn has_all_primaries(&self) -> bool {
        self.settings.services.iter().all(|it| self.primary(it.group.as_str()).is_some())
    }

    /// The primary of a group according to the platform.
    pub fn primary(&self, group: &str) -> Option<MemberName> {
        let stored = self.store.get(&format!("{}{group}", GroupObject::PREFIX))?;
        serde_json::from_value::<GroupObject>(stored.value).ok()?.primary
    }

    /// The services of the lab.
    pub fn services(&self) -> &[LabService] {
        &self.settings.services
    }

    /// The current term of a group according to the platform; 0 if the group is unknown.
    pub fn term(&self, group: &str) -> u64 {
        let stored = self.store.get(&format!("{}{group}", GroupObject::PREFIX));
        let object = stored.and_then(|it| serde_json::from_value::<GroupObject>(it.value).ok());
        object.map_or(0, |it| it.term.0)
    }

    /// The ids in a group's `ledger` table, read directly from its primary.
    pub fn ledger(&self, group: &str) -> Vec<String> {
        let Some(primary) = self.primary(group) else { return Vec::new() };
        let Some(target) = self.targets(group).find(|it| it.member == primary) else {
            return Vec::new();
        };
        let address = target.address;
        let read = async move {
            let stream = compio::net::TcpStream::connect(address).await.ok()?;
            let link = Box::new(TcpLink::new(stream));
            let mut client = QueryClient::start(link, "checker", "postgres").await.ok()?;
            client.query("SELECT id FROM ledger").await.ok()
        };
        let runtime = compio::runtime::Runtime::new();
        let rows = runtime.ok().and_then(|it| it.block_on(read)).unwrap_or_default();
        rows.into_iter().flatten().flatten().collect()
    }

    /// The targets of a group.
    pub fn targets<'l>(&'l self, group: &'l str) -> impl Iterator<Item = &'l LabTarget> {
        self.addresses.targets.iter().filter(move |it| it.group.as_str() == group)
    }
}

fn start_platform(
    listener: TcpListener,
    store: &Arc<PlatformStore>,
    faults: &Arc<Faults>,
) -> ServerThread {
    let (store, faults) = (Arc::clone(store), Arc::clone(faults));
    ServerThread::start(move || async move {
        let listener = compio::net::TcpListener::from_std(listener)?;
        run_platform(listener, store, faults).await
    })
}

fn start_group(
    settings: &LabSettings,
    service: &LabService,
    network: &Network,
    faults: &Arc<Faults>,
    counts: &mut BTreeMap<String, Arc<MemberCounts>>,
    addresses: &mut LabAddresses,
) -> Result<ServerThread, LabError> {
    let mut listeners = Vec::new();
    let mut group_counts = Vec::new();
    for member in &service.members {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        network.set_data_centre(address, &member.data_centre);
        addresses.targets.push(LabTarget {
            group: service.group.clone(),
            member: member.name.clone(),
            data_centre: member.data_centre.clone(),
            address,
        });
        let count = Arc::new(MemberCounts::default());
        counts.insert(format!("{}/{}", service.group, member.name), Arc::clone(&count));
        group_counts.push(count);
        listeners.push(listener);
    }
    let members = service.members.iter().map(|it| MemberSettings {
        name: it.name.clone(),
        data_centre: it.data_centre.clone(),
        slots: service.slots,
        connections: service.connections,
    });
    let group = GroupSettings {
        name: service.group.clone(),
        members: members.collect(),
        lag_ms: settings.lag_ms,
        promotion_ms: settings.promotion_ms,
        connection_cost_ms: settings.connection_cost_ms,
        statement_us: settings.statement_us,
        schema: settings.full_schema(),
    };
    let faults = Arc::clone(faults);
    Ok(ServerThread::start(move || run_group(group, listeners, faults, group_counts)))
}

/// Writes the service's initial configuration to the platform.
fn write_service(
    service: &LabService,
    addresses: &LabAddresses,
    store: &PlatformStore,
) -> Result<(), LabError> {
    let targets = addresses.targets.iter().filter(|it| it.group == service.group);
    let members = targets.map(|it| MemberSpec {
        name: it.member.clone(),
        address: it.address,
        data_centre: it.data_centre.clone(),
        slots: service.slots,
        connections: service.connections,
        leaving: false,
    });
    let callers = service.callers.iter().map(|(name, it)| {
        let spec = CallerSpec { class: it.class.clone(), verifier: verifier(&it.password, name) };
        (name.clone(), spec)
    });
    let object = ServiceObject {
        group: GroupSpec { name: service.group.clone(), members: members.collect() },
        classes: service.classes.clone(),
        callers: callers.collect(),
        written_by: "lab".to_owned(),
    };
    let value = serde_json::to_value(&object).map_err(io::Error::other)?;
    let key = format!("{}{}", ServiceObject::PREFIX, service.service);
    // The store is new, so the conditional write can't conflict.
    let _ = store.put(&key, 0, value);
    Ok(())
}
