//! A buffered link that reads and writes frames.

use bytes::BytesMut;
use gullspar_border::Link;

use crate::{ErrorReport, Frame, FrameHeader, WireError, messages, target};

/// A row's columns as text; `None` is a null.
pub type QueryRow = Vec<Option<String>>;

/// Reads and writes messages over a [`Link`], with a buffer for each direction.
pub struct Channel {
    link: Box<dyn Link>,
    incoming: BytesMut,
    outgoing: BytesMut,
    max_length: usize,
}

impl Channel {
    /// Size of the read buffer of an idle connection, in bytes.
    ///
    /// A pending read owns its buffer, so every idle connection holds this much memory.
    const IDLE_BUFFER: usize = 512;

    /// Larger buffers are released instead of being reused, in bytes.
    const MAX_KEPT_BUFFER: usize = 2 * 1024;

    /// Size of the read buffer while a message is being received, in bytes.
    const BUSY_BUFFER: usize = 16 * 1024;

    /// Default maximum length of a message, in bytes.
    pub const DEFAULT_LIMIT: usize = 16 * 1024 * 1024;

    /// Wraps a link; messages longer than `max_length` bytes are refused.
    pub fn new(link: Box<dyn Link>, max_length: usize) -> Channel {
        Channel { link, incoming: BytesMut::new(), outgoing: BytesMut::new(), max_length }
    }

    /// Reads the next message.
    pub async fn next(&mut self) -> Result<Frame, WireError> {
        loop {
            if let Some(frame) = Frame::take(&mut self.incoming, self.max_length)? {
                return Ok(frame);
            }
            let wanted = match FrameHeader::peek(&self.incoming, self.max_length)? {
                Some(header) => header.length.min(4 * Channel::BUSY_BUFFER),
                None => Channel::BUSY_BUFFER,
            };
            self.fill(wanted).await?;
        }
    }

    /// Waits until data has arrived, with a small read buffer in the meantime.
    pub async fn wait_readable(&mut self) -> Result<(), WireError> {
        if self.incoming.is_empty() {
            if self.incoming.capacity() > Channel::MAX_KEPT_BUFFER {
                self.incoming = BytesMut::new();
            }
            self.fill(Channel::IDLE_BUFFER).await?;
        }
        Ok(())
    }

    /// Returns the next message if it is already buffered completely.
    pub fn buffered(&mut self) -> Result<Option<Frame>, WireError> {
        Frame::take(&mut self.incoming, self.max_length)
    }

    /// Whether received bytes are buffered that were not read yet.
    pub fn has_unread(&self) -> bool {
        !self.incoming.is_empty()
    }

    /// Whether the connection is open and no data was received that is still unread.
    pub fn is_quiet(&self) -> bool {
        self.incoming.is_empty() && self.link.is_quiet()
    }

    /// Reads `count` bytes that are not framed as a message, as at start-up.
    pub async fn next_raw(&mut self, count: usize) -> Result<BytesMut, WireError> {
        while self.incoming.len() < count {
            self.fill(Channel::IDLE_BUFFER).await?;
        }
        Ok(self.incoming.split_to(count))
    }

    /// Queues `bytes` for the next [`flush`](Channel::flush).
    pub fn queue(&mut self, bytes: &[u8]) {
        self.outgoing.extend_from_slice(bytes);
    }

    /// The buffer of queued bytes, for encoders that append to it.
    pub fn outgoing(&mut self) -> &mut BytesMut {
        &mut self.outgoing
    }

    /// Number of queued bytes.
    pub fn queued(&self) -> usize {
        self.outgoing.len()
    }

    /// Sends the queued bytes.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.outgoing.is_empty() {
            return Ok(());
        }
        let buf = std::mem::take(&mut self.outgoing);
        let buf = self.link.send(buf).await?;
        if buf.capacity() <= Channel::MAX_KEPT_BUFFER {
            self.outgoing = buf;
        }
        Ok(())
    }

    /// Runs a statement as a client and returns its rows, or the server's error.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<QueryRow>, WireError> {
        self.queue(messages::query(sql).bytes());
        self.flush().await?;
        self.read_answer().await
    }

    /// Reads the rows, or the server's error, of a statement that was already sent.
    pub async fn read_answer(&mut self) -> Result<Vec<QueryRow>, WireError> {
        let mut rows = Vec::new();
        let mut failure = None;
        loop {
            let frame = self.next().await?;
            match frame.kind() {
                target::DATA_ROW => rows.push(messages::row_values(&frame)?),
                target::ERROR => failure = Some(ErrorReport::decode(&frame)),
                target::READY => break,
                _ => {}
            }
        }
        match failure {
            Some(report) => Err(WireError::Server(report)),
            None => Ok(rows),
        }
    }

    /// Closes the connection so that the peer can read everything that was sent to it.
    ///
    /// A socket closed with unread data resets the connection, and the peer may then lose the last
    /// message, such as an error that says "not run". So only the write side is closed, and incoming
    /// data is discarded until the peer closes its side, which ends with [`WireError::Closed`].
    pub async fn finish(&mut self) -> Result<(), WireError> {
        self.flush().await?;
        self.link.close_write().await?;
        loop {
            self.incoming.clear();
            self.fill(Channel::IDLE_BUFFER).await?;
        }
    }

    async fn fill(&mut self, additional: usize) -> Result<(), WireError> {
        let mut buf = std::mem::take(&mut self.incoming);
        let old_len = buf.len();
        buf.reserve(additional);
        let buf = self.link.recv(buf).await?;
        if buf.len() == old_len {
            return Err(WireError::Closed);
        }
        self.incoming = buf;
        Ok(())
    }
}
