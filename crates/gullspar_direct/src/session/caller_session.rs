//! One caller's session.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use gullspar_model::{Access, CustomerName, LogPoint, NotRun, RequestId, ServiceName};
use gullspar_statement::{
    Action, Answer, CallerLink, CallerLinkError, CallerMessage, Definition, Failure, FailureCode,
    Statement, TransactionStatus,
};

use crate::groups::group::Group;
use crate::session::opening::Opening;
use crate::session::refusal;
use crate::session::request::{Body, Request};
use crate::session::trace::{self, Trace};
use crate::writing::confirmation::{Commit, Standing};
use crate::writing::transaction::Transaction;
use crate::{Phase, Proxy, Route, SessionValues};

/// A read may be silent for this part of the callers' objective before a second target is asked.
const PATIENCE_DIVISOR: u64 = 2;

/// The least patience, so that a short objective does not double the load: several times the usual work.
const LEAST_PATIENCE: Duration = Duration::from_millis(60);

/// A session that is served here.
pub(crate) struct Session {
    proxy: Rc<Proxy>,
    link: Box<dyn CallerLink>,
    opening: Opening,
    /// Whose session it is, as of the statement before.
    customer: Option<CustomerName>,
    values: SessionValues,
    own_commit: Option<LogPoint>,
    transaction: Option<Transaction>,
    /// The route by which the open transaction began.
    route: Option<Route>,
    /// When the open transaction has stood still for too long.
    idle_deadline: Option<Instant>,
    /// How the statement before was served.
    trace: Trace,
    /// What the statement before did to data, if it was for a target.
    ran: Option<Access>,
    /// The other side knows that the session is to end, and ends it.
    asked_to_end: bool,
}

/// What a session waits for.
enum Event {
    Message(CallerMessage),
    Gone,
    TransactionIdle,
    Shutdown,
}

pub(crate) fn no_such_service(service: &ServiceName) -> Failure {
    Failure::new(FailureCode::NoSuchService, format!("there is no service {service}"))
}

impl Session {
    /// Serves a caller that has named its service, until it leaves or the instance ends.
    pub(crate) async fn serve_to_end(
        proxy: &Rc<Proxy>,
        mut link: Box<dyn CallerLink>,
        opening: Opening,
        customer: Option<CustomerName>,
    ) -> Result<(), CallerLinkError> {
        link.reply(&Answer::done_locally(TransactionStatus::Idle)).await?;
        let mut session = Session {
            proxy: Rc::clone(proxy),
            link,
            opening,
            customer,
            values: SessionValues::default(),
            own_commit: None,
            transaction: None,
            route: None,
            idle_deadline: None,
            trace: Trace::default(),
            ran: None,
            asked_to_end: false,
        };
        let served = session.serve().await;
        if let Err(err) = &served {
            session.explain(err).await;
        }
        session.abandon();
        served
    }

    async fn serve(&mut self) -> Result<(), CallerLinkError> {
        loop {
            match self.next_event().await? {
                Event::Message(CallerMessage::Statement(statement)) => {
                    if let Err(failure) = self.identify() {
                        self.abandon();
                        let answer = Answer::failed(failure, TransactionStatus::Idle);
                        return self.link.reply(&answer).await;
                    }
                    let answer = self.answer(statement).await;
                    self.link.reply(&answer).await?;
                }
                Event::Message(CallerMessage::Malformed { id, reason }) => {
                    let answer = self.malformed(&id, &reason);
                    self.link.reply(&answer).await?;
                }
                Event::Message(CallerMessage::Open { .. }) => {
                    let answer = self.malformed(&"-".into(), "the session is open already");
                    self.link.reply(&answer).await?;
                }
                Event::Message(CallerMessage::Close) | Event::Gone => return Ok(()),
                Event::Shutdown => {
                    if !self.link.ask_to_end().await? {
                        return Ok(());
                    }
                    self.asked_to_end = true;
                }
                Event::TransactionIdle => self.give_up_idle(),
            }
        }
    }

