//! What this instance believes of all others.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::{DataCentre, InstanceId};

use crate::population::Population;
use crate::timing::{
    DEAD_COUNTED_PERIOD, FORGET_DEAD_AFTER, NEWS_LIMIT, NEWS_ROUNDS, RENEWAL_SPACING, SUSPECT_FOR,
};
use crate::{Class, MemberRecord, MemberState};

#[derive(Debug)]
struct Entry {
    record: MemberRecord,
    /// Since when it is in its state.
    since: BootInstant,
    /// Rounds of heartbeats that still pass it on.
    rounds_left: u32,
}

impl Entry {
    fn is_alive(&self) -> bool {
        self.record.state != MemberState::Dead
    }

    fn counts(&self, now: BootInstant) -> bool {
        !self.record.leaving && (self.is_alive() || now.since(self.since) < DEAD_COUNTED_PERIOD)
    }

    /// The record, with the time that it has been in its state.
    fn told(&self, now: BootInstant) -> MemberRecord {
        let state_age_ms = now.since(self.since).as_millis().try_into().unwrap_or(u32::MAX);
        MemberRecord { state_age_ms, ..self.record.clone() }
    }
}

/// Instances of one class that are alive; kept up to date, since they are asked for at each request.
#[derive(Clone, Copy, Debug, Default)]
struct Living {
    all: usize,
    staying: usize,
}

/// Beliefs about all other instances that were ever heard of.
#[derive(Debug)]
pub(crate) struct Roster {
    own_place: DataCentre,
    entries: BTreeMap<InstanceId, Entry>,
    /// Those that are passed on.
    hot: BTreeSet<InstanceId>,
    /// Those that are suspected.
    suspects: BTreeSet<InstanceId>,
    dead: BTreeSet<InstanceId>,
    near: Living,
    far: Living,
    digest: u64,
    generation: u64,
    last_told: Option<InstanceId>,
}

impl Roster {
    /// A roster as kept in `own_place` by an instance that has heard of nobody.
    pub(crate) fn new(own_place: DataCentre) -> Roster {
        Roster {
            own_place,
            entries: BTreeMap::new(),
            hot: BTreeSet::new(),
            suspects: BTreeSet::new(),
            dead: BTreeSet::new(),
            near: Living::default(),
            far: Living::default(),
            digest: 0,
            generation: 0,
            last_told: None,
        }
    }

    /// Believes `record` if it is news; tells whether it was.
    ///
    /// The death of one that is not known is news only while it counts: told on for ever, the dead of years would fill
    /// the memory of all.
    pub(crate) fn learn(&mut self, record: &MemberRecord, now: BootInstant) -> bool {
        let id = &record.member.id;
        let age = Duration::from_millis(u64::from(record.state_age_ms));
        let known = self.entries.get(id).map(|it| &it.record);
        let is_news = match known {
            Some(known) => record.supersedes(known),
            None => record.state != MemberState::Dead || age < DEAD_COUNTED_PERIOD,
        };
        if !is_news {
            self.contradict(record);
            return self.postpone(record, now.minus(age));
        }
        self.forget(id);
        let entry =
            Entry { record: record.clone(), since: now.minus(age), rounds_left: NEWS_ROUNDS };
        if entry.is_alive() {
            self.digest ^= record.digest();
            let living = self.living_mut(record);
            living.all += 1;
            living.staying += usize::from(!record.leaving);
        } else {
            self.dead.insert(id.clone());
        }
        if record.state == MemberState::Suspect {
            self.suspects.insert(id.clone());
        }
        self.hot.insert(id.clone());
        self.entries.insert(id.clone(), entry);
        self.generation += 1;
        true
    }

    /// Gives a suspect more time if it was heard elsewhere later than was known here; tells whether it was.
    ///
    /// A busy instance may be heard by one contact and take longer to object than all others wait.
    fn postpone(&mut self, record: &MemberRecord, heard_at: BootInstant) -> bool {
        let id = &record.member.id;
        let Some(entry) = self.entries.get_mut(id) else { return false };
        let agrees = record.state == MemberState::Suspect
            && entry.record.state == MemberState::Suspect
            && entry.record.incarnation == record.incarnation;
        if !agrees || record.renewals <= entry.record.renewals {
            return false;
        }
        entry.record.renewals = record.renewals;
        entry.since = entry.since.max(heard_at);
        entry.rounds_left = NEWS_ROUNDS;
        self.hot.insert(id.clone());
        true
    }

