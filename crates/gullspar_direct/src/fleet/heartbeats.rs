//! Sends heartbeats to other instances and processes theirs.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BootInstant, PeerError, within};
use gullspar_membership::{Gossip, HEARTBEAT_INTERVAL, MIN_HEARTBEAT_INTERVAL};
use gullspar_model::GroupName;

use crate::configuration::update_source::UpdateSource;
use crate::fleet::commit_reports::SentCommitReports;
use crate::proxy::SETTLE_PERIOD;
use crate::{GroupView, Heartbeat, Members, PeerMessage, Phase, Proxy, Snapshot, SnapshotRequest};

/// How long fetching a snapshot from another instance may take.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// What the last heartbeats contained, and when the next ones are due.
#[derive(Default)]
struct LastSent {
    /// When the next full round is due.
    next_round: Option<Instant>,
    /// When reports about leaders were last sent.
    leader_reports_at: Option<BootInstant>,
    commit_reports: SentCommitReports,
    views: BTreeMap<GroupName, GroupView>,
    catalogue_version: u64,
}

impl Proxy {
    /// Sends heartbeats at a fixed interval, and earlier after updates; never returns.
    pub(crate) async fn send_heartbeats(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut last_sent = LastSent::default();
        loop {
            let updates = self.peers.listen();
            let directory_changed = self.directory.listen();
            let sent_at = clock.now();
            let is_due = last_sent.next_round.is_none_or(|it| sent_at >= it);
            self.send_round(&mut last_sent, is_due);
            self.send_leader_reports(&mut last_sent.leader_reports_at);
            self.send_commit_reports(&mut last_sent.commit_reports);
            if is_due {
                last_sent.next_round = Some(sent_at + HEARTBEAT_INTERVAL);
            }
            let next_round = last_sent.next_round.unwrap_or(sent_at);
            // While updates are pending, the next round starts early. Each update is sent in two
            // rounds, so that a single lost datagram does no harm.
            if !self.peers.has_updates() {
                let groups = self.groups();
                let changed = futures::future::select_all(
                    groups.iter().map(|it| it.listen()).chain([directory_changed, updates]),
                );
                // A change of a group, such as a silent leader, ends the wait, because a promotion needs
                // the current views of most instances.
                let _ = within(&*clock, next_round, changed).await;
            }
            if self.directory.version() != last_sent.catalogue_version {
                last_sent.next_round = None;
            }
            clock.sleep_until(sent_at + MIN_HEARTBEAT_INTERVAL).await;
        }
    }

    /// Sends heartbeats. A round that is due goes to all contacts and group peers. Other rounds go
    /// to contacts if there are membership updates, and to the group peers of groups whose view has
    /// changed.
    ///
    /// With many groups, some view changes all the time; sending each change to everyone would cost
    /// more bandwidth than the callers' traffic.
    fn send_round(&self, last_sent: &mut LastSent, is_due: bool) {
        let now = self.borders.clock.boot_now();
        self.peers.set_leaving(self.shutdown.phase() != Phase::Serving);
        self.hand_over_quotas(now);
        let views = self.views(now);
        let changed: BTreeSet<GroupName> = views
            .iter()
            .filter(|it| last_sent.views.get(&it.group).is_none_or(|old| it.is_changed_from(old)))
            .map(|it| it.group.clone())
            .collect();
        if is_due || !changed.is_empty() {
            self.peers.update_group_peers(self.find_group_peers(), now);
        }
        let mut to: BTreeSet<SocketAddr> = BTreeSet::new();
        if is_due || self.peers.has_updates() {
            to.extend(self.peers.begin_round(self.borders.entropy.next_u64(), now));
        }
        to.extend(self.peers.group_peers(|groups| is_due || !groups.is_disjoint(&changed)));
        for address in to {
            let heartbeat = self.heartbeat(address, self.peers.gossip(address, now), &views, now);
            self.borders.peers.send(address, &PeerMessage::Heartbeat(heartbeat));
        }
        last_sent.catalogue_version = self.directory.version();
        last_sent.views = views.into_iter().map(|it| (it.group.clone(), it)).collect();
    }

    /// Addresses of the instances that monitor the same groups as this one, each with the shared
    /// groups. They are the groups' homes and the instances that sent views of the groups.
    ///
    /// They decide on promotions together and need each other's views without delay.
    fn find_group_peers(&self) -> BTreeMap<SocketAddr, BTreeSet<GroupName>> {
        let now = self.borders.clock.boot_now();
        let mut group_peers: BTreeMap<SocketAddr, BTreeSet<GroupName>> = BTreeMap::new();
        for group in self.groups() {
            let addresses = self.peers.views.monitoring_addresses(&group.name, now);
            let inputs = self.home_inputs(&group.name);
            let homes = inputs.map(|it| self.all_homes(&group.name, &it)).unwrap_or_default();
            for address in addresses.into_iter().chain(homes.iter().map(|it| it.address)) {
                group_peers.entry(address).or_default().insert(group.name.clone());
            }
        }
        group_peers
    }

    fn views(&self, boot_now: BootInstant) -> Vec<GroupView> {
        let now = self.borders.clock.now();
        self.groups()
            .iter()
            .map(|it| it.view(now, boot_now, self.started + SETTLE_PERIOD))
            .collect()
    }

