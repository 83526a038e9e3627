//! Connections to the members of a fake group.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::{self, LocalBoxFuture};
use gullspar_model::{CustomerName, LogPoint};
use gullspar_statement::{
    Answer, Failure, FailureCode, OpenError, OpenedTarget, TargetCommand, TargetDialer, TargetLink,
    TargetLinkError, TargetSpec, TransactionStatus,
};

use super::Fault;
use super::fake_group::{ExecutedStatement, FakeGroup, Member};

/// Connects an instance to the members of several groups.
pub(super) struct FakeDialer {
    pub(super) groups: Vec<Rc<FakeGroup>>,
    pub(super) instance: u16,
}

impl TargetDialer for FakeDialer {
    fn open<'a>(
        &'a self,
        spec: &'a TargetSpec,
        customer: Option<&'a CustomerName>,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<OpenedTarget, OpenError>> {
        async move {
            let group = self.groups.iter().find(|it| it.name == spec.group.as_str()).unwrap();
            let member = group.members.iter().find(|it| it.name == spec.member).unwrap();
            if is_unresponsive(group, member, self.instance) {
                compio::time::sleep_until(deadline).await;
                return Err(OpenError::Unreachable("unresponsive".to_owned()));
            }
            let refuses_instance = Fault::RefusesConnectionsFrom(self.instance);
            if group.has_fault(member, Fault::RefusesConnections)
                || group.has_fault(member, refuses_instance)
            {
                let failure = Failure::new(FailureCode::TooManyConnections, "connections refused");
                return Err(OpenError::Refused(failure));
            }
            let held = member.connections.get() + group.stale_connections.get();
            if group.max_connections.get().is_some_and(|max| held >= max) {
                group.refused_connections.set(group.refused_connections.get() + 1);
                let failure = Failure::new(FailureCode::TooManyConnections, "maximum reached");
                return Err(OpenError::Refused(failure));
            }
            group.opened_connections.set(group.opened_connections.get() + 1);
            let connection = group.next_connection.get();
            group.next_connection.set(connection + 1);
            member.connections.set(member.connections.get() + 1);
            let point = Some(group.point(member));
            let link = FakeTarget {
                group: Rc::clone(group),
                member: Rc::clone(member),
                instance: self.instance,
                connection,
                customer: customer.cloned(),
                transaction: None,
                values: BTreeMap::new(),
                prepared: BTreeMap::new(),
                broken: false,
            };
            if group.connect_duration_ms.get() > 0 {
                compio::time::sleep(Duration::from_millis(group.connect_duration_ms.get())).await;
            }
            Ok(OpenedTarget { link: Box::new(link), point })
        }
        .boxed_local()
    }
}

fn is_unresponsive(group: &FakeGroup, member: &Member, instance: u16) -> bool {
    group.has_fault(member, Fault::Unresponsive)
        || group.has_fault(member, Fault::UnresponsiveTo(instance))
}

struct OpenTransaction {
    /// The term in which it was opened; `None` for a read-only transaction.
    leader_term: Option<u64>,
    writes: Vec<(String, String)>,
    failed: bool,
}

struct FakeTarget {
    group: Rc<FakeGroup>,
    member: Rc<Member>,
    instance: u16,
    connection: u64,
    customer: Option<CustomerName>,
    transaction: Option<OpenTransaction>,
    values: BTreeMap<String, String>,
    prepared: BTreeMap<String, String>,
    broken: bool,
}

impl Drop for FakeTarget {
    fn drop(&mut self) {
        self.member.connections.set(self.member.connections.get() - 1);
    }
}

impl TargetLink for FakeTarget {
    fn exchange(
        &mut self,
        commands: Vec<TargetCommand>,
    ) -> LocalBoxFuture<'_, Result<Vec<Answer>, TargetLinkError>> {
        async move {
            let mut answers = Vec::new();
            for command in commands {
                if is_unresponsive(&self.group, &self.member, self.instance) {
                    future::pending::<()>().await;
                }
                answers.push(self.run(command).await?);
            }
            Ok(answers)
        }
        .boxed_local()
    }

    fn is_quiet(&self) -> bool {
        !self.broken
    }
}

impl FakeTarget {
    async fn run(&mut self, command: TargetCommand) -> Result<Answer, TargetLinkError> {
        let result = match command {
            TargetCommand::Begin => {
                if self.group.is_leader(&self.member) {
                    let leader_term = Some(self.group.term.get());
                    self.transaction =
                        Some(OpenTransaction { leader_term, writes: Vec::new(), failed: false });
                    Ok(None)
                } else {
                    Err(FailureCode::ReadOnly)
                }
            }
            TargetCommand::BeginReadOnly { at_least } => self.check_point(at_least).map(|()| {
                self.transaction =
                    Some(OpenTransaction { leader_term: None, writes: Vec::new(), failed: false });
                None
            }),
            TargetCommand::RollBack => {
                let rollback_duration_ms = self.group.rollback_duration_ms.get();
                if rollback_duration_ms > 0 {
                    compio::time::sleep(Duration::from_millis(rollback_duration_ms)).await;
                }
                self.transaction = None;
                Ok(None)
            }
            TargetCommand::Reset => {
                self.values.clear();
                self.prepared.clear();
                Ok(None)
            }
            TargetCommand::Set { name, value } => {
                self.values.insert(name.to_string(), value.to_string());
                Ok(None)
            }
            TargetCommand::Prepare { name, definition } => {
                let verb = format!("{:?}", definition.access).to_uppercase();
                self.prepared.insert(name.to_string(), format!("{verb} {}", definition.shape));
                Ok(None)
            }
            TargetCommand::ReceivedPoint => return Ok(self.answer_received_point()),
            TargetCommand::Run { text, at_least, .. } => {
                return self.run_for_caller(text.as_str(), at_least).await;
            }
            TargetCommand::Execute { name, arguments, at_least, .. } => {
                let Some(shape) = self.prepared.get(name.as_str()).cloned() else {
                    return Ok(self.answer(Vec::new(), Err(FailureCode::NoSuchPrepared)));
                };
                return self.run_for_caller(&format!("{shape} {arguments}"), at_least).await;
            }
        };
        Ok(self.answer(Vec::new(), result))
    }