    /// Passes the death of an instance on again that others still take for alive: it objects if it lives, and if not, they
    /// learn of it. Two halves of a fleet that were cut apart for long find together again by this.
    fn contradict(&mut self, record: &MemberRecord) {
        let Some(known) = self.entries.get_mut(&record.member.id) else { return };
        if record.state == MemberState::Alive && known.record.state == MemberState::Dead {
            known.rounds_left = known.rounds_left.max(1);
            self.hot.insert(record.member.id.clone());
        }
    }

    fn forget(&mut self, id: &InstanceId) {
        self.suspects.remove(id);
        self.hot.remove(id);
        self.dead.remove(id);
        if let Some(old) = self.entries.remove(id)
            && old.is_alive()
        {
            self.digest ^= old.record.digest();
            let living = self.living_mut(&old.record);
            living.all -= 1;
            living.staying -= usize::from(!old.record.leaving);
        }
    }

    fn living_mut(&mut self, record: &MemberRecord) -> &mut Living {
        match self.class_of(record) {
            Class::Near => &mut self.near,
            Class::Far => &mut self.far,
        }
    }

    fn class_of(&self, record: &MemberRecord) -> Class {
        if record.member.data_centre == self.own_place { Class::Near } else { Class::Far }
    }

    fn dead_entries(&self) -> impl Iterator<Item = &Entry> {
        self.dead.iter().filter_map(|it| self.entries.get(it))
    }

    /// Suspects `id`, if it is believed to be alive.
    pub(crate) fn suspect(&mut self, id: &InstanceId, now: BootInstant) -> bool {
        self.worsen(id, MemberState::Suspect, now)
    }

    fn worsen(&mut self, id: &InstanceId, state: MemberState, now: BootInstant) -> bool {
        let Some(entry) = self.entries.get(id) else { return false };
        let record = MemberRecord { state, state_age_ms: 0, renewals: 0, ..entry.record.clone() };
        self.learn(&record, now)
    }

    /// Declares dead whoever stayed suspect for too long, and forgets who has been dead for long; the former are given.
    pub(crate) fn expire(&mut self, now: BootInstant) -> Vec<InstanceId> {
        let due = |id: &&InstanceId| {
            self.entries.get(*id).is_some_and(|it| now.since(it.since) >= SUSPECT_FOR)
        };
        let dead: Vec<InstanceId> = self.suspects.iter().filter(due).cloned().collect();
        for id in &dead {
            self.worsen(id, MemberState::Dead, now);
        }
        dead
    }

    /// Forgets who has been dead for long.
    pub(crate) fn forget_dead(&mut self, now: BootInstant) {
        let old = self.dead_entries().filter(|it| now.since(it.since) >= FORGET_DEAD_AFTER);
        let gone: Vec<InstanceId> = old.map(|it| it.record.member.id.clone()).collect();
        gone.iter().for_each(|it| self.forget(it));
    }