    fn heartbeat(
        &self,
        to: SocketAddr,
        gossip: Gossip,
        views: &[GroupView],
        now: BootInstant,
    ) -> Heartbeat {
        let shared = self.peers.shared_groups(to);
        let views = views.iter().filter(|it| shared.contains(&it.group)).cloned().collect();
        Heartbeat {
            gossip,
            catalogue_version: self.directory.version(),
            target_revision: self.directory.target_revision(),
            store_age_ms: self.peers.store_age_ms(now),
            home_age_ms: self.peers.home_age_ms(now),
            views,
        }
    }

    /// Processes a message from another instance.
    pub fn handle_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Heartbeat(heartbeat) => self.handle_heartbeat(heartbeat),
            PeerMessage::TokenRequest(req) => self.answer_token_request(&req),
            PeerMessage::TokenGrant(grant) => self.apply_grant(&grant),
            PeerMessage::QuotaHandover(handover) => self.apply_quota_handover(&handover),
            PeerMessage::HomeProbe(probe) => self.answer_home_probe(&probe),
            PeerMessage::HomeProbeAnswer(answer) => self.apply_home_probe_answer(&answer),
            PeerMessage::RotationReport(report) => self.handle_rotation_report(report),
            PeerMessage::RotationVerdict(verdict) => self.handle_rotation_verdict(verdict),
            PeerMessage::LeaderReports(reports) => self.apply_leader_reports(reports),
            PeerMessage::CommitReports(reports) => self.apply_commit_reports(reports),
        }
    }

    /// Processes a heartbeat from another instance.
    pub fn handle_heartbeat(&self, heartbeat: Heartbeat) {
        if *heartbeat.from() == self.own.id {
            return;
        }
        self.record_home_heartbeat(heartbeat.from());
        let now = self.borders.clock.boot_now();
        for view in &heartbeat.views {
            if let (Some(claim), Some(group)) = (&view.claim, self.group(&view.group)) {
                let known = group.claims().token();
                group.claims().apply_report(claim, heartbeat.from(), now);
                if group.claims().token() != known {
                    // A transfer waits until the other homes report that they know of its claim.
                    group.notify();
                }
            }
        }
        let (address, gossip) = (heartbeat.address(), heartbeat.gossip.clone());
        if self.peers.handle_heartbeat(heartbeat, now).needs_answer {
            let answer = self.peers.answer(&gossip, now);
            let heartbeat = self.heartbeat(address, answer, &self.views(now), now);
            self.borders.peers.send(address, &PeerMessage::Heartbeat(heartbeat));
        }
    }

    /// Records contact with the store and with most leaders if there is any, and checks the other
    /// instances for silence.
    pub(crate) fn check_peers(&self) {
        let now = self.borders.clock.boot_now();
        if self.can_reach_store() {
            self.peers.record_store_contact(now);
        }
        if self.can_reach_most_leaders() {
            self.peers.record_home_contact(now);
        }
        for id in self.peers.check(now) {
            log::info!(instance = id.as_str(); "G0763 an instance was declared dead");
        }
    }

    /// Fetches newer configuration and lists of targets from other instances.
    ///
    /// Without this, an instance that can't use the store would keep serving with an outdated
    /// configuration.
    pub(crate) async fn sync_from_peers(self: Rc<Self>) {
        let clock = Rc::clone(&self.borders.clock);
        let mut source = UpdateSource::starting_with(self.borders.entropy.next_u64());
        loop {
            let revision =
                (!self.has_targets_from_store()).then(|| self.directory.target_revision());
            let candidates =
                self.peers.peers_with_updates(self.directory.version(), revision, clock.boot_now());
            if let Some(from) = source.pick(&candidates, &self.own.data_centre) {
                let req = SnapshotRequest {
                    catalogue_version: self.directory.version(),
                    target_revision: self.directory.target_revision(),
                };
                let deadline = clock.now() + FETCH_TIMEOUT;
                match self.borders.peers.fetch(from, req, deadline).await {
                    Ok(snapshot) => {
                        source.answered();
                        self.apply_snapshot(from, snapshot);
                    }
                    Err(PeerError::NoAnswer(reason)) => {
                        source.failed();
                        log::info!(from = from.to_string().as_str(), reason = reason.as_str(); "G0714 fetching the configuration from an instance failed");
                    }
                }
            }
            clock.sleep_until(clock.now() + HEARTBEAT_INTERVAL).await;
        }
    }

    fn apply_snapshot(&self, from: SocketAddr, snapshot: Snapshot) {
        if let Some(catalogue) = snapshot.catalogue {
            let version = catalogue.version;
            if self.directory.apply_catalogue(catalogue) {
                log::info!(version = version, from = from.to_string().as_str(); "G0760 received a configuration from an instance");
            }
        }
        if let Some(targets) = snapshot.targets
            && !self.has_targets_from_store()
        {
            self.directory.apply_targets(targets, self.borders.clock.now());
        }
    }

    /// The configuration and the list of targets, each only if it is newer than the requesting
    /// instance's.
    pub fn snapshot(&self, req: SnapshotRequest) -> Snapshot {
        let catalogue = self.directory.catalogue().filter(|it| it.version > req.catalogue_version);
        let list = self.directory.target_list();
        Snapshot {
            catalogue: catalogue.map(|it| (*it).clone()),
            targets: (list.revision > req.target_revision).then_some(list),
        }
    }

    /// The instances that take work, this one included.
    pub(crate) fn members(&self) -> Rc<Members> {
        self.peers.members(self.borders.clock.boot_now())
    }
}
