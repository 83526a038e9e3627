//! Bringing a member back under its primary.

use std::rc::Rc;
use std::time::Duration;

use gullspar_model::{MemberName, TargetKey};

use crate::{GroupWatch, TargetControl, TargetError};

/// How often a member that is astray is looked at.
const REPAIR_EVERY: Duration = Duration::from_millis(100);

impl GroupWatch {
    /// Keeps `member` following whoever leads, while this instance is its home.
    ///
    /// An old primary that comes back has a tail that nobody acknowledged and may still believe that
    /// it leads. The member drops that tail when it follows: merged, it would show callers a write
    /// that they were never promised, or a booking twice.
    pub(crate) async fn repair(self: Rc<Self>, member: MemberName) {
        while !self.ended.get() && self.spec().member(&member).is_some() {
            let deadline = self.now() + REPAIR_EVERY;
            if self.is_astray(&member) {
                if let Err(err) = self.attach(&member).await {
                    log::debug!("G0210 {}/{member} could not be attached: {err}", self.name);
                }
                self.borders().clock.sleep_until(deadline).await;
            } else {
                self.wait_until(deadline + REPAIR_EVERY, || self.is_astray(&member).then_some(()))
                    .await;
            }
        }
    }

    fn is_astray(&self, member: &MemberName) -> bool {
        let spec = self.spec();
        let Some(own) = spec.member(member) else { return false };
        let key = TargetKey::new(&self.name, member);
        let Some(leader) = self.leader() else { return false };
        let Some(status) = self.view(member).and_then(|it| it.status) else { return false };
        leader.member != *member
            && !status.is_active_in(leader.term)
            && self.fleet.is_home(&key, &own.data_centre)
    }

    async fn attach(&self, member: &MemberName) -> Result<(), TargetError> {
        let (Some(leader), Some(spec)) = (self.leader(), self.spec().member(member).cloned())
        else {
            return Ok(());
        };
        let deadline = self.now() + self.timing.step_timeout;
        let borders = self.borders();
        let clock = Rc::clone(&borders.clock);
        let mut control =
            TargetControl::open(&*borders.dialer, clock, spec.address, deadline).await?;
        let asked_at = self.now();
        let status = control.follow(leader.term, &leader.member, deadline).await?;
        self.heard(member, status, asked_at);
        log::info!("G0211 {}/{member} follows {}", self.name, leader.member);
        Ok(())
    }
}
