//! Encoding of calls between instances.

use std::io;

use compio::buf::{IoBuf, IoBufMut, Slice};
use compio::io::framed::codec::{Decoder, Encoder};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes and decodes with postcard, a compact binary format.
#[derive(Clone, Copy)]
pub(crate) struct PeerCodec;

fn invalid(err: postcard::Error) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, err)
}

impl<T: Serialize, B: IoBufMut> Encoder<T, B> for PeerCodec {
    type Error = io::Error;

    fn encode(&mut self, item: T, buf: &mut B) -> io::Result<()> {
        postcard::to_io(&item, buf.as_writer()).map(|_| ()).map_err(invalid)
    }
}

impl<T: DeserializeOwned, B: IoBuf> Decoder<T, B> for PeerCodec {
    type Error = io::Error;

    fn decode(&mut self, buf: &Slice<B>) -> io::Result<T> {
        postcard::from_bytes(buf).map_err(invalid)
    }
}
