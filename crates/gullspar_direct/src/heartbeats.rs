//! Knowing the other instances, and what they know.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::{PeerError, within};
use gullspar_model::GroupName;

use crate::news_source::NewsSource;
use crate::proxy::SETTLE;
use crate::{Beacon, Member, Phase, Proxy, Snapshot, SnapshotRequest};

/// Between two beacons to each contact.
const BEACON_EVERY: Duration = Duration::from_millis(200);

/// Least time between two beacons, however much happens.
const BEACON_SPACING: Duration = Duration::from_millis(40);

/// Contacts that get each beacon; more instances than this are reached in turns.
const BEACON_FANOUT: usize = 10;

/// Addresses of instances that a beacon names.
const BEACON_KNOWN: usize = 12;

/// How long handing over a snapshot may take.
const FETCH_WITHIN: Duration = Duration::from_millis(800);

impl Proxy {
    pub(crate) async fn send_beacons(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut turn = 0;
        loop {
            let beacon = self.beacon();
            let contacts = self.peers.contacts(self.own.address);
            let count = contacts.len().min(BEACON_FANOUT);
            let rounds = contacts.len().div_ceil(BEACON_FANOUT).max(1) as u32;
            self.peers.set_slack(BEACON_EVERY * (rounds - 1));
            for close in self.close_contacts(&contacts) {
                self.borders.peers.send(close, &beacon);
            }
            for step in 0..count {
                let at = (turn + step) % contacts.len();
                self.borders.peers.send(contacts[at], &beacon);
            }
            turn = turn.wrapping_add(count);
            self.peers.forget_silent(clock.boot_now());
            let sent = clock.now();
            let groups = self.groups();
            let changed = futures::future::select_all(
                groups.iter().map(|it| it.listen()).chain([self.directory.listen()]),
            );
            // A leader that fell silent is news: a promotion waits for the views of most instances.
            let _ = within(&*clock, sent + BEACON_EVERY, changed).await;
            clock.sleep_until(sent + BEACON_SPACING).await;
        }
    }

    /// Instances that look at the same groups, if all are too many to be told each time: they decide on
    /// promotions together, and need each other's views at once.
    pub(crate) fn close_contacts(&self, contacts: &[SocketAddr]) -> Vec<SocketAddr> {
        if contacts.len() <= BEACON_FANOUT {
            return Vec::new();
        }
        let groups: Vec<GroupName> = self.groups().iter().map(|it| it.name.clone()).collect();
        self.peers.addresses_looking_at(&groups, self.borders.clock.boot_now())
    }

    /// What this instance tells the others now.
    pub(crate) fn beacon(&self) -> Beacon {
        let clock = &self.borders.clock;
        let (now, boot_now) = (clock.now(), clock.boot_now());
        let views =
            self.groups().iter().map(|it| it.view(now, boot_now, self.started + SETTLE)).collect();
        let mut known = self.peers.alive_addresses(boot_now);
        if !known.is_empty() {
            // By turns, so that everybody hears of everybody.
            let turn = self.borders.entropy.next_u64() as usize % known.len();
            known.rotate_left(turn);
            known.truncate(BEACON_KNOWN);
        }
        Beacon {
            from: self.own.id.clone(),
            address: self.own.address,
            data_centre: self.own.data_centre.clone(),
            strength: self.own.strength,
            leaving: self.shutdown.phase() != Phase::Serving,
            catalogue_version: self.directory.version(),
            target_revision: self.directory.target_revision(),
            reaches_store: self.reaches_store(),
            views,
            counted: self.peers.count_to_tell(boot_now),
            known,
        }
    }

    /// Takes what other instances have newer.
    ///
    /// An instance that the store turns away, or that is cut off from it, would go on by an old
    /// configuration that everybody else has left.
    pub(crate) async fn follow_peers(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut source = NewsSource::starting_with(self.borders.entropy.next_u64());
        loop {
            let revision = (!self.goes_by_store()).then(|| self.directory.target_revision());
            let ahead = self.peers.ahead(self.directory.version(), revision, clock.boot_now());
            if let Some(from) = source.pick(&ahead, &self.own.data_centre) {
                let req = SnapshotRequest {
                    catalogue_version: self.directory.version(),
                    target_revision: self.directory.target_revision(),
                };
                let deadline = clock.now() + FETCH_WITHIN;
                match self.borders.peers.fetch(from, req, deadline).await {
                    Ok(snapshot) => {
                        source.answered();
                        self.take(from, snapshot);
                    }
                    Err(PeerError::NoAnswer(reason)) => {
                        source.failed();
                        log::info!(from = from.to_string().as_str(), reason = reason.as_str(); "G0714 an instance did not hand over its configuration");
                    }
                }
            }
            clock.sleep_until(clock.now() + BEACON_EVERY).await;
        }
    }

    fn take(&self, from: SocketAddr, snapshot: Snapshot) {
        if let Some(catalogue) = snapshot.catalogue {
            let version = catalogue.version;
            if self.directory.apply_catalogue(catalogue) {
                log::info!(version = version, from = from.to_string().as_str(); "G0760 a configuration came from an instance");
            }
        }
        if let Some(targets) = snapshot.targets
            && !self.goes_by_store()
        {
            self.directory.apply_targets(targets, self.borders.clock.now());
        }
    }

    /// Takes a beacon of another instance.
    pub fn take_beacon(&self, beacon: Beacon) {
        if beacon.from == self.own.id {
            return;
        }
        let now = self.borders.clock.boot_now();
        for view in &beacon.views {
            if let (Some(claim), Some(group)) = (&view.claim, self.group(&view.group)) {
                group.claims().take(claim, &beacon.from, now);
            }
        }
        self.peers.take(beacon, now);
    }

    /// What another instance lacks.
    pub fn snapshot(&self, req: SnapshotRequest) -> Snapshot {
        let catalogue = self.directory.catalogue().filter(|it| it.version > req.catalogue_version);
        let list = self.directory.target_list();
        Snapshot {
            catalogue: catalogue.map(|it| (*it).clone()),
            targets: (list.revision > req.target_revision).then_some(list),
        }
    }

    /// All instances that take work, this one included.
    pub(crate) fn members(&self) -> Vec<Member> {
        let mut members = self.peers.members(self.borders.clock.boot_now());
        members.push(self.as_member());
        members
    }

    pub(crate) fn as_member(&self) -> Member {
        Member {
            id: self.own.id.clone(),
            address: self.own.address,
            data_centre: self.own.data_centre.clone(),
            strength: self.own.strength,
        }
    }
}
