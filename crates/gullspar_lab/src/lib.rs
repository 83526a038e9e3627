//! A simulated platform and simulated database groups, and a lab that runs them together with real
//! instances in one process.
//!
//! The simulations run the SQL of a real caller and accept injected faults. They don't model a
//! cluster.

mod borders;
mod client;
mod control_server;
mod faults;
pub mod group;
mod history;
mod lab;
mod lab_instance;
mod lab_settings;
mod network;
pub mod platform;
mod reserved_addresses;
mod workload;

pub use client::{Answer, Client, RequestOutcome};
pub use control_server::{LabCommand, run_control};
pub use faults::{FaultChange, Faults, TargetFault};
pub use gullspar_instance::TerminationSignals;
pub use history::{History, Violations, WriteRecord};
pub use lab::{Lab, LabAddresses, LabError, LabTarget};
pub use lab_instance::{InstanceAddresses, LabInstance};
pub use lab_settings::{
    LabCaller, LabInstanceSettings, LabMember, LabService, LabSettings, verifier,
};
pub use network::{Network, Traffic};
pub use workload::{Workload, WorkloadSettings};
