//! The part of an instance that collects reports and decides for its data centre.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use gullspar_border::BootInstant;
use gullspar_model::InstanceId;

use super::{Decision, GroupUse, RotationReport, RotationVerdict, Tally, timing};
use crate::Member;

/// The newest report of an instance.
#[derive(Debug)]
struct Received {
    report: RotationReport,
    /// From the newest report that contained them.
    uses: Option<Vec<GroupUse>>,
    at: BootInstant,
}

/// Decides whether the instances that report to it stay in rotation.
#[derive(Debug)]
pub struct Coordinator {
    own: InstanceId,
    reports: BTreeMap<InstanceId, Received>,
    decision: Decision,
    tally: Tally,
    /// Number of instances that report that they are isolated, as of the last decision.
    isolated: usize,
    /// Since when this instance has asked for reports in order to decide.
    collecting_since: Option<BootInstant>,
    /// Since when the condition to return to rotation holds.
    good_since: Option<BootInstant>,
    next_prompt_at: Option<BootInstant>,
}

impl Coordinator {
    /// Creates the coordinator part of the instance `own`.
    pub fn new(own: InstanceId) -> Coordinator {
        Coordinator {
            own,
            reports: BTreeMap::new(),
            decision: Decision::Undecided,
            tally: Tally::default(),
            isolated: 0,
            collecting_since: None,
            good_since: None,
            next_prompt_at: None,
        }
    }

    /// Whether other instances report to this one.
    pub fn is_active(&self) -> bool {
        self.reports.keys().any(|it| *it != self.own)
    }

    /// The current decision.
    pub fn decision(&self) -> Decision {
        self.decision
    }

    /// Records a report, which may be this instance's own.
    pub fn handle_report(&mut self, mut report: RotationReport, now: BootInstant) {
        self.expire_reports(now);
        let old = self.reports.remove(&report.from);
        if old.as_ref().is_some_and(|it| it.report.sent_at > report.sent_at) {
            // A late report.
            self.reports.extend(old.map(|it| (it.report.from.clone(), it)));
            return;
        }
        let uses = report.uses.take().or_else(|| old.and_then(|it| it.uses));
        self.reports.insert(report.from.clone(), Received { report, uses, at: now });
    }

    /// Whether the decision can be taken before the end of the collection, because all others of `near` have reported.
    pub fn is_complete(&self, near: &[Member]) -> bool {
        // Comparing the numbers first keeps the cost of a report low.
        self.reports.len() + 1 >= near.len()
            && near.iter().all(|it| it.id == self.own || self.reports.contains_key(&it.id))
    }

    /// Decides by the current reports. `near` are the live instances of the data centre, this one included. Returns
    /// whether the decision has changed.
    pub fn decide(&mut self, near: &[Member], now: BootInstant) -> bool {
        self.expire_reports(now);
        if !self.is_active() {
            return false;
        }
        let received = self.reports.values();
        let uses = received.clone().flat_map(|it| it.uses.iter().flatten());
        let statuses = received.flat_map(|it| {
            let since = now.since(it.at);
            it.report.statuses.iter().map(move |status| (status, since))
        });
        self.tally = Tally::new(uses, statuses);
        self.isolated = self.count(|it| it.is_isolated);
        let decision = self.next_decision(near, now);
        std::mem::replace(&mut self.decision, decision) != decision
    }

    /// Forgets old reports, and everything else once no other instance reports.
    fn expire_reports(&mut self, now: BootInstant) {
        self.reports.retain(|_, it| now.since(it.at) < timing::REPORT_TTL);
        if !self.is_active() {
            *self = Coordinator::new(self.own.clone());
        }
    }

    fn next_decision(&mut self, near: &[Member], now: BootInstant) -> Decision {
        let has_standing = self.has_standing(near);
        let by_use = if self.tally.is_mostly_servable() { Decision::Stay } else { Decision::Leave };
        match self.decision {
            Decision::Undecided => {
                self.collecting_since = has_standing.then(|| self.collecting_since.unwrap_or(now));
                let is_over = |it: BootInstant| now.since(it) >= timing::COLLECT_PERIOD;
                let has_collected =
                    self.is_complete(near) || self.collecting_since.is_some_and(is_over);
                // Without any known group, as in the first moments after a start, nothing can be said.
                if !has_standing || !has_collected || self.tally.used == 0 {
                    Decision::Undecided
                } else if 2 * self.count(|it| it.is_out) > self.reports.len() {
                    // Another coordinator has decided so before.
                    Decision::Leave
                } else {
                    by_use
                }
            }
            Decision::Stay if has_standing && self.tally.used > 0 => by_use,
            Decision::Stay => Decision::Stay,
            Decision::Leave => {
                let is_good = !has_standing || self.tally.is_enough_to_return();
                self.good_since = is_good.then(|| self.good_since.unwrap_or(now));
                let has_settled = |it: BootInstant| now.since(it) >= timing::RETURN_AFTER;
                if self.good_since.is_some_and(has_settled) {
                    self.good_since = None;
                    Decision::Stay
                } else {
                    Decision::Leave
                }
            }
        }
    }

    /// Whether this instance is isolated itself, or most instances of its data centre are.
    fn has_standing(&self, near: &[Member]) -> bool {
        let is_isolated = self.reports.get(&self.own).is_some_and(|it| it.report.is_isolated);
        is_isolated || 2 * self.isolated > near.len()
    }

    fn count(&self, is_counted: impl Fn(&RotationReport) -> bool) -> usize {
        self.reports.values().filter(|it| is_counted(&it.report)).count()
    }

    /// The verdict for the instance `to`.
    pub fn verdict(&self, to: &InstanceId, now: BootInstant) -> RotationVerdict {
        let received = self.reports.get(to);
        RotationVerdict {
            from: self.own.clone(),
            sent_at: now,
            answers: received.map(|it| it.report.sent_at),
            decision: self.decision,
            isolated: self.isolated as u32,
            reported: self.reports.len() as u32,
            servable: self.tally.servable,
            used: self.tally.used,
            unservable: self.tally.unservable.clone(),
            needs_uses: received.is_none_or(|it| it.uses.is_none()),
        }
    }

    /// The verdicts to send after a change: to all instances that report, and to those of `near` that don't.
    pub fn announcements(
        &self,
        near: &[Member],
        now: BootInstant,
    ) -> Vec<(SocketAddr, RotationVerdict)> {
        let mut to: BTreeMap<&InstanceId, SocketAddr> =
            near.iter().map(|it| (&it.id, it.address)).collect();
        to.extend(self.reports.iter().map(|(id, it)| (id, it.report.reply_to)));
        to.into_iter().map(|(id, address)| (address, self.verdict(id, now))).collect()
    }

    /// Requests for reports, to be sent now to those of `near` that have not reported. Only a coordinator that may decide
    /// sends them.
    pub fn prompts(
        &mut self,
        near: &[Member],
        now: BootInstant,
    ) -> Vec<(SocketAddr, RotationVerdict)> {
        let is_due = self.next_prompt_at.is_none_or(|it| now >= it);
        if !is_due || !self.is_active() || !self.has_standing(near) {
            return Vec::new();
        }
        self.next_prompt_at = Some(now.plus(match self.decision {
            Decision::Undecided => timing::COLLECT_PROMPT_INTERVAL,
            Decision::Stay | Decision::Leave => timing::PROMPT_INTERVAL,
        }));
        let missing = near.iter().filter(|it| !self.reports.contains_key(&it.id));
        missing.map(|it| (it.address, self.verdict(&it.id, now))).collect()
    }
}
