//! A minimal PostgreSQL client for tests and benches: startup, SCRAM and simple queries.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::{BufMut, BytesMut};
use compio::net::TcpStream;
use gullspar_net::TcpLink;
use gullspar_wire::{
    Channel, ErrorReport, Frame, QueryRow, WireError, caller, query, row_values, startup, target,
};
use scram::ScramClient;

const MECHANISM: &str = "SCRAM-SHA-256";

/// The results of a query: rows, command tags and error.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    pub rows: Vec<QueryRow>,
    pub tags: Vec<String>,
    pub error: Option<ErrorReport>,
    /// The transaction status byte.
    pub status: u8,
}

/// A connected caller.
pub struct Client {
    channel: Channel,
    /// The last session token that the instance reported.
    pub token: Option<String>,
    /// The process and secret that a cancel request must carry.
    pub cancel_key: (i32, i32),
    /// All parameters that the instance reported.
    pub parameters: BTreeMap<String, String>,
}

impl Client {
    /// Connects to `service` at `address` as `user`, with the user name as the password.
    pub async fn connect(
        address: SocketAddr,
        user: &str,
        service: &str,
        token: Option<&str>,
    ) -> Result<Client, WireError> {
        Client::connect_with(address, user, user, service, token).await
    }

    /// Connects to `service` at `address` as `user` with `password`.
    pub async fn connect_with(
        address: SocketAddr,
        user: &str,
        password: &str,
        service: &str,
        token: Option<&str>,
    ) -> Result<Client, WireError> {
        let mut client = Client::dial(address).await?;
        let mut parameters = vec![("user", user), ("database", service)];
        parameters.extend(token.map(|it| ("gullspar.token", it)));
        client.channel.queue(&startup(&parameters));
        client.channel.flush().await?;
        client.authenticate(password).await?;
        client.read_answer().await.and_then(|answer| match answer.error {
            Some(report) => Err(WireError::Server(report)),
            None => Ok(client),
        })
    }

    /// Connects directly to a target, which requires no password.
    pub async fn connect_to_target(address: SocketAddr) -> Result<Client, WireError> {
        let mut client = Client::dial(address).await?;
        client.channel.queue(&startup(&[("user", "bench"), ("database", "postgres")]));
        client.channel.flush().await?;
        client.read_answer().await?;
        Ok(client)
    }

    async fn dial(address: SocketAddr) -> Result<Client, WireError> {
        let stream = TcpStream::connect(address).await?;
        let channel = Channel::new(Box::new(TcpLink::new(stream)), Channel::DEFAULT_LIMIT);
        let (token, cancel_key, parameters) = (None, (0, 0), BTreeMap::new());
        Ok(Client { channel, token, cancel_key, parameters })
    }

    async fn authenticate(&mut self, password: &str) -> Result<(), WireError> {
        self.expect_authentication().await?;
        let (scram, first) = ScramClient::new("", password, None).client_first();
        let mut body = BytesMut::from(MECHANISM.as_bytes());
        body.put_u8(0);
        body.put_i32(first.len() as i32);
        body.put_slice(first.as_bytes());
        self.send(caller::PASSWORD, &body).await?;
        let challenge = self.expect_authentication().await?;
        let scram_failed = |_| WireError::Malformed("SCRAM exchange".to_owned());
        let (scram, last) =
            scram.handle_server_first(&challenge).map_err(scram_failed)?.client_final();
        self.send(caller::PASSWORD, last.as_bytes()).await?;
        let proof = self.expect_authentication().await?;
        scram.handle_server_final(&proof).map_err(scram_failed)
    }

    async fn expect_authentication(&mut self) -> Result<String, WireError> {
        let frame = self.channel.next().await?;
        if frame.kind() == target::ERROR {
            return Err(WireError::Server(ErrorReport::decode(&frame)));
        }
        let data = frame.body().get(4..).unwrap_or(&[]);
        Ok(String::from_utf8_lossy(data).into_owned())
    }

    /// Sends one message.
    pub async fn send(&mut self, kind: u8, body: &[u8]) -> Result<(), WireError> {
        self.send_raw(Frame::new(kind, body).bytes()).await
    }

    /// Sends raw bytes.
    pub async fn send_raw(&mut self, bytes: &[u8]) -> Result<(), WireError> {
        self.channel.queue(bytes);
        self.channel.flush().await
    }

    /// Runs one or more statements by the simple query protocol.
    pub async fn query(&mut self, sql: &str) -> Result<Answer, WireError> {
        self.send_raw(query(sql).bytes()).await?;
        self.read_answer().await
    }

    /// Reads messages up to the next ReadyForQuery.
    pub async fn read_answer(&mut self) -> Result<Answer, WireError> {
        let mut answer = Answer::default();
        loop {
            let frame = match self.channel.next().await {
                Ok(frame) => frame,
                // A fatal error is not followed by ReadyForQuery.
                Err(WireError::Closed) if answer.error.is_some() => return Ok(answer),
                Err(err) => return Err(err),
            };
            match frame.kind() {
                target::DATA_ROW => answer.rows.push(row_values(&frame)?),
                target::COMMAND_COMPLETE => answer.tags.push(frame.first_text()?.to_owned()),
                target::ERROR => answer.error = Some(ErrorReport::decode(&frame)),
                target::PARAMETER_STATUS => self.record_parameter(&frame),
                target::BACKEND_KEY => {
                    if let Some(key) = frame.body().first_chunk::<8>() {
                        let part = |at: usize| {
                            i32::from_be_bytes([key[at], key[at + 1], key[at + 2], key[at + 3]])
                        };
                        self.cancel_key = (part(0), part(4));
                    }
                }
                target::READY => {
                    answer.status = frame.body().first().copied().unwrap_or(0);
                    return Ok(answer);
                }
                _ => {}
            }
        }
    }

    fn record_parameter(&mut self, frame: &Frame) {
        let mut parts = frame.body().split(|it| *it == 0);
        let mut text = || parts.next().map(|it| String::from_utf8_lossy(it).into_owned());
        let (Some(name), Some(value)) = (text(), text()) else { return };
        if name == "gullspar.token" {
            self.token = Some(value.clone());
        }
        self.parameters.insert(name, value);
    }
}

impl Answer {
    /// The outcome of the request according to the SQLSTATE and the hint of its error.
    pub fn outcome(&self) -> RequestOutcome {
        match &self.error {
            None => RequestOutcome::Done,
            Some(report) if report.code == gullspar_model::Unknown::SQL_STATE => {
                RequestOutcome::Unknown
            }
            Some(report) if report.hint.as_deref().is_some_and(|it| it.starts_with("not run")) => {
                RequestOutcome::NotRun
            }
            Some(_) => RequestOutcome::Failed,
        }
    }
}

/// The outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was carried out.
    Done,
    /// The request was not carried out and can be retried.
    NotRun,
    /// The request may or may not have been carried out.
    Unknown,
    /// The target returned an error, for example for a duplicate key.
    Failed,
}
