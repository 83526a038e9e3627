//! Single writes outside transactions.

use std::rc::Rc;
use std::time::Duration;

use gullspar_border::within;
use gullspar_model::NotRun;
use gullspar_statement::{Answer, TransactionStatus};

use crate::Proxy;
use crate::groups::group::Group;
use crate::reading::read_path::SelectedTarget;
use crate::session::refusal;
use crate::session::request::Request;
use crate::session::trace::Trace;
use crate::targets::attempt::{AttemptContext, AttemptOutcome};
use crate::targets::target::Target;

/// Delay before a write that the leader did not run is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(15);

impl Proxy {
    /// Runs a single write on the leader.
    pub(crate) async fn write(
        &self,
        group: &Rc<Group>,
        req: &Request,
        trace: &mut Trace,
    ) -> Answer {
        let clock = &self.borders.clock;
        let mut last_reason = NotRun::NoPrimary;
        while clock.now() < req.deadline {
            let Some(target) = self.wait_for_leader(group, req).await else { break };
            if !self.can_confirm_commits(group) {
                // The write could not be acknowledged. The caller may retry through another instance.
                last_reason = NotRun::NoPrimary;
                break;
            }
            let selected =
                SelectedTarget { target: Rc::clone(&target), at_least: None, sample_age: None };
            selected.record_in(trace);
            match self.try_write(group, req, target).await {
                AttemptOutcome::Answered(answer) => return answer,
                AttemptOutcome::NotRun(reason) => {
                    last_reason = reason;
                    let retry_at = (clock.now() + RETRY_DELAY).min(req.deadline);
                    let _ = within(&**clock, retry_at, group.listen()).await;
                }
                AttemptOutcome::Refused(reason) => {
                    last_reason = reason;
                    break;
                }
                AttemptOutcome::Lost => {
                    let failure = refusal::unknown("the target's connection broke");
                    log::warn!(request = req.id.as_str(), group = group.name.as_str(); "G0722 a write's outcome is unknown");
                    return Answer::failed(failure, TransactionStatus::Idle);
                }
                AttemptOutcome::Silent => {
                    log::warn!(request = req.id.as_str(), group = group.name.as_str(); "G0723 a write was not answered in time");
                    return Answer::failed(refusal::timed_out(), TransactionStatus::Idle);
                }
            }
        }
        let failure = refusal::not_run(last_reason);
        log::info!(request = req.id.as_str(), group = group.name.as_str(), reason = failure.text.as_str(); "G0724 a write is refused");
        Answer::failed(failure, TransactionStatus::Idle)
    }

    /// Waits for the group's leader until the request's deadline; `None` if none can serve the request.
    pub(crate) async fn wait_for_leader(&self, group: &Group, req: &Request) -> Option<Rc<Target>> {
        let clock = &self.borders.clock;
        loop {
            let changed = group.listen();
            if let Some(leader) = group.serving_leader() {
                return Some(leader);
            }
            if self.should_fail_fast(group) {
                return None;
            }
            within(&**clock, req.deadline, changed).await.ok()?;
        }
    }

    async fn try_write(
        &self,
        group: &Rc<Group>,
        req: &Request,
        target: Rc<Target>,
    ) -> AttemptOutcome {
        let permit = match target.admit(req).await {
            Ok(permit) => permit,
            Err(reason) => return AttemptOutcome::Refused(reason),
        };
        let context = AttemptContext {
            borders: self.borders.clone(),
            group: Rc::clone(group),
            target: Rc::clone(&target),
        };
        let lease = match context.lease(req, req.deadline).await {
            Ok(lease) => lease,
            Err(reason) => return AttemptOutcome::NotRun(reason),
        };
        let (end, lease) = context.run(req, permit, lease, None).await;
        if let Some(lease) = lease {
            lease.return_to_pool();
        }
        end
    }
}