    async fn next_event(&mut self) -> Result<Event, CallerLinkError> {
        loop {
            let changed = self.proxy.shutdown.listen();
            if self.ends_now() {
                return Ok(Event::Shutdown);
            }
            let clock = Rc::clone(&self.proxy.borders.clock);
            let idle = async {
                match self.idle_deadline {
                    Some(deadline) => clock.sleep_until(deadline).await,
                    None => future::pending().await,
                }
            };
            let other = future::select(changed, Box::pin(idle));
            match future::select(self.link.next(), other).await {
                Either::Left((message, _)) => {
                    return Ok(message?.map_or(Event::Gone, Event::Message));
                }
                Either::Right((Either::Left(_), _)) => {}
                Either::Right((Either::Right(_), _)) => return Ok(Event::TransactionIdle),
            }
        }
    }

    /// Whether the instance's end closes this session now; never with a request half way here.
    fn ends_now(&self) -> bool {
        let shutdown = &self.proxy.shutdown;
        let due = match self.transaction {
            None => shutdown.sheds_idle() || self.is_misplaced(),
            Some(_) => shutdown.phase() >= Phase::ClosingAll,
        };
        due && !self.asked_to_end && self.link.is_quiet()
    }

    /// Whether another instance should serve this session by now.
    fn is_misplaced(&self) -> bool {
        let route = self.proxy.directory.route(&self.opening.service);
        route.is_some_and(|it| {
            self.proxy.is_giving_up(&it.group)
                || self.proxy.forwarding_candidates(&it.group).is_some()
        })
    }

    fn status(&self) -> TransactionStatus {
        self.transaction.as_ref().map_or(TransactionStatus::Idle, Transaction::status)
    }

    fn malformed(&self, id: &RequestId, reason: &str) -> Answer {
        log::info!(request = id.as_str(), reason = reason; "G0731 a statement makes no sense");
        Answer::failed(Failure::new(FailureCode::Malformed, reason), self.status())
    }

    /// A transaction stood still for too long; its connection goes to others.
    fn give_up_idle(&mut self) {
        self.idle_deadline = None;
        if let Some(transaction) = &mut self.transaction {
            log::info!(service = self.opening.service.as_str(); "G0732 an idle transaction is rolled back");
            transaction.roll_back();
        }
    }

    /// Tells a caller why its session ends, as far as it still listens.
    async fn explain(&mut self, err: &CallerLinkError) {
        if let CallerLinkError::Unreadable(reason) = err {
            let failure = Failure::new(FailureCode::TooLarge, *reason);
            // It ends either way.
            let _ = self.link.reply(&Answer::failed(failure, self.status())).await;
        }
    }

    fn abandon(&mut self) {
        if let Some(mut transaction) = self.transaction.take() {
            transaction.roll_back();
        }
    }

    /// Looks anew whose session it is; an error if its key is no longer valid.
    fn identify(&mut self) -> Result<(), Failure> {
        // A service that is gone is the statement's to report.
        let Some(route) = self.proxy.directory.route(&self.opening.service) else { return Ok(()) };
        let customer = self.proxy.identify(&route, &self.opening)?;
        if self.customer != customer && self.transaction.is_some() {
            // What was begun for one customer can't be ended for another.
            return Err(refusal::unknown_key());
        }
        self.customer = customer;
        Ok(())
    }

