//! A connection to a target, with the session values and prepared statements on it.

use std::collections::BTreeMap;

use arcstr::ArcStr;
use gullspar_statement::{Answer, Definition, TargetCommand, TargetLink, TargetLinkError};

/// Number of prepared statements on a connection at which the connection is reset.
///
/// Callers may prepare any number of different statements, and the target keeps each until a reset.
const MAX_PREPARED: usize = 256;

/// A connection that sessions use one after the other.
pub(crate) struct PooledConnection {
    link: Box<dyn TargetLink>,
    values: BTreeMap<ArcStr, ArcStr>,
    prepared: BTreeMap<Definition, ArcStr>,
}

impl PooledConnection {
    pub(crate) fn new(link: Box<dyn TargetLink>) -> PooledConnection {
        PooledConnection { link, values: BTreeMap::new(), prepared: BTreeMap::new() }
    }

    /// Whether the session values on the connection are exactly `values`.
    pub(crate) fn has_values(&self, values: &BTreeMap<ArcStr, ArcStr>) -> bool {
        self.values == *values
    }

    pub(crate) fn is_quiet(&self) -> bool {
        self.link.is_quiet()
    }

    /// The commands that set the connection's session values to exactly `values` and prepare `wanted`.
    ///
    /// They are sent together with the statement that needs them, so they cost no extra round trip.
    pub(crate) fn setup_commands(
        &mut self,
        values: &BTreeMap<ArcStr, ArcStr>,
        wanted: Option<&Definition>,
    ) -> Vec<TargetCommand> {
        let mut commands = Vec::new();
        let has_foreign = self.values.keys().any(|it| !values.contains_key(it));
        if has_foreign || self.prepared.len() >= MAX_PREPARED {
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

    /// The name of the prepared statement `definition` on this connection.
    pub(crate) fn prepared_name(&self, definition: &Definition) -> Option<ArcStr> {
        self.prepared.get(definition).cloned()
    }

    /// Sends commands and returns their answers, in order.
    pub(crate) async fn exchange(
        &mut self,
        commands: Vec<TargetCommand>,
    ) -> Result<Vec<Answer>, TargetLinkError> {
        self.link.exchange(commands).await
    }
}
