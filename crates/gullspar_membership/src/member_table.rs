//! The table of the other instances' records.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::{DataCentre, InstanceId};

use crate::population::Population;
use crate::timing::{
    DEAD_COUNTED_PERIOD, FORGET_DEAD_AFTER, MAX_UPDATE_RECORDS, MIN_RENEWAL_INTERVAL,
    SUSPECT_TIMEOUT, UPDATE_ROUNDS,
};
use crate::{MemberRecord, MemberState, Proximity};

#[derive(Debug)]
struct Entry {
    record: MemberRecord,
    /// Since when the instance is in its state.
    since: BootInstant,
    /// Number of heartbeat rounds that still send the record.
    rounds_left: u32,
}

impl Entry {
    fn is_alive(&self) -> bool {
        self.record.state != MemberState::Dead
    }

    fn is_counted(&self, now: BootInstant) -> bool {
        !self.record.leaving && (self.is_alive() || now.since(self.since) < DEAD_COUNTED_PERIOD)
    }

    /// The record with the current age of its state.
    fn record_to_send(&self, now: BootInstant) -> MemberRecord {
        let state_age_ms = now.since(self.since).as_millis().try_into().unwrap_or(u32::MAX);
        MemberRecord { state_age_ms, ..self.record.clone() }
    }
}

/// Numbers of live instances, near or far; kept up to date, since they are read for each request.
#[derive(Clone, Copy, Debug, Default)]
struct LiveCounts {
    all: usize,
    /// Those that are not leaving.
    staying: usize,
}

/// The records of all other known instances.
#[derive(Debug)]
pub(crate) struct MemberTable {
    own_data_centre: DataCentre,
    entries: BTreeMap<InstanceId, Entry>,
    /// Instances whose records are waiting to be sent.
    pending: BTreeSet<InstanceId>,
    /// Suspected instances.
    suspects: BTreeSet<InstanceId>,
    dead: BTreeSet<InstanceId>,
    near: LiveCounts,
    far: LiveCounts,
    digest: u64,
    generation: u64,
    last_synced: Option<InstanceId>,
}

impl MemberTable {
    /// Creates an empty table for an instance in `own_data_centre`.
    pub(crate) fn new(own_data_centre: DataCentre) -> MemberTable {
        MemberTable {
            own_data_centre,
            entries: BTreeMap::new(),
            pending: BTreeSet::new(),
            suspects: BTreeSet::new(),
            dead: BTreeSet::new(),
            near: LiveCounts::default(),
            far: LiveCounts::default(),
            digest: 0,
            generation: 0,
            last_synced: None,
        }
    }

    /// Applies `record` if it is newer than the known one; returns whether it changed the table.
    ///
    /// A record of an unknown dead instance is ignored once the instance is no longer counted.
    /// Otherwise, such records would circulate forever.
    pub(crate) fn apply_record(&mut self, record: &MemberRecord, now: BootInstant) -> bool {
        let id = &record.member.id;
        let age = Duration::from_millis(u64::from(record.state_age_ms));
        let known = self.entries.get(id).map(|it| &it.record);
        let is_newer = match known {
            Some(known) => record.has_precedence_over(known),
            None => record.state != MemberState::Dead || age < DEAD_COUNTED_PERIOD,
        };
        if !is_newer {
            self.readvertise_death(record);
            return self.extend_suspicion(record, now.minus(age));
        }
        self.forget(id);
        let entry =
            Entry { record: record.clone(), since: now.minus(age), rounds_left: UPDATE_ROUNDS };
        if entry.is_alive() {
            self.digest ^= record.digest();
            let live_counts = self.live_counts_mut(record);
            live_counts.all += 1;
            live_counts.staying += usize::from(!record.leaving);
        } else {
            self.dead.insert(id.clone());
        }
        if record.state == MemberState::Suspect {
            self.suspects.insert(id.clone());
        }
        self.pending.insert(id.clone());
        self.entries.insert(id.clone(), entry);
        self.generation += 1;
        true
    }

    /// Gives a suspect more time if another contact has received something from it since; returns
    /// whether it did.
    ///
    /// A busy instance may still send to one contact, but take longer to refute the suspicion than
    /// the other instances wait.
    fn extend_suspicion(&mut self, record: &MemberRecord, received_at: BootInstant) -> bool {
        let id = &record.member.id;
        let Some(entry) = self.entries.get_mut(id) else { return false };
        let is_same_suspicion = record.state == MemberState::Suspect
            && entry.record.state == MemberState::Suspect
            && entry.record.incarnation == record.incarnation;
        if !is_same_suspicion || record.renewals <= entry.record.renewals {
            return false;
        }
        entry.record.renewals = record.renewals;
        entry.since = entry.since.max(received_at);
        entry.rounds_left = UPDATE_ROUNDS;
        self.pending.insert(id.clone());
        true
    }