    /// This instance stood still for `stalled`: suspects get that much more time to object.
    pub(crate) fn forgive(&mut self, stalled: Duration, now: BootInstant) {
        for id in &self.suspects {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.since = entry.since.plus(stalled).min(now);
            }
        }
    }

    /// A suspect was heard here, and has as much time to object as if it were suspected now: it was busy, and learns of
    /// the suspicion by the answer. Others are told, so that they wait as long.
    pub(crate) fn heard(&mut self, id: &InstanceId, now: BootInstant) {
        if !self.suspects.contains(id) {
            return;
        }
        let Some(entry) = self.entries.get_mut(id) else { return };
        if now > entry.since.plus(RENEWAL_SPACING) {
            entry.record.renewals += 1;
            entry.rounds_left = NEWS_ROUNDS;
            self.hot.insert(id.clone());
        }
        entry.since = now;
    }

    pub(crate) fn get(&self, id: &InstanceId) -> Option<&MemberRecord> {
        self.entries.get(id).map(|it| &it.record)
    }

    /// The record of `id` to tell others.
    pub(crate) fn told(&self, id: &InstanceId, now: BootInstant) -> Option<MemberRecord> {
        self.entries.get(id).map(|it| it.told(now))
    }

    /// All that are believed to be alive, those that leave or are suspected included.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().filter(|it| it.is_alive()).map(|it| &it.record)
    }

    pub(crate) fn dead(&self) -> impl Iterator<Item = &MemberRecord> {
        self.dead_entries().map(|it| &it.record)
    }

    /// Whether nobody else is believed to be alive.
    pub(crate) fn is_alone(&self) -> bool {
        self.near.all + self.far.all == 0
    }

    /// Others that count in majorities.
    pub(crate) fn counted(&self, now: BootInstant) -> usize {
        self.population(Class::Near, now).counted + self.population(Class::Far, now).counted
    }

    /// Others of one class.
    pub(crate) fn population(&self, class: Class, now: BootInstant) -> Population {
        let living = match class {
            Class::Near => self.near,
            Class::Far => self.far,
        };
        let dead = self.dead_entries().filter(|it| self.class_of(&it.record) == class);
        let dead = dead.filter(|it| it.counts(now)).count();
        Population { alive: living.all, counted: living.staying + dead }
    }

    /// Others, by data centre.
    pub(crate) fn counted_by_place(&self, now: BootInstant) -> BTreeMap<&DataCentre, Population> {
        let mut places: BTreeMap<&DataCentre, Population> = BTreeMap::new();
        for entry in self.entries.values().filter(|it| it.counts(now)) {
            let place = places.entry(&entry.record.member.data_centre).or_default();
            place.counted += 1;
            place.alive += usize::from(entry.is_alive());
        }
        places
    }

    pub(crate) fn is_dead(&self, id: &InstanceId) -> bool {
        self.dead.contains(id)
    }

    /// Whether `id` is dead and counts no more.
    pub(crate) fn is_past(&self, id: &InstanceId, now: BootInstant) -> bool {
        self.entries.get(id).is_none_or(|it| !it.is_alive() && !it.counts(now))
    }

    /// Changes whenever anything that is believed does.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn has_updates(&self) -> bool {
        !self.hot.is_empty()
    }

    /// Records that the heartbeats of one round pass on, those passed on least first.
    pub(crate) fn take_news(&mut self, now: BootInstant) -> Vec<MemberRecord> {
        let rounds_left = |id: &InstanceId| self.entries.get(id).map_or(0, |it| it.rounds_left);
        let mut hot: Vec<InstanceId> = self.hot.iter().cloned().collect();
        hot.sort_by_key(|it| std::cmp::Reverse(rounds_left(it)));
        hot.truncate(NEWS_LIMIT);
        let mut news = Vec::with_capacity(hot.len());
        for id in hot {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            entry.rounds_left -= 1;
            if entry.rounds_left == 0 {
                self.hot.remove(&id);
            }
            news.push(entry.told(now));
        }
        news
    }

    /// Some records, others each time, until all were given.
    pub(crate) fn in_turn(&mut self, count: usize, now: BootInstant) -> Vec<MemberRecord> {
        let tells = |it: &Entry| it.is_alive() || now.since(it.since) < DEAD_COUNTED_PERIOD;
        let after = match &self.last_told {
            Some(last) => (std::ops::Bound::Excluded(last.clone()), std::ops::Bound::Unbounded),
            None => (std::ops::Bound::Unbounded, std::ops::Bound::Unbounded),
        };
        let rest = self.entries.range(after);
        let records: Vec<MemberRecord> = rest
            .chain(self.entries.iter())
            .map(|it| it.1)
            .filter(|it| tells(it))
            .take(count.min(self.entries.len()))
            .map(|it| it.told(now))
            .collect();
        self.last_told = records.last().map(|it| it.member.id.clone());
        records
    }
}
