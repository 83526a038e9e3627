//! Length-prefixed messages between instances.

use bytes::{Buf, BytesMut};
use gullspar_border::{Link, PeerError};
use gullspar_direct::{ForwardedSession, SnapshotRequest};
use gullspar_model::record;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::TcpLink;

/// Maximum size of a received message, in bytes; a configuration of some thousand services fits.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Size of the length prefix, in bytes.
const LENGTH_BYTES: usize = 4;

/// Free buffer space reserved before each read, in bytes; an idle connection holds this much.
const READ_RESERVE_BYTES: usize = 1024;

record! {
    /// The first message on a connection between instances.
    pub(crate) enum Hello {
        /// Requests a newer catalogue and target list; answered with one snapshot.
        Snapshot(SnapshotRequest),
        /// A caller's session follows.
        Session(ForwardedSession),
    }
}

/// Sends and receives messages over a link.
pub(crate) struct Framed {
    link: TcpLink,
    buf: BytesMut,
}

impl Framed {
    pub(crate) fn new(link: TcpLink) -> Framed {
        Framed { link, buf: BytesMut::new() }
    }

    /// Sends one message.
    ///
    /// # Errors
    ///
    /// Fails if the message can't be encoded or the connection is broken.
    pub(crate) async fn write<T: Serialize>(&mut self, message: &T) -> Result<(), PeerError> {
        let body = postcard::to_stdvec(message).map_err(PeerError::no_answer)?;
        let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
        buf.extend_from_slice(&(body.len() as u32).to_be_bytes());
        buf.extend_from_slice(&body);
        self.link.send(buf).await.map_err(PeerError::no_answer)?;
        Ok(())
    }

    /// Receives the next message; `None` at the end of the connection.
    ///
    /// Cancel safe: dropping the call loses no data.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken, or if the message is too long or malformed.
    pub(crate) async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, PeerError> {
        loop {
            if let Some(message) = self.take_message()? {
                return Ok(Some(message));
            }
            let before = self.buf.len();
            let mut buf = std::mem::take(&mut self.buf);
            buf.reserve(READ_RESERVE_BYTES);
            self.buf = self.link.recv(buf).await.map_err(PeerError::no_answer)?;
            if self.buf.len() == before {
                return Ok(None);
            }
        }
    }

    fn take_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, PeerError> {
        let Some(length) = self.buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(PeerError::no_answer("the message is too long"));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let body = self.buf.split_to(length);
        postcard::from_bytes(&body).map(Some).map_err(PeerError::no_answer)
    }

    /// Whether there is nothing to read, neither a message nor the end of the connection.
    pub(crate) fn is_quiet(&self) -> bool {
        self.buf.is_empty() && self.link.is_quiet()
    }
}
