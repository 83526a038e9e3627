//! Exchanges reports and verdicts about rotation, and applies what follows from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::{GroupName, NotRun};

use crate::fleet::rotation::{
    Decision, GroupStatus, RotationReport, RotationVerdict, Ruling, timing,
};
use crate::groups::group::Group;
use crate::proxy::SETTLE_PERIOD;
use crate::{PartitionState, PeerMessage, Phase, Proxy, ROTATION_DELAY};

/// Time in which a new home finds its group's leader. Until then it says nothing about the group, and it does not refuse
/// sessions.
const NEW_GROUP_PERIOD: Duration = Duration::from_millis(600);

/// Time in which each target answers a check if it can be reached.
const OUTSIDE_ANSWER_TTL: Duration = Duration::from_millis(600);

/// Refused callers are told to retry within this time after a change of rotation has taken effect, so that they don't all
/// return at the same moment.
const RETRY_SPREAD: Duration = Duration::from_millis(300);

impl Proxy {
    /// Sends reports and verdicts that are due, and applies the verdict in force.
    pub(crate) fn maintain_rotation(&self) {
        let now = self.borders.clock.boot_now();
        self.rotation.recent_use.decay(now);
        let is_led =
            |it: &Rc<Group>| self.can_reach_leader(it) && !self.is_cut_off_with_leader(it, now);
        let led = self.groups().into_iter().filter(is_led);
        let view = (self.lacks_contact(now), led.map(|it| it.name.clone()).collect());
        if self.rotation.last_view.replace(view.clone()) != view {
            self.rotation.participant.borrow_mut().report_soon();
        }
        self.send_rotation_reports(now);
        if self.rotation.coordinator.borrow().is_active() {
            self.coordinate_rotation(now);
        }
        self.apply_ruling();
    }

    /// Sends this instance's view to the coordinators, if it has a reason to and the next report is due.
    fn send_rotation_reports(&self, now: BootInstant) {
        if !self.takes_part_in_rotation() {
            return;
        }
        let is_needed = self.needs_verdict(now);
        let members = self.members();
        let near = members.near(&self.own.data_centre);
        let due = self.rotation.participant.borrow_mut().check(is_needed, near, now);
        if !self.rotation.participant.borrow().is_active() {
            self.rotation.frozen_uses.take();
        }
        for (to, needs_uses) in due {
            let report = self.rotation_report(needs_uses, now);
            self.borders.stats.rotation_message("report");
            self.deliver(to.address, PeerMessage::RotationReport(report));
        }
    }

    /// Whether this instance reports and decides. It does not before it knows the leaders of its groups and the other
    /// instances: the first views after a start would look like those of a partition. It is not ready until then.
    fn takes_part_in_rotation(&self) -> bool {
        let is_settled = self.borders.clock.now() >= self.started + SETTLE_PERIOD;
        is_settled && self.shutdown.phase() == Phase::Serving
    }

    /// Sends `message` to the instance at `to`, which may be this one.
    fn deliver(&self, to: SocketAddr, message: PeerMessage) {
        match to == self.own.address {
            true => self.handle_message(message),
            false => self.borders.peers.send(to, &message),
        }
    }

    /// Whether this instance has a reason of its own to ask for a verdict.
    ///
    /// Where every instance opens its own connections, each knows by itself what it can serve.
    fn needs_verdict(&self, now: BootInstant) -> bool {
        let is_needed = self.takes_part_in_rotation() && self.lacks_contact(now);
        let is_coordinated = is_needed && (self.rotation.is_coordinated.get() || self.has_homes());
        self.rotation.is_coordinated.set(is_coordinated);
        is_coordinated
    }

    /// Whether this instance is isolated, or has had no contact outside its data centre since its start.
    fn lacks_contact(&self, now: BootInstant) -> bool {
        self.peers.is_isolated(now) || self.has_had_no_contact()
    }

    /// Whether this instance was never able to serve, knows of no instance of another data centre, and never reached the
    /// store: its data centre may have started while it is partitioned.
    fn has_had_no_contact(&self) -> bool {
        !self.was_able_to_serve.get()
            && self.store_silent_for().is_none()
            && !self.peers.has_running_outside(&self.own.data_centre)
    }

    /// Whether any group is served by homes only.
    fn has_homes(&self) -> bool {
        let Some(catalogue) = self.directory.catalogue() else { return false };
        let has_homes = |group: &GroupName| {
            self.home_inputs(group).is_some_and(|it| self.homes_of(group, &it).is_some())
        };
        catalogue.groups.keys().any(has_homes)
    }

    /// Whether readiness must wait for a verdict: this instance has started and may be behind a partition.
    pub(crate) fn awaits_first_verdict(&self) -> bool {
        let now = self.borders.clock.boot_now();
        (self.peers.is_isolated(now) || self.has_had_no_contact()) && self.has_homes()
    }

    /// Whether the verdict in force is to stay in rotation; `None` if this instance decides alone.
    pub(crate) fn is_told_to_stay(&self) -> Option<bool> {
        match &*self.rotation.ruling.borrow() {
            Ruling::Verdict(it) => Some(it.decision == Decision::Stay),
            Ruling::NotNeeded | Ruling::Awaited => Some(false),
            Ruling::Alone => None,
        }
    }

