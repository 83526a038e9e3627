//! Observes a member by keeping one status call to it open at all times.

use std::rc::Rc;
use std::time::Duration;

use gullspar_model::{MemberName, TargetKey};

use crate::{GroupWatch, TargetControl, TargetError};

/// Delay before the next attempt after a connection failed.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl GroupWatch {
    /// Observes `member` until the watch ends or the member leaves the group.
    ///
    /// The member delays its answer to each call until something changes, so that changes are reported at once
    /// and an idle group needs few messages.
    pub(crate) async fn observe(self: Rc<Self>, member: MemberName) {
        while self.is_observed(&member) {
            let Err(err) = self.observe_connection(&member).await else { return };
            if matches!(err, TargetError::ConnectionRefused(_)) {
                self.record_refusal(&member);
            }
            log::debug!("G0205 observing {}/{member} failed: {err}", self.name);
            let deadline = self.now() + RETRY_DELAY;
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
            let wake_on_position = self.should_wake_on_position(member);
            let status = control.status(known, wake_on_position, wait_ms, deadline).await?;
            self.record_response(member, status, asked_at);
            known = Some(status);
        }
        Ok(())
    }

    /// Whether `member` must report each new position to this instance at once.
    ///
    /// At the member's home, reads wait for the position; at the primary's home, writes wait for acknowledgement.
    fn should_wake_on_position(&self, member: &MemberName) -> bool {
        let is_home = |it: &MemberName| {
            let spec = self.spec.borrow();
            let key = TargetKey::new(&self.name, it);
            spec.member(it).is_some_and(|it| self.fleet.is_home(&key, &it.data_centre))
        };
        is_home(member) || self.leader().is_some_and(|it| is_home(&it.member))
    }
}
