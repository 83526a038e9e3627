//! The session token, which holds how far a session has written or read.

use crate::{GroupName, LogPoint};

crate::record! {
    /// The log position that a session must still see after it has moved to another instance.
    ///
    /// It is sent with each answer and signed by [`TokenKey`](crate::TokenKey).
    pub struct Token {
        pub group: GroupName,
        pub point: LogPoint,
    }
}
