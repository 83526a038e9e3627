//! The session token: how far a session has written or read.

use crate::{GroupName, LogPoint};

crate::record! {
    /// What a session must still see after it moved to another instance.
    ///
    /// It is handed out with each answer and signed by [`TokenKey`](crate::TokenKey).
    pub struct Token {
        pub group: GroupName,
        pub point: LogPoint,
    }
}
