//! Keeps one status call to a member open at all times.

use std::rc::Rc;
use std::time::Duration;

use gullspar_model::{MemberName, TargetKey};

use crate::{GroupWatch, TargetControl, TargetError};

/// Pause after a failed attempt to connect.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

impl GroupWatch {
    /// Observes `member` until the watch ends or the member leaves the group.
    ///
    /// Each call is held back by the member until something changed, so that news comes as soon as
    /// it is there and an idle group costs few messages.
    pub(crate) async fn observe(self: Rc<Self>, member: MemberName) {
        while self.is_observed(&member) {
            let Err(err) = self.observe_connection(&member).await else { return };
            if matches!(err, TargetError::Refusing(_)) {
                self.refused(&member);
            }
            log::debug!("G0205 observing {}/{member} failed: {err}", self.name);
            let deadline = self.now() + RETRY_PAUSE;
            self.borders().clock.sleep_until(deadline).await;
        }
    }

    fn is_observed(&self, member: &MemberName) -> bool {
        !self.ended.get() && self.spec.borrow().member(member).is_some()
    }

    async fn observe_connection(&self, member: &MemberName) -> Result<(), TargetError> {
        let Some(spec) = self.spec().member(member).cloned() else { return Ok(()) };
        let deadline = self.now() + self.timing.failed_after;
        let clock = Rc::clone(&self.borders().clock);
        let mut control =
            TargetControl::open(&*self.borders().dialer, clock, spec.address, deadline).await?;
        let mut known = None;
        while self.is_observed(member) {
            let asked_at = self.now();
            let deadline = asked_at + self.timing.status_wait + self.timing.failed_after;
            let wait_ms = self.timing.status_wait.as_millis() as u64;
            let wake = self.wakes_on_position(member);
            let status = control.status(known, wake, wait_ms, deadline).await?;
            self.heard(member, status, asked_at);
            known = Some(status);
        }
        Ok(())
    }

    /// Whether each new position of `member` matters here at once: its own home serves reads
    /// that wait for it, the primary's home waits for acknowledgements.
    fn wakes_on_position(&self, member: &MemberName) -> bool {
        let holds = |it: &MemberName| {
            let spec = self.spec.borrow();
            let key = TargetKey::new(&self.name, it);
            spec.member(it).is_some_and(|it| self.fleet.is_home(&key, &it.data_centre))
        };
        holds(member) || self.leader().is_some_and(|it| holds(&it.member))
    }
}
