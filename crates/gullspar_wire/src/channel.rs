//! A link with a buffer on each side.

use bytes::BytesMut;
use gullspar_border::Link;

use crate::{ErrorReport, Frame, FrameHeader, WireError, messages, target};

/// One row of text columns.
pub type QueryRow = Vec<Option<String>>;

/// Messages over a [`Link`].
pub struct Channel {
    link: Box<dyn Link>,
    incoming: BytesMut,
    outgoing: BytesMut,
    limit: usize,
}

impl Channel {
    /// Memory that an idle connection keeps for reading, in bytes.
    ///
    /// A pending read owns its buffer, so this times the idle connections is what an instance pays.
    const IDLE_BUFFER: usize = 512;

    /// A buffer that grew beyond this is not kept for the next message, in bytes.
    const KEPT_BUFFER: usize = 2 * 1024;

    /// Memory for reading while messages flow, in bytes.
    const BUSY_BUFFER: usize = 16 * 1024;

    /// The longest message accepted by default, in bytes.
    pub const DEFAULT_LIMIT: usize = 16 * 1024 * 1024;

    /// Wraps a link; messages over `limit` bytes are refused.
    pub fn new(link: Box<dyn Link>, limit: usize) -> Channel {
        Channel { link, incoming: BytesMut::new(), outgoing: BytesMut::new(), limit }
    }

    /// The next message.
    pub async fn next(&mut self) -> Result<Frame, WireError> {
        loop {
            if let Some(frame) = Frame::take(&mut self.incoming, self.limit)? {
                return Ok(frame);
            }
            let wanted = match FrameHeader::peek(&self.incoming, self.limit)? {
                Some(header) => header.length.min(4 * Channel::BUSY_BUFFER),
                None => Channel::BUSY_BUFFER,
            };
            self.fill(wanted).await?;
        }
    }

    /// Waits until something has arrived, holding little memory meanwhile.
    pub async fn wait_readable(&mut self) -> Result<(), WireError> {
        if self.incoming.is_empty() {
            if self.incoming.capacity() > Channel::KEPT_BUFFER {
                self.incoming = BytesMut::new();
            }
            self.fill(Channel::IDLE_BUFFER).await?;
        }
        Ok(())
    }

    /// A message that is already here whole.
    pub fn buffered(&mut self) -> Result<Option<Frame>, WireError> {
        Frame::take(&mut self.incoming, self.limit)
    }

    /// Whether bytes are here that nobody asked for yet.
    pub fn has_unread(&self) -> bool {
        !self.incoming.is_empty()
    }

    /// Whether the connection is still there and nobody sent anything unasked.
    pub fn is_quiet(&self) -> bool {
        self.incoming.is_empty() && self.link.is_quiet()
    }

    /// Reads `count` bytes that are no message, as at start-up.
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

    /// The queue itself, for encoders.
    pub fn outgoing(&mut self) -> &mut BytesMut {
        &mut self.outgoing
    }

    /// How much is queued, in bytes.
    pub fn queued(&self) -> usize {
        self.outgoing.len()
    }

    /// Sends what is queued.
    pub async fn flush(&mut self) -> Result<(), WireError> {
        if self.outgoing.is_empty() {
            return Ok(());
        }
        let buf = std::mem::take(&mut self.outgoing);
        let buf = self.link.send(buf).await?;
        if buf.capacity() <= Channel::KEPT_BUFFER {
            self.outgoing = buf;
        }
        Ok(())
    }

    /// Runs a statement of our own as a client and gives its rows.
    pub async fn query(&mut self, sql: &str) -> Result<Vec<QueryRow>, WireError> {
        self.queue(messages::query(sql).bytes());
        self.flush().await?;
        self.read_answer().await
    }

    /// Reads the answer to a statement of our own that was sent already.
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

    /// Ends the connection so that the other side reads everything that was sent to it.
    ///
    /// Closed while something it sent lies unread here, the connection would be reset, and the reset
    /// overtakes the last message: a caller that was told "not run" would see a broken connection and
    /// not know. So our direction ends first, and what still comes is read and dropped.
    pub async fn finish(&mut self) -> Result<(), WireError> {
        self.flush().await?;
        self.link.close_write().await?;
        loop {
            self.incoming.clear();
            self.fill(Channel::IDLE_BUFFER).await?;
        }
    }

    async fn fill(&mut self, room: usize) -> Result<(), WireError> {
        let mut buf = std::mem::take(&mut self.incoming);
        let before = buf.len();
        buf.reserve(room);
        let buf = self.link.recv(buf).await?;
        if buf.len() == before {
            return Err(WireError::Closed);
        }
        self.incoming = buf;
        Ok(())
    }
}
