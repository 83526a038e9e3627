//! Makes diverged members follow the primary again.

use std::rc::Rc;
use std::time::Duration;

use gullspar_model::{MemberName, TargetKey};

use crate::{GroupWatch, TargetControl, TargetError};

/// Interval between attempts to repair a diverged member.
const REPAIR_INTERVAL: Duration = Duration::from_millis(100);

impl GroupWatch {
    /// Keeps `member` following the group's leader while this instance is its home.
    ///
    /// An old primary that returns may still act as the leader, and its log may end with writes that were never
    /// acknowledged. It drops them when it follows the new primary; if they were merged, callers would see
    /// unacknowledged writes, or a retried write twice.
    pub(crate) async fn repair(self: Rc<Self>, member: MemberName) {
        while !self.ended.get() && self.spec().member(&member).is_some() {
            let deadline = self.now() + REPAIR_INTERVAL;
            if self.has_diverged(&member) {
                if let Err(err) = self.follow_leader(&member).await {
                    log::debug!(
                        "G0210 {}/{member} could not be made to follow the leader: {err}",
                        self.name
                    );
                }
                self.borders().clock.sleep_until(deadline).await;
            } else {
                self.wait_until(deadline + REPAIR_INTERVAL, || {
                    self.has_diverged(&member).then_some(())
                })
                .await;
            }
        }
    }

    /// Whether `member` is not active in the leader's term and this instance is its home.
    fn has_diverged(&self, member: &MemberName) -> bool {
        let spec = self.spec();
        let Some(own) = spec.member(member) else { return false };
        let key = TargetKey::new(&self.name, member);
        let Some(leader) = self.leader() else { return false };
        let Some(status) = self.view(member).and_then(|it| it.status) else { return false };
        leader.member != *member
            && !status.is_active_in(leader.term)
            && self.fleet.is_home(&key, &own.data_centre)
    }

    async fn follow_leader(&self, member: &MemberName) -> Result<(), TargetError> {
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
        self.record_response(member, status, asked_at);
        log::info!("G0211 {}/{member} follows {}", self.name, leader.member);
        Ok(())
    }
}
