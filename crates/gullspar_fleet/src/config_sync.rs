//! Distributes the configuration from the platform to all instances.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::{ConfigEntry, PeerReply, PeerRequest, WatchBackoff, WatchReply, within};
use gullspar_model::DataCentre;

use crate::Fleet;

/// Key by which the relays of a data centre are ranked.
const RELAY_RANK_KEY: &str = "gullspar relay";

/// Prefix of all keys that gullspar stores on the platform.
const PREFIX: &str = "gullspar/";

/// Number of instances of a data centre that watch the platform.
///
/// With two, the loss of one delays no update. More would only add watches, and thus load, on the platform.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Time between two checks of whether this instance is a relay.
const RELAY_CHECK_INTERVAL: Duration = Duration::from_millis(500);

impl Fleet {
    /// Watches the platform while this instance is a relay. Never ends.
    pub(crate) async fn run_config(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut revision = 0;
        let mut backoff = WatchBackoff::default();
        loop {
            if !self.is_relay() {
                revision = 0;
                let changed = self.listen();
                let _ = within(&*clock, clock.now() + RELAY_CHECK_INTERVAL, changed).await;
                continue;
            }
            let sent_at = clock.now();
            let wait_ms = backoff.max_wait(self.timing.watch_timeout).as_millis() as u64;
            match self.borders.platform.watch(PREFIX, revision, wait_ms).await {
                Ok(reply) => {
                    backoff.record_answer();
                    revision = reply.revision;
                    self.apply_watch_reply(reply);
                }
                Err(err) => {
                    log::warn!("G0204 a watch on the platform failed: {err}");
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
        let relays = self.highest_ranked(RELAYS_PER_DATA_CENTRE, RELAY_RANK_KEY, &own);
        relays.iter().any(|it| it.id == self.id())
    }

    fn apply_watch_reply(self: &Rc<Self>, reply: WatchReply) {
        let entries = reply
            .changed
            .into_iter()
            .map(|it| ConfigEntry { key: it.key, version: it.version, value: it.value })
            .collect();
        self.apply_entries(entries, true);
    }

    /// Puts entries in force. With `forward`, it sends the new ones to the other instances of the data centre.
    pub fn apply_entries(self: &Rc<Self>, entries: Vec<ConfigEntry>, forward: bool) {
        let applied: Vec<ConfigEntry> =
            entries.into_iter().filter(|it| self.config.apply(it)).collect();
        if applied.is_empty() || !forward {
            return;
        }
        let own = self.own.borrow().clone();
        let others = self.instances().into_iter().filter(|it| {
            it.can_accept_work() && it.id != own.id && it.data_centre == own.data_centre
        });
        self.push(others.map(|it| it.peer).collect(), &applied, false);
    }

    /// Puts entries in force here, and sends them to the relays of all other data centres without waiting for the
    /// platform's watches.
    pub fn distribute(self: &Rc<Self>, entries: Vec<ConfigEntry>) {
        self.apply_entries(entries.clone(), true);
        let own = self.data_centre();
        let data_centres: BTreeSet<DataCentre> =
            self.instances().into_iter().map(|it| it.data_centre).filter(|it| *it != own).collect();
        let relays = data_centres.iter().flat_map(|data_centre| {
            let relays = self.highest_ranked(RELAYS_PER_DATA_CENTRE, RELAY_RANK_KEY, data_centre);
            relays.into_iter().filter(|it| it.data_centre == *data_centre).map(|it| it.peer)
        });
        self.push(relays.collect(), &entries, true);
    }

    fn push(&self, peers: Vec<SocketAddr>, entries: &[ConfigEntry], forward: bool) {
        for peer in peers {
            let req = PeerRequest::Push { entries: entries.to_vec(), forward };
            let deadline = self.borders.clock.now() + self.timing.answer_timeout;
            let call = self.borders.peers.call(peer, req, deadline);
            // An instance that misses the push sees a different digest at the next exchange and pulls the entries.
            compio::runtime::spawn(async move { drop(call.await) }).detach();
        }
    }

    /// Fetches and applies all entries that are newer at the instance at `peer`.
    pub(crate) async fn pull_from(self: &Rc<Self>, peer: SocketAddr) {
        let req = PeerRequest::Pull { known: self.config.versions() };
        let deadline = self.borders.clock.now() + 4 * self.timing.answer_timeout;
        if let Ok(PeerReply::Entries(entries)) = self.borders.peers.call(peer, req, deadline).await
        {
            self.apply_entries(entries, false);
        }
    }
}
