//! Single writes outside of transactions.

use std::rc::Rc;
use std::time::Duration;

use gullspar_border::within;
use gullspar_model::NotRun;
use gullspar_statement::{Answer, TransactionStatus};

use crate::Proxy;
use crate::groups::group::Group;
use crate::reading::read_path::Place;
use crate::session::refusal;
use crate::session::request::Request;
use crate::session::trace::Trace;
use crate::targets::attempt::{End, Surroundings};
use crate::targets::target::Target;

/// Pause before a write that the leader was too busy for is tried again.
const BUSY_PAUSE: Duration = Duration::from_millis(15);

impl Proxy {
    /// Runs a single write on the leader.
    pub(crate) async fn write(
        &self,
        group: &Rc<Group>,
        req: &Request,
        trace: &mut Trace,
    ) -> Answer {
        let clock = &self.borders.clock;
        let mut last = NotRun::NoPrimary;
        while clock.now() < req.deadline {
            let Some(target) = self.leader_before(group, req).await else { break };
            if !self.can_confirm(group) {
                // Its success could not be told; a caller's next try may meet an instance that can.
                last = NotRun::NoPrimary;
                break;
            }
            let place = Place { target: Rc::clone(&target), at_least: None, reading_age: None };
            place.note(trace);
            match self.try_write(group, req, target).await {
                End::Answered(answer) => return answer,
                End::NotRun(reason) => {
                    last = reason;
                    let until = (clock.now() + BUSY_PAUSE).min(req.deadline);
                    let _ = within(&**clock, until, group.listen()).await;
                }
                End::Refused(reason) => {
                    last = reason;
                    break;
                }
                End::Lost => {
                    let failure = refusal::unknown("the target's connection broke");
                    log::warn!(request = req.id.as_str(), group = group.name.as_str(); "G0722 a write's outcome is unknown");
                    return Answer::failed(failure, TransactionStatus::Idle);
                }
                End::Silent => {
                    log::warn!(request = req.id.as_str(), group = group.name.as_str(); "G0723 a write was not answered in time");
                    return Answer::failed(refusal::timed_out(), TransactionStatus::Idle);
                }
            }
        }
        let failure = refusal::not_run(last);
        log::info!(request = req.id.as_str(), group = group.name.as_str(), reason = failure.text.as_str(); "G0724 a write is refused");
        Answer::failed(failure, TransactionStatus::Idle)
    }

    /// The group's leader, waited for until the request's deadline.
    pub(crate) async fn leader_before(&self, group: &Group, req: &Request) -> Option<Rc<Target>> {
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

    async fn try_write(&self, group: &Rc<Group>, req: &Request, target: Rc<Target>) -> End {
        let permit = match target.admit(req).await {
            Ok(permit) => permit,
            Err(reason) => return End::Refused(reason),
        };
        let around = Surroundings {
            borders: self.borders.clone(),
            group: Rc::clone(group),
            target: Rc::clone(&target),
        };
        let lease = match around.lease(req, req.deadline).await {
            Ok(lease) => lease,
            Err(reason) => return End::NotRun(reason),
        };
        let (end, lease) = around.run(req, permit, lease, None).await;
        if let Some(lease) = lease {
            lease.give_back();
        }
        end
    }
}
