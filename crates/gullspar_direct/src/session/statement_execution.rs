//! Executes the statements of a session.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_model::{Access, NotRun, RequestId};
use gullspar_statement::{
    Action, Answer, Definition, Failure, FailureCode, Statement, TransactionStatus,
};

use crate::fleet::rotation::UseCounter;
use crate::groups::group::Group;
use crate::groups::leader_load::RequestEnd;
use crate::session::caller_session::{Session, no_such_service};
use crate::session::refusal;
use crate::session::request::{Body, Request};
use crate::session::trace::{self, Trace};
use crate::writing::confirmation::{Commit, CommitStatus};
use crate::writing::transaction::Transaction;
use crate::{Freshness, Route};

/// A read is sent to a second target after the service's latency objective divided by this number.
const HEDGE_DELAY_DIVISOR: u64 = 2;

/// Lower limit of the hedge delay, so that a short objective does not double the load.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(60);

impl Session {
    /// Checks the key again and updates the customer.
    ///
    /// # Errors
    ///
    /// Fails if the key is no longer valid, or if an open transaction belongs to another customer.
    pub(super) fn identify(&mut self) -> Result<(), Failure> {
        // If the service no longer exists, the caller learns this when the statement is executed.
        let Some(route) = self.proxy.directory.route(&self.opening.service) else { return Ok(()) };
        let customer = self.proxy.identify(&route, &self.opening)?;
        if self.customer != customer && self.transaction.is_some() {
            // A transaction belongs to the customer that began it.
            return Err(refusal::unknown_key());
        }
        self.customer = customer;
        Ok(())
    }

    /// Executes a statement and logs how it was served.
    pub(super) async fn answer(&mut self, statement: Statement) -> Answer {
        let started = self.proxy.borders.clock.now();
        self.idle_deadline = None;
        self.use_counter.iter().for_each(UseCounter::record);
        let id = statement.id.clone();
        let action = statement.action.name();
        let answer = self.execute(statement).await;
        if self.transaction.is_some() {
            let catalogue = self.proxy.directory.catalogue();
            let idle_ms = catalogue.map_or(0, |it| it.transaction_idle_ms);
            let now = self.proxy.borders.clock.now();
            self.idle_deadline = (idle_ms > 0).then(|| now + Duration::from_millis(idle_ms));
        }
        let took = self.proxy.borders.clock.now().saturating_duration_since(started);
        if let Some(access) = self.target_access.take() {
            let result = answer.result.as_ref().map(|_| ());
            self.proxy.borders.stats.statement(access, &self.trace, result, took);
            self.record_request(access, &answer, took);
        }
        match &answer.result {
            Ok(Some(_)) => {
                log::info!(request = id.as_str(), service = self.opening.service.as_str(), action = action, took_ms = took.as_millis() as u64, member = self.trace.member(), part = self.trace.role(), tries = self.trace.tries, at_least = self.trace.at_least().as_str(), reading_age_ms = self.trace.sample_age().as_str(), point = trace::point(answer.point).as_str(); "G0733 a statement was served");
            }
            Ok(None) => {}
            Err(failure) => {
                log::info!(request = id.as_str(), service = self.opening.service.as_str(), action = action, took_ms = took.as_millis() as u64, code:? = failure.code, reason = failure.text.as_str(), member = self.trace.member(), part = self.trace.role(), tries = self.trace.tries, at_least = self.trace.at_least().as_str(), reading_age_ms = self.trace.sample_age().as_str(), version = self.proxy.directory.version(); "G0734 a statement failed");
            }
        }
        answer
    }

    /// Counts a statement whose last attempt was on the leader in the leader's load.
    fn record_request(&self, access: Access, answer: &Answer, took: Duration) {
        let Some(member) = self.trace.member.as_ref().filter(|_| self.trace.on_leader) else {
            return;
        };
        let Some(route) = self.proxy.directory.route(&self.opening.service) else { return };
        let Some(group) = self.proxy.group(&route.group) else { return };
        let end = match &answer.result {
            Ok(_) if took > Duration::from_millis(route.objective_ms) => RequestEnd::Late,
            Ok(_) => RequestEnd::InTime,
            Err(failure) => match failure.code {
                FailureCode::Congested
                | FailureCode::RolledBack
                | FailureCode::TimedOut
                | FailureCode::Unknown
                | FailureCode::Failed => RequestEnd::Lost,
                _ => return,
            },
        };
        let may_use_replica = self.transaction.as_ref().is_none_or(Transaction::is_read_only);
        let is_displaced =
            access == Access::Read && route.freshness != Freshness::Latest && may_use_replica;
        group.record_request(member, end, is_displaced, self.proxy.borders.clock.boot_now());
    }

