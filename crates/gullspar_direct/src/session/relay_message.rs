//! What instances send each other about a forwarded session.

use gullspar_model::record;
use gullspar_statement::{Answer, CallerMessage};

use crate::RestoredSession;

record! {
    /// What the instance that a caller is connected to sends to the home.
    pub enum RelayMessage {
        Caller(CallerMessage),
        /// Reply to [`RelayReply::Ending`]: no more messages follow.
        Ended,
        /// Opens a session that another instance has served so far; it is answered like an opening.
        Restore(RestoredSession),
    }
}

record! {
    /// What the home sends back.
    pub enum RelayReply {
        Answer(Answer),
        /// The home wants to end the session; it still answers what was sent before.
        ///
        /// Without this message, closing the session could lose a request that is on its way between the two instances.
        Ending,
    }
}
