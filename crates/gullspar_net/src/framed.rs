//! Messages between instances, each with its length before it.

use bytes::{Buf, BytesMut};
use gullspar_border::{Link, PeerError};
use gullspar_direct::{ForwardedSession, SnapshotRequest};
use gullspar_model::record;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::TcpLink;

/// The longest message that is read, in bytes: a configuration of some thousand services.
const MESSAGE_LIMIT: usize = 8 * 1024 * 1024;

/// Bytes of the length.
const LENGTH_BYTES: usize = 4;

/// Memory that an idle connection holds for reading, in bytes.
const READ_ROOM: usize = 1024;

record! {
    /// What a connection between instances begins with.
    pub(crate) enum Hello {
        /// Asks for what is newer; one snapshot answers it.
        Snapshot(SnapshotRequest),
        /// A caller's session follows.
        Session(ForwardedSession),
    }
}

/// A link that carries messages.
pub(crate) struct Framed {
    link: TcpLink,
    buf: BytesMut,
}

impl Framed {
    pub(crate) fn new(link: TcpLink) -> Framed {
        Framed { link, buf: BytesMut::new() }
    }

    /// Sends one message.
    pub(crate) async fn write<T: Serialize>(&mut self, message: &T) -> Result<(), PeerError> {
        let body = postcard::to_stdvec(message).map_err(PeerError::no_answer)?;
        let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
        buf.extend_from_slice(&(body.len() as u32).to_be_bytes());
        buf.extend_from_slice(&body);
        self.link.send(buf).await.map_err(PeerError::no_answer)?;
        Ok(())
    }

    /// The next message; `None` at the end. A call that is dropped loses nothing.
    pub(crate) async fn read<T: DeserializeOwned>(&mut self) -> Result<Option<T>, PeerError> {
        loop {
            if let Some(message) = self.take()? {
                return Ok(Some(message));
            }
            let before = self.buf.len();
            let mut buf = std::mem::take(&mut self.buf);
            buf.reserve(READ_ROOM);
            self.buf = self.link.recv(buf).await.map_err(PeerError::no_answer)?;
            if self.buf.len() == before {
                return Ok(None);
            }
        }
    }

    fn take<T: DeserializeOwned>(&mut self) -> Result<Option<T>, PeerError> {
        let Some(length) = self.buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MESSAGE_LIMIT {
            return Err(PeerError::no_answer("the message is too long"));
        }
        if self.buf.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buf.advance(LENGTH_BYTES);
        let body = self.buf.split_to(length);
        postcard::from_bytes(&body).map(Some).map_err(PeerError::no_answer)
    }

    /// Whether nothing waits to be read, the end of the connection included.
    pub(crate) fn is_quiet(&self) -> bool {
        self.buf.is_empty() && self.link.is_quiet()
    }
}
