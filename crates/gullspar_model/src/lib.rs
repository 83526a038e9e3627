//! Data types shared by all crates: names, log positions, tokens, outcomes and the objects stored on the platform.
//!
//! This crate does no input or output.
//! The terms are explained in `docs/GLOSSARY.md`.

mod access;
mod caller_class;
mod claim_id;
mod fence;
mod group_object;
mod group_spec;
mod guard;
mod instance_record;
mod log_point;
mod member_spec;
mod member_status;
mod names;
mod outcome;
mod record;
mod revision;
mod service_object;
mod target_key;
mod token;
mod token_key;

pub use access::Access;
pub use caller_class::{CallerClass, Consistency};
pub use claim_id::ClaimId;
pub use fence::FenceDecision;
pub use group_object::{GroupObject, TermStart};
pub use group_spec::GroupSpec;
#[cfg(feature = "guard_switches")]
pub use guard::switches;
pub use guard::{Guard, should_pause_promotion_after};
pub use instance_record::{InstanceRecord, InstanceState};
pub use log_point::{LogPoint, LogPosition, Term};
pub use member_spec::MemberSpec;
pub use member_status::{MemberRole, MemberStatus};
pub use names::{
    CallerName, CustomerName, DataCentre, GroupName, InstanceId, MemberName, RequestId, ServiceName,
};
pub use outcome::{NotRun, Outcome, SqlState, Unknown};
pub use revision::Revision;
pub use service_object::{CallerSpec, ServiceObject};
pub use target_key::TargetKey;
pub use token::Token;
pub use token_key::{TokenError, TokenKey};