    fn answer_received_point(&self) -> Answer {
        let to_refuse = self.group.queries_to_refuse.get();
        if to_refuse > 0 {
            self.group.queries_to_refuse.set(to_refuse - 1);
            // As on the platform, a refusal tells no received position.
            return Answer { point: None, ..self.answer(Vec::new(), Err(FailureCode::Congested)) };
        }
        let point = Some(self.group.received_point(&self.member));
        Answer { point, ..self.answer(Vec::new(), Ok(None)) }
    }

    async fn run_for_caller(
        &mut self,
        text: &str,
        at_least: Option<LogPoint>,
    ) -> Result<Answer, TargetLinkError> {
        if self.group.has_fault(&self.member, Fault::Busy) {
            return Ok(self.answer(Vec::new(), Err(FailureCode::Congested)));
        }
        if let Err(code) = self.check_point(at_least) {
            return Ok(self.answer(Vec::new(), Err(code)));
        }
        // A failed `COMMIT` can't be retried on another member, so these faults don't affect it.
        let may_fail = text != "COMMIT";
        let fails_now = self.group.has_fault(&self.member, Fault::FailsEverySecond)
            && may_fail
            && self.group.next_statement_number().is_multiple_of(2);
        if fails_now || may_fail && self.group.has_fault(&self.member, Fault::FailsStatements) {
            self.group.failed_statements.set(self.group.failed_statements.get() + 1);
            if let Some(open) = &mut self.transaction {
                open.failed = true;
            }
            return Ok(self.answer(Vec::new(), Err(FailureCode::Failed)));
        }
        let slowdown_ms = self.member.faults.borrow().iter().find_map(|it| match it {
            Fault::Slow(ms) => Some(*ms),
            _ => None,
        });
        let total_ms = self.group.statement_duration_ms.get() + slowdown_ms.unwrap_or(0);
        compio::time::sleep(Duration::from_millis(total_ms)).await;
        let (rows, result) = self.apply_statement(text);
        if result.is_ok() {
            self.group.executed.borrow_mut().push(ExecutedStatement {
                member: self.member.name.clone(),
                connection: self.connection,
                customer: self.customer.clone(),
                text: text.to_owned(),
                values: self.values.iter().map(|(name, value)| format!("{name}={value}")).collect(),
            });
        }
        if self.group.has_fault(&self.member, Fault::LosesAnswers) {
            future::pending::<()>().await;
        }
        if self.group.has_fault(&self.member, Fault::ResetsConnection) {
            self.broken = true;
            return Err(io::Error::from(io::ErrorKind::ConnectionReset).into());
        }
        Ok(self.answer(rows, result))
    }

    fn apply_statement(
        &mut self,
        text: &str,
    ) -> (Vec<String>, Result<Option<&'static str>, FailureCode>) {
        let words: Vec<&str> = text.split(' ').collect();
        if let Some(open) = &mut self.transaction
            && open.leader_term.is_some_and(|term| term != self.group.term.get())
            && !(words[0] == "COMMIT" && open.writes.is_empty())
        {
            open.failed = true;
            return (Vec::new(), Err(FailureCode::ReadOnly));
        }
        match words[0] {
            "COMMIT" => {
                let open = self.transaction.take();
                self.group.commit(&open.map(|it| it.writes).unwrap_or_default());
                (Vec::new(), Ok(Some("signature")))
            }
            "WRITE" => {
                let item = (words[words.len() - 2].to_owned(), words[words.len() - 1].to_owned());
                match &mut self.transaction {
                    Some(open) => open.writes.push(item),
                    None if self.group.is_leader(&self.member) => self.group.commit(&[item]),
                    None => return (Vec::new(), Err(FailureCode::ReadOnly)),
                }
                (Vec::new(), Ok(Some("signature")))
            }
            _ => {
                let log_end = self.group.point(&self.member).position.0;
                let data = self.group.data.borrow();
                let stored =
                    data.get(words[words.len() - 1]).filter(|(_, number)| *number <= log_end);
                let row = stored.map_or("nothing", |(value, _)| value.as_str());
                (vec![row.to_owned()], Ok(Some("signature")))
            }
        }
    }

    fn check_point(&self, at_least: Option<LogPoint>) -> Result<(), FailureCode> {
        let point = self.group.point(&self.member);
        match at_least {
            Some(wanted) if wanted > point => Err(FailureCode::Behind),
            _ => Ok(()),
        }
    }

    fn answer(
        &self,
        rows: Vec<String>,
        result: Result<Option<&'static str>, FailureCode>,
    ) -> Answer {
        let status = match &self.transaction {
            None => TransactionStatus::Idle,
            Some(open) if open.failed => TransactionStatus::Failed,
            Some(_) => TransactionStatus::Open,
        };
        Answer {
            rows: rows.into_iter().map(Into::into).collect(),
            result: result
                .map(|it| it.map(Into::into))
                .map_err(|code| Failure::new(code, "failed on the fake member")),
            status,
            point: Some(self.group.point(&self.member)),
        }
    }
}