    /// Whether sessions of `group` can use its leader through this instance.
    fn can_reach_leader(&self, group: &Group) -> bool {
        group.responsive_leader().is_some() || self.forwarding_candidates(&group.name).is_some()
    }

    /// Whether no member of `group` in another data centre answers here. The other side of the partition then does not
    /// reach a leader in this data centre, and replaces it before a change of rotation takes effect.
    fn is_cut_off_with_leader(&self, group: &Group, now: BootInstant) -> bool {
        let since = now.minus(OUTSIDE_ANSWER_TTL);
        let targets = group.targets();
        let mut outside =
            targets.iter().filter(|it| it.spec().data_centre != self.own.data_centre).peekable();
        outside.peek().is_some() && outside.all(|it| !it.has_responded_since(since))
    }

    /// Whether this instance became a home of `group` only just now.
    pub(crate) fn is_new_home(&self, group: &Group) -> bool {
        let known_for =
            self.borders.clock.now().saturating_duration_since(group.leaderless_since());
        group.leader().is_none()
            && group.newest_position_sample().is_none()
            && known_for < NEW_GROUP_PERIOD
    }

    fn rotation_report(&self, with_uses: bool, now: BootInstant) -> RotationReport {
        let uses = || {
            let mut frozen = self.rotation.frozen_uses.borrow_mut();
            match self.rotation.participant.borrow().is_active() {
                true => frozen.get_or_insert_with(|| self.rotation.recent_use.uses()).clone(),
                false => self.rotation.recent_use.uses(),
            }
        };
        let groups = self.groups();
        let reported = groups.iter().filter(|it| !self.is_new_home(it));
        let status = |group: &Rc<Group>| GroupStatus {
            group: group.name.clone(),
            has_leader: self.can_reach_leader(group) && !self.is_cut_off_with_leader(group, now),
            sample_age_ms: group.newest_position_sample().map(|it| {
                let age = now.since(it.requested_at).as_millis();
                age.try_into().unwrap_or(u32::MAX)
            }),
        };
        RotationReport {
            from: self.own.id.clone(),
            reply_to: self.own.address,
            sent_at: now,
            is_isolated: self.lacks_contact(now),
            is_out: self.rotation.out_at.get().is_some(),
            uses: with_uses.then(uses),
            statuses: reported.map(status).take(timing::MAX_STATUSES).collect(),
        }
    }

    /// Decides by the reports received and this instance's own, and sends what changed.
    fn coordinate_rotation(&self, now: BootInstant) {
        let own = self.rotation_report(true, now);
        let members = self.members();
        let near = members.near(&self.own.data_centre);
        let mut coordinator = self.rotation.coordinator.borrow_mut();
        coordinator.handle_report(own, now);
        let messages = match coordinator.decide(near, now) {
            true => {
                let verdict = coordinator.verdict(&self.own.id, now);
                log::warn!(decision = verdict.decision.text(), isolated = verdict.isolated, reported = verdict.reported, near = near.len(), servable = verdict.servable, used = verdict.used; "G0774 the verdict on the rotation of this data centre has changed");
                coordinator.announcements(near, now)
            }
            false => coordinator.prompts(near, now),
        };
        drop(coordinator);
        for (to, verdict) in messages {
            self.borders.stats.rotation_message("verdict");
            self.deliver(to, PeerMessage::RotationVerdict(verdict));
        }
    }

    /// Processes the report of an instance that considers this one a coordinator, and answers it.
    pub(crate) fn handle_rotation_report(&self, report: RotationReport) {
        if !self.takes_part_in_rotation() {
            return;
        }
        let now = self.borders.clock.boot_now();
        let (from, reply_to) = (report.from.clone(), report.reply_to);
        let members = self.members();
        let is_last = {
            let mut coordinator = self.rotation.coordinator.borrow_mut();
            coordinator.handle_report(report, now);
            coordinator.decision() == Decision::Undecided
                && coordinator.is_active()
                && coordinator.is_complete(members.near(&self.own.data_centre))
        };
        if is_last {
            self.coordinate_rotation(now);
        }
        let verdict = self.rotation.coordinator.borrow().verdict(&from, now);
        self.borders.stats.rotation_message("verdict");
        self.deliver(reply_to, PeerMessage::RotationVerdict(verdict));
    }

    /// Processes and applies a coordinator's verdict.
    pub(crate) fn handle_rotation_verdict(&self, verdict: RotationVerdict) {
        let now = self.borders.clock.boot_now();
        let should_report = self.rotation.participant.borrow_mut().handle_verdict(verdict, now);
        if should_report {
            self.send_rotation_reports(now);
        }
        self.apply_ruling();
    }

