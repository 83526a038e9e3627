//! Answers that gullspar creates itself, in the form a target would send them.

use bytes::{BufMut, BytesMut};
use gullspar_wire::{Channel, Frame, caller, command_complete, target};

/// A setting's name and value, sent as a row of one column.
#[derive(Clone, Copy)]
pub(crate) struct ShownSetting<'s> {
    pub(crate) name: &'s str,
    pub(crate) value: &'s str,
}

/// Queues the answer to each message of a request; `kinds` are the messages' type bytes.
pub(crate) fn complete_locally(
    channel: &mut Channel,
    kinds: &[u8],
    row: Option<ShownSetting<'_>>,
    tag: &str,
) {
    let description = row.map(|it| text_column(it.name));
    for kind in kinds {
        match *kind {
            caller::QUERY => {
                if let Some(description) = &description {
                    channel.queue(description.bytes());
                }
                queue_row(channel, row, tag);
            }
            caller::PARSE => channel.queue(Frame::new(target::PARSE_COMPLETE, &[]).bytes()),
            caller::BIND => channel.queue(Frame::new(target::BIND_COMPLETE, &[]).bytes()),
            caller::CLOSE => channel.queue(Frame::new(target::CLOSE_COMPLETE, &[]).bytes()),
            caller::DESCRIBE => match &description {
                Some(description) => channel.queue(description.bytes()),
                None => channel.queue(Frame::new(target::NO_DATA, &[]).bytes()),
            },
            caller::EXECUTE => queue_row(channel, row, tag),
            _ => {}
        }
    }
}

fn queue_row(channel: &mut Channel, row: Option<ShownSetting<'_>>, tag: &str) {
    if let Some(ShownSetting { value, .. }) = row {
        let mut body = BytesMut::new();
        body.put_u16(1);
        body.put_i32(value.len() as i32);
        body.put_slice(value.as_bytes());
        channel.queue(Frame::new(target::DATA_ROW, &body).bytes());
    }
    channel.queue(command_complete(tag).bytes());
}

fn text_column(name: &str) -> Frame {
    /// PostgreSQL's OID of the type `text`.
    const TEXT: u32 = 25;
    let mut body = BytesMut::new();
    body.put_u16(1);
    body.put_slice(name.as_bytes());
    body.put_u8(0);
    body.put_u32(0);
    body.put_u16(0);
    body.put_u32(TEXT);
    body.put_i16(-1);
    body.put_i32(-1);
    body.put_u16(0);
    Frame::new(target::ROW_DESCRIPTION, &body)
}
