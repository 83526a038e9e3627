//! Framing of protocol messages.

use bytes::{Buf, BytesMut};

use crate::WireError;

/// A complete message: type byte, length and body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Frame {
    bytes: BytesMut,
}

/// The header of a message: its type byte and length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrameHeader {
    /// The type byte.
    pub kind: u8,
    /// Length of the message including its header, in bytes.
    pub length: usize,
}

impl FrameHeader {
    /// Size of a header, in bytes.
    pub const SIZE: usize = 5;

    /// Reads the header at the start of `buf`; `None` if `buf` is shorter than a header.
    ///
    /// Fails if the length is over `max_length`, or under four: the length counts its own four bytes,
    /// so the message boundaries are unknown then and the connection can't be used further.
    pub fn peek(buf: &[u8], max_length: usize) -> Result<Option<FrameHeader>, WireError> {
        let Some(head) = buf.first_chunk::<{ FrameHeader::SIZE }>() else {
            return Ok(None);
        };
        let kind = head[0];
        let body = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if body < 4 {
            return Err(WireError::Malformed(format!("length {body} of message {kind:#04x}")));
        }
        if body > max_length {
            return Err(WireError::TooLarge(kind, body, max_length));
        }
        Ok(Some(FrameHeader { kind, length: body + 1 }))
    }
}

impl Frame {
    /// Splits the first message off `buf`; `None` if it is incomplete.
    pub fn take(buf: &mut BytesMut, max_length: usize) -> Result<Option<Frame>, WireError> {
        let Some(header) = FrameHeader::peek(buf, max_length)? else {
            return Ok(None);
        };
        if buf.len() < header.length {
            return Ok(None);
        }
        Ok(Some(Frame { bytes: buf.split_to(header.length) }))
    }

    /// Whether `bytes`, a sequence of complete messages, contains one of type `kind`.
    pub fn contains_kind(mut bytes: &[u8], kind: u8) -> bool {
        while let Ok(Some(header)) = FrameHeader::peek(bytes, usize::MAX) {
            if header.kind == kind {
                return true;
            }
            bytes = bytes.get(header.length..).unwrap_or(&[]);
        }
        false
    }

    /// Creates a message from its type byte and body.
    pub fn new(kind: u8, body: &[u8]) -> Frame {
        let mut bytes = BytesMut::with_capacity(FrameHeader::SIZE + body.len());
        bytes.extend_from_slice(&[kind]);
        bytes.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
        bytes.extend_from_slice(body);
        Frame { bytes }
    }

    /// The type byte.
    pub fn kind(&self) -> u8 {
        self.bytes[0]
    }

    /// The body, without the header.
    pub fn body(&self) -> &[u8] {
        &self.bytes[FrameHeader::SIZE..]
    }

    /// The encoded message, including the header.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// The encoded message, as a buffer that a decoder can consume.
    pub fn into_bytes(self) -> BytesMut {
        self.bytes
    }

    /// The zero-terminated text at the start of the body.
    pub fn first_text(&self) -> Result<&str, WireError> {
        text_at(self.body()).map(|(text, _)| text)
    }
}

/// Splits a zero-terminated text off the start of `body`.
pub(crate) fn text_at(body: &[u8]) -> Result<(&str, &[u8]), WireError> {
    let end = body
        .iter()
        .position(|it| *it == 0)
        .ok_or_else(|| WireError::Malformed("text without its end".to_owned()))?;
    let text = std::str::from_utf8(&body[..end])
        .map_err(|_| WireError::Malformed("text that is not UTF-8".to_owned()))?;
    let mut rest = &body[end..];
    rest.advance(1);
    Ok((text, rest))
}
