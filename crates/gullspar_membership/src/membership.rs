//! One instance's part in keeping track of all.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gullspar_border::BootInstant;
use gullspar_model::InstanceId;

use crate::links::Links;
use crate::member_table::MemberTable;
use crate::timing::{
    JOIN_FANOUT, MAX_ANSWER_RECORDS, MAX_FULL_MESH_PEERS, MAX_PROBE_TRIES, MAX_SYNC_RECORDS,
    PROBE_FANOUT, REVIVE_ROUND_INTERVAL, STALLED_AFTER,
};
use crate::{Gossip, Member, MemberRecord, MemberState, Proximity};

/// What became of a heartbeat that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipOutcome {
    /// It said something new that others should hear soon.
    pub has_updates: bool,
    /// The sender expects an answer, for which see [`Membership::answer`].
    pub needs_answer: bool,
}

/// An address where an instance may be.
#[derive(Debug)]
struct ProbeAddress {
    tries: u32,
    /// It stands in the settings and is never dropped.
    is_seed: bool,
}

/// The other instances as this one knows them, and the heartbeats that it sends.
///
/// An instance hears its contacts only. One that falls silent is suspected, all are told, and it is dead unless it
/// objects, which it does if anybody hears it.
#[derive(Debug)]
pub struct Membership {
    own: MemberRecord,
    table: MemberTable,
    links: Links,
    /// The generation of the roster that the links were chosen for.
    links_generation: Option<u64>,
    probe_addresses: BTreeMap<SocketAddr, ProbeAddress>,
    /// What the heartbeats of the present round pass on.
    round_updates: Vec<MemberRecord>,
    /// Addresses beside those of contacts that get a heartbeat in the present round.
    probed: Vec<SocketAddr>,
    rounds: u64,
    /// Instances that counted when the present round began.
    counted: usize,
    checked_at: Option<BootInstant>,
}

impl Membership {
    /// A membership of `own` alone, which will ask at `seeds` for others.
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

    /// Adds an address where an instance may be.
    pub fn add_probe_address(&mut self, address: SocketAddr) {
        let entry = self
            .probe_addresses
            .entry(address)
            .or_insert(ProbeAddress { tries: 0, is_seed: false });
        entry.tries = 0;
    }

    /// Announces whether this instance takes no new work.
    pub fn set_leaving(&mut self, leaving: bool) {
        if self.own.leaving != leaving {
            self.own.leaving = leaving;
            self.own.incarnation += 1;
        }
    }

    /// Begins a round of heartbeats; gives whom to send one.
    pub fn begin_round(&mut self, random: u64, now: BootInstant) -> Vec<SocketAddr> {
        self.rounds += 1;
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

    /// Addresses to try that nobody is known to be at.
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

    /// Believes a record of another instance if it is news; tells whether it was.
    fn apply_record(&mut self, record: &MemberRecord, now: BootInstant) -> bool {
        let is_newer = self.table.apply_record(record, now);
        let address = &record.member.address;
        if is_newer && self.probe_addresses.get(address).is_some_and(|it| !it.is_seed) {
            self.probe_addresses.remove(address);
        }
        is_newer
    }

    /// A dead instance or an address of the settings, by turns.
    fn address_to_revive(&self, random: u64) -> Option<SocketAddr> {
        let dead = self.table.dead().map(|it| it.member.address);
        let seeds =
            self.probe_addresses.iter().filter(|(_, it)| it.is_seed).map(|(address, _)| *address);
        let all: Vec<SocketAddr> = dead.chain(seeds).collect();
        all.get((random as usize).checked_rem(all.len())?).copied()
    }

    /// What the heartbeat of this round to the instance at `to` tells.
    ///
    /// It may be sent to others than those that [`Membership::begin_round`] gave.
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

    /// What to answer the sender of `gossip`: it is no contact, or does not know what is believed of it.
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

    /// Whether the sender knows others than this instance does.
    fn has_different_view(&self, gossip: &Gossip) -> bool {
        // One that has just started may know of all that live, and of none that died.
        gossip.digest != self.digest() || (gossip.counted as usize) < self.counted
    }

    fn digest(&self) -> u64 {
        self.table.digest() ^ self.own.digest()
    }

    /// Takes what another instance told.
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

    /// Objects when others believe something else of this instance than it knows; tells whether it did.
    ///
    /// One that was started anew under its name is still believed to be what it was before.
    fn refute(&mut self, record: &MemberRecord) -> bool {
        let own = &mut self.own;
        let is_accurate = record.state == MemberState::Alive
            && record.leaving == own.leaving
            && record.member == own.member;
        let should_refute = record.incarnation > own.incarnation
            || (record.incarnation == own.incarnation && !is_accurate);
        if should_refute {
            own.incarnation = record.incarnation + 1;
        }
        should_refute
    }

    /// Looks who has fallen silent or did not object; gives those that are dead now.
    ///
    /// To be called several times between two heartbeats.
    pub fn check(&mut self, now: BootInstant) -> Vec<InstanceId> {
        let paused_for = self.checked_at.map(|it| now.since(it)).unwrap_or_default();
        self.checked_at = Some(now);
        if paused_for >= STALLED_AFTER {
            self.links.discount_pause(paused_for, now);
            self.table.discount_pause(paused_for, now);
        }
        for id in self.links.mark_silent(now) {
            self.table.suspect(&id, now);
        }
        self.table.forget_dead(now);
        self.table.expire_suspects(now)
    }

    /// Whether something waits to be passed on, so that the next round should not wait for its time.
    pub fn has_updates(&self) -> bool {
        self.table.has_updates()
    }

    /// Changes whenever anything that is believed of others does.
    pub fn generation(&self) -> u64 {
        self.table.generation()
    }

    /// The other instances that take work.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.table.alive().filter(|it| !it.leaving).map(|it| &it.member)
    }

    /// The other instances that are alive, those on their way out included.
    pub fn running(&self) -> impl Iterator<Item = &Member> {
        self.table.alive().map(|it| &it.member)
    }

    /// Whether anything was ever heard of `id`.
    pub fn is_known(&self, id: &InstanceId) -> bool {
        self.table.get(id).is_some()
    }

    /// Instances that count in majorities, this one included.
    pub fn counted(&self, now: BootInstant) -> usize {
        1 + self.table.counted(now)
    }

    /// The part of the instances that count, in percent, that is in data centres of which any other is believed to be
    /// alive, or in the own one.
    pub fn reachable_percent(&self, now: BootInstant) -> u32 {
        let own = &self.own.member.data_centre;
        let by_data_centre = self.table.counted_by_data_centre(now);
        let counted: usize = 1 + by_data_centre.values().map(|it| it.counted).sum::<usize>();
        let reached =
            by_data_centre.iter().filter(|(data_centre, it)| **data_centre == own || it.alive > 0);
        let reached: usize = 1 + reached.map(|(_, it)| it.counted).sum::<usize>();
        (100 * reached / counted) as u32
    }

    /// Whether most of the instances that count are out of this one's reach.
    ///
    /// Deaths become known one by one, and an instance behind a cut hears of none of those that no contact of its side
    /// watches over. So the contacts stand for the fleet: the part of them that is silent is the part that can't be
    /// reached.
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
