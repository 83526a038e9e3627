//! Guards against panics on malformed input, and against framing that changes messages.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use bytes::BytesMut;
use gullspar_model::Outcome;
use gullspar_wire::{
    ErrorReport, Frame, LaneFrame, LaneUnit, WireError, bind_parts, kind_and_name, parse_parts,
    row_values, startup_parameters, texts_and_rest,
};
use proptest::prelude::*;

proptest! {
    /// Guards against a panic when a peer sends malformed bytes.
    #[test]
    fn decoding_arbitrary_bytes_does_not_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let mut buf = BytesMut::from(bytes.as_slice());
        while let Ok(Some(frame)) = Frame::take(&mut buf, 1000) {
            // Each decoder returns a value or an error.
            let _ = (parse_parts(&frame), bind_parts(&frame), kind_and_name(&frame), row_values(&frame));
            let _ = (frame.first_text(), ErrorReport::decode(&frame));
            let _ = LaneFrame::decode::<LaneUnit>(&frame);
            let _ = LaneFrame::decode::<Outcome>(&frame);
        }
        let _ = startup_parameters(&bytes);
    }

    /// Guards against encoding and decoding that disagree on a message's parts.
    #[test]
    fn a_message_is_decoded_as_it_was_encoded(
        kind in any::<u8>(),
        texts in proptest::collection::vec("[^\\x00]{0,20}", 2),
        rest in proptest::collection::vec(any::<u8>(), 0..40),
    ) {
        let written = texts_and_rest(kind, &[texts[0].as_str(), texts[1].as_str()], &rest);
        let mut buf = BytesMut::from(written.bytes());
        let read = Frame::take(&mut buf, 10_000).unwrap().unwrap();
        prop_assert!(buf.is_empty());
        let (one, other, tail) = parse_parts(&read).unwrap();
        prop_assert_eq!((one, other, tail), (texts[0].as_str(), texts[1].as_str(), rest.as_slice()));
    }

    /// Guards against a message being read before all of it has arrived.
    #[test]
    fn an_incomplete_message_is_not_returned_before_its_end(body in proptest::collection::vec(any::<u8>(), 0..50), cut in any::<prop::sample::Index>()) {
        let whole = Frame::new(b'Q', &body);
        let at = cut.index(whole.bytes().len());
        let mut buf = BytesMut::from(&whole.bytes()[..at]);
        prop_assert!(Frame::take(&mut buf, 1000).unwrap().is_none());
        buf.extend_from_slice(&whole.bytes()[at..]);
        prop_assert_eq!(Frame::take(&mut buf, 1000).unwrap(), Some(whole));
    }
}

/// Guards against waiting for the body of a message whose length is invalid or over the limit.
#[test]
fn lengths_out_of_range_are_refused_from_the_header() {
    let mut short = BytesMut::from(&[b'Q', 0, 0, 0, 3][..]);
    assert!(matches!(Frame::take(&mut short, 1000), Err(WireError::Malformed(_))));
    let mut long = BytesMut::from(&[b'Q', 0, 1, 0, 0][..]);
    assert!(matches!(Frame::take(&mut long, 1000), Err(WireError::TooLarge(b'Q', 65_536, 1000))));
}
