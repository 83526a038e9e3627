//! A single attempt to run a statement on one target.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{DeadlinePassed, within};
use gullspar_model::{LogPoint, NotRun};
use gullspar_statement::{Answer, Failure, FailureCode, TargetCommand};
use gullspar_target::Permit;

use crate::Borders;
use crate::groups::group::Group;
use crate::groups::usual_durations::StatementKind;
use crate::session::request::Request;
use crate::targets::connection_pool::Lease;
use crate::targets::target::Target;

/// How long opening or rolling back a transaction may take; targets answer both without using a slot.
const TRANSACTION_CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

/// How long an unanswered statement holds its permit; longer than any statement usually takes.
///
/// A permit held until the deadline would let one lost answer block an instance that has a single permit at a leader.
const PERMIT_HOLD_TIMEOUT: Duration = Duration::from_millis(250);

/// How one attempt ended.
pub(crate) enum AttemptOutcome {
    /// The target answered; the answer may be a failure.
    Answered(Answer),
    /// The statement certainly did not run.
    NotRun(NotRun),
    /// The statement was not sent: it got no permit for the target.
    Refused(NotRun),
    /// The connection broke after the statement was sent, so no answer will come.
    Lost,
    /// The statement was sent, and no answer came before the deadline.
    Silent,
}

/// The group and target of an attempt, with the interfaces to clock, network and metrics.
#[derive(Clone)]
pub(crate) struct AttemptContext {
    pub(crate) borders: Borders,
    pub(crate) group: Rc<Group>,
    pub(crate) target: Rc<Target>,
}

impl AttemptContext {
    /// Acquires a connection for `req`; on failure the target is avoided for a short time.
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

    /// Runs a read on a replica whose log must have reached `at_least`.
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

    /// Runs a read on the leader, inside a transaction that only the current leader opens.
    ///
    /// A member that is no longer the leader still answers a read outside a transaction, but its log may lack commits
    /// that the new leader acknowledged. It refuses to open the transaction.
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
            // Rolls back in the background; the caller has its answer already.
            compio::runtime::spawn(async move { this.roll_back(lease).await }).detach();
        }
        end
    }

    /// Opens a transaction with `begin`. An error holds the outcome of the whole attempt.
    pub(crate) async fn open_transaction(
        &self,
        req: &Request,
        lease: &mut Lease,
        begin: TargetCommand,
    ) -> Result<(), AttemptOutcome> {
        let clock = &self.borders.clock;
        let is_plain = begin == TargetCommand::Begin;
        let begun = clock.boot_now();
        let deadline = (clock.now() + TRANSACTION_CONTROL_TIMEOUT).min(req.deadline);
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
                if is_plain && let Some(point) = answer.point {
                    self.group.add_position_sample(point, begun);
                }
                self.target.record_point(answer.point);
                Ok(())
            }
            Err(failure) => {
                let reason = self.not_run_reason(&failure.code);
                Err(AttemptOutcome::NotRun(reason.unwrap_or(NotRun::Unreachable)))
            }
        }
    }

    /// Runs `req` on the leased connection. The lease is returned with the outcome if the connection can be reused.
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

    /// Like [`run`](AttemptContext::run), but returns the target's answer unclassified.
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
        let _in_flight = self.target.start_statement();
        let exchanged = {
            let exchange = connection.exchange(commands);
            futures::pin_mut!(exchange);
            let release_at = (started + PERMIT_HOLD_TIMEOUT).min(req.deadline);
            let early = within(&**clock, release_at, &mut exchange).await;
            let taken = clock.now().saturating_duration_since(started);
            self.target.release_permit(permit, taken, self.group.fastest_mean());
            match early {
                Ok(result) => Ok(result),
                Err(DeadlinePassed) => within(&**clock, req.deadline, exchange).await,
            }
        };
        let mut answers = match exchanged {
            Ok(Ok(answers)) => answers,
            Ok(Err(err)) => {
                log::info!(request = req.id.as_str(), member = self.target.member().as_str(), reason = err.to_string().as_str(); "G0710 the connection to a target broke during a statement");
                self.group.request_check();
                self.group.record_failed_run(&self.target.member(), false, clock.boot_now());
                return Err(AttemptOutcome::Lost);
            }
            Err(_) => {
                self.group.record_failed_run(&self.target.member(), false, clock.boot_now());
                log::info!(request = req.id.as_str(), member = self.target.member().as_str(); "G0711 a target did not answer a statement in time");
                return Err(AttemptOutcome::Silent);
            }
        };
        let Some(answer) = answers.pop() else { return Err(AttemptOutcome::Lost) };
        self.target.record_point(answer.point);
        self.target.record_response(clock.boot_now());
        let failed = answer.result.as_ref().is_err_and(Failure::has_failed_on_target);
        if failed || answer.result.is_ok() {
            self.target.record_result(failed, clock.now());
        }
        let is_refused = answer.result.as_ref().is_err_and(|it| it.code == FailureCode::Congested);
        if failed || is_refused {
            self.group.record_failed_run(&self.target.member(), is_refused, clock.boot_now());
        }
        if answer.result.is_ok() {
            let took = clock.now().saturating_duration_since(started);
            self.target.record_duration(took);
            let kind = StatementKind::new(req.access, req.commits, req.priority);
            self.group.record_run(&self.target.member(), kind, took, clock.boot_now());
        }
        if let (Some(point), Err(failure)) = (at_least, &answer.result)
            && failure.code == FailureCode::Behind
        {
            self.target.record_behind(point, clock.now());
        }
        if !answers.iter().all(Answer::is_plain_success) {
            // The connection may lack the session's values or prepared statement, so it isn't reused.
            log::warn!(request = req.id.as_str(), member = self.target.member().as_str(); "G0712 a target refused to set the values or prepare the statement of a session");
            return Ok((answer, None));
        }
        Ok((answer, Some(lease)))
    }

    fn classify(&self, answer: Answer) -> AttemptOutcome {
        let reason = match &answer.result {
            Err(failure) => self.not_run_reason(&failure.code),
            Ok(_) => None,
        };
        match reason {
            Some(reason) => AttemptOutcome::NotRun(reason),
            None => AttemptOutcome::Answered(answer),
        }
    }

    /// Maps a failure code to the reason why the statement did not run; `None` if it may have run.
    ///
    /// Also records what the code says about the target: to be avoided, or not the leader.
    fn not_run_reason(&self, code: &FailureCode) -> Option<NotRun> {
        let clock = &self.borders.clock;
        let now = clock.now();
        match code {
            FailureCode::Congested | FailureCode::TooManyConnections => {
                self.target.avoid(now);
                Some(NotRun::Overloaded { retry_after_ms: 50 })
            }
            FailureCode::Behind => Some(NotRun::Behind),
            FailureCode::ReadOnly => {
                self.group.record_not_leader(&self.target.member(), now, clock.boot_now());
                self.group.request_check();
                Some(NotRun::NotPrimary)
            }
            FailureCode::WrongTarget | FailureCode::NoSuchPrepared => Some(NotRun::Unreachable),
            _ => None,
        }
    }

    /// Rolls back the open transaction and returns the connection to its pool.
    pub(crate) async fn roll_back(&self, mut lease: Lease) {
        let clock = &self.borders.clock;
        let deadline = clock.now() + TRANSACTION_CONTROL_TIMEOUT;
        let Some(connection) = lease.connection() else { return };
        let ended = connection.exchange(vec![TargetCommand::RollBack]);
        if let Ok(Ok(answers)) = within(&**clock, deadline, ended).await
            && answers.iter().all(Answer::is_plain_success)
        {
            lease.return_to_pool();
        }
    }
}
