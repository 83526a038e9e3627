//! Password authentication by SCRAM-SHA-256.

use bytes::{BufMut, BytesMut};
use gullspar_wire::{Channel, Frame, WireError, caller, target};
use scram::server::{AuthenticationProvider, PasswordInfo};
use scram::{AuthenticationStatus, ScramServer};

/// Codes of authentication messages.
const SASL: u32 = 10;
const SASL_CONTINUE: u32 = 11;
const SASL_FINAL: u32 = 12;

const MECHANISM: &str = "SCRAM-SHA-256";

/// Salted password hash that a caller's password is checked against.
pub(crate) struct Verifier {
    iterations: u16,
    salt: Vec<u8>,
    hash: Vec<u8>,
}

impl Verifier {
    /// Parses `iterations:salt:hash`, with salt and hash in hex.
    pub(crate) fn parse(text: &str) -> Option<Verifier> {
        let mut parts = text.split(':');
        let iterations = parts.next()?.parse().ok()?;
        let salt = from_hex(parts.next()?)?;
        let hash = from_hex(parts.next()?)?;
        Some(Verifier { iterations, salt, hash })
    }

    /// A verifier that no password matches, for callers that don't exist. Refusing them before the
    /// exchange would reveal which callers exist.
    pub(crate) fn for_unknown_caller() -> Verifier {
        Verifier { iterations: 4096, salt: vec![0; 16], hash: vec![0; 32] }
    }
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u32>> = text.chars().map(|it| it.to_digit(16)).collect();
    let digits = digits?;
    let pairs = digits.chunks_exact(2);
    pairs
        .remainder()
        .is_empty()
        .then(|| digits.chunks_exact(2).map(|it| (it[0] << 4 | it[1]) as u8).collect())
}

impl AuthenticationProvider for Verifier {
    fn get_password_for(&self, _: &str) -> Option<PasswordInfo> {
        // As in PostgreSQL, the user name of the start-up message counts, not the one of the exchange.
        Some(PasswordInfo::new(self.hash.clone(), self.iterations, self.salt.clone()))
    }
}

/// Runs the exchange; `true` if the caller has proved that it knows the password.
pub(crate) async fn authenticate(
    channel: &mut Channel,
    verifier: Verifier,
) -> Result<bool, WireError> {
    let mut offer = BytesMut::from(MECHANISM.as_bytes());
    offer.put_slice(&[0, 0]);
    send(channel, SASL, &offer).await?;
    let first = expect_password(channel).await?;
    let first = first_response(&first)?;
    let server = ScramServer::new(verifier);
    let Ok(exchange) = server.handle_client_first(&first) else {
        return Ok(false);
    };
    let (exchange, challenge) = exchange.server_first();
    send(channel, SASL_CONTINUE, challenge.as_bytes()).await?;
    let last = expect_password(channel).await?;
    let last = text(last.body())?;
    let Ok(exchange) = exchange.handle_client_final(&last) else { return Ok(false) };
    let (verdict, proof) = exchange.server_final();
    if verdict != AuthenticationStatus::Authenticated {
        return Ok(false);
    }
    send(channel, SASL_FINAL, proof.as_bytes()).await?;
    Ok(true)
}

async fn send(channel: &mut Channel, code: u32, data: &[u8]) -> Result<(), WireError> {
    let mut body = BytesMut::new();
    body.put_u32(code);
    body.put_slice(data);
    channel.queue(Frame::new(target::AUTHENTICATION, &body).bytes());
    channel.flush().await
}

async fn expect_password(channel: &mut Channel) -> Result<Frame, WireError> {
    let frame = channel.next().await?;
    if frame.kind() == caller::PASSWORD {
        Ok(frame)
    } else {
        Err(WireError::Malformed("a password message was due".to_owned()))
    }
}

/// The data of a SASLInitialResponse.
fn first_response(frame: &Frame) -> Result<String, WireError> {
    let mechanism = frame.first_text()?;
    if mechanism != MECHANISM {
        return Err(WireError::Malformed(format!("mechanism {mechanism} is not offered")));
    }
    let data = frame.body().get(mechanism.len() + 5..).unwrap_or(&[]);
    text(data)
}

fn text(bytes: &[u8]) -> Result<String, WireError> {
    String::from_utf8(bytes.to_vec())
        .map_err(|_| WireError::Malformed("a password message is not UTF-8".to_owned()))
}
