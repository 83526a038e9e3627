//! A group of targets in memory, with a shared log, a leader, replicas and injected faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_model::{CustomerName, GroupName, LogPoint, MemberName};
use gullspar_statement::TargetSpec;

use super::Fault;

/// A statement of a caller that a member ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExecutedStatement {
    pub member: MemberName,
    pub connection: u64,
    /// The customer that the connection was opened for.
    pub customer: Option<CustomerName>,
    pub text: String,
    /// Session values on the connection, as `name=value`.
    pub values: Vec<String>,
}

pub(super) struct Member {
    pub(super) name: MemberName,
    /// Number of the group's commits that it has applied.
    pub(super) replicated_commits: Cell<u64>,
    /// Number of the group's commits that it has received; counted only while it applies them late.
    received_commits: Cell<u64>,
    /// The term of the newest commit in its log.
    pub(super) term: Cell<u64>,
    pub(super) faults: RefCell<BTreeSet<Fault>>,
    pub(super) leaving: Cell<bool>,
    pub(super) connections: Cell<u32>,
    /// Start time of its process, in milliseconds.
    pub(super) started_ms: Cell<u64>,
}

/// A group of members named `m0`, `m1` and so on; `m0` leads at first.
pub struct FakeGroup {
    pub(super) name: String,
    pub(super) members: Vec<Rc<Member>>,
    leader: Cell<usize>,
    pub(super) term: Cell<u64>,
    /// Number of commits in the leader's log.
    commits: Cell<u64>,
    /// When each of these commits was made.
    commit_times: RefCell<Vec<Instant>>,
    /// Time until a member that applies commits late has received one, in milliseconds.
    pub receive_lag_ms: Cell<u64>,
    /// Number of coming queries for a received position that are refused.
    pub queries_to_refuse: Cell<u32>,
    /// The term of the newest commit. A promotion changes it only with the new leader's first commit.
    newest_commit_term: Cell<u64>,
    /// Each item's value, and the number of the commit that wrote it.
    pub(super) data: RefCell<BTreeMap<String, (String, u64)>>,
    pub(super) executed: RefCell<Vec<ExecutedStatement>>,
    pub(super) next_connection: Cell<u64>,
    /// Statements run while a member had `Fault::FailsEverySecond`.
    statement_counter: Cell<u64>,
    /// Number of callers' statements that failed because of a fault.
    pub failed_statements: Cell<u32>,
    /// Duration of a caller's statement, in milliseconds.
    pub statement_duration_ms: Cell<u64>,
    /// Duration of a rollback, in milliseconds.
    pub rollback_duration_ms: Cell<u64>,
    /// Whether each member is in a data centre of its own: `dc-0`, `dc-1` and so on. If not, all are in `dc-1`.
    pub is_spread: Cell<bool>,
    /// Maximum number of connections to each member.
    pub max_connections: Cell<Option<u32>>,
    /// Connections of stopped instances that each member still holds open.
    pub stale_connections: Cell<u32>,
    /// Duration of opening a connection, in milliseconds.
    pub connect_duration_ms: Cell<u64>,
    /// Number of connections opened.
    pub opened_connections: Cell<u32>,
    /// Number of connections refused because of `max_connections`.
    pub refused_connections: Cell<u32>,
}

impl FakeGroup {
    pub fn new(name: &str, members: usize) -> Rc<FakeGroup> {
        FakeGroup::with_member_prefix(name, "m", members)
    }

    /// A group whose members have names that begin with `prefix`. Names must be unique over all groups.
    pub fn with_member_prefix(name: &str, prefix: &str, members: usize) -> Rc<FakeGroup> {
        let member = |index: usize| {
            Rc::new(Member {
                name: MemberName::new(format!("{prefix}{index}")),
                replicated_commits: Cell::new(0),
                received_commits: Cell::new(0),
                term: Cell::new(1),
                faults: RefCell::default(),
                leaving: Cell::new(false),
                connections: Cell::new(0),
                started_ms: Cell::new(1_000),
            })
        };
        Rc::new(FakeGroup {
            name: name.to_owned(),
            members: (0..members).map(member).collect(),
            leader: Cell::new(0),
            term: Cell::new(1),
            commits: Cell::new(0),
            commit_times: RefCell::default(),
            receive_lag_ms: Cell::new(0),
            queries_to_refuse: Cell::new(0),
            newest_commit_term: Cell::new(1),
            data: RefCell::default(),
            executed: RefCell::default(),
            next_connection: Cell::new(1),
            statement_counter: Cell::new(0),
            failed_statements: Cell::new(0),
            statement_duration_ms: Cell::new(1),
            rollback_duration_ms: Cell::new(0),
            is_spread: Cell::new(false),
            max_connections: Cell::new(None),
            stale_connections: Cell::new(0),
            connect_duration_ms: Cell::new(0),
            opened_connections: Cell::new(0),
            refused_connections: Cell::new(0),
        })
    }

    pub fn name(&self) -> GroupName {
        self.name.as_str().into()
    }

    pub fn specs(&self) -> Vec<TargetSpec> {
        let spec = |(index, member): (usize, &Rc<Member>)| TargetSpec {
            member: member.name.clone(),
            group: self.name.as_str().into(),
            address: SocketAddr::from(([127, 0, 0, 2], index as u16 + 1)),
            data_centre: match self.is_spread.get() {
                true => format!("dc-{index}").as_str().into(),
                false => "dc-1".into(),
            },
            slots: 4,
            leaving: member.leaving.get(),
            started_ms: Some(member.started_ms.get()),
            beat: 1,
        };
        self.members.iter().enumerate().map(spec).collect()
    }

