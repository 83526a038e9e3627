//! One instance's part in keeping track of all.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gullspar_border::BootInstant;
use gullspar_model::InstanceId;

use crate::links::Links;
use crate::roster::Roster;
use crate::timing::{
    ALL_CONTACTS_UP_TO, ANSWER_RECORDS, JOIN_FANOUT, REVIVE_EVERY, STALLED_AFTER, SYNC_RECORDS,
    VERIFY_FANOUT, VERIFY_TRIES,
};
use crate::{Class, Gossip, Member, MemberRecord, MemberState};

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
struct Lead {
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
    roster: Roster,
    links: Links,
    /// The generation of the roster that the links were chosen for.
    linked_for: Option<u64>,
    leads: BTreeMap<SocketAddr, Lead>,
    /// What the heartbeats of the present round pass on.
    round_news: Vec<MemberRecord>,
    /// Addresses beside those of contacts that get a heartbeat in the present round.
    tried: Vec<SocketAddr>,
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
        let seeds = seeds.into_iter().map(|it| (it, Lead { tries: 0, is_seed: true }));
        Membership {
            roster: Roster::new(own.member.data_centre.clone()),
            own,
            links: Links::default(),
            linked_for: None,
            leads: seeds.collect(),
            round_news: Vec::new(),
            tried: Vec::new(),
            rounds: 0,
            counted: 1,
            checked_at: None,
        }
    }

    /// Adds an address where an instance may be.
    pub fn add_probe_address(&mut self, address: SocketAddr) {
        let lead = self.leads.entry(address).or_insert(Lead { tries: 0, is_seed: false });
        lead.tries = 0;
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
        self.round_news = self.roster.take_news(now);
        self.tried = self.leads_to_try(random);
        if self.rounds.is_multiple_of(REVIVE_EVERY) {
            self.tried.extend(self.to_revive(random));
        }
        let mut to = self.links.addresses();
        to.extend(&self.tried);
        to.retain(|it| *it != self.own.member.address);
        to.sort();
        to.dedup();
        to
    }

    fn choose_links(&mut self, now: BootInstant) {
        let dropped = self.links.drop_past(|id| self.roster.is_past(id, now));
        let keeps_dead = self.links.keeps_any(|id| self.roster.is_dead(id));
        let is_current = self.linked_for == Some(self.roster.generation());
        if is_current && !dropped && !keeps_dead {
            return;
        }
        self.linked_for = Some(self.roster.generation());
        let others: Vec<&Member> = self.roster.alive().map(|it| &it.member).collect();
        self.links.choose(&self.own.member, &others, now);
    }

    /// Addresses to try that nobody is known to be at.
    fn leads_to_try(&mut self, random: u64) -> Vec<SocketAddr> {
        let alone = self.roster.is_alone();
        let fanout = if alone { JOIN_FANOUT } else { VERIFY_FANOUT };
        self.leads.retain(|_, it| it.is_seed || it.tries < VERIFY_TRIES);
        let is_open = |it: &Lead| alone || !it.is_seed;
        let mut open: Vec<(&SocketAddr, &mut Lead)> =
            self.leads.iter_mut().filter(|(_, it)| is_open(it)).collect();
        let turn = random as usize % open.len().max(1);
        open.rotate_left(turn);
        let chosen = open.into_iter().take(fanout);
        chosen
            .map(|(at, it)| {
                it.tries += 1;
                *at
            })
            .collect()
    }

    /// Believes a record of another instance if it is news; tells whether it was.
    fn learn(&mut self, record: &MemberRecord, now: BootInstant) -> bool {
        let is_news = self.roster.learn(record, now);
        let at = &record.member.address;
        if is_news && self.leads.get(at).is_some_and(|it| !it.is_seed) {
            self.leads.remove(at);
        }
        is_news
    }

    /// A dead instance or an address of the settings, by turns.
    fn to_revive(&self, random: u64) -> Option<SocketAddr> {
        let dead = self.roster.dead().map(|it| it.member.address);
        let seeds = self.leads.iter().filter(|(_, it)| it.is_seed).map(|(at, _)| *at);
        let all: Vec<SocketAddr> = dead.chain(seeds).collect();
        all.get((random as usize).checked_rem(all.len())?).copied()
    }

    /// What the heartbeat of this round to the instance at `to` tells.
    ///
    /// It may be sent to others than those that [`Membership::begin_round`] gave.
    pub fn gossip_for(&mut self, to: SocketAddr, now: BootInstant) -> Gossip {
        let mut news = self.round_news.clone();
        let contact = self.links.at(to);
        if contact.as_ref().is_some_and(|it| self.links.differs(it)) {
            news.extend(self.roster.in_turn(SYNC_RECORDS, now));
        }
        let belief = contact.as_ref().and_then(|it| self.roster.told(it, now));
        news.extend(belief.filter(|it| it.state != MemberState::Alive));
        let is_lead = self.tried.contains(&to);
        self.gossip(news, contact.is_some() || is_lead, now)
    }

    /// What to answer the sender of `gossip`: it is no contact, or does not know what is believed of it.
    pub fn answer(&mut self, gossip: &Gossip, now: BootInstant) -> Gossip {
        let from = &gossip.from;
        let belief = self.roster.told(&from.member.id, now);
        let mut news: Vec<MemberRecord> =
            belief.into_iter().filter(|it| it.supersedes(from)).collect();
        if self.differs(gossip) {
            news.extend(self.roster.in_turn(ANSWER_RECORDS, now));
        }
        self.gossip(news, false, now)
    }

    fn gossip(&self, news: Vec<MemberRecord>, expects_answer: bool, now: BootInstant) -> Gossip {
        Gossip {
            from: self.own.clone(),
            digest: self.digest(),
            counted: self.counted as u32,
            links: self.links.counts(now),
            news,
            expects_answer,
        }
    }

    /// Whether the sender knows others than this instance does.
    fn differs(&self, gossip: &Gossip) -> bool {
        // One that has just started may know of all that live, and of none that died.
        gossip.digest != self.digest() || (gossip.counted as usize) < self.counted
    }

    fn digest(&self) -> u64 {
        self.roster.digest() ^ self.own.digest()
    }

    /// Takes what another instance told.
    pub fn handle_gossip(&mut self, gossip: &Gossip, now: BootInstant) -> GossipOutcome {
        let from = &gossip.from;
        if from.member.id == self.own.member.id {
            return GossipOutcome { has_updates: false, needs_answer: false };
        }
        let mut has_updates = self.learn(from, now);
        self.roster.heard(&from.member.id, now);
        for record in &gossip.news {
            has_updates |= match record.member.id == self.own.member.id {
                true => self.object_to(record),
                false => self.learn(record, now),
            };
        }
        let differs = self.differs(gossip);
        if let Some(link) = self.links.get_mut(&from.member.id) {
            link.silent_since = now;
            link.was_heard = true;
            link.was_suspected = false;
            link.told = gossip.links;
            link.differs = differs;
        }
        let is_outdated =
            self.roster.get(&from.member.id).is_some_and(|known| known.supersedes(from));
        let needs_answer =
            is_outdated || (gossip.expects_answer && !self.links.contains(&from.member.id));
        GossipOutcome { has_updates, needs_answer }
    }

    /// Objects when others believe something else of this instance than it knows; tells whether it did.
    ///
    /// One that was started anew under its name is still believed to be what it was before.
    fn object_to(&mut self, record: &MemberRecord) -> bool {
        let own = &mut self.own;
        let agrees = record.state == MemberState::Alive
            && record.leaving == own.leaving
            && record.member == own.member;
        let objects = record.incarnation > own.incarnation
            || (record.incarnation == own.incarnation && !agrees);
        if objects {
            own.incarnation = record.incarnation + 1;
        }
        objects
    }

    /// Looks who has fallen silent or did not object; gives those that are dead now.
    ///
    /// To be called several times between two heartbeats.
    pub fn check(&mut self, now: BootInstant) -> Vec<InstanceId> {
        let stalled = self.checked_at.map(|it| now.since(it)).unwrap_or_default();
        self.checked_at = Some(now);
        if stalled >= STALLED_AFTER {
            self.links.forgive(stalled, now);
            self.roster.forgive(stalled, now);
        }
        for id in self.links.take_suspects(now) {
            self.roster.suspect(&id, now);
        }
        self.roster.forget_dead(now);
        self.roster.expire(now)
    }

    /// Whether something waits to be passed on, so that the next round should not wait for its time.
    pub fn has_updates(&self) -> bool {
        self.roster.has_updates()
    }

    /// Changes whenever anything that is believed of others does.
    pub fn generation(&self) -> u64 {
        self.roster.generation()
    }

    /// The other instances that take work.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.roster.alive().filter(|it| !it.leaving).map(|it| &it.member)
    }

    /// The other instances that are alive, those on their way out included.
    pub fn running(&self) -> impl Iterator<Item = &Member> {
        self.roster.alive().map(|it| &it.member)
    }

    /// Whether anything was ever heard of `id`.
    pub fn knows(&self, id: &InstanceId) -> bool {
        self.roster.get(id).is_some()
    }

    /// Instances that count in majorities, this one included.
    pub fn counted(&self, now: BootInstant) -> usize {
        1 + self.roster.counted(now)
    }

    /// The part of the instances that count, in percent, that is in data centres of which any other is believed to be
    /// alive, or in the own one.
    pub fn reachable_percent(&self, now: BootInstant) -> u32 {
        let own = &self.own.member.data_centre;
        let places = self.roster.counted_by_place(now);
        let counted: usize = 1 + places.values().map(|it| it.counted).sum::<usize>();
        let reached = places.iter().filter(|(place, it)| **place == own || it.alive > 0);
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
        let reached = if counted <= 1 + ALL_CONTACTS_UP_TO {
            self.links.counts(now).heard()
        } else {
            let counts = self.links.counts_with_told(now);
            let reached = |class| self.roster.population(class, now).reached(counts.of(class));
            reached(Class::Near) + reached(Class::Far)
        };
        2 * (1 + reached) <= counted
    }
}
