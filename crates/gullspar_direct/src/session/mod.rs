//! Callers' sessions: opening, serving, forwarding to other instances, and closing.

pub(crate) mod caller_opening;
pub(crate) mod caller_session;
pub(crate) mod forwarded_session;
mod forwarded_state;
pub(crate) mod home_link;
mod home_opening;
pub(crate) mod opening;
pub(crate) mod refusal;
pub(crate) mod relay;
pub(crate) mod relay_message;
pub(crate) mod request;
pub(crate) mod restored_session;
pub(crate) mod session_end;
pub(crate) mod session_start;
pub(crate) mod session_values;
pub(crate) mod shutdown;
mod statement_execution;
pub(crate) mod trace;
