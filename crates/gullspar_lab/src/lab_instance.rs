//! Runs an instance on its own thread.

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
    /// The addresses that an instance of the lab listens on.
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
    /// Shut down gracefully.
    ShutDown,
    /// Stop at once and drop all connections.
    Kill,
    /// Block the thread, as if the virtual machine were paused.
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
    /// Starts an instance and waits until it listens; `None` if it failed to start.
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

    /// Stops the instance at once and drops all its connections.
    pub fn kill(&mut self) {
        self.end(Command::Kill);
    }

    /// Shuts the instance down gracefully and waits until it has ended.
    pub fn shut_down(&mut self) {
        self.end(Command::ShutDown);
    }

    /// Requests a graceful shutdown without waiting for it.
    pub fn request_shutdown(&self) {
        // Fails only if the instance has already ended.
        let _ = self.tx.unbounded_send(Command::ShutDown);
    }

    /// Pauses the instance for `time`; returns at once.
    pub fn pause(&self, time: Duration) {
        // Fails only if the instance has already ended.
        let _ = self.tx.unbounded_send(Command::Pause(time));
    }

    /// Kills the instance and starts it again on the same addresses.
    pub fn restart(&mut self) {
        self.kill();
        let spawned = spawn(self.settings.clone(), self.timing, Arc::clone(&self.network));
        if let Some((tx, thread)) = spawned {
            self.tx = tx;
            self.thread = Some(thread);
        }
    }

    /// Whether the instance was neither killed nor shut down since its last start. A shutdown that was
    /// only requested does not count.
    pub fn is_running(&self) -> bool {
        self.thread.is_some()
    }

    fn end(&mut self, command: Command) {
        // Fails only if the instance has already ended.
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
                log::error!(
                    "L0101 could not create the runtime of instance {}: {err}",
                    settings.id
                );
                return;
            }
        };
        runtime.block_on(run(settings, timing, network, rx, ready_tx));
    });
    let thread = spawned.ok()?;
    // A closed channel means that the instance failed to start and has logged the error.
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
    let borders = borders::with_network(borders, &settings.data_centre, &network);
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
    // The instance runs even if the receiver is gone.
    let _ = ready.send(());
    let (shutdown_tx, shutdown_rx) = oneshot::channel::<()>();
    let mut shutdown_tx = Some(shutdown_tx);
    let running = instance.run(async move {
        // Shutdown is requested by dropping the sender, so this is always an error.
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