    /// Leaves rotation or returns to it, as the verdict in force or this instance's own view requires.
    fn apply_ruling(&self) {
        let boot_now = self.borders.clock.boot_now();
        let lacks_contact = self.lacks_contact(boot_now);
        let near_count = self.members().near(&self.own.data_centre).len();
        let mut participant = self.rotation.participant.borrow_mut();
        let ruling = participant.ruling(lacks_contact, near_count, boot_now);
        drop(participant);
        let should_leave = match &ruling {
            Ruling::NotNeeded | Ruling::Alone => self.is_partitioned(),
            Ruling::Awaited => self.rotation.out_at.get().is_some(),
            Ruling::Verdict(it) => it.decision == Decision::Leave,
        };
        self.rotation.is_restricted.set(ruling != Ruling::NotNeeded && lacks_contact);
        let old = self.rotation.ruling.replace(ruling.clone());
        log_ruling(&old, &ruling);
        self.set_rotation(should_leave, &ruling);
    }

    fn set_rotation(&self, should_leave: bool, ruling: &Ruling) {
        let now = self.borders.clock.now();
        let out_at = &self.rotation.out_at;
        let by = match ruling {
            Ruling::Verdict(_) => "verdict",
            Ruling::NotNeeded | Ruling::Awaited | Ruling::Alone => "own view",
        };
        match (should_leave, out_at.get()) {
            (true, None) => {
                log::warn!(by = by; "G0741 this instance is partitioned; callers are sent elsewhere");
                self.borders.stats.rotation_change("left", by);
                out_at.set(Some(now + ROTATION_DELAY));
            }
            (false, Some(_)) => {
                log::info!(by = by; "G0742 this instance is no longer partitioned");
                self.borders.stats.rotation_change("returned", by);
                out_at.set(None);
            }
            (true, Some(_)) | (false, None) => {}
        }
        self.shutdown.set_partition_state(match out_at.get() {
            None => PartitionState::Connected,
            Some(at) if now < at => PartitionState::Partitioned,
            Some(_) => PartitionState::OutOfRotation,
        });
    }

    /// Whether no reporting instance of this data centre reaches the leader of `group`.
    pub(crate) fn is_leader_lost_for_all(&self, group: &GroupName) -> bool {
        match &*self.rotation.ruling.borrow() {
            Ruling::Verdict(it) => it.unservable.contains(group),
            Ruling::NotNeeded | Ruling::Awaited | Ruling::Alone => false,
        }
    }

    /// The value of the gauge of verdicts: 1 to stay, 2 to leave, 0 for none.
    pub(crate) fn verdict_gauge(&self) -> u64 {
        match &*self.rotation.ruling.borrow() {
            Ruling::Verdict(it) if it.decision == Decision::Leave => 2,
            Ruling::Verdict(_) => 1,
            Ruling::NotNeeded | Ruling::Awaited | Ruling::Alone => 0,
        }
    }

    /// The share of the use that can be served, by the verdict in force; 100 without one.
    pub(crate) fn servable_percent(&self) -> u64 {
        match &*self.rotation.ruling.borrow() {
            Ruling::Verdict(it) => it.servable_percent().unwrap_or(0),
            Ruling::NotNeeded | Ruling::Awaited | Ruling::Alone => 100,
        }
    }

    /// The reason to refuse a session whose group can't be reached, with the delay until another instance accepts it.
    pub(crate) fn unreachable_reason(&self) -> NotRun {
        if !self.rotation.is_restricted.get() {
            return NotRun::Unreachable;
        }
        let until_verdict = match &*self.rotation.ruling.borrow() {
            Ruling::Awaited if self.was_able_to_serve.get() => self
                .rotation
                .participant
                .borrow()
                .alone_at()
                .map(|it| it.since(self.borders.clock.boot_now())),
            Ruling::NotNeeded | Ruling::Awaited | Ruling::Alone | Ruling::Verdict(_) => None,
        };
        let now = self.borders.clock.now();
        let until_change = self.rotation.out_at.get().map(|it| it.saturating_duration_since(now));
        let remaining = until_change.or(until_verdict.map(|it| it + ROTATION_DELAY));
        match remaining {
            Some(remaining) if remaining > Duration::ZERO => {
                let spread = self.borders.entropy.next_u64() % RETRY_SPREAD.as_millis() as u64;
                let retry_after_ms = remaining.as_millis() as u64 + spread;
                NotRun::Partitioned { retry_after_ms }
            }
            _ => NotRun::Unreachable,
        }
    }
}

/// Logs a change of what an instance decides by.
fn log_ruling(old: &Ruling, new: &Ruling) {
    match (old, new) {
        (Ruling::Verdict(old), Ruling::Verdict(new)) if old.decision == new.decision => {}
        (_, Ruling::Verdict(it)) => {
            log::info!(decision = it.decision.text(), from = it.from.as_str(), isolated = it.isolated, reported = it.reported, servable = it.servable, used = it.used; "G0775 this instance follows a verdict on rotation");
        }
        (Ruling::Alone, Ruling::Alone) => {}
        (_, Ruling::Alone) => {
            log::warn!("G0776 there is no verdict on rotation; this instance decides alone");
        }
        (Ruling::NotNeeded, Ruling::Awaited) => {
            log::info!("G0777 this instance asks for a verdict on rotation");
        }
        (_, Ruling::Awaited | Ruling::NotNeeded) => {}
    }
}
