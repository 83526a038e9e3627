//! Which members of a synchronous group may lead next.
//!
//! Both sides ask this module: a commit is acknowledged once the next leader is certain to have it, and a failover promotes
//! only a member that is certain to have all acknowledged commits. See `docs/design/acknowledgement.md`.

use std::rc::Rc;

use gullspar_model::{LogPoint, MemberName, record};

use crate::groups::group::Group;
use crate::targets::target::Target;

/// The members that may lead a synchronous group next, and what is known about the choice between them.
pub(crate) enum Successors {
    /// The next leader is chosen by [`choose_successor`], which considers the logs of these members among others. One that is
    /// leaving does not count here: its log may go with it.
    Chosen(Vec<Rc<Target>>),
    /// An order may have been sent already, and any of these members may be the one that it names.
    Ordered(Vec<Rc<Target>>),
    /// An order may name a member that is not listed.
    Unknown,
}

impl Successors {
    /// The members that may lead `group` next. `may_be_ordered` tells whether an order may be on its way.
    pub(crate) fn of(group: &Group, may_be_ordered: bool) -> Successors {
        if group.claims().has_lost_successor() {
            Successors::Unknown
        } else if may_be_ordered || !group.is_settled() {
            Successors::Ordered(group.other_members())
        } else {
            Successors::Chosen(group.staying_replicas())
        }
    }

    /// Whether the next leader is certain to have the commit at `point`.
    pub(crate) fn have(&self, point: LogPoint) -> bool {
        self.are_enough(|it| it.has_commit(point))
    }

    /// Whether enough members answer for a commit to be confirmed.
    pub(crate) fn can_confirm(&self) -> bool {
        self.are_enough(Target::is_answering)
    }

    /// Whether those members of which `holds` is true are certain to include the next leader, or one whose log it will have.
    fn are_enough(&self, holds: impl Fn(&Target) -> bool) -> bool {
        match self {
            Successors::Chosen(members) => members.iter().any(|it| holds(it)),
            Successors::Ordered(members) => {
                !members.is_empty() && members.iter().all(|it| holds(it))
            }
            Successors::Unknown => false,
        }
    }

    pub(crate) fn members(&self) -> &[Rc<Target>] {
        match self {
            Successors::Chosen(members) | Successors::Ordered(members) => members,
            Successors::Unknown => &[],
        }
    }
}

record! {
    /// What is known about the end of a member's log.
    #[derive(Copy)]
    pub enum LogEnd {
        /// The member told where it ends.
        Exactly(LogPoint),
        /// It reaches at least this point. The member was too busy to tell more.
        AtLeast(LogPoint),
        /// The member doesn't answer.
        Unknown,
    }
}

impl LogEnd {
    /// A point that the log is known to reach.
    pub(crate) fn reached(self) -> Option<LogPoint> {
        match self {
            LogEnd::Exactly(point) | LogEnd::AtLeast(point) => Some(point),
            LogEnd::Unknown => None,
        }
    }
}

record! {
    /// The log of a member that may be promoted.
    pub struct MemberLog {
        pub member: MemberName,
        pub end: LogEnd,
        /// Whether the member has announced that it will leave.
        pub is_leaving: bool,
    }
}

record! {
    /// The newest commit that is known to be acknowledged.
    #[derive(Copy, Default)]
    pub struct NewestAcknowledged {
        pub point: Option<LogPoint>,
        /// Whether each instance that may have acknowledged a commit has told of its newest one since it holds commits back.
        pub is_complete: bool,
    }
}

/// The member to promote; `None` if none is certain to have all acknowledged commits.
///
/// Where all acknowledged commits are known, that is each member whose log reaches the newest one, and one that stays is
/// preferred. Elsewhere only the longest of all logs is certain to have them, so all members must tell where theirs end.
///
/// `logs` are those of all listed members but the failed leader. While that is listed (`may_leader_return`), a commit that no
/// other member has is awaited from it; afterwards nobody has the commit any more.
pub fn choose_successor(
    logs: &[MemberLog],
    acknowledged: NewestAcknowledged,
    may_leader_return: bool,
) -> Option<&MemberLog> {
    let has_acknowledged =
        |it: &&MemberLog| it.end.reached().is_some_and(|end| Some(end) >= acknowledged.point);
    let complete = logs.iter().filter(|it| acknowledged.is_complete && has_acknowledged(it));
    let preferred = complete.max_by_key(|it| (!it.is_leaving, it.end.reached()));
    if preferred.is_some() || !logs.iter().all(|it| matches!(it.end, LogEnd::Exactly(_))) {
        return preferred;
    }
    let longest = logs.iter().max_by_key(|it| (it.end.reached(), !it.is_leaving));
    longest.filter(|it| !may_leader_return || has_acknowledged(it))
}
