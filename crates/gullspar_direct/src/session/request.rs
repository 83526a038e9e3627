//! A statement on its way to a target.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use arcstr::ArcStr;
use gullspar_model::{Access, CustomerName, LogPoint, RequestId};
use gullspar_statement::{Definition, TargetCommand};

use crate::Freshness;
use crate::targets::pooled_connection::PooledConnection;

/// What the target is to run.
#[derive(Clone, Debug)]
pub(crate) enum Body {
    Text(ArcStr),
    Prepared { definition: Definition, arguments: ArcStr },
}

/// A caller's statement with all that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) body: Body,
    pub(crate) access: Access,
    /// It commits a transaction.
    pub(crate) commits: bool,
    /// Whose statement it is.
    pub(crate) customer: Option<CustomerName>,
    /// The session's values, shared with it.
    pub(crate) values: Rc<BTreeMap<ArcStr, ArcStr>>,
    pub(crate) freshness: Freshness,
    /// The newest commit of the session itself.
    pub(crate) own_commit: Option<LogPoint>,
    pub(crate) deadline: Instant,
    /// When the caller wants its answer.
    pub(crate) objective: Instant,
    /// How long a target may be silent before a read is tried on another one as well.
    pub(crate) patience: Duration,
    pub(crate) priority: u8,
}

impl Request {
    /// The commands that run it on `connection`.
    pub(crate) fn commands(
        &self,
        connection: &mut PooledConnection,
        at_least: Option<LogPoint>,
    ) -> Vec<TargetCommand> {
        let wanted = match &self.body {
            Body::Text(_) => None,
            Body::Prepared { definition, .. } => Some(definition),
        };
        let mut commands = connection.setup_commands(&self.values, wanted);
        commands.push(self.run(connection, at_least));
        commands
    }

    fn run(&self, connection: &PooledConnection, at_least: Option<LogPoint>) -> TargetCommand {
        let id = self.id.clone();
        match &self.body {
            Body::Text(text) => TargetCommand::Run { id, text: text.clone(), at_least },
            Body::Prepared { definition, arguments } => TargetCommand::Execute {
                id,
                // It was prepared by the commands before, so it has a name.
                name: connection.prepared_name(definition).unwrap_or_default(),
                arguments: arguments.clone(),
                at_least,
            },
        }
    }
}
