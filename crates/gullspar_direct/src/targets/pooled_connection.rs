//! One connection to a target and what it holds of sessions.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use gullspar_statement::{Answer, Definition, TargetCommand, TargetLink, TargetLinkError};

/// Prepared statements that a connection keeps before it is reset.
///
/// Shapes come from callers, so that their number is not ours to know; without a bound a target
/// would hold more for each connection the longer it lives.
const PREPARED_LIMIT: usize = 256;

/// A connection that several sessions use in turn.
pub(crate) struct PooledConnection {
    link: Box<dyn TargetLink>,
    values: BTreeMap<ArcStr, ArcStr>,
    prepared: BTreeMap<Definition, ArcStr>,
}

impl PooledConnection {
    pub(crate) fn new(link: Box<dyn TargetLink>) -> PooledConnection {
        PooledConnection { link, values: BTreeMap::new(), prepared: BTreeMap::new() }
    }

    /// Whether the session values on it are exactly `values`.
    pub(crate) fn has_values(&self, values: &BTreeMap<ArcStr, ArcStr>) -> bool {
        self.values == *values
    }

    pub(crate) fn is_quiet(&self) -> bool {
        self.link.is_quiet()
    }

    /// The commands that give the connection exactly `values` and the prepared statement `wanted`;
    /// they go in the same write as the statement that needs them and cost no round trip.
    pub(crate) fn setup_commands(
        &mut self,
        values: &BTreeMap<ArcStr, ArcStr>,
        wanted: Option<&Definition>,
    ) -> Vec<TargetCommand> {
        let mut commands = Vec::new();
        let foreign = self.values.keys().any(|it| !values.contains_key(it));
        if foreign || self.prepared.len() >= PREPARED_LIMIT {
            commands.push(TargetCommand::Reset);
            self.values.clear();
            self.prepared.clear();
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.values.insert(name.clone(), value.clone());
                commands.push(TargetCommand::Set { name: name.clone(), value: value.clone() });
            }
        }
        if let Some(definition) = wanted
            && !self.prepared.contains_key(definition)
        {
            let name = ArcStr::from(format!("g{}", self.prepared.len()));
            self.prepared.insert(definition.clone(), name.clone());
            commands.push(TargetCommand::Prepare { name, definition: definition.clone() });
        }
        commands
    }

    /// The name that `definition` has on this connection.
    pub(crate) fn prepared_name(&self, definition: &Definition) -> Option<ArcStr> {
        self.prepared.get(definition).cloned()
    }

    /// Sends commands and collects their answers.
    pub(crate) async fn exchange(
        &mut self,
        commands: Vec<TargetCommand>,
    ) -> Result<Vec<Answer>, TargetLinkError> {
        self.link.exchange(commands).await
    }
}
