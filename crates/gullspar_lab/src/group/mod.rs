//! A simulated database group: members that speak the PostgreSQL protocol, with terms, log positions,
//! asynchronous replication, slots, a connection limit and a delay for new connections.
//!
//! SQLite runs the SQL. A replica applies its primary's transactions in order, so the log is a list of
//! transactions and a position is their count.

mod control;
mod log_record;
mod member;
mod replication;
mod session;
mod sql_result;

pub use member::{GroupSettings, Member, MemberCounts, MemberSettings};

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;

use compio::net::TcpListener;
use gullspar_model::MemberName;

use crate::Faults;

/// The members of a group by name.
pub(crate) type Members = Rc<HashMap<MemberName, Rc<RefCell<Member>>>>;

/// One listener for each member, in the order of the settings.
pub type MemberListeners = Vec<std::net::TcpListener>;

/// Runs a group until the task is dropped.
///
/// `counts` holds the counters of the members, in the order of the settings.
pub async fn run_group(
    settings: GroupSettings,
    listeners: MemberListeners,
    faults: Arc<Faults>,
    counts: Vec<Arc<MemberCounts>>,
) -> io::Result<()> {
    let mut members = HashMap::new();
    let parts = settings.members.iter().zip(&counts);
    for (member, counts) in parts {
        let state = Member::new(&settings, member, Arc::clone(counts))?;
        members.insert(member.name.clone(), Rc::new(RefCell::new(state)));
    }
    let members: Members = Rc::new(members);
    let mut tasks = Vec::new();
    for (member, listener) in settings.members.iter().zip(listeners) {
        let follow =
            replication::run(member.name.clone(), Rc::clone(&members), Arc::clone(&faults));
        tasks.push(compio::runtime::spawn(follow));
        let listener = TcpListener::from_std(listener)?;
        let accept = session::accept(
            listener,
            member.name.clone(),
            Rc::clone(&members),
            Arc::clone(&faults),
        );
        tasks.push(compio::runtime::spawn(accept));
    }
    std::future::pending().await
}
