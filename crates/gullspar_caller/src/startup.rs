//! Start-up messages: session requests, cancel requests and requests for encryption.

use std::collections::BTreeMap;

use bytes::{Buf, BytesMut};
use gullspar_model::{CallerName, ServiceName};
use gullspar_wire::{
    CANCEL_REQUEST, Channel, ErrorReport, GSS_REQUEST, SSL_REQUEST, WireError, startup_parameters,
};

/// Longest start-up message, in bytes, as in PostgreSQL.
const MAX_STARTUP_BYTES: usize = 10_000;

/// What a connection is opened for.
pub(crate) enum Opening {
    Session(SessionRequest),
    Cancel { process: i32, secret: i32 },
}

/// The content of a start-up message.
#[derive(Debug)]
pub(crate) struct SessionRequest {
    pub(crate) service: ServiceName,
    pub(crate) caller: CallerName,
    /// Settings from `options` (`-c name=value`) and parameters that start with `gullspar.`.
    pub(crate) settings: BTreeMap<String, String>,
}

/// Reads the first message of a connection; requests for encryption before it are declined.
pub(crate) async fn read_opening(channel: &mut Channel) -> Result<Opening, WireError> {
    loop {
        let mut head = channel.next_raw(8).await?;
        let length = head.get_u32() as usize;
        let code = head.get_u32();
        if !(8..=MAX_STARTUP_BYTES).contains(&length) {
            return Err(WireError::Malformed(format!("start-up message of {length} bytes")));
        }
        let body = channel.next_raw(length - 8).await?;
        match code {
            SSL_REQUEST | GSS_REQUEST => {
                channel.queue(b"N");
                channel.flush().await?;
            }
            CANCEL_REQUEST => return read_cancel(body),
            _ if code >> 16 == 3 => return read_session(&body).map(Opening::Session),
            _ => {
                let what = format!("protocol version {}.{}", code >> 16, code & 0xffff);
                return Err(WireError::Malformed(what));
            }
        }
    }
}

fn read_cancel(mut body: BytesMut) -> Result<Opening, WireError> {
    if body.len() != 8 {
        return Err(WireError::Malformed("cancel request".to_owned()));
    }
    Ok(Opening::Cancel { process: body.get_i32(), secret: body.get_i32() })
}

fn read_session(body: &BytesMut) -> Result<SessionRequest, WireError> {
    let parameters = startup_parameters(body)?;
    let missing = || WireError::Malformed("a start-up message without user".to_owned());
    let user = parameters.get("user").ok_or_else(missing)?;
    let database = parameters.get("database").unwrap_or(user);
    let mut settings = BTreeMap::new();
    for (key, value) in &parameters {
        match key.as_str() {
            "options" => settings.extend(read_options(value)),
            key if key.starts_with("gullspar.") => {
                settings.insert(key.to_owned(), value.clone());
            }
            _ => {}
        }
    }
    Ok(SessionRequest {
        service: ServiceName::new(database),
        caller: CallerName::new(user),
        settings,
    })
}

/// Parses settings written as `-c name=value` or `--name=value`.
fn read_options(text: &str) -> BTreeMap<String, String> {
    let mut words = text.split_whitespace();
    let mut settings = BTreeMap::new();
    while let Some(word) = words.next() {
        let setting = match word.strip_prefix("-c") {
            Some("") => words.next(),
            Some(joined) => Some(joined),
            None => word.strip_prefix("--"),
        };
        if let Some((key, value)) = setting.and_then(|it| it.split_once('=')) {
            settings.insert(key.to_owned(), value.to_owned());
        }
    }
    settings
}

/// Sends an error that ends the connection.
pub(crate) async fn refuse(channel: &mut Channel, report: &ErrorReport) -> Result<(), WireError> {
    report.encode(channel.outgoing());
    channel.flush().await
}
