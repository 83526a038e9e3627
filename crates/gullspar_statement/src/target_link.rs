//! The interface to connections to targets.

use std::io;
use std::time::Instant;

use futures::future::LocalBoxFuture;
use gullspar_model::{CustomerName, LogPoint};
use quick_error::quick_error;

use crate::{Answer, Failure, TargetCommand, TargetSpec};

quick_error! {
    /// Why a connection to a target can no longer be used.
    #[derive(Debug)]
    pub enum TargetLinkError {
        /// The connection broke.
        Broken(err: io::Error) {
            from()
            source(err)
            display("the target's connection broke: {err}")
        }
        /// The data is not a valid answer.
        Unreadable(reason: &'static str) {
            display("unreadable answer of the target: {reason}")
        }
    }
}

quick_error! {
    /// Why no connection to a target could be opened.
    #[derive(Debug)]
    pub enum OpenError {
        /// The target refused the connection.
        Refused(failure: Failure) {
            display("refused: {}", failure.text)
        }
        /// Nothing answered at the target's address, or not before the deadline.
        Unreachable(reason: String) {
            display("unreachable: {reason}")
        }
    }
}

/// A connection to a target.
pub trait TargetLink {
    /// Sends all commands at once and collects their answers in order.
    ///
    /// If the call is dropped before it finishes, the connection is in an unknown state and must be closed.
    fn exchange(
        &mut self,
        commands: Vec<TargetCommand>,
    ) -> LocalBoxFuture<'_, Result<Vec<Answer>, TargetLinkError>>;

    /// Whether the connection is still open and no unexpected data arrived.
    fn is_quiet(&self) -> bool;
}

/// A newly opened connection.
pub struct OpenedTarget {
    pub link: Box<dyn TargetLink>,
    /// The end of the target's log.
    pub point: Option<LogPoint>,
}

/// Opens connections to targets.
pub trait TargetDialer {
    /// Connects to the member that `spec` names, and fails if another member answers. The connection may be used for
    /// `customer` only.
    ///
    /// # Errors
    ///
    /// Fails if the target refuses the connection, or can't be reached before `deadline`.
    fn open<'a>(
        &'a self,
        spec: &'a TargetSpec,
        customer: Option<&'a CustomerName>,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<OpenedTarget, OpenError>>;
}
