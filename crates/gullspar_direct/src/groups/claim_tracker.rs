//! Who promoted last in a group, and who may next.

use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_model::{InstanceId, record};

use crate::FencingToken;

record! {
    /// What instances tell each other of the newest claim they know.
    pub struct ClaimReport {
        pub token: FencingToken,
        pub holder: InstanceId,
        /// How long ago its holder acted, in milliseconds. A note that is read late makes the claim look
        /// younger than it is, which only makes others wait.
        pub age_ms: u64,
    }
}

/// The newest claim that an instance knows of one group.
#[derive(Clone, Debug)]
pub struct ClaimTracker {
    lease: Duration,
    newest: Option<Known>,
    /// The holder before the newest, which may still be alone.
    ///
    /// The store may lose a claim with the copy that it comes back from, and show an older one as its newest.
    before: Option<Known>,
}

#[derive(Clone, Debug)]
struct Known {
    token: FencingToken,
    holder: InstanceId,
    acted_at: BootInstant,
}

impl ClaimTracker {
    /// An empty book; a holder that lives is alone for `lease` after it acted.
    pub fn new(lease: Duration) -> ClaimTracker {
        ClaimTracker { lease, newest: None, before: None }
    }

    /// Notes that the claim stands in the store, seen at `at`.
    ///
    /// One that is new here may have been made just now. One that is known says nothing of what its holder does:
    /// taken for an act of it, each look of the others would make it alone again for as long as it lives.
    pub fn record_observed(&mut self, token: FencingToken, holder: InstanceId, at: BootInstant) {
        if self.newest.as_ref().is_none_or(|it| it.token < token) {
            self.record_act(token, holder, at);
        }
    }

    /// Notes that `holder` acted with `token` at `at`.
    pub fn record_act(&mut self, token: FencingToken, holder: InstanceId, at: BootInstant) {
        match &mut self.newest {
            Some(known) if known.token > token => {}
            Some(known) if known.token == token => known.acted_at = known.acted_at.max(at),
            _ => {
                let newest = Known { token, holder, acted_at: at };
                let before = self.newest.replace(newest);
                let acted_last =
                    |it: &Known| self.before.as_ref().is_none_or(|old| it.acted_at >= old.acted_at);
                if before.as_ref().is_some_and(acted_last) {
                    self.before = before;
                }
            }
        }
    }

    /// Takes what the instance `from` told at `now`.
    ///
    /// Of a claim that is known here, only its holder tells when it acted last: passed on by others, a note grows
    /// younger with each delay on its way.
    pub fn apply_report(&mut self, note: &ClaimReport, from: &InstanceId, now: BootInstant) {
        let known = self.newest.as_ref().is_some_and(|it| it.token >= note.token);
        if !known || note.holder == *from {
            let acted_at = now.minus(Duration::from_millis(note.age_ms));
            self.record_act(note.token, note.holder.clone(), acted_at);
        }
    }

    /// What to tell others at `now`.
    pub fn report(&self, now: BootInstant) -> Option<ClaimReport> {
        let known = self.newest.as_ref()?;
        let age_ms = now.since(known.acted_at).as_millis() as u64;
        Some(ClaimReport { token: known.token, holder: known.holder.clone(), age_ms })
    }

    /// Whether anybody acted after `at`.
    pub fn has_act_after(&self, at: BootInstant) -> bool {
        self.newest.as_ref().is_some_and(|it| it.acted_at > at)
    }

    /// Who acted last.
    pub fn holder(&self) -> Option<&InstanceId> {
        self.newest.as_ref().map(|it| &it.holder)
    }

    /// Whether `own` may act at `now`.
    ///
    /// Two instances that promote by turns would each undo what the other began, seen as a group that
    /// changes its leader several times in a few seconds. So the last holder goes on alone for a
    /// while, unless it is gone.
    pub fn can_act(
        &self,
        own: &InstanceId,
        now: BootInstant,
        alive: impl Fn(&InstanceId) -> bool,
    ) -> bool {
        let allows = |it: &Known| {
            it.holder == *own || !alive(&it.holder) || now.since(it.acted_at) >= self.lease
        };
        [&self.newest, &self.before].into_iter().flatten().all(allows)
    }
}