    async fn execute(&mut self, statement: Statement) -> Answer {
        let has_failed = self.status() == TransactionStatus::Failed;
        match &statement.action {
            Action::RollBack => self.roll_back(&statement.id),
            Action::Commit => self.commit(&statement).await,
            _ if has_failed => {
                let failure = refusal::transaction_failed();
                self.malformed(&statement.id, &failure.text)
            }
            Action::Begin { read_only } => self.begin(&statement.id, *read_only),
            Action::Set { name, value } => {
                self.values.values.insert(name.clone(), value.clone());
                Answer::done_locally(self.status())
            }
            Action::Prepare { name, definition } => {
                self.values.prepared.insert(name.clone(), definition.clone());
                Answer::done_locally(self.status())
            }
            Action::Deallocate { name } => {
                if self.values.prepared.remove(name).is_none() {
                    return self.no_such_prepared();
                }
                Answer::done_locally(self.status())
            }
            Action::Read => self.run(&statement, Access::Read, None).await,
            Action::Write => self.run(&statement, Access::Write, None).await,
            Action::Execute { name, arguments } => {
                let Some(definition) = self.values.prepared.get(name).cloned() else {
                    return self.no_such_prepared();
                };
                let access = definition.access;
                self.run(&statement, access, Some((definition, arguments.clone()))).await
            }
        }
    }

    fn no_such_prepared(&self) -> Answer {
        let failure =
            Failure::new(FailureCode::NoSuchPrepared, "no statement is prepared under this name");
        Answer::failed(failure, self.status())
    }

    fn begin(&mut self, id: &RequestId, read_only: bool) -> Answer {
        if self.transaction.is_some() {
            return self.malformed(id, "a transaction is already open");
        }
        let Some(route) = self.proxy.directory.route(&self.opening.service) else {
            return Answer::failed(no_such_service(&self.opening.service), TransactionStatus::Idle);
        };
        let Some(group) = self.proxy.group(&route.group) else {
            return Answer::failed(refusal::not_run(NotRun::Unreachable), TransactionStatus::Idle);
        };
        self.transaction = Some(Transaction::new(group, read_only));
        self.route = Some(route);
        Answer::done_locally(TransactionStatus::Open)
    }

    fn roll_back(&mut self, id: &RequestId) -> Answer {
        let Some(mut transaction) = self.transaction.take() else {
            return self.malformed(id, "no transaction is open");
        };
        transaction.roll_back();
        Answer::done_locally(TransactionStatus::Idle)
    }

    async fn commit(&mut self, statement: &Statement) -> Answer {
        if self.transaction.is_some()
            && let Err(reason) = self.charge().await
        {
            self.abort_transaction();
            return Answer::failed(refusal::not_run(reason), TransactionStatus::Idle);
        }
        let Some(transaction) = self.transaction.take() else {
            return self.malformed(&statement.id, "no transaction is open");
        };
        let Some(route) = self.route.take() else {
            return self.malformed(&statement.id, "no transaction is open");
        };
        self.target_access = Some(Access::Write);
        self.trace = transaction.trace.clone();
        let req = self.request(statement, Access::Read, None, &route);
        let group = transaction.group();
        let commit = transaction.commit(&self.proxy, &req).await;
        if !commit.wrote {
            return commit.answer;
        }
        self.acknowledge(&group, commit.answer, req.deadline).await
    }

    /// Confirms the commit of a write before its success is reported to the caller.
    ///
    /// If the leader was superseded meanwhile, the answer is a failure with an unknown outcome.
    async fn acknowledge(
        &mut self,
        group: &Rc<Group>,
        answer: Answer,
        deadline: Instant,
    ) -> Answer {
        let (Some(point), Some(leader)) = (answer.point, self.trace.member.clone()) else {
            return answer;
        };
        match self.proxy.confirm_commit(group, &Commit { leader, point }, deadline).await {
            CommitStatus::Replicated | CommitStatus::LeaderOnly => {
                self.own_commit = self.own_commit.max(Some(point));
                answer
            }
            CommitStatus::Superseded => {
                let failure =
                    refusal::unknown("the leader was superseded before the commit was confirmed");
                Answer::failed(failure, TransactionStatus::Idle)
            }
        }
    }

