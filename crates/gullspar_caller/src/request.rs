//! What a caller sent, up to the point where it waits for an answer.

use std::rc::Rc;

use bytes::BytesMut;

use crate::Statement;

/// How a request ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestEnd {
    /// A simple query: one message.
    Query,
    /// A Sync after extended messages.
    Sync,
    /// A Flush: more of the same batch follows.
    Flush,
}

/// A request, with its messages rewritten for shared connections.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) payload: BytesMut,
    /// The statements that it runs, in order.
    pub(crate) statements: Vec<Rc<Statement>>,
    /// Statements that it only parses or describes.
    pub(crate) described: Vec<Rc<Statement>>,
    /// Text of its only statement, where there is just one.
    pub(crate) text: Option<String>,
    /// Type bytes of its messages, for answers that gullspar gives itself.
    pub(crate) kinds: Vec<u8>,
    pub(crate) end: RequestEnd,
}
