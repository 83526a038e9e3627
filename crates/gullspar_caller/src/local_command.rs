//! Statements that gullspar answers itself: `SET` and `SHOW` of settings named `gullspar.*`.

/// A session setting of gullspar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalSetting {
    /// The session token.
    Token,
    /// Maximum age of the data that reads accept, in milliseconds.
    MaxAgeMs,
    /// Time within which each request must be answered, in milliseconds.
    DeadlineMs,
    /// Key of the next request, which must run at most once.
    RequestKey,
    /// The instance that serves the session; read-only.
    Instance,
}

/// A statement about a [`LocalSetting`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LocalCommand {
    Set { setting: LocalSetting, value: String },
    Show { setting: LocalSetting },
    Unknown { name: String },
}

impl LocalSetting {
    /// The setting with this name, given without the prefix `gullspar.`.
    pub fn by_name(name: &str) -> Option<LocalSetting> {
        match name {
            "token" => Some(LocalSetting::Token),
            "max_age_ms" => Some(LocalSetting::MaxAgeMs),
            "deadline_ms" => Some(LocalSetting::DeadlineMs),
            "request_key" => Some(LocalSetting::RequestKey),
            "instance" => Some(LocalSetting::Instance),
            _ => None,
        }
    }

    /// The full name, with the prefix `gullspar.`.
    pub fn name(self) -> &'static str {
        match self {
            LocalSetting::Token => "gullspar.token",
            LocalSetting::MaxAgeMs => "gullspar.max_age_ms",
            LocalSetting::DeadlineMs => "gullspar.deadline_ms",
            LocalSetting::RequestKey => "gullspar.request_key",
            LocalSetting::Instance => "gullspar.instance",
        }
    }
}

impl LocalCommand {
    const PREFIX: &'static str = "gullspar.";

    /// Parses a `SET` or `SHOW` of one of gullspar's settings; `None` for any other statement.
    ///
    /// ```text
    /// SET gullspar.token = 'listings:3:17:0a1b'
    /// SHOW gullspar.token
    /// ```
    pub fn parse(sql: &str) -> Option<LocalCommand> {
        let text = sql.trim().trim_end_matches(';').trim();
        let (verb, rest) = text.split_once(char::is_whitespace)?;
        let rest = rest.trim_start();
        let rest = strip_word(rest, "session").unwrap_or(rest);
        let prefix = rest.get(..LocalCommand::PREFIX.len())?;
        if !prefix.eq_ignore_ascii_case(LocalCommand::PREFIX) {
            return None;
        }
        let rest = &rest[LocalCommand::PREFIX.len()..];
        let end = rest.find(|it: char| !it.is_ascii_alphanumeric() && it != '_');
        let (name, tail) = rest.split_at(end.unwrap_or(rest.len()));
        let name = name.to_ascii_lowercase();
        let Some(setting) = LocalSetting::by_name(&name) else {
            return Some(LocalCommand::Unknown { name });
        };
        if verb.eq_ignore_ascii_case("show") {
            return Some(LocalCommand::Show { setting });
        }
        if !verb.eq_ignore_ascii_case("set") {
            return None;
        }
        let tail = tail.trim_start();
        let value = tail.strip_prefix('=').or_else(|| strip_word(tail, "to"))?.trim();
        let value = value.trim_matches('\'').replace("''", "'");
        Some(LocalCommand::Set { setting, value })
    }
}

fn strip_word<'t>(text: &'t str, word: &str) -> Option<&'t str> {
    let head = text.get(..word.len())?;
    let tail = &text[word.len()..];
    (head.eq_ignore_ascii_case(word) && tail.starts_with(char::is_whitespace))
        .then(|| tail.trim_start())
}
