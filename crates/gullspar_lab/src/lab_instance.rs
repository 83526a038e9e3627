//! An instance on a thread of its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, SystemTime};

use futures::StreamExt;
use futures::channel::{mpsc, oneshot};
use futures::future::{self, Either};
use gullspar_instance::{Instance, InstanceTiming, system_borders};
use gullspar_model::{DataCentre, InstanceId, record};
use gullspar_settings::InstanceSettings;

use crate::{Network, borders};

record! {
    /// Where an instance of the lab listens.
    pub struct InstanceAddresses {
        pub id: InstanceId,
        pub data_centre: DataCentre,
        pub caller: SocketAddr,
        pub operator: SocketAddr,
        pub peer: SocketAddr,
        pub lane: SocketAddr,
    }
}

enum Command {
    /// Shut down in good order.
    ShutDown,
    /// End at once, with all connections.
    Kill,
    /// Stand still for a while, like a paused virtual machine.
    Pause(Duration),
}

/// A running instance of the lab.
pub struct LabInstance {
    pub addresses: InstanceAddresses,
    settings: InstanceSettings,
    timing: InstanceTiming,
    network: Arc<Network>,
    tx: mpsc::UnboundedSender<Command>,
    thread: Option<JoinHandle<()>>,
}

impl LabInstance {
    /// Starts an instance and waits until it listens; `None` if it could not start.
    pub(crate) fn start(
        settings: InstanceSettings,
        timing: InstanceTiming,
        network: Arc<Network>,
    ) -> Option<LabInstance> {
        let addresses = InstanceAddresses {
            id: settings.id.clone(),
            data_centre: settings.data_centre.clone(),
            caller: settings.caller_address,
            operator: settings.operator_address,
            peer: settings.peer_address,
            lane: settings.lane_address,
        };
        network.set_data_centre(addresses.peer, &addresses.data_centre);
        network.set_data_centre(addresses.lane, &addresses.data_centre);
        let (tx, thread) = spawn(settings.clone(), timing, Arc::clone(&network))?;
        Some(LabInstance { addresses, settings, timing, network, tx, thread: Some(thread) })
    }

    /// Ends the instance at once and cuts all its connections.
    pub fn kill(&mut self) {
        self.end(Command::Kill);
    }

    /// Shuts the instance down in good order and waits for its end.
    pub fn shut_down(&mut self) {
        self.end(Command::ShutDown);
    }

    /// Asks for a shutdown without waiting for its end.
    pub fn request_shutdown(&self) {
        // An instance that has ended needs no asking.
        let _ = self.tx.unbounded_send(Command::ShutDown);
    }

    /// Lets the instance stand still for `time`; returns at once.
    pub fn pause(&self, time: Duration) {
        // An instance that has ended stands still already.
        let _ = self.tx.unbounded_send(Command::Pause(time));
    }

    /// Starts the instance again on the same addresses.
    pub fn restart(&mut self) {
        self.kill();
        let spawned = spawn(self.settings.clone(), self.timing, Arc::clone(&self.network));
        if let Some((tx, thread)) = spawned {
            self.tx = tx;
            self.thread = Some(thread);
        }
    }

    /// Whether the instance runs.
    pub fn is_running(&self) -> bool {
        self.thread.is_some()
    }

    fn end(&mut self, command: Command) {
        // An instance that has ended can't be told, and needn't be.
        let _ = self.tx.unbounded_send(command);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for LabInstance {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(
    settings: InstanceSettings,
    timing: InstanceTiming,
    network: Arc<Network>,
) -> Option<(mpsc::UnboundedSender<Command>, JoinHandle<()>)> {
    let (tx, rx) = mpsc::unbounded();
    let (ready_tx, ready_rx) = std::sync::mpsc::channel();
    let name = format!("gullspar-{}", settings.id);
    let spawned = std::thread::Builder::new().name(name).spawn(move || {
        let _timers = gullspar_net::enter_timer_context();
        let runtime = match compio::runtime::Runtime::new() {
            Ok(runtime) => runtime,
            Err(err) => {
                log::error!("L0101 instance {} has no runtime: {err}", settings.id);
                return;
            }
        };
        runtime.block_on(run(settings, timing, network, rx, ready_tx));
    });
    let thread = spawned.ok()?;
    // A closed channel means that the instance failed to start; its log tells why.
    ready_rx.recv().ok()?;
    Some((tx, thread))
}

async fn run(
    settings: InstanceSettings,
    timing: InstanceTiming,
    network: Arc<Network>,
    mut rx: mpsc::UnboundedReceiver<Command>,
    ready: std::sync::mpsc::Sender<()>,
) {
    let borders = system_borders(&settings);
    let borders = borders::behind_network(borders, &settings.data_centre, &network);
    let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    let incarnation = epoch.map_or(1, |it| it.as_millis() as u64);
    let id = settings.id.clone();
    let instance = match Instance::start(settings, borders, timing, incarnation).await {
        Ok(instance) => instance,
        Err(err) => {
            log::error!("L0101 instance {id} could not start: {err}");
            return;
        }
    };
    // Whoever waits may have given up; the instance runs all the same.
    let _ = ready.send(());
    let (shutdown_tx, shutdown_rx) = oneshot::channel::<()>();
    let mut shutdown_tx = Some(shutdown_tx);
    let running = instance.run(async move {
        // A sender dropped without a word is a kill, which ends this future anyway.
        let _ = shutdown_rx.await;
    });
    futures::pin_mut!(running);
    loop {
        match future::select(running, rx.next()).await {
            Either::Left(_) => return,
            Either::Right((command, pending)) => {
                running = pending;
                match command {
                    Some(Command::ShutDown) => drop(shutdown_tx.take()),
                    Some(Command::Pause(time)) => std::thread::sleep(time),
                    Some(Command::Kill) | None => return,
                }
            }
        }
    }
}