    /// Sends the death of an instance again when `record` shows that others consider it alive. If
    /// it is alive, it refutes the death; otherwise, the others learn of it. This merges the two
    /// sides of a long partition.
    fn readvertise_death(&mut self, record: &MemberRecord) {
        let Some(known) = self.entries.get_mut(&record.member.id) else { return };
        if record.state == MemberState::Alive && known.record.state == MemberState::Dead {
            known.rounds_left = known.rounds_left.max(1);
            self.pending.insert(record.member.id.clone());
        }
    }

    fn forget(&mut self, id: &InstanceId) {
        self.suspects.remove(id);
        self.pending.remove(id);
        self.dead.remove(id);
        if let Some(old) = self.entries.remove(id)
            && old.is_alive()
        {
            self.digest ^= old.record.digest();
            let live_counts = self.live_counts_mut(&old.record);
            live_counts.all -= 1;
            live_counts.staying -= usize::from(!old.record.leaving);
        }
    }

    fn live_counts_mut(&mut self, record: &MemberRecord) -> &mut LiveCounts {
        match self.proximity_of(record) {
            Proximity::Near => &mut self.near,
            Proximity::Far => &mut self.far,
        }
    }

    fn proximity_of(&self, record: &MemberRecord) -> Proximity {
        if record.member.data_centre == self.own_data_centre {
            Proximity::Near
        } else {
            Proximity::Far
        }
    }

    fn dead_entries(&self) -> impl Iterator<Item = &Entry> {
        self.dead.iter().filter_map(|it| self.entries.get(it))
    }

    /// Suspects `id` if it is alive.
    pub(crate) fn suspect(&mut self, id: &InstanceId, now: BootInstant) -> bool {
        self.set_state(id, MemberState::Suspect, now)
    }

    fn set_state(&mut self, id: &InstanceId, state: MemberState, now: BootInstant) -> bool {
        let Some(entry) = self.entries.get(id) else { return false };
        let record = MemberRecord { state, state_age_ms: 0, renewals: 0, ..entry.record.clone() };
        self.apply_record(&record, now)
    }

    /// Declares dead each suspect that did not refute within [`SUSPECT_TIMEOUT`], and returns these.
    pub(crate) fn expire_suspects(&mut self, now: BootInstant) -> Vec<InstanceId> {
        let is_due = |id: &&InstanceId| {
            self.entries.get(*id).is_some_and(|it| now.since(it.since) >= SUSPECT_TIMEOUT)
        };
        let dead: Vec<InstanceId> = self.suspects.iter().filter(is_due).cloned().collect();
        for id in &dead {
            self.set_state(id, MemberState::Dead, now);
        }
        dead
    }

    /// Removes instances that have been dead for [`FORGET_DEAD_AFTER`].
    pub(crate) fn forget_dead(&mut self, now: BootInstant) {
        let expired_entries =
            self.dead_entries().filter(|it| now.since(it.since) >= FORGET_DEAD_AFTER);
        let expired: Vec<InstanceId> =
            expired_entries.map(|it| it.record.member.id.clone()).collect();
        expired.iter().for_each(|it| self.forget(it));
    }

