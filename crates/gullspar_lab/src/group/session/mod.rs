//! The PostgreSQL sessions of a simulated member.

mod execution;
mod extended;
mod parameters;
mod portal;
mod session_loop;
mod sql_error;
mod sql_text;
pub(crate) mod value;
mod wire;

pub(crate) use sql_error::SqlError;

use std::sync::Arc;

use compio::net::TcpListener;
use gullspar_model::MemberName;

use super::Members;
use crate::Faults;
use crate::faults::TargetFault;

/// Accepts connections to member `name` and serves each in its own task.
pub(crate) async fn accept(
    listener: TcpListener,
    name: MemberName,
    members: Members,
    faults: Arc<Faults>,
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { continue };
        let Some(member) = members.get(&name) else { return };
        if faults.target(&member.borrow().target) == TargetFault::Stopped {
            continue;
        }
        let session = session_loop::run(stream, name.clone(), members.clone(), Arc::clone(&faults));
        compio::runtime::spawn(session).detach();
    }
}
