//! One try of a statement on one target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{DeadlinePassed, within};
use gullspar_model::{LogPoint, NotRun};
use gullspar_statement::{Answer, Failure, FailureCode, TargetCommand};
use gullspar_target::Permit;

use crate::Borders;
use crate::groups::group::Group;
use crate::session::request::Request;
use crate::targets::connection_pool::Lease;
use crate::targets::target::Target;

/// How long opening or closing a transaction of our own around a read may take; targets answer it
/// without a slot.
const BRACKET_WITHIN: Duration = Duration::from_millis(400);

/// How long a statement without an answer keeps others from its place at the target.
///
/// Its answer is probably lost then: statements take a third of this at the most. Held until the deadline, one lost
/// answer would stop an instance's only place at a leader.
const PLACE_HELD_FOR: Duration = Duration::from_millis(250);

/// How one try ended.
pub(crate) enum AttemptOutcome {
    /// The target answered; the answer may be a failure.
    Answered(Answer),
    /// It certainly did not run.
    NotRun(NotRun),
    /// This instance has too many of its own before the target; it was not sent.
    Refused(NotRun),
    /// It was sent, and no answer came or will come.
    Lost,
    /// It was sent, and no answer came in time.
    Silent,
}

/// What a try needs to know of its surroundings.
#[derive(Clone)]
pub(crate) struct AttemptContext {
    pub(crate) borders: Borders,
    pub(crate) group: Rc<Group>,
    pub(crate) target: Rc<Target>,
}

impl AttemptContext {
    /// Takes a connection for `req`.
    pub(crate) async fn lease(&self, req: &Request, deadline: Instant) -> Result<Lease, NotRun> {
        let taken = {
            let spec = self.target.spec();
            self.target.pool.acquire(&spec, &req.customer, &req.values, deadline).await
        };
        if taken.is_err() {
            self.target.avoid(self.borders.clock.now());
        }
        taken
    }

    /// Reads on a replica whose log must reach `at_least`.
    pub(crate) async fn read_on_replica(
        &self,
        req: &Request,
        permit: Permit,
        at_least: LogPoint,
    ) -> AttemptOutcome {
        let lease = match self.lease(req, req.deadline).await {
            Ok(lease) => lease,
            Err(reason) => return AttemptOutcome::NotRun(reason),
        };
        let (end, lease) = self.run(req, permit, lease, Some(at_least)).await;
        if let Some(lease) = lease {
            lease.return_to_pool();
        }
        end
    }

    /// Reads on the leader, inside a transaction that only a member that leads opens.
    ///
    /// A member that lost the lead unnoticed still answers a bare read, from a log that lacks what the
    /// new leader acknowledged; a caller would not see its own write. It refuses the transaction.
    pub(crate) async fn read_on_leader(&self, req: &Request, permit: Permit) -> AttemptOutcome {
        let mut lease = match self.lease(req, req.deadline).await {
            Ok(lease) => lease,
            Err(reason) => return AttemptOutcome::NotRun(reason),
        };
        if let Err(end) = self.open_transaction(req, &mut lease, TargetCommand::Begin).await {
            return end;
        }
        let (end, lease) = self.run(req, permit, lease, None).await;
        if let Some(lease) = lease {
            let this = self.clone();
            // The caller need not wait until the transaction has ended.
            compio::runtime::spawn(async move { this.roll_back(lease).await }).detach();
        }
        end
    }

    /// Opens a transaction by `begin`; an error gives what to do instead.
    pub(crate) async fn open_transaction(
        &self,
        req: &Request,
        lease: &mut Lease,
        begin: TargetCommand,
    ) -> Result<(), AttemptOutcome> {
        let clock = &self.borders.clock;
        let plain = begin == TargetCommand::Begin;
        let begun = clock.boot_now();
        let deadline = (clock.now() + BRACKET_WITHIN).min(req.deadline);
        let Some(connection) = lease.connection() else {
            return Err(AttemptOutcome::NotRun(NotRun::Unreachable));
        };
        let answers = within(&**clock, deadline, connection.exchange(vec![begin])).await;
        let Ok(Ok(answers)) = answers else {
            self.target.avoid(clock.now());
            return Err(AttemptOutcome::NotRun(NotRun::Unreachable));
        };
        let Some(answer) = answers.into_iter().next() else {
            return Err(AttemptOutcome::NotRun(NotRun::Unreachable));
        };
        match answer.result {
            Ok(_) => {
                if plain && let Some(point) = answer.point {
                    self.group.add_reading(point, begun);
                }
                self.target.record_point(answer.point);
                Ok(())
            }
            Err(failure) => {
                let reason = self.refused(&failure.code);
                Err(AttemptOutcome::NotRun(reason.unwrap_or(NotRun::Unreachable)))
            }
        }
    }