    /// Gives suspects additional time to refute after this instance itself was paused for
    /// `paused_for`.
    pub(crate) fn discount_pause(&mut self, paused_for: Duration, now: BootInstant) {
        for id in &self.suspects {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.since = entry.since.plus(paused_for).min(now);
            }
        }
    }

    /// Restarts a suspect's time to refute after something was received from it. It was busy and
    /// learns of the suspicion from the answer. The renewal is sent to others, so that they wait as
    /// long.
    pub(crate) fn renew_suspect(&mut self, id: &InstanceId, now: BootInstant) {
        if !self.suspects.contains(id) {
            return;
        }
        let Some(entry) = self.entries.get_mut(id) else { return };
        if now > entry.since.plus(MIN_RENEWAL_INTERVAL) {
            entry.record.renewals += 1;
            entry.rounds_left = UPDATE_ROUNDS;
            self.pending.insert(id.clone());
        }
        entry.since = now;
    }

    pub(crate) fn get(&self, id: &InstanceId) -> Option<&MemberRecord> {
        self.entries.get(id).map(|it| &it.record)
    }

    /// The record of `id`, as sent to other instances.
    pub(crate) fn record_to_send(&self, id: &InstanceId, now: BootInstant) -> Option<MemberRecord> {
        self.entries.get(id).map(|it| it.record_to_send(now))
    }

    /// All instances that are alive, including suspects and those that are leaving.
    pub(crate) fn alive(&self) -> impl Iterator<Item = &MemberRecord> {
        self.entries.values().filter(|it| it.is_alive()).map(|it| &it.record)
    }

    pub(crate) fn dead(&self) -> impl Iterator<Item = &MemberRecord> {
        self.dead_entries().map(|it| &it.record)
    }

    /// Whether no other instance is alive.
    pub(crate) fn is_alone(&self) -> bool {
        self.near.all + self.far.all == 0
    }

    /// Number of other instances that are counted in majorities.
    pub(crate) fn counted(&self, now: BootInstant) -> usize {
        self.population(Proximity::Near, now).counted + self.population(Proximity::Far, now).counted
    }

    /// Numbers of the other instances of this proximity.
    pub(crate) fn population(&self, proximity: Proximity, now: BootInstant) -> Population {
        let live_counts = match proximity {
            Proximity::Near => self.near,
            Proximity::Far => self.far,
        };
        let dead = self.dead_entries().filter(|it| self.proximity_of(&it.record) == proximity);
        let dead = dead.filter(|it| it.is_counted(now)).count();
        Population { alive: live_counts.all, counted: live_counts.staying + dead }
    }

    /// Number of live instances that are not leaving.
    pub(crate) fn staying(&self) -> usize {
        self.near.staying + self.far.staying
    }

    /// Number of remembered dead instances at whose address neither a live one runs nor this one, at `own_address`.
    pub(crate) fn unreplaced_dead(&self, own_address: SocketAddr) -> usize {
        if self.dead.is_empty() {
            return 0;
        }
        let live: BTreeSet<SocketAddr> = self.alive().map(|it| it.member.address).collect();
        let is_replaced = |it: &SocketAddr| *it == own_address || live.contains(it);
        let dead = self.dead().filter(|it| !it.leaving).map(|it| it.member.address);
        let unreplaced: BTreeSet<SocketAddr> = dead.filter(|it| !is_replaced(it)).collect();
        unreplaced.len()
    }

    pub(crate) fn is_dead(&self, id: &InstanceId) -> bool {
        self.dead.contains(id)
    }

    /// Whether `id` is unknown, or dead and no longer counted.
    pub(crate) fn is_expired(&self, id: &InstanceId, now: BootInstant) -> bool {
        self.entries.get(id).is_none_or(|it| !it.is_alive() && !it.is_counted(now))
    }

    /// A number that increases with each newer record, but not with a renewal or when a dead instance
    /// is forgotten.
    pub(crate) fn generation(&self) -> u64 {
        self.generation
    }

    pub(crate) fn digest(&self) -> u64 {
        self.digest
    }

    pub(crate) fn has_updates(&self) -> bool {
        !self.pending.is_empty()
    }

    /// The updates to send in the next round; records that were sent least often come first.
    pub(crate) fn next_updates(&mut self, now: BootInstant) -> Vec<MemberRecord> {
        let rounds_left = |id: &InstanceId| self.entries.get(id).map_or(0, |it| it.rounds_left);
        let mut pending: Vec<InstanceId> = self.pending.iter().cloned().collect();
        pending.sort_by_key(|it| std::cmp::Reverse(rounds_left(it)));
        pending.truncate(MAX_UPDATE_RECORDS);
        let mut updates = Vec::with_capacity(pending.len());
        for id in pending {
            let Some(entry) = self.entries.get_mut(&id) else { continue };
            entry.rounds_left -= 1;
            if entry.rounds_left == 0 {
                self.pending.remove(&id);
            }
            updates.push(entry.record_to_send(now));
        }
        updates
    }

    /// Up to `count` records, cycling through the table over several calls.
    pub(crate) fn next_sync_records(
        &mut self,
        count: usize,
        now: BootInstant,
    ) -> Vec<MemberRecord> {
        let is_sent = |it: &Entry| it.is_alive() || now.since(it.since) < DEAD_COUNTED_PERIOD;
        let after = match &self.last_synced {
            Some(last) => (std::ops::Bound::Excluded(last.clone()), std::ops::Bound::Unbounded),
            None => (std::ops::Bound::Unbounded, std::ops::Bound::Unbounded),
        };
        let remaining = self.entries.range(after);
        let records: Vec<MemberRecord> = remaining
            .chain(self.entries.iter())
            .map(|it| it.1)
            .filter(|it| is_sent(it))
            .take(count.min(self.entries.len()))
            .map(|it| it.record_to_send(now))
            .collect();
        self.last_synced = records.last().map(|it| it.member.id.clone());
        records
    }
}
