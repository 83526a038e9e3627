//! Tracks which instances are alive, by exchanging gossip with some of them.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gullspar_border::BootInstant;
use gullspar_model::InstanceId;

use crate::links::Links;
use crate::member_table::MemberTable;
use crate::timing::{
    JOIN_FANOUT, MAX_ANSWER_RECORDS, MAX_FULL_MESH_PEERS, MAX_PROBE_TRIES, MAX_SYNC_RECORDS,
    PAUSE_DETECTED_AFTER, PROBE_FANOUT, REVIVE_ROUND_INTERVAL, UPDATE_ROUNDS,
};
use crate::{Gossip, Member, MemberRecord, MemberState, Proximity, Reach};

/// The result of [`Membership::handle_gossip`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipOutcome {
    /// The gossip contained updates that other instances should receive soon.
    pub has_updates: bool,
    /// The sender expects the answer that [`Membership::answer`] returns.
    pub needs_answer: bool,
}

/// An address where an instance may run.
#[derive(Debug)]
struct ProbeAddress {
    tries: u32,
    /// The address is from the settings and is never dropped.
    is_seed: bool,
}

/// One instance's view of the fleet's membership, and the gossip that it sends.
///
/// An instance exchanges heartbeats with its contacts only. A contact that falls silent is
/// suspected, the suspicion is spread to all, and the suspect is declared dead unless it refutes
/// the suspicion in time.
#[derive(Debug)]
pub struct Membership {
    own: MemberRecord,
    /// Number of rounds that are started early, so that others soon learn of a change of `own`.
    own_rounds_left: u32,
    table: MemberTable,
    links: Links,
    /// The generation of the member table that the links were chosen for.
    links_generation: Option<u64>,
    probe_addresses: BTreeMap<SocketAddr, ProbeAddress>,
    /// The updates that are sent with the heartbeats of the current round.
    round_updates: Vec<MemberRecord>,
    /// Addresses that are probed in the current round, in addition to the contacts.
    probed: Vec<SocketAddr>,
    rounds: u64,
    /// Number of counted instances when the current round began.
    counted: usize,
    checked_at: Option<BootInstant>,
}

impl Membership {
    /// Creates a membership that contains only `own` and probes `seeds` for other instances.
    pub fn new(own: Member, seeds: impl IntoIterator<Item = SocketAddr>) -> Membership {
        let own = MemberRecord {
            member: own,
            incarnation: 0,
            leaving: false,
            state: MemberState::Alive,
            state_age_ms: 0,
            renewals: 0,
        };
        let seeds = seeds.into_iter().map(|it| (it, ProbeAddress { tries: 0, is_seed: true }));
        Membership {
            table: MemberTable::new(own.member.data_centre.clone()),
            own,
            own_rounds_left: 0,
            links: Links::default(),
            links_generation: None,
            probe_addresses: seeds.collect(),
            round_updates: Vec::new(),
            probed: Vec::new(),
            rounds: 0,
            counted: 1,
            checked_at: None,
        }
    }

    /// Adds an address to probe, because an instance may run there.
    pub fn add_probe_address(&mut self, address: SocketAddr) {
        let entry = self
            .probe_addresses
            .entry(address)
            .or_insert(ProbeAddress { tries: 0, is_seed: false });
        entry.tries = 0;
    }

    /// Announces whether this instance refuses new work.
    pub fn set_leaving(&mut self, leaving: bool) {
        if self.own.leaving != leaving {
            self.own.leaving = leaving;
            self.own.incarnation += 1;
            self.own_rounds_left = UPDATE_ROUNDS;
        }
    }

    /// Begins a round of heartbeats; returns the addresses to send one to.
    pub fn begin_round(&mut self, random: u64, now: BootInstant) -> Vec<SocketAddr> {
        self.rounds += 1;
        self.own_rounds_left = self.own_rounds_left.saturating_sub(1);
        self.counted = self.counted(now);
        self.choose_links(now);
        self.round_updates = self.table.next_updates(now);
        self.probed = self.addresses_to_probe(random);
        if self.rounds.is_multiple_of(REVIVE_ROUND_INTERVAL) {
            self.probed.extend(self.address_to_revive(random));
        }
        let mut to = self.links.addresses();
        to.extend(&self.probed);
        to.retain(|it| *it != self.own.member.address);
        to.sort();
        to.dedup();
        to
    }

