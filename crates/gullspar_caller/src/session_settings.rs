//! `SET` and `SHOW` of gullspar's own settings, which the session answers itself.

use gullspar_model::Token;
use gullspar_wire::{Channel, ErrorReport, WireError, parameter_status};

use crate::local_answer::{ShownSetting, complete_locally};
use crate::local_command::{LocalCommand, LocalSetting};
use crate::request::Request;
use crate::session::Session;
use crate::session_state::TransactionState;
use crate::statement::StatementKind;

impl Session {
    pub(crate) async fn answer_locally(
        &mut self,
        channel: &mut Channel,
        req: &Request,
        command: LocalCommand,
    ) -> Result<(), WireError> {
        let result = match command {
            LocalCommand::Set { setting, value } => self.set(setting, &value).map(|()| None),
            LocalCommand::Show { setting } => Ok(Some((setting, self.show(setting)))),
            LocalCommand::Unknown { name } => {
                let text = format!("unrecognized setting \"gullspar.{name}\"");
                Err(ErrorReport::error("42704", text))
            }
        };
        match result {
            Err(report) => self.fail(channel, req, &report).await,
            Ok(shown) => {
                let tag = if shown.is_some() { "SHOW" } else { "SET" };
                let row = shown
                    .as_ref()
                    .map(|(setting, value)| ShownSetting { name: setting.name(), value });
                complete_locally(channel, &req.kinds, row, tag);
                self.finish(channel, req).await
            }
        }
    }

    pub(crate) fn set(&mut self, setting: LocalSetting, value: &str) -> Result<(), ErrorReport> {
        let invalid = |what: String| ErrorReport::error("22023", what);
        let number = |value: &str| {
            let parsed: Result<u64, _> = value.parse();
            parsed.map_err(|_| invalid(format!("{}: \"{value}\" is no number", setting.name())))
        };
        match setting {
            LocalSetting::Token => {
                let key = &self.server.settings.token_key;
                let token = key.verify(value, &self.state.caller);
                let token = token.map_err(|err| invalid(format!("gullspar.token: {err}")))?;
                if token.group != self.state.object.group.name {
                    return Err(invalid("gullspar.token: it is of another service".to_owned()));
                }
                self.state.raise_floor(token.point);
                self.state.anchored = true;
            }
            LocalSetting::MaxAgeMs => self.state.max_age_ms = Some(number(value)?),
            LocalSetting::DeadlineMs => self.state.deadline_ms = Some(number(value)?),
            LocalSetting::RequestKey => {
                if self.state.transaction != TransactionState::Idle {
                    let text = "gullspar.request_key goes with single requests, not transactions";
                    return Err(ErrorReport::error("25001", text));
                }
                self.state.request_key = (!value.is_empty()).then(|| value.to_owned());
            }
            LocalSetting::Instance => {
                return Err(ErrorReport::error("55P02", "gullspar.instance can't be set"));
            }
        }
        Ok(())
    }

    pub(crate) fn show(&self, setting: LocalSetting) -> String {
        let number = |it: Option<u64>| it.map_or(String::new(), |it| it.to_string());
        match setting {
            LocalSetting::Token => self.token().unwrap_or_default(),
            LocalSetting::MaxAgeMs => number(self.state.age_limit_ms()),
            LocalSetting::DeadlineMs => self.state.time_limit().as_millis().to_string(),
            LocalSetting::RequestKey => self.state.request_key.clone().unwrap_or_default(),
            LocalSetting::Instance => self.server.fleet.id().to_string(),
        }
    }

    /// A token for the session's floor.
    pub(crate) fn token(&self) -> Option<String> {
        let point = self.state.floor?;
        let token = Token { group: self.state.object.group.name.clone(), point };
        Some(self.server.settings.token_key.issue(&token, &self.state.caller))
    }

    /// Queues the session token as a ParameterStatus.
    pub(crate) fn report_token(&self, channel: &mut Channel) {
        if let Some(token) = self.token() {
            parameter_status(channel.outgoing(), LocalSetting::Token.name(), &token);
        }
    }
}

/// The command of a request that the session answers itself.
pub(crate) fn local_command(req: &Request) -> Option<LocalCommand> {
    let statement = req.statements.first().or(req.described.first())?;
    match &statement.kind {
        StatementKind::Local(command) => Some(command.clone()),
        _ => None,
    }
}