    /// Counts an operation against its customer's limit before it runs. A transaction counts as one operation, at its
    /// first statement, or at its commit if it ran none.
    ///
    /// # Errors
    ///
    /// Fails with the reason if the customer is at its limit.
    async fn charge(&mut self) -> Result<(), NotRun> {
        let Some(customer) = self.customer.clone() else { return Ok(()) };
        if self.transaction.as_ref().is_some_and(|it| it.charged) {
            return Ok(());
        }
        if std::mem::take(&mut self.repeats_read) {
            // The first home may have counted the read, and a retry is never refused.
            self.proxy.consume_retry_token(Some(&customer));
            return Ok(());
        }
        let Some(route) = self.proxy.directory.route(&self.opening.service) else { return Ok(()) };
        let deadline = self.proxy.borders.clock.now() + Duration::from_millis(route.statement_ms);
        let charged = self.proxy.consume_token(&customer, deadline).await;
        charged?;
        if let Some(transaction) = &mut self.transaction {
            transaction.charged = true;
        }
        Ok(())
    }

    fn over_limit(&mut self, reason: NotRun) -> Answer {
        // No target was tried; the trace is that of an earlier statement.
        self.trace = Trace::default();
        let failure = refusal::not_run(reason);
        match &mut self.transaction {
            Some(transaction) => transaction.fail(failure),
            None => Answer::failed(failure, TransactionStatus::Idle),
        }
    }

    /// Runs a read or a write.
    async fn run(
        &mut self,
        statement: &Statement,
        access: Access,
        prepared: Option<(Definition, arcstr::ArcStr)>,
    ) -> Answer {
        self.target_access = Some(access);
        if let Err(reason) = self.charge().await {
            return self.over_limit(reason);
        }
        if let (Some(_), Some(route)) = (&self.transaction, self.route.clone()) {
            let req = self.request(statement, access, prepared, &route);
            let proxy = Rc::clone(&self.proxy);
            return match &mut self.transaction {
                Some(transaction) => {
                    let answer = transaction.run(&proxy, &req).await;
                    self.trace = transaction.trace.clone();
                    answer
                }
                None => self.malformed(&statement.id, "no transaction is open"),
            };
        }
        let Some(route) = self.proxy.directory.route(&self.opening.service) else {
            return Answer::failed(no_such_service(&self.opening.service), TransactionStatus::Idle);
        };
        let Some(group) = self.proxy.group(&route.group) else {
            return Answer::failed(refusal::not_run(NotRun::Unreachable), TransactionStatus::Idle);
        };
        let req = Rc::new(self.request(statement, access, prepared, &route));
        let proxy = Rc::clone(&self.proxy);
        self.trace = Trace::default();
        let mut answer = match access {
            Access::Read => proxy.read(&group, &req, &mut self.trace).await,
            Access::Write => proxy.write(&group, &req, &mut self.trace).await,
        };
        if access == Access::Write && answer.result.is_ok() {
            answer = self.acknowledge(&group, answer, req.deadline).await;
        }
        answer.status = TransactionStatus::Idle;
        answer
    }

    fn request(
        &self,
        statement: &Statement,
        access: Access,
        prepared: Option<(Definition, arcstr::ArcStr)>,
        route: &Route,
    ) -> Request {
        let body = match prepared {
            None => Body::Text(statement.text.clone()),
            Some((definition, arguments)) => Body::Prepared { definition, arguments },
        };
        let now = self.proxy.borders.clock.now();
        let hedge_delay = Duration::from_millis(route.objective_ms / HEDGE_DELAY_DIVISOR);
        Request {
            id: statement.id.clone(),
            body,
            access,
            commits: statement.action == Action::Commit,
            customer: self.customer.clone(),
            values: Rc::new(self.values.values.clone()),
            freshness: route.freshness,
            own_commit: self.own_commit,
            deadline: now + Duration::from_millis(route.statement_ms),
            objective: now + Duration::from_millis(route.objective_ms),
            hedge_delay: hedge_delay.max(MIN_HEDGE_DELAY),
            priority: route.priority,
        }
    }
}
