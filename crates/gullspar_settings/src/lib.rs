//! Settings: JSON with comments, checked as a whole, with every finding at its place.
//!
//! The reference in `docs/settings.md` is generated from the definitions in [`InstanceSettings`].

mod finding;
mod instance_settings;
mod jsonc_file;
mod option_doc;
mod options;

pub use finding::{Finding, Findings};
pub use instance_settings::InstanceSettings;
pub use jsonc_file::JsoncFile;
pub use option_doc::{OptionDoc, reference};
