//! The contacts of this instance, and which of them it hears.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::InstanceId;

use crate::link::Link;
use crate::{LinkCounts, Member, Proximity, rings};

/// All contacts.
#[derive(Debug, Default)]
pub(crate) struct Links {
    by_id: BTreeMap<InstanceId, Link>,
}

impl Links {
    /// Makes the right ones of `others` contacts.
    ///
    /// Contacts of a class stay while most of that class are silent, here and by what other contacts tell: their silence
    /// is what tells this instance that it is cut off, and they are the first to answer when it no longer is.
    pub(crate) fn choose(&mut self, own: &Member, others: &[&Member], now: BootInstant) {
        let contacts = rings::contacts(own, others);
        let counts = self.combined_counts(now);
        let is_kept = |proximity| counts.of(proximity).is_mostly_silent();
        self.by_id.retain(|id, it| contacts.contains(id) || is_kept(it.proximity));
        for member in others.iter().filter(|it| contacts.contains(&it.id)) {
            let is_near = member.data_centre == own.data_centre;
            let proximity = if is_near { Proximity::Near } else { Proximity::Far };
            if is_kept(proximity) && !self.by_id.contains_key(&member.id) {
                continue;
            }
            let link = self.by_id.entry(member.id.clone());
            let link = link.or_insert_with(|| Link::new(member.address, proximity, now));
            if link.address != member.address {
                *link = Link::new(member.address, proximity, now);
            }
        }
    }

    pub(crate) fn get_mut(&mut self, id: &InstanceId) -> Option<&mut Link> {
        self.by_id.get_mut(id)
    }

    pub(crate) fn contains(&self, id: &InstanceId) -> bool {
        self.by_id.contains_key(id)
    }

    /// Whether any contact is kept although `is_dead`.
    pub(crate) fn has_any(&self, is_dead: impl Fn(&InstanceId) -> bool) -> bool {
        self.by_id.keys().any(is_dead)
    }

    /// Drops contacts that were kept for their silence and are past; tells whether there were any.
    pub(crate) fn drop_expired(&mut self, is_expired: impl Fn(&InstanceId) -> bool) -> bool {
        let before = self.by_id.len();
        self.by_id.retain(|id, _| !is_expired(id));
        self.by_id.len() < before
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_id.values().map(|it| it.address).collect()
    }

    /// The contact at `address`.
    pub(crate) fn id_at(&self, address: SocketAddr) -> Option<InstanceId> {
        self.by_id.iter().find(|(_, it)| it.address == address).map(|(id, _)| id.clone())
    }

    /// Whether a contact believes other instances to be there than this one.
    pub(crate) fn has_different_view(&self, id: &InstanceId) -> bool {
        self.by_id.get(id).is_some_and(|it| it.has_different_view)
    }

    /// Contacts that are silent and were not suspected for it yet; they are from now on.
    pub(crate) fn mark_silent(&mut self, now: BootInstant) -> BTreeSet<InstanceId> {
        let is_newly_silent = |it: &Link| it.is_silent(now) && !it.was_suspected;
        let suspects = self.by_id.iter_mut().filter(|(_, it)| is_newly_silent(it));
        suspects
            .map(|(id, it)| {
                it.was_suspected = true;
                id.clone()
            })
            .collect()
    }

    pub(crate) fn discount_pause(&mut self, paused_for: Duration, now: BootInstant) {
        self.by_id.values_mut().for_each(|it| it.discount_pause(paused_for, now));
    }

    /// Which contacts this instance hears.
    pub(crate) fn counts(&self, now: BootInstant) -> LinkCounts {
        let mut counts = LinkCounts::default();
        for link in self.by_id.values() {
            let tally = counts.of_mut(link.proximity);
            let is_silent = link.is_silent(now);
            tally.responsive += u32::from(link.has_responded && !is_silent);
            tally.known += u32::from(link.has_responded || is_silent);
        }
        counts
    }

    /// What this instance and the contacts that it hears say together.
    ///
    /// A handful of contacts is too few to tell a cut from a few deaths; theirs together are a sample of the fleet.
    pub(crate) fn combined_counts(&self, now: BootInstant) -> LinkCounts {
        let mut counts = self.counts(now);
        for link in self.by_id.values().filter(|it| it.has_responded && !it.is_silent(now)) {
            counts.far += link.reported.far;
            if link.proximity == Proximity::Near {
                counts.near += link.reported.near;
            }
        }
        counts
    }
}
