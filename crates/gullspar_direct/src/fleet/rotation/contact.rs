//! What a reporting instance knows of one coordinator.

use gullspar_border::BootInstant;

use super::{Decision, RotationVerdict, timing};

/// The exchange with one coordinator.
#[derive(Debug, Default)]
pub(super) struct Contact {
    /// When the first report since the last answer was sent; `None` if all are answered.
    unanswered_since: Option<BootInstant>,
    has_answered: bool,
    avoided_until: Option<BootInstant>,
    pub(super) knows_uses: bool,
    verdict: Option<RotationVerdict>,
}

impl Contact {
    /// Records that a report was sent.
    pub(super) fn record_report(&mut self, now: BootInstant) {
        self.unanswered_since.get_or_insert(now);
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
