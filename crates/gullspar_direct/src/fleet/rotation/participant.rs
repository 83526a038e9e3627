//! The part of an instance that reports to coordinators and follows their verdicts.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use gullspar_border::BootInstant;
use gullspar_model::InstanceId;

use super::contact::Contact;
use super::{Decision, RotationVerdict, Ruling, rank, timing};
use crate::Member;

/// Chooses the coordinators to report to, and the verdict that applies.
#[derive(Debug, Default)]
pub struct Participant {
    /// When the instance decides alone if there is no verdict; `None` while it has no reason to report.
    alone_at: Option<BootInstant>,
    /// Whether the last ruling was to leave rotation.
    is_leaving: bool,
    contacts: BTreeMap<InstanceId, Contact>,
}

impl Participant {
    /// Whether the instance has a reason to report.
    pub fn is_active(&self) -> bool {
        self.alone_at.is_some()
    }

    /// When the instance decides alone if there is no verdict.
    pub fn alone_at(&self) -> Option<BootInstant> {
        self.alone_at
    }

    /// Returns the instances to report to now, and whether the report must contain the uses: the first coordinators that
    /// answer, and others that asked for a report. `is_needed` says that the instance itself has a reason to report; `near`
    /// are the live instances of its data centre, itself included.
    pub fn check<'a>(
        &mut self,
        is_needed: bool,
        near: &'a [Member],
        now: BootInstant,
    ) -> Vec<(&'a Member, bool)> {
        let is_prompted = self.contacts.values().any(|it| it.has_prompted(now));
        let has_reason = is_needed || self.is_leaving;
        if !has_reason && !is_prompted {
            *self = Participant::default();
            return Vec::new();
        }
        self.alone_at.get_or_insert(now.plus(timing::DECIDE_ALONE_AFTER));
        let next = now.plus(match self.verdict(now) {
            Some(_) => timing::RENEWAL_INTERVAL,
            None => timing::SEARCH_INTERVAL,
        });
        let mut ranked: Vec<&Member> = near.iter().collect();
        ranked.sort_by_cached_key(|it| {
            let contact = self.contacts.entry(it.id.clone()).or_default();
            (contact.is_avoided(now), Reverse(rank(&it.id)))
        });
        let mut due = Vec::new();
        for (position, member) in ranked.into_iter().enumerate() {
            let contact = self.contacts.entry(member.id.clone()).or_default();
            let is_coordinator = has_reason && position < timing::COORDINATORS;
            let is_receiver = is_coordinator || contact.has_prompted(now);
            if is_receiver && contact.is_due(now) {
                contact.record_report(now, next);
                due.push((member, !contact.knows_uses));
            }
        }
        due
    }

    /// Makes the next reports due at once, because the instance's view has changed.
    pub fn report_soon(&mut self) {
        self.contacts.values_mut().for_each(Contact::report_soon);
    }

    /// Processes a verdict. Returns whether a report is due at once.
    pub fn handle_verdict(&mut self, verdict: RotationVerdict, now: BootInstant) -> bool {
        let is_unexpected = !self.is_active() && verdict.decision == Decision::Leave;
        let contact = self.contacts.entry(verdict.from.clone()).or_default();
        if verdict.answers.is_none() || is_unexpected {
            // It may be late. The answer to a report shows whether it still applies.
            contact.record_prompt(now);
            return true;
        }
        contact.record_verdict(verdict, now);
        false
    }

    /// What applies now. `near_count` is the number of live instances of the data centre.
    ///
    /// An instance that is not isolated itself leaves only if most of its data centre is, so that the members of a small
    /// isolated part can't take it along.
    pub fn ruling(&mut self, is_isolated: bool, near_count: usize, now: BootInstant) -> Ruling {
        let Some(alone_at) = self.alone_at else { return Ruling::NotNeeded };
        let is_bound = |it: &&RotationVerdict| {
            let is_majority_isolated = 2 * it.isolated as usize > near_count;
            it.decision != Decision::Leave || is_isolated || self.is_leaving || is_majority_isolated
        };
        let ruling = match self.verdict(now).filter(is_bound) {
            Some(verdict) => Ruling::Verdict(Box::new(verdict.clone())),
            None if now < alone_at => Ruling::Awaited,
            None if now < alone_at.plus(timing::UNDECIDED_EXTENSION) && self.is_decided_soon() => {
                Ruling::Awaited
            }
            None => Ruling::Alone,
        };
        self.is_leaving = matches!(&ruling, Ruling::Verdict(it) if it.decision == Decision::Leave);
        ruling
    }

    /// Whether a coordinator collects reports.
    fn is_decided_soon(&self) -> bool {
        self.contacts.values().any(Contact::is_collecting)
    }

    /// The valid verdict of the coordinator that ranks first.
    fn verdict(&self, now: BootInstant) -> Option<&RotationVerdict> {
        let valid = self.contacts.values().filter_map(|it| it.valid_verdict(now));
        valid.max_by_key(|it| rank(&it.from))
    }
}
