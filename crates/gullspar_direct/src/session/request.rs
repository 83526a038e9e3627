//! A caller's statement, prepared for routing.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use arcstr::ArcStr;
use gullspar_model::{Access, CustomerName, LogPoint, RequestId};
use gullspar_statement::{Definition, TargetCommand};

use crate::Freshness;
use crate::targets::pooled_connection::PooledConnection;

/// The statement's text, or a prepared statement with its arguments.
#[derive(Clone, Debug)]
pub(crate) enum Body {
    Text(ArcStr),
    Prepared { definition: Definition, arguments: ArcStr },
}

/// A caller's statement with everything that routing needs.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: RequestId,
    pub(crate) body: Body,
    pub(crate) access: Access,
    /// Whether the statement commits a transaction.
    pub(crate) commits: bool,
    /// The customer that the statement is for.
    pub(crate) customer: Option<CustomerName>,
    /// A copy of the session's values.
    pub(crate) values: Rc<BTreeMap<ArcStr, ArcStr>>,
    pub(crate) freshness: Freshness,
    /// The position of the session's newest own commit.
    pub(crate) own_commit: Option<LogPoint>,
    pub(crate) deadline: Instant,
    /// When the service's latency objective requires an answer.
    pub(crate) objective: Instant,
    /// How long to wait for a target's answer before a read is sent to another target as well.
    pub(crate) hedge_delay: Duration,
    /// 0 is served first.
    pub(crate) priority: u8,
}

impl Request {
    /// The commands that run the statement on `connection`, including those that set its values and prepare it.
    pub(crate) fn commands(
        &self,
        connection: &mut PooledConnection,
        at_least: Option<LogPoint>,
    ) -> Vec<TargetCommand> {
        let needed = match &self.body {
            Body::Text(_) => None,
            Body::Prepared { definition, .. } => Some(definition),
        };
        let mut commands = connection.setup_commands(&self.values, needed);
        commands.push(self.run(connection, at_least));
        commands
    }

    fn run(&self, connection: &PooledConnection, at_least: Option<LogPoint>) -> TargetCommand {
        let id = self.id.clone();
        match &self.body {
            Body::Text(text) => TargetCommand::Run { id, text: text.clone(), at_least },
            Body::Prepared { definition, arguments } => TargetCommand::Execute {
                id,
                // The preceding commands prepared the statement, so it has a name.
                name: connection.prepared_name(definition).unwrap_or_default(),
                arguments: arguments.clone(),
                at_least,
            },
        }
    }
}