    fn choose_links(&mut self, now: BootInstant) {
        let has_dropped_links = self.links.drop_expired(|id| self.table.is_expired(id, now));
        let has_dead_links = self.links.has_any(|id| self.table.is_dead(id));
        let is_current = self.links_generation == Some(self.table.generation());
        if is_current && !has_dropped_links && !has_dead_links {
            return;
        }
        self.links_generation = Some(self.table.generation());
        let others: Vec<&Member> = self.table.alive().map(|it| &it.member).collect();
        self.links.choose(&self.own.member, &others, now);
    }

    /// The addresses to probe in this round: those where an unknown instance may run.
    fn addresses_to_probe(&mut self, random: u64) -> Vec<SocketAddr> {
        let is_alone = self.table.is_alone();
        let fanout = if is_alone { JOIN_FANOUT } else { PROBE_FANOUT };
        self.probe_addresses.retain(|_, it| it.is_seed || it.tries < MAX_PROBE_TRIES);
        let should_probe = |it: &ProbeAddress| is_alone || !it.is_seed;
        let mut candidates: Vec<(&SocketAddr, &mut ProbeAddress)> =
            self.probe_addresses.iter_mut().filter(|(_, it)| should_probe(it)).collect();
        let offset = random as usize % candidates.len().max(1);
        candidates.rotate_left(offset);
        let chosen = candidates.into_iter().take(fanout);
        chosen
            .map(|(address, it)| {
                it.tries += 1;
                *address
            })
            .collect()
    }

    /// Applies a record of another instance; returns whether the record changed the member table.
    fn apply_record(&mut self, record: &MemberRecord, now: BootInstant) -> bool {
        let is_newer = self.table.apply_record(record, now);
        let address = &record.member.address;
        if is_newer && self.probe_addresses.get(address).is_some_and(|it| !it.is_seed) {
            self.probe_addresses.remove(address);
        }
        is_newer
    }

    /// Chooses the address of one dead instance or seed at random.
    fn address_to_revive(&self, random: u64) -> Option<SocketAddr> {
        let dead = self.table.dead().map(|it| it.member.address);
        let seeds =
            self.probe_addresses.iter().filter(|(_, it)| it.is_seed).map(|(address, _)| *address);
        let all: Vec<SocketAddr> = dead.chain(seeds).collect();
        all.get((random as usize).checked_rem(all.len())?).copied()
    }

    /// The gossip of this round's heartbeat to the instance at `to`, which need not be among the
    /// addresses that [`Membership::begin_round`] returned.
    pub fn gossip_for(&mut self, to: SocketAddr, now: BootInstant) -> Gossip {
        let mut updates = self.round_updates.clone();
        let contact = self.links.id_at(to);
        if contact.as_ref().is_some_and(|it| self.links.has_different_view(it)) {
            updates.extend(self.table.next_sync_records(MAX_SYNC_RECORDS, now));
        }
        let known_record = contact.as_ref().and_then(|it| self.table.record_to_send(it, now));
        updates.extend(known_record.filter(|it| it.state != MemberState::Alive));
        let is_probed = self.probed.contains(&to);
        self.gossip(updates, contact.is_some() || is_probed, now)
    }

    /// The answer to `gossip` whose sender is not a contact or has an outdated record of itself.
    pub fn answer(&mut self, gossip: &Gossip, now: BootInstant) -> Gossip {
        let from = &gossip.from;
        let known_record = self.table.record_to_send(&from.member.id, now);
        let mut updates: Vec<MemberRecord> =
            known_record.into_iter().filter(|it| it.has_precedence_over(from)).collect();
        if self.has_different_view(gossip) {
            updates.extend(self.table.next_sync_records(MAX_ANSWER_RECORDS, now));
        }
        self.gossip(updates, false, now)
    }

    fn gossip(&self, updates: Vec<MemberRecord>, expects_answer: bool, now: BootInstant) -> Gossip {
        Gossip {
            from: self.own.clone(),
            digest: self.digest(),
            counted: self.counted as u32,
            links: self.links.counts(now),
            updates,
            expects_answer,
        }
    }

    /// Whether the sender's view of the members differs from this instance's.
    fn has_different_view(&self, gossip: &Gossip) -> bool {
        // The digests are equal if both know the same live instances, but a sender that has just
        // started may not know the dead ones, which are counted too.
        gossip.digest != self.digest() || (gossip.counted as usize) < self.counted
    }

    fn digest(&self) -> u64 {
        self.table.digest() ^ self.own.digest()
    }

