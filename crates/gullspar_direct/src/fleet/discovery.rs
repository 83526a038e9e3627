//! Discovery of the other instances at startup.
//!
//! The number of instances determines whether an instance opens connections to targets, and how
//! many. An instance that has just started knows no others and would act as if it were alone. If
//! all instances did so after a power loss, they would overload the targets with connections and
//! statements.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use gullspar_border::{jittered, within};

use crate::{Member, Proxy};

/// How long startup waits for the registry. If the registry does not answer, heartbeats have
/// reported some of the instances by then.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(600);

/// How long registered instances count as members before anything is received from them.
///
/// This covers instances that start at the same time but take longer. Instances that already run
/// are known to all others within a second.
const EXPECTED_TTL: Duration = Duration::from_secs(3);

/// How long an instance without peers waits before it queries the registry again.
const NO_PEERS_AFTER: Duration = Duration::from_millis(1500);

/// Average time between the writes of two instances that register again at the same time.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(3);

/// Whether startup discovery has finished.
#[derive(Default)]
pub(crate) struct Discovery {
    done: Cell<bool>,
    changed: Event,
}

impl Discovery {
    pub(crate) fn is_done(&self) -> bool {
        self.done.get()
    }

    /// Waits until discovery has finished.
    pub(crate) async fn wait(&self) {
        let changed = self.changed.listen();
        if !self.done.get() {
            changed.await;
        }
    }

    fn finish(&self) {
        self.done.set(true);
        self.changed.notify(usize::MAX);
    }
}

impl Proxy {
    /// Queries the registry and registers this instance. Then queries again while no other instance
    /// is known, and registers again when the store's era has grown; never returns.
    pub(crate) async fn discover_instances(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let deadline = clock.now() + DISCOVERY_TIMEOUT;
        let found = within(&*clock, deadline, self.query_registry()).await.ok().flatten();
        let is_registered = found.as_ref().is_some_and(|it| it.contains(&self.own.member()));
        // The store's era in which this instance was registered.
        let mut registered_era = is_registered.then(|| self.store_era());
        self.expect_members(found.unwrap_or_default());
        self.discovery.finish();
        self.maintain_groups();
        loop {
            let era = self.store_era();
            if registered_era.is_some_and(|it| it < era) {
                // The older copy of the store may lack this instance. Writes are spread over time.
                let max_delay = REGISTRATION_INTERVAL * self.members().len() as u32;
                clock.sleep_until(clock.now() + jittered(&*self.borders.entropy, max_delay)).await;
                registered_era = None;
            }
            if registered_era.is_none() {
                registered_era = self.register_instance().await.then_some(era);
            }
            clock.sleep_until(clock.now() + NO_PEERS_AFTER).await;
            if self.members().len() == 1 {
                // The query adds the addresses that it finds to those that are probed.
                let _ = self.query_registry().await;
            }
        }
    }

    /// Counts all registered instances as members for a limited time. This happens only once, since
    /// entries of stopped instances stay in the registry and an isolated instance must be able to
    /// serve alone.
    fn expect_members(&self, mut entries: Vec<Member>) {
        entries.retain(|it| it.id != self.own.id);
        self.peers.set_expected_members(entries, self.borders.clock.boot_now().plus(EXPECTED_TTL));
    }

    /// Reads the registry and adds its addresses to those that are probed; `None` if it can't be
    /// read.
    async fn query_registry(&self) -> Option<Vec<Member>> {
        match self.borders.registry.entries().await {
            Ok(entries) => {
                entries.iter().for_each(|it| self.peers.add_probe_address(it.address));
                Some(entries)
            }
            Err(err) => {
                log::info!(reason = err.to_string().as_str(); "G0752 the registry could not be read");
                None
            }
        }
    }

    /// The newest era of the store that is known from the registry or from lists of targets.
    fn store_era(&self) -> u64 {
        self.borders.registry.era().max(self.directory.target_revision().era)
    }

    async fn register_instance(&self) -> bool {
        match self.borders.registry.register(&self.own.member()).await {
            Ok(()) => true,
            Err(err) => {
                log::info!(reason = err.to_string().as_str(); "G0751 registering this instance failed");
                false
            }
        }
    }
}
