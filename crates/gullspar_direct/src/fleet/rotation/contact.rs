//! What a reporting instance knows of one coordinator.

use gullspar_border::BootInstant;

use super::{Decision, RotationVerdict, timing};

/// The exchange with one coordinator.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// When the first report since the last answer was sent; `None` if all are answered.
    unanswered_since: Option<BootInstant>,
    has_answered: bool,
    is_collecting: bool,
    avoided_until: Option<BootInstant>,
    next_report_at: Option<BootInstant>,
    /// Until when it gets reports because it asked for them.
    prompted_until: Option<BootInstant>,
    pub(super) knows_uses: bool,
    verdict: Option<RotationVerdict>,
}

impl Contact {
    /// Whether the coordinator answered that it collects the reports of several instances.
    pub(super) fn is_collecting(&self) -> bool {
        self.is_collecting
    }

    /// Whether the next report is due.
    pub(super) fn is_due(&self, now: BootInstant) -> bool {
        self.next_report_at.is_none_or(|it| now >= it)
    }

    /// Records that a report was sent; the next one is due at `next`.
    pub(super) fn record_report(&mut self, now: BootInstant, next: BootInstant) {
        self.unanswered_since.get_or_insert(now);
        self.next_report_at = Some(next);
    }

    /// Makes the next report due at once.
    pub(super) fn report_soon(&mut self) {
        self.next_report_at = None;
    }

    /// Records that the coordinator asked for a report.
    pub(super) fn record_prompt(&mut self, now: BootInstant) {
        self.prompted_until = Some(now.plus(timing::VERDICT_TTL));
        self.next_report_at = None;
    }

    pub(super) fn has_prompted(&self, now: BootInstant) -> bool {
        self.prompted_until.is_some_and(|it| now < it)
    }

    /// Whether other coordinators are to be preferred, because this one does not answer.
    pub(super) fn is_avoided(&mut self, now: BootInstant) -> bool {
        let timeout = match self.has_answered {
            true => timing::ANSWER_TIMEOUT,
            false => timing::FIRST_ANSWER_TIMEOUT,
        };
        if self.unanswered_since.is_some_and(|it| now.since(it) >= timeout) {
            *self = Contact {
                avoided_until: Some(now.plus(timing::AVOIDANCE_PERIOD)),
                next_report_at: self.next_report_at,
                prompted_until: self.prompted_until,
                verdict: self.verdict.take(),
                ..Contact::default()
            };
        }
        self.avoided_until.is_some_and(|it| now < it)
    }

    /// Records an answer, unless it is older than the last one.
    pub(super) fn record_verdict(&mut self, verdict: RotationVerdict, now: BootInstant) {
        let is_late = self.valid_verdict(now).is_some_and(|it| verdict.sent_at < it.sent_at);
        if is_late {
            return;
        }
        self.unanswered_since = None;
        self.avoided_until = None;
        self.has_answered = true;
        // An instance that hears no other one answers its own reports.
        self.is_collecting = verdict.decision == Decision::Undecided && verdict.reported > 1;
        self.knows_uses = !verdict.needs_uses;
        // A coordinator that starts over is undecided until it has collected reports; its predecessor's verdict applies
        // as long as it is valid.
        if verdict.decision != Decision::Undecided {
            self.verdict = Some(verdict);
        }
    }

    /// The last verdict, while it is valid.
    pub(super) fn valid_verdict(&self, now: BootInstant) -> Option<&RotationVerdict> {
        let is_valid = |it: &&RotationVerdict| it.valid_until().is_some_and(|until| now < until);
        self.verdict.as_ref().filter(is_valid)
    }
}