    /// Runs `req` on a connection that is ready for it; gives the connection back if it is sound.
    pub(crate) async fn run(
        &self,
        req: &Request,
        permit: Permit,
        lease: Lease,
        at_least: Option<LogPoint>,
    ) -> (AttemptOutcome, Option<Lease>) {
        match self.run_raw(req, permit, lease, at_least).await {
            Ok((answer, lease)) => (self.classify(answer), lease),
            Err(end) => (end, None),
        }
    }

    /// Like [`run`](AttemptContext::run), with the answer as the target gave it.
    pub(crate) async fn run_raw(
        &self,
        req: &Request,
        permit: Permit,
        mut lease: Lease,
        at_least: Option<LogPoint>,
    ) -> Result<(Answer, Option<Lease>), AttemptOutcome> {
        let clock = &self.borders.clock;
        let Some(connection) = lease.connection() else {
            return Err(AttemptOutcome::NotRun(NotRun::Unreachable));
        };
        let commands = req.commands(connection, at_least);
        let started = clock.now();
        let _counted = self.target.start_statement();
        let exchanged = {
            let exchange = connection.exchange(commands);
            futures::pin_mut!(exchange);
            let free_at = (started + PLACE_HELD_FOR).min(req.deadline);
            let soon = within(&**clock, free_at, &mut exchange).await;
            let taken = clock.now().saturating_duration_since(started);
            self.target.release_permit(permit, taken, self.group.usual_mean());
            match soon {
                Ok(result) => Ok(result),
                Err(DeadlinePassed) => within(&**clock, req.deadline, exchange).await,
            }
        };
        let mut answers = match exchanged {
            Ok(Ok(answers)) => answers,
            Ok(Err(err)) => {
                log::info!(request = req.id.as_str(), member = self.target.member().as_str(), reason = err.to_string().as_str(); "G0710 a target's connection broke during a statement");
                self.group.check();
                return Err(AttemptOutcome::Lost);
            }
            Err(_) => {
                log::info!(request = req.id.as_str(), member = self.target.member().as_str(); "G0711 a target did not answer a statement in time");
                return Err(AttemptOutcome::Silent);
            }
        };
        let Some(answer) = answers.pop() else { return Err(AttemptOutcome::Lost) };
        self.target.record_point(answer.point);
        self.target.record_response(clock.boot_now());
        let failed = answer.result.as_ref().is_err_and(Failure::failed_there);
        if failed || answer.result.is_ok() {
            self.target.record_result(failed, clock.now());
        }
        if answer.result.is_ok() {
            self.target.record_duration(clock.now().saturating_duration_since(started));
        }
        if let (Some(point), Err(failure)) = (at_least, &answer.result)
            && failure.code == FailureCode::Behind
        {
            self.target.record_behind(point, clock.now());
        }
        if !answers.iter().all(Answer::is_plain_success) {
            // The session's values may not be on it, so nobody else may get it.
            log::warn!(request = req.id.as_str(), member = self.target.member().as_str(); "G0712 a target refused a session's values");
            return Ok((answer, None));
        }
        Ok((answer, Some(lease)))
    }

    fn classify(&self, answer: Answer) -> AttemptOutcome {
        let reason = match &answer.result {
            Err(failure) => self.refused(&failure.code),
            Ok(_) => None,
        };
        match reason {
            Some(reason) => AttemptOutcome::NotRun(reason),
            None => AttemptOutcome::Answered(answer),
        }
    }

    /// Why the target did not run a statement, by its code; `None` if it may have run.
    fn refused(&self, code: &FailureCode) -> Option<NotRun> {
        let now = self.borders.clock.now();
        match code {
            FailureCode::Congested | FailureCode::TooManyConnections => {
                self.target.avoid(now);
                Some(NotRun::Overloaded { retry_after_ms: 50 })
            }
            FailureCode::Behind => Some(NotRun::Behind),
            FailureCode::ReadOnly => {
                self.group.does_not_lead(&self.target.member(), now);
                self.group.check();
                Some(NotRun::NotPrimary)
            }
            FailureCode::WrongTarget | FailureCode::NoSuchPrepared => Some(NotRun::Unreachable),
            _ => None,
        }
    }

    /// Ends a transaction without keeping anything and gives the connection back.
    pub(crate) async fn roll_back(&self, mut lease: Lease) {
        let clock = &self.borders.clock;
        let deadline = clock.now() + BRACKET_WITHIN;
        let Some(connection) = lease.connection() else { return };
        let ended = connection.exchange(vec![TargetCommand::RollBack]);
        if let Ok(Ok(answers)) = within(&**clock, deadline, ended).await
            && answers.iter().all(Answer::is_plain_success)
        {
            lease.return_to_pool();
        }
    }
}
