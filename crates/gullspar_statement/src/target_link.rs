//! The side of targets.

use std::io;
use std::time::Instant;

use futures::future::LocalBoxFuture;
use gullspar_model::{CustomerName, LogPoint};
use quick_error::quick_error;

use crate::{Answer, Failure, TargetCommand, TargetSpec};

quick_error! {
    /// Why a target's connection is of no more use.
    #[derive(Debug)]
    pub enum TargetLinkError {
        /// The connection broke.
        Broken(err: io::Error) {
            from()
            source(err)
            display("the target's connection broke: {err}")
        }
        /// What came is no answer.
        Unreadable(reason: &'static str) {
            display("unreadable: {reason}")
        }
    }
}

quick_error! {
    /// Why no connection to a target could be opened.
    #[derive(Debug)]
    pub enum OpenError {
        /// The target answers and refuses.
        Refused(failure: Failure) {
            display("refused: {}", failure.text)
        }
        /// Nothing answers at its address, or not in time.
        Unreachable(reason: String) {
            display("unreachable: {reason}")
        }
    }
}

/// A connection to a target.
pub trait TargetLink {
    /// Sends all commands at once and collects their answers in order.
    ///
    /// Dropped half way, the connection is in an unknown state and must be closed.
    fn exchange(
        &mut self,
        commands: Vec<TargetCommand>,
    ) -> LocalBoxFuture<'_, Result<Vec<Answer>, TargetLinkError>>;

    /// Whether the connection is still there and nothing came unasked.
    fn is_quiet(&self) -> bool;
}

/// A connection just opened.
pub struct OpenedTarget {
    pub link: Box<dyn TargetLink>,
    /// The end of the target's log.
    pub point: Option<LogPoint>,
}

/// Opens connections to targets.
pub trait TargetDialer {
    /// Connects to the member that `spec` names and to no other, for `customer` and nobody else, giving up at
    /// `deadline`.
    fn open<'a>(
        &'a self,
        spec: &'a TargetSpec,
        customer: Option<&'a CustomerName>,
        deadline: Instant,
    ) -> LocalBoxFuture<'a, Result<OpenedTarget, OpenError>>;
}
