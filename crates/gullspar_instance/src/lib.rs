//! Assembles the components of one instance and runs them.

mod instance;
mod peer_side;
mod report;
mod settings_reader;
mod signals;

pub use gullspar_net::enter_timer_context;
pub use instance::{Instance, InstanceError, InstanceTiming, system_borders};
pub use settings_reader::{ReadError, SettingsReader};
pub use signals::{InstanceSignals, Signals, TerminationSignals};
