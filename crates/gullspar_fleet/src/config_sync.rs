//! Bringing configuration from the platform to every instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::{ConfigEntry, PeerReply, PeerRequest, WatchBackoff, WatchReply, within};
use gullspar_model::DataCentre;

use crate::Fleet;

/// What the relays of a data centre are ranked by.
const RELAY_KEY: &str = "gullspar relay";

/// Prefix of everything that gullspar keeps on the platform.
const PREFIX: &str = "gullspar/";

/// Instances of a data centre that watch the platform.
///
/// Two, so that the loss of one is not noticed; the platform counts each waiting watch.
const RELAYS: usize = 2;

/// Pause between looks at whether one is a relay.
const RELAY_LOOK: Duration = Duration::from_millis(500);

impl Fleet {
    pub(crate) async fn run_config(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut revision = 0;
        let mut backoff = WatchBackoff::default();
        loop {
            if !self.is_relay() {
                revision = 0;
                let changed = self.listen();
                let _ = within(&*clock, clock.now() + RELAY_LOOK, changed).await;
                continue;
            }
            let sent_at = clock.now();
            let wait_ms = backoff.max_wait(self.timing.watch_for).as_millis() as u64;
            match self.borders.platform.watch(PREFIX, revision, wait_ms).await {
                Ok(reply) => {
                    backoff.record_answer();
                    revision = reply.revision;
                    self.take_watched(reply);
                }
                Err(err) => {
                    log::warn!("G0204 watching the platform failed: {err}");
                    clock
                        .sleep_until(backoff.record_failure(sent_at, &*self.borders.entropy))
                        .await;
                }
            }
        }
    }

    /// Whether this instance watches the platform for its data centre.
    pub fn is_relay(&self) -> bool {
        let own = self.data_centre();
        let relays = self.first(RELAYS, RELAY_KEY, &own);
        relays.iter().any(|it| it.id == self.id())
    }

    fn take_watched(self: &Rc<Self>, reply: WatchReply) {
        let entries = reply
            .changed
            .into_iter()
            .map(|it| ConfigEntry { key: it.key, version: it.version, value: it.value })
            .collect();
        self.take_entries(entries, true);
    }

    /// Puts entries in force and, as a relay, hands the new ones to the others of the data centre.
    pub fn take_entries(self: &Rc<Self>, entries: Vec<ConfigEntry>, forward: bool) {
        let fresh: Vec<ConfigEntry> =
            entries.into_iter().filter(|it| self.config.apply(it)).collect();
        if fresh.is_empty() || !forward {
            return;
        }
        let own = self.own.borrow().clone();
        let others = self.instances().into_iter().filter(|it| {
            it.can_accept_work() && it.id != own.id && it.data_centre == own.data_centre
        });
        self.push(others.map(|it| it.peer).collect(), &fresh, false);
    }

    /// Puts entries in force here and on all other instances, through the relays of each data
    /// centre, without waiting for the platform's watches.
    pub fn spread(self: &Rc<Self>, entries: Vec<ConfigEntry>) {
        self.take_entries(entries.clone(), true);
        let own = self.data_centre();
        let data_centres: BTreeSet<DataCentre> =
            self.instances().into_iter().map(|it| it.data_centre).filter(|it| *it != own).collect();
        let relays = data_centres.iter().flat_map(|data_centre| {
            let relays = self.first(RELAYS, RELAY_KEY, data_centre);
            relays.into_iter().filter(|it| it.data_centre == *data_centre).map(|it| it.peer)
        });
        self.push(relays.collect(), &entries, true);
    }

    fn push(&self, peers: Vec<SocketAddr>, entries: &[ConfigEntry], forward: bool) {
        for peer in peers {
            let req = PeerRequest::Push { entries: entries.to_vec(), forward };
            let deadline = self.borders.clock.now() + self.timing.answer_within;
            let call = self.borders.peers.call(peer, req, deadline);
            // An instance that misses the push notices by its digest at the next exchange.
            compio::runtime::spawn(async move { drop(call.await) }).detach();
        }
    }

    /// Takes whatever the instance at `peer` has newer.
    pub(crate) async fn pull_from(self: &Rc<Self>, peer: SocketAddr) {
        let req = PeerRequest::Pull { known: self.config.versions() };
        let deadline = self.borders.clock.now() + 4 * self.timing.answer_within;
        if let Ok(PeerReply::Entries(entries)) = self.borders.peers.call(peer, req, deadline).await
        {
            self.take_entries(entries, false);
        }
    }
}
