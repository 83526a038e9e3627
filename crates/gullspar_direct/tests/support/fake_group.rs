//! A group of targets in memory: a log, a leader, replicas that lag, and faults.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use gullspar_model::{CustomerName, LogPoint, MemberName};
use gullspar_statement::{TargetDialer, TargetSpec};

use super::Fault;
use super::fake_target::FakeDialer;

/// One statement as a member ran it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ran {
    pub member: MemberName,
    pub connection: u64,
    /// For whom the connection was opened.
    pub customer: Option<CustomerName>,
    pub text: String,
    /// Session values on the connection, as `name=value`.
    pub values: Vec<String>,
}

pub(super) struct Member {
    pub(super) name: MemberName,
    /// How many of the group's commits it has.
    pub(super) has: Cell<u64>,
    /// The term that it follows.
    pub(super) term: Cell<u64>,
    pub(super) faults: RefCell<BTreeSet<Fault>>,
    pub(super) leaving: Cell<bool>,
    pub(super) connections: Cell<u32>,
    /// When its process started.
    pub(super) started_ms: Cell<u64>,
}

/// The group.
pub struct FakeGroup {
    name: String,
    pub(super) members: Vec<Rc<Member>>,
    leader: Cell<usize>,
    pub(super) term: Cell<u64>,
    /// Commits of the present log.
    commits: Cell<u64>,
    /// The term of the newest of them; a member that leads a new term shows it only from its first commit on.
    newest_commit_term: Cell<u64>,
    pub(super) data: RefCell<BTreeMap<String, (String, u64)>>,
    pub(super) ran: RefCell<Vec<Ran>>,
    pub(super) next_connection: Cell<u64>,
    turn: Cell<u64>,
    /// Statements that failed.
    pub failed_statements: Cell<u32>,
    /// How long a caller's statement takes, in milliseconds.
    pub statement_duration_ms: Cell<u64>,
    /// How long a rollback takes, in milliseconds.
    pub rollback_duration_ms: Cell<u64>,
    /// Connections that each member takes, if there is a bound.
    pub max_connections: Cell<Option<u32>>,
    /// Connections of instances that are gone, which each member still keeps.
    pub stale_connections: Cell<u32>,
    /// How long opening a connection takes, in milliseconds.
    pub connect_duration_ms: Cell<u64>,
    /// Connections opened, and those refused for want of room.
    pub opened_connections: Cell<u32>,
    pub refused_connections: Cell<u32>,
}

impl FakeGroup {
    pub fn new(name: &str, members: usize) -> Rc<FakeGroup> {
        let member = |at: usize| {
            Rc::new(Member {
                name: MemberName::new(format!("m{at}")),
                has: Cell::new(0),
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
            newest_commit_term: Cell::new(1),
            data: RefCell::default(),
            ran: RefCell::default(),
            next_connection: Cell::new(1),
            turn: Cell::new(0),
            failed_statements: Cell::new(0),
            statement_duration_ms: Cell::new(1),
            rollback_duration_ms: Cell::new(0),
            max_connections: Cell::new(None),
            stale_connections: Cell::new(0),
            connect_duration_ms: Cell::new(0),
            opened_connections: Cell::new(0),
            refused_connections: Cell::new(0),
        })
    }

    pub fn dialer(self: &Rc<Self>, instance: u16) -> Rc<dyn TargetDialer> {
        Rc::new(FakeDialer { group: Rc::clone(self), instance })
    }

    pub fn specs(&self) -> Vec<TargetSpec> {
        let spec = |(at, member): (usize, &Rc<Member>)| TargetSpec {
            member: member.name.clone(),
            group: self.name.as_str().into(),
            address: SocketAddr::from(([127, 0, 0, 2], at as u16 + 1)),
            data_centre: "dc-1".into(),
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

    /// Has a member stay after all.
    pub fn cancel_leaving(&self, member: usize) {
        self.members[member].leaving.set(false);
    }

    /// Has a member start anew under its name, deaf, with an empty log.
    pub fn restart_with_empty_log(&self, member: usize) {
        let member = &self.members[member];
        member.started_ms.set(member.started_ms.get() + 1);
        member.has.set(0);
        member.faults.borrow_mut().insert(Fault::ReplicationStopped);
    }

    /// Has the leader start anew with an empty log, leading all the same.
    pub fn restart_leader_with_empty_log(&self, member: usize) {
        let started_ms = &self.members[member].started_ms;
        started_ms.set(started_ms.get() + 1);
        self.commits.set(0);
    }

    /// Makes `name` the leader of the next term with the commits that it has.
    pub fn promote(&self, name: &MemberName) {
        let at = self.members.iter().position(|it| it.name == *name).unwrap();
        if at == self.leader.get() {
            return;
        }
        let kept = self.members[at].has.get();
        self.data.borrow_mut().retain(|_, (_, number)| *number <= kept);
        // One that hears nothing keeps what it has.
        let hearing = self.members.iter().filter(|it| !self.has(it, Fault::ReplicationStopped));
        hearing.for_each(|it| it.has.set(it.has.get().min(kept)));
        self.commits.set(kept);
        self.leader.set(at);
        self.term.set(self.term.get() + 1);
    }

    /// Makes `name` the leader of the next term, without the newest commit.
    pub fn promote_without_last(&self, name: &MemberName) {
        let at = self.members.iter().position(|it| it.name == *name).unwrap();
        self.members[at].has.set(self.commits.get().saturating_sub(1));
        self.promote(name);
    }

    /// All statements of callers that ran, in order.
    pub fn executed(&self) -> Vec<Ran> {
        self.ran.borrow().clone()
    }

    /// How many statements with this text ran.
    pub fn execution_count(&self, text: &str) -> usize {
        self.ran.borrow().iter().filter(|it| it.text == text).count()
    }

    pub fn value(&self, item: &str) -> Option<String> {
        self.data.borrow().get(item).map(|(value, _)| value.clone())
    }

    /// Connections open to a member.
    pub fn connections(&self, member: usize) -> u32 {
        self.members[member].connections.get()
    }

    pub(super) fn next_turn(&self) -> u64 {
        self.turn.set(self.turn.get() + 1);
        self.turn.get()
    }

    pub(super) fn has(&self, member: &Member, fault: Fault) -> bool {
        member.faults.borrow().contains(&fault)
    }

    pub(super) fn leads(&self, member: &Member) -> bool {
        self.members[self.leader.get()].name == member.name
    }

    /// What the member's log reaches to.
    pub(super) fn point(&self, member: &Member) -> LogPoint {
        let deaf = self.has(member, Fault::ReplicationStopped);
        if self.leads(member) || !deaf {
            member.has.set(self.commits.get());
            member.term.set(self.newest_commit_term.get());
        }
        LogPoint::new(member.term.get(), member.has.get())
    }

    /// Commits in the present term, as another instance would.
    pub fn commit(&self, writes: &[(String, String)]) {
        if writes.is_empty() {
            return;
        }
        self.commits.set(self.commits.get() + 1);
        self.newest_commit_term.set(self.term.get());
        for (item, value) in writes {
            let kept = (value.clone(), self.commits.get());
            self.data.borrow_mut().insert(item.clone(), kept);
        }
    }
}