    async fn answer(&mut self, statement: Statement) -> Answer {
        let started = self.proxy.borders.clock.now();
        self.idle_deadline = None;
        let id = statement.id.clone();
        let action = statement.action.name();
        let answer = self.carry_out(statement).await;
        if self.transaction.is_some() {
            let catalogue = self.proxy.directory.catalogue();
            let idle = catalogue.map_or(0, |it| it.transaction_idle_ms);
            let now = self.proxy.borders.clock.now();
            self.idle_deadline = (idle > 0).then(|| now + Duration::from_millis(idle));
        }
        let took = self.proxy.borders.clock.now().saturating_duration_since(started);
        if let Some(access) = self.ran.take() {
            let result = answer.result.as_ref().map(|_| ());
            self.proxy.borders.stats.statement(access, &self.trace, result, took);
        }
        match &answer.result {
            Ok(Some(_)) => {
                log::info!(request = id.as_str(), service = self.opening.service.as_str(), action = action, took_ms = took.as_millis() as u64, member = self.trace.member(), part = self.trace.part(), tries = self.trace.tries, at_least = self.trace.at_least().as_str(), reading_age_ms = self.trace.reading_age().as_str(), point = trace::point(answer.point).as_str(); "G0733 a statement was served");
            }
            Ok(None) => {}
            Err(failure) => {
                log::info!(request = id.as_str(), service = self.opening.service.as_str(), action = action, took_ms = took.as_millis() as u64, code:? = failure.code, reason = failure.text.as_str(), member = self.trace.member(), part = self.trace.part(), tries = self.trace.tries, at_least = self.trace.at_least().as_str(), reading_age_ms = self.trace.reading_age().as_str(), version = self.proxy.directory.version(); "G0734 a statement failed");
            }
        }
        answer
    }

    async fn carry_out(&mut self, statement: Statement) -> Answer {
        let failed = self.status() == TransactionStatus::Failed;
        match &statement.action {
            Action::RollBack => self.roll_back(&statement.id),
            Action::Commit => self.commit(&statement).await,
            _ if failed => {
                self.malformed(&statement.id, "the transaction has failed; roll it back")
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
        let failure = Failure::new(FailureCode::NoSuchPrepared, "nothing is prepared by that name");
        Answer::failed(failure, self.status())
    }

    fn begin(&mut self, id: &RequestId, read_only: bool) -> Answer {
        if self.transaction.is_some() {
            return self.malformed(id, "a transaction is open already");
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
            self.abandon();
            return Answer::failed(refusal::not_run(reason), TransactionStatus::Idle);
        }
        let Some(transaction) = self.transaction.take() else {
            return self.malformed(&statement.id, "no transaction is open");
        };
        let Some(route) = self.route.take() else {
            return self.malformed(&statement.id, "no transaction is open");
        };
        self.ran = Some(Access::Write);
        self.trace = transaction.trace.clone();
        let req = self.request(statement, Access::Read, None, &route);
        let group = transaction.group();
        let ended = transaction.commit(&self.proxy, &req).await;
        if !ended.wrote {
            return ended.answer;
        }
        self.acknowledge(&group, ended.answer, req.deadline).await
    }

    /// Lets the success of a write through once it would survive its leader.
    async fn acknowledge(
        &mut self,
        group: &Rc<Group>,
        answer: Answer,
        deadline: Instant,
    ) -> Answer {
        let (Some(point), Some(leader)) = (answer.point, self.trace.member.clone()) else {
            return answer;
        };
        match self.proxy.confirm(group, &Commit { leader, point }, deadline).await {
            Standing::Held | Standing::Alone => {
                self.own_commit = self.own_commit.max(Some(point));
                answer
            }
            Standing::Superseded => {
                let failure = refusal::unknown("the leader was superseded meanwhile");
                Answer::failed(failure, TransactionStatus::Idle)
            }
        }
    }

    /// Counts an operation against its customer's limit before anything of it runs: a single statement, or a transaction
    /// at its first one.
    async fn charge(&mut self) -> Result<(), NotRun> {
        let Some(customer) = self.customer.clone() else { return Ok(()) };
        if self.transaction.as_ref().is_some_and(|it| it.charged) {
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
        self.ran = Some(access);
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
        let patience = Duration::from_millis(route.objective_ms / PATIENCE_DIVISOR);
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
            patience: patience.max(LEAST_PATIENCE),
            priority: route.priority,
        }
    }
}
