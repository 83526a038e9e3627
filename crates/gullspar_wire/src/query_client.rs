//! A minimal client for statements that gullspar itself runs on a target.

use gullspar_border::Link;

use crate::{Channel, ErrorReport, Frame, QueryRow, WireError, messages, target};

/// A connection to a target for gullspar's own statements.
pub struct QueryClient {
    channel: Channel,
    /// Process number and secret that a cancel request for this session needs.
    pub cancel_key: (i32, i32),
}

impl QueryClient {
    /// Starts a session on a new link, without a password.
    pub async fn start(
        link: Box<dyn Link>,
        user: &str,
        database: &str,
    ) -> Result<QueryClient, WireError> {
        let mut channel = Channel::new(link, Channel::DEFAULT_LIMIT);
        let startup = messages::startup(&[
            ("user", user),
            ("database", database),
            ("application_name", "gullspar"),
        ]);
        channel.queue(&startup);
        channel.flush().await?;
        let mut cancel_key = (0, 0);
        loop {
            let frame = channel.next().await?;
            match frame.kind() {
                target::AUTHENTICATION => accept_authentication(&frame)?,
                target::BACKEND_KEY => cancel_key = backend_key(&frame)?,
                target::READY => return Ok(QueryClient { channel, cancel_key }),
                target::ERROR => return Err(WireError::Server(ErrorReport::decode(&frame))),
                _ => {}
            }
        }
    }

    /// Runs a statement and returns its rows.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<QueryRow>, WireError> {
        self.channel.query(sql).await
    }

    /// Returns the channel, to forward messages over it.
    pub fn into_channel(self) -> Channel {
        self.channel
    }
}

/// Accepts only AuthenticationOk: targets trust the instances' network and ask for no password.
fn accept_authentication(message: &Frame) -> Result<(), WireError> {
    match message.body() {
        [0, 0, 0, 0] => Ok(()),
        _ => Err(WireError::Malformed("the target asks for a password".to_owned())),
    }
}

fn backend_key(message: &Frame) -> Result<(i32, i32), WireError> {
    let malformed = || WireError::Malformed("BackendKeyData".to_owned());
    let body = message.body().first_chunk::<8>().ok_or_else(malformed)?;
    let process = i32::from_be_bytes([body[0], body[1], body[2], body[3]]);
    let secret = i32::from_be_bytes([body[4], body[5], body[6], body[7]]);
    Ok((process, secret))
}
