//! The links of this instance to its contacts.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::InstanceId;

use crate::link::Link;
use crate::{LinkCounts, Member, Proximity, rings};

/// The links to all contacts.
#[derive(Debug, Default)]
pub(crate) struct Links {
    by_id: BTreeMap<InstanceId, Link>,
}

impl Links {
    /// Selects the contacts among `others`.
    ///
    /// While most near or far contacts are silent, here and by the reports of other contacts, the
    /// existing ones of that kind are kept. Their silence shows that this instance is partitioned,
    /// and they are the first to answer afterwards.
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

    /// Whether any contact satisfies `is_dead`.
    pub(crate) fn has_any(&self, is_dead: impl Fn(&InstanceId) -> bool) -> bool {
        self.by_id.keys().any(is_dead)
    }

    /// Drops contacts that satisfy `is_expired`; returns whether there were any.
    pub(crate) fn drop_expired(&mut self, is_expired: impl Fn(&InstanceId) -> bool) -> bool {
        let before = self.by_id.len();
        self.by_id.retain(|id, _| !is_expired(id));
        self.by_id.len() < before
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.by_id.values().map(|it| it.address).collect()
    }

    /// The contact with this address.
    pub(crate) fn id_at(&self, address: SocketAddr) -> Option<InstanceId> {
        self.by_id.iter().find(|(_, it)| it.address == address).map(|(id, _)| id.clone())
    }

    /// Whether a contact's view of the members differs from this instance's.
    pub(crate) fn has_different_view(&self, id: &InstanceId) -> bool {
        self.by_id.get(id).is_some_and(|it| it.has_different_view)
    }

    /// Marks silent contacts as suspected; returns those that were not marked yet.
    pub(crate) fn suspect_silent(&mut self, now: BootInstant) -> BTreeSet<InstanceId> {
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

    /// The counts of this instance's own contacts.
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

    /// The counts of this instance's contacts and, as they report them, of their contacts.
    ///
    /// A handful of contacts is too small a sample to distinguish a partition from a few deaths.
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
