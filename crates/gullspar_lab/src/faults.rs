//! Faults that can be set while the stand-ins run.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

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

/// How often a thread looks for changes.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// A thread's own event for the changes of a lab's faults.
struct LocalChanges {
    faults: Arc<Faults>,
    changed: Rc<Event>,
}

thread_local! {
    static LOCAL_CHANGES: RefCell<Vec<LocalChanges>> = const { RefCell::new(Vec::new()) };
}

/// Notifies a thread's event of every change, for as long as the thread's runtime lives.
async fn pass_on(faults: Arc<Faults>, changed: Rc<Event>) {
    // From the very start, since the change may lie between the listener and this task's first turn.
    let mut seen = u64::MAX;
    loop {
        let version = faults.version.load(Ordering::Acquire);
        if version != seen {
            seen = version;
            changed.notify(usize::MAX);
        }
        compio::time::sleep(LOOK_EVERY).await;
    }
}

/// The faults in force, shared by all stand-ins of a lab.
#[derive(Default)]
pub struct Faults {
    state: Mutex<FaultState>,
    /// Counts changes.
    version: AtomicU64,
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
        self.version.fetch_add(1, Ordering::Release);
    }

    /// Notified soon after each change; take it before reading, so that no change is missed.
    ///
    /// Each thread has an event of its own, which a task of that thread notifies. With one event for all
    /// threads the lab stood still: whoever set a fault held the event's lock and waited for room in the
    /// queue of a thread that waited for the lock.
    pub fn listen(self: &Arc<Self>) -> EventListener {
        LOCAL_CHANGES.with(|it| {
            let mut local = it.borrow_mut();
            let known = local.iter().find(|it| Arc::ptr_eq(&it.faults, self));
            if let Some(known) = known {
                return known.changed.listen();
            }
            let changed = Rc::new(Event::new());
            let listener = changed.listen();
            compio::runtime::spawn(pass_on(Arc::clone(self), Rc::clone(&changed))).detach();
            local.push(LocalChanges { faults: Arc::clone(self), changed });
            listener
        })
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
    pub fn is_platform_cut(&self, from: &DataCentre) -> bool {
        self.lock().isolated.contains(from)
    }

    /// Whether the platform refuses everything.
    pub fn is_platform_out(&self) -> bool {
        self.lock().platform_out
    }

    /// Whether the answer to the update just carried out is lost.
    pub fn consume_lost_answer(&self) -> bool {
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