    /// Applies the gossip of another instance.
    pub fn handle_gossip(&mut self, gossip: &Gossip, now: BootInstant) -> GossipOutcome {
        let from = &gossip.from;
        if from.member.id == self.own.member.id {
            return GossipOutcome { has_updates: false, needs_answer: false };
        }
        let mut has_updates = self.apply_record(from, now);
        self.table.renew_suspect(&from.member.id, now);
        for record in &gossip.updates {
            has_updates |= match record.member.id == self.own.member.id {
                true => self.refute(record),
                false => self.apply_record(record, now),
            };
        }
        let has_different_view = self.has_different_view(gossip);
        if let Some(link) = self.links.get_mut(&from.member.id) {
            link.silent_since = now;
            link.has_responded = true;
            link.was_suspected = false;
            link.reported = gossip.links;
            link.has_different_view = has_different_view;
        }
        let is_outdated =
            self.table.get(&from.member.id).is_some_and(|known| known.has_precedence_over(from));
        let needs_answer =
            is_outdated || (gossip.expects_answer && !self.links.contains(&from.member.id));
        GossipOutcome { has_updates, needs_answer }
    }

    /// Raises this instance's incarnation if `record`, which others have of this instance, is wrong
    /// or is from a later incarnation; returns whether it was raised.
    ///
    /// After a restart, others may still have the record of the previous process.
    fn refute(&mut self, record: &MemberRecord) -> bool {
        let own = &mut self.own;
        let is_accurate = record.state == MemberState::Alive
            && record.leaving == own.leaving
            && record.member == own.member;
        let should_refute = record.incarnation > own.incarnation
            || (record.incarnation == own.incarnation && !is_accurate);
        if should_refute {
            own.incarnation = record.incarnation + 1;
            // A refutation that waits for the next regular round may come too late: a busy instance may stall again.
            self.own_rounds_left = UPDATE_ROUNDS;
        }
        should_refute
    }

    /// Suspects silent contacts and expires suspects; returns the instances that are now declared
    /// dead.
    ///
    /// It must be called several times per heartbeat interval.
    pub fn check(&mut self, now: BootInstant) -> Vec<InstanceId> {
        let paused_for = self.checked_at.map(|it| now.since(it)).unwrap_or_default();
        self.checked_at = Some(now);
        if paused_for >= PAUSE_DETECTED_AFTER {
            self.links.discount_pause(paused_for, now);
            self.table.discount_pause(paused_for, now);
        }
        for id in self.links.suspect_silent(now) {
            self.table.suspect(&id, now);
        }
        self.table.forget_dead(now);
        self.table.expire_suspects(now)
    }

    /// Whether updates are pending, so that the next round should start early.
    pub fn has_updates(&self) -> bool {
        self.own_rounds_left > 0 || self.table.has_updates()
    }

    /// A number that increases with each newer record of another instance. It does not change when a
    /// suspect's time to refute is renewed or a dead instance is forgotten.
    pub fn generation(&self) -> u64 {
        self.table.generation()
    }

    /// The other instances that take work.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.alive().filter(|it| !it.leaving).map(|it| &it.member)
    }

    /// The other instances that are alive, including those that are leaving.
    pub fn running(&self) -> impl Iterator<Item = &Member> {
        self.table.alive().map(|it| &it.member)
    }

    /// Whether this instance has a record of `id`.
    pub fn is_known(&self, id: &InstanceId) -> bool {
        self.table.get(id).is_some()
    }

    /// Number of instances that are counted in majorities, this one included.
    pub fn counted(&self, now: BootInstant) -> usize {
        1 + self.table.counted(now)
    }

    /// How many of the known instances are alive, this one included.
    ///
    /// A dead instance is known as long as it is remembered, unless another one runs at its address: it may be alive on
    /// the other side of a partition of any length.
    pub fn reach(&self) -> Reach {
        let reached = 1 + self.table.staying();
        Reach { reached, known: reached + self.table.unreplaced_dead(self.own.member.address) }
    }

    /// Whether this instance can't reach a majority of the counted instances.
    ///
    /// The number of reachable instances is estimated from the share of silent contacts. The number
    /// of known deaths can't be used: during a partition, an instance does not learn of deaths that
    /// only contacts on the other side can detect.
    pub fn is_isolated(&self, now: BootInstant) -> bool {
        let counted = self.counted(now);
        let reached = if counted <= 1 + MAX_FULL_MESH_PEERS {
            self.links.counts(now).responsive()
        } else {
            let counts = self.links.combined_counts(now);
            let estimate = |proximity| {
                self.table.population(proximity, now).estimate_reachable(counts.of(proximity))
            };
            estimate(Proximity::Near) + estimate(Proximity::Far)
        };
        2 * (1 + reached) <= counted
    }
}