    pub fn leader(&self) -> Option<MemberName> {
        Some(self.members[self.leader.get()].name.clone())
    }

    pub fn inject_fault(&self, member: usize, fault: Fault) {
        self.members[member].faults.borrow_mut().insert(fault);
    }

    pub fn clear_faults(&self, member: usize) {
        self.members[member].faults.borrow_mut().clear();
    }

    pub fn mark_leaving(&self, member: usize) {
        self.members[member].leaving.set(true);
    }

    /// Reverts `mark_leaving`.
    pub fn cancel_leaving(&self, member: usize) {
        self.members[member].leaving.set(false);
    }

    /// Restarts a member under the same name with an empty log and stopped replication.
    pub fn restart_with_empty_log(&self, member: usize) {
        let member = &self.members[member];
        member.started_ms.set(member.started_ms.get() + 1);
        member.replicated_commits.set(0);
        member.received_commits.set(0);
        member.faults.borrow_mut().insert(Fault::ReplicationStopped);
    }

    /// Restarts the leader with an empty log. It stays the leader.
    pub fn restart_leader_with_empty_log(&self, member: usize) {
        let started_ms = &self.members[member].started_ms;
        started_ms.set(started_ms.get() + 1);
        self.commits.set(0);
        self.commit_times.borrow_mut().clear();
    }

    /// Makes `name` the leader of the next term and undoes the commits that it doesn't have. Has no effect on the
    /// current leader.
    pub fn promote(&self, name: &MemberName) {
        let index = self.members.iter().position(|it| it.name == *name).unwrap();
        if index == self.leader.get() {
            return;
        }
        let commits = self.received_commits(&self.members[index]);
        self.members[index].faults.borrow_mut().remove(&Fault::AppliesLate);
        self.commit_times.borrow_mut().truncate(commits as usize);
        self.data.borrow_mut().retain(|_, (_, number)| *number <= commits);
        // A member whose replication is stopped keeps its log.
        let replicating =
            self.members.iter().filter(|it| !self.has_fault(it, Fault::ReplicationStopped));
        replicating
            .for_each(|it| it.replicated_commits.set(it.replicated_commits.get().min(commits)));
        self.members.iter().for_each(|it| it.received_commits.set(0));
        self.commits.set(commits);
        self.leader.set(index);
        self.term.set(self.term.get() + 1);
    }

    /// Makes `name` the leader of the next term and undoes the newest commit.
    pub fn promote_without_last(&self, name: &MemberName) {
        let index = self.members.iter().position(|it| it.name == *name).unwrap();
        self.members[index].replicated_commits.set(self.commits.get().saturating_sub(1));
        self.promote(name);
    }

    /// All callers' statements that succeeded, in the order in which they ran.
    pub fn executed(&self) -> Vec<ExecutedStatement> {
        self.executed.borrow().clone()
    }

    /// How many statements with this text succeeded.
    pub fn execution_count(&self, text: &str) -> usize {
        self.executed.borrow().iter().filter(|it| it.text == text).count()
    }

    /// The committed value of an item.
    pub fn value(&self, item: &str) -> Option<String> {
        self.data.borrow().get(item).map(|(value, _)| value.clone())
    }

    /// Number of open connections to a member.
    pub fn connections(&self, member: usize) -> u32 {
        self.members[member].connections.get()
    }

    pub(super) fn next_statement_number(&self) -> u64 {
        self.statement_counter.set(self.statement_counter.get() + 1);
        self.statement_counter.get()
    }

    pub(super) fn has_fault(&self, member: &Member, fault: Fault) -> bool {
        member.faults.borrow().contains(&fault)
    }

    pub(super) fn is_leader(&self, member: &Member) -> bool {
        self.members[self.leader.get()].name == member.name
    }

    /// The end of the member's log. A member that replicates is first brought up to date.
    pub(super) fn point(&self, member: &Member) -> LogPoint {
        let is_stopped = self.has_fault(member, Fault::ReplicationStopped);
        let is_late = self.has_fault(member, Fault::AppliesLate);
        if self.is_leader(member) || !is_stopped && !is_late {
            member.replicated_commits.set(self.commits.get());
            member.term.set(self.newest_commit_term.get());
        }
        LogPoint::new(member.term.get(), member.replicated_commits.get())
    }

    /// The end of the log that the member has received.
    pub(super) fn received_point(&self, member: &Member) -> LogPoint {
        let applied = self.point(member);
        let received = self.received_commits(member);
        if received > applied.position.0 {
            LogPoint::new(self.newest_commit_term.get(), received)
        } else {
            applied
        }
    }

    /// Number of the commits that the member has received.
    fn received_commits(&self, member: &Member) -> u64 {
        let is_late = self.has_fault(member, Fault::AppliesLate);
        if is_late && !self.has_fault(member, Fault::ReplicationStopped) {
            let lag = Duration::from_millis(self.receive_lag_ms.get());
            let arrived = self.commit_times.borrow().partition_point(|it| it.elapsed() >= lag);
            member.received_commits.set(arrived as u64);
        }
        member.received_commits.get().max(member.replicated_commits.get())
    }

    /// Commits `writes` in the current term.
    pub fn commit(&self, writes: &[(String, String)]) {
        if writes.is_empty() {
            return;
        }
        self.commits.set(self.commits.get() + 1);
        self.commit_times.borrow_mut().push(Instant::now());
        self.newest_commit_term.set(self.term.get());
        for (item, value) in writes {
            let entry = (value.clone(), self.commits.get());
            self.data.borrow_mut().insert(item.clone(), entry);
        }
    }
}
