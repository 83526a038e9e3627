//! Settings files: JSON with comments. A file is checked as a whole, and every error is reported with its position.
//!
//! The reference in `docs/settings.md` is generated from the definition of [`InstanceSettings`].

mod cores;
mod direct_settings;
mod finding;
mod instance_settings;
mod jsonc_file;
mod option_doc;
mod options;
mod seconds;

pub use cores::Cores;
pub use direct_settings::DirectSettings;
pub use finding::{Finding, Findings};
pub use instance_settings::InstanceSettings;
pub use jsonc_file::JsoncFile;
pub use option_doc::{OptionDoc, render_reference};
pub use seconds::Seconds;
