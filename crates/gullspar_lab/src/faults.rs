//! Faults that can be set while the stand-ins run.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use event_listener::{Event, EventListener};
use gullspar_model::{DataCentre, record};

record! {
    /// What is wrong with a target.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetFault {
        /// Nothing.
        None,
        /// Connections are dropped and none is accepted; the data stays.
        Stopped,
        /// Connections are accepted and nothing is answered.
        Hung,
        /// Each statement takes this many milliseconds longer.
        Slow(u64),
    }
}

record! {
    /// A change to the faults, as `gullsparctl lab fault` sends it.
    #[serde(rename_all = "snake_case")]
    pub enum FaultChange {
        /// Sets the fault of a member, named `group/member`.
        Target { target: String, fault: TargetFault },
        /// Cuts two data centres off from each other, or joins them again.
        Cut { between: DataCentre, and: DataCentre, cut: bool },
        /// Cuts a data centre off from all others and from the platform, or joins it again.
        Isolate { data_centre: DataCentre, cut: bool },
        /// Takes the platform out, or back.
        PlatformOut { out: bool },
        /// Lets this many updates take effect without an answer.
        PlatformLosesAnswers { count: u32 },
        /// Sets how far replicas stay behind, in milliseconds.
        ReplicationLag { lag_ms: u64 },
    }
}

#[derive(Default)]
struct FaultState {
    targets: BTreeMap<String, TargetFault>,
    cuts: BTreeSet<(DataCentre, DataCentre)>,
    isolated: BTreeSet<DataCentre>,
    platform_out: bool,
    lose_answers: u32,
    lag_ms: Option<u64>,
}

/// The faults in force, shared by all stand-ins of a lab.
#[derive(Default)]
pub struct Faults {
    state: Mutex<FaultState>,
    changed: Event,
}

impl Faults {
    /// No faults.
    pub fn new() -> Arc<Faults> {
        Arc::default()
    }

    /// Applies a change at once.
    pub fn apply(&self, change: FaultChange) {
        self.change(|state| match change {
            FaultChange::Target { target, fault } => {
                state.targets.insert(target, fault);
            }
            FaultChange::Cut { between, and, cut } => {
                let pair = ordered(&between, &and);
                if cut {
                    state.cuts.insert(pair)
                } else {
                    state.cuts.remove(&pair)
                };
            }
            FaultChange::Isolate { data_centre, cut } => {
                if cut {
                    state.isolated.insert(data_centre)
                } else {
                    state.isolated.remove(&data_centre)
                };
            }
            FaultChange::PlatformOut { out } => state.platform_out = out,
            FaultChange::PlatformLosesAnswers { count } => state.lose_answers = count,
            FaultChange::ReplicationLag { lag_ms } => state.lag_ms = Some(lag_ms),
        });
        self.changed.notify(usize::MAX);
    }

    /// Notified at each change; take it before reading, so that no change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// The fault of a member, named `group/member`.
    pub fn target(&self, target: &str) -> TargetFault {
        self.lock().targets.get(target).copied().unwrap_or(TargetFault::None)
    }

    /// Whether messages between two data centres are lost.
    pub fn is_cut(&self, one: &DataCentre, other: &DataCentre) -> bool {
        if one == other {
            return false;
        }
        let state = self.lock();
        state.cuts.contains(&ordered(one, other))
            || state.isolated.contains(one)
            || state.isolated.contains(other)
    }

    /// Whether the platform can't be reached from `from`.
    pub fn platform_cut(&self, from: &DataCentre) -> bool {
        self.lock().isolated.contains(from)
    }

    /// Whether the platform refuses everything.
    pub fn platform_out(&self) -> bool {
        self.lock().platform_out
    }

    /// Whether the answer to the update just carried out is lost.
    pub fn loses_answer(&self) -> bool {
        let mut state = self.lock();
        let lose = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        lose
    }

    /// Replication lag in milliseconds, where one was set.
    pub fn lag_ms(&self) -> Option<u64> {
        self.lock().lag_ms
    }

    fn change(&self, f: impl FnOnce(&mut FaultState)) {
        f(&mut self.lock());
    }

    fn lock(&self) -> MutexGuard<'_, FaultState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn ordered(one: &DataCentre, other: &DataCentre) -> (DataCentre, DataCentre) {
    if one <= other { (one.clone(), other.clone()) } else { (other.clone(), one.clone()) }
}
