//! A request: the messages a caller sends before it waits for an answer.

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
    /// A Flush; the batch continues.
    Flush,
}

/// A request; its messages use the shared names of prepared statements.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) payload: BytesMut,
    /// Statements that it runs, in order.
    pub(crate) statements: Vec<Rc<Statement>>,
    /// Statements that it only parses or describes.
    pub(crate) described: Vec<Rc<Statement>>,
    /// Text of its query, or of the statement that it parses or binds last.
    pub(crate) text: Option<String>,
    /// Type bytes of its messages, needed to answer it locally.
    pub(crate) kinds: Vec<u8>,
    pub(crate) end: RequestEnd,
}
