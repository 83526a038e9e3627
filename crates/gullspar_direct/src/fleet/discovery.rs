//! Learning at the start how many instances there are.
//!
//! How many connections an instance may open, and whether it opens any, follows from the number of
//! instances. One that has just started has heard nobody and would take itself for the only one. After
//! a power loss of all, each would open connections to all targets and send them as much as if it were alone; targets
//! would reset most connections and turn away half of the statements, and hardly a caller would be served in time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::Event;
use gullspar_border::{jittered, within};

use crate::{Member, Proxy};

/// How long a start waits for the registry, which answers in 4 ms. By then heartbeats have told of some
/// instances where it does not answer.
const DISCOVERY_TIMEOUT: Duration = Duration::from_millis(600);

/// How long entries of the registry count as instances at work before they are heard.
///
/// Whoever lives is known to all within a second, however many there are; some of those that start together take
/// longer to start.
const EXPECTED_TTL: Duration = Duration::from_secs(3);

/// How long an instance hears nobody before it looks others up.
const NO_PEERS_AFTER: Duration = Duration::from_millis(1500);

/// Time between the entries of two instances that enter again at the same time.
const REGISTRATION_INTERVAL: Duration = Duration::from_millis(3);

/// Whether this instance knows how many others to expect.
#[derive(Default)]
pub(crate) struct Discovery {
    done: Cell<bool>,
    changed: Event,
}

impl Discovery {
    pub(crate) fn is_done(&self) -> bool {
        self.done.get()
    }

    /// Waits until it is taken.
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
    /// Looks up who is there, enters this instance, and looks again while it hears nobody.
    pub(crate) async fn discover_instances(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let deadline = clock.now() + DISCOVERY_TIMEOUT;
        let found = within(&*clock, deadline, self.query_registry()).await.ok().flatten();
        let is_registered = found.as_ref().is_some_and(|it| it.contains(&self.own.member()));
        // The era of the store in which this instance was registered_era.
        let mut registered_era = is_registered.then(|| self.store_era());
        self.expect_members(found.unwrap_or_default());
        self.discovery.finish();
        self.maintain_groups();
        loop {
            let era = self.store_era();
            if registered_era.is_some_and(|it| it < era) {
                // The older copy may lack this instance. Not all write at once.
                let max_delay = REGISTRATION_INTERVAL * self.members().len() as u32;
                clock.sleep_until(clock.now() + jittered(&*self.borders.entropy, max_delay)).await;
                registered_era = None;
            }
            if registered_era.is_none() {
                registered_era = self.register_instance().await.then_some(era);
            }
            clock.sleep_until(clock.now() + NO_PEERS_AFTER).await;
            if self.members().len() == 1 {
                // Heartbeats go out to whomever it brings.
                let _ = self.query_registry().await;
            }
        }
    }

    /// Takes everybody who is registered for an instance at work, once: entries of those that are gone
    /// are not removed, and an instance that is left alone has to serve.
    fn expect_members(&self, mut entries: Vec<Member>) {
        entries.retain(|it| it.id != self.own.id);
        self.peers.set_expected_members(entries, self.borders.clock.boot_now().plus(EXPECTED_TTL));
    }

    /// Reads the registry and sends heartbeats to whoever stands there; `None` if it can't be read.
    async fn query_registry(&self) -> Option<Vec<Member>> {
        match self.borders.registry.entries().await {
            Ok(entries) => {
                entries.iter().for_each(|it| self.peers.add_probe_address(it.address));
                Some(entries)
            }
            Err(err) => {
                log::info!(reason = err.to_string().as_str(); "G0752 other instances could not be looked up");
                None
            }
        }
    }

    /// The newest era of the store, as this instance or those that hand it lists of targets know.
    fn store_era(&self) -> u64 {
        self.borders.registry.era().max(self.directory.target_revision().era)
    }

    async fn register_instance(&self) -> bool {
        match self.borders.registry.register(&self.own.member()).await {
            Ok(()) => true,
            Err(err) => {
                log::info!(reason = err.to_string().as_str(); "G0751 this instance could not be registered");
                false
            }
        }
    }
}
