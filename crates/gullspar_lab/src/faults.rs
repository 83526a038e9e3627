//! Faults that can be injected while a lab runs.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use event_listener::{Event, EventListener};
use gullspar_model::{DataCentre, record};

record! {
    /// The fault of a target.
    #[derive(Copy)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetFault {
        /// The target works.
        None,
        /// Open connections are dropped and new ones are closed at once; the data is kept.
        Stopped,
        /// Connections are accepted, but no request is answered.
        Hung,
        /// Each statement takes this many milliseconds longer.
        Slow(u64),
    }
}

record! {
    /// A change to the faults, as `gullsparctl lab fault` sends it.
    #[serde(rename_all = "snake_case")]
    pub enum FaultChange {
        /// Sets the fault of a member; `target` is `group/member`.
        Target { target: String, fault: TargetFault },
        /// Cuts the link between two data centres, or restores it.
        Cut { between: DataCentre, and: DataCentre, cut: bool },
        /// Cuts the links from a data centre to all others and to the platform, or restores them.
        Isolate { data_centre: DataCentre, cut: bool },
        /// Makes the platform unavailable, or available again.
        PlatformOut { out: bool },
        /// Carries out the next `count` updates, but loses their answers.
        PlatformLosesAnswers { count: u32 },
        /// Sets the replication lag of all groups, in milliseconds.
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

/// How often a thread checks for changes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The event by which one thread learns of changes to a lab's faults.
struct LocalChanges {
    faults: Arc<Faults>,
    changed: Rc<Event>,
}

thread_local! {
    static LOCAL_CHANGES: RefCell<Vec<LocalChanges>> = const { RefCell::new(Vec::new()) };
}

/// Notifies a thread's event of every change, for as long as the thread's runtime lives.
async fn notify_changes(faults: Arc<Faults>, changed: Rc<Event>) {
    // Notifies at the first turn too: a change may have come before this task started.
    let mut seen = u64::MAX;
    loop {
        let version = faults.version.load(Ordering::Acquire);
        if version != seen {
            seen = version;
            changed.notify(usize::MAX);
        }
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The current faults, shared by all servers and instances of a lab.
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

    /// A listener that is notified soon after each change. Create it before reading the faults, so that
    /// no change is missed.
    ///
    /// Each thread has its own event, which a task of that thread notifies. A single event for all threads
    /// could deadlock: the thread that notifies holds the event's lock while it waits for space in the
    /// task queue of a thread that waits for that lock.
    pub fn listen(self: &Arc<Self>) -> EventListener {
        LOCAL_CHANGES.with(|it| {
            let mut local = it.borrow_mut();
            let known = local.iter().find(|it| Arc::ptr_eq(&it.faults, self));
            if let Some(known) = known {
                return known.changed.listen();
            }
            let changed = Rc::new(Event::new());
            let listener = changed.listen();
            compio::runtime::spawn(notify_changes(Arc::clone(self), Rc::clone(&changed))).detach();
            local.push(LocalChanges { faults: Arc::clone(self), changed });
            listener
        })
    }

    /// The fault of a member; `target` is `group/member`.
    pub fn target(&self, target: &str) -> TargetFault {
        self.lock().targets.get(target).copied().unwrap_or(TargetFault::None)
    }

    /// Whether the link between two data centres is cut.
    pub fn is_cut(&self, one: &DataCentre, other: &DataCentre) -> bool {
        if one == other {
            return false;
        }
        let state = self.lock();
        state.cuts.contains(&ordered(one, other))
            || state.isolated.contains(one)
            || state.isolated.contains(other)
    }

    /// Whether the link from the data centre `from` to the platform is cut.
    pub fn is_platform_cut(&self, from: &DataCentre) -> bool {
        self.lock().isolated.contains(from)
    }

    /// Whether the platform refuses all requests.
    pub fn is_platform_out(&self) -> bool {
        self.lock().platform_out
    }

    /// Whether the answer to the current update is lost; uses up one of the answers to be lost.
    pub fn consume_lost_answer(&self) -> bool {
        let mut state = self.lock();
        let lose = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        lose
    }

    /// Replication lag in milliseconds, if a fault sets one.
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
