//! The instances known to this one, and which of them are the homes of targets.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use gullspar_border::{Clock, Dialer, Entropy, Peers, Platform};
use gullspar_model::{DataCentre, InstanceId, InstanceRecord, InstanceState, TargetKey};

use crate::member_table::MemberTable;
use crate::{ConfigStore, FleetTiming, weight};

/// The external dependencies of an instance.
#[derive(Clone)]
pub struct Borders {
    pub clock: Rc<dyn Clock>,
    pub entropy: Rc<dyn Entropy>,
    pub dialer: Rc<dyn Dialer>,
    pub peers: Rc<dyn Peers>,
    pub platform: Rc<dyn Platform>,
}

/// The home of a target, valid for one generation of the member table.
struct CachedHome {
    generation: u64,
    data_centre: DataCentre,
    home: Option<Rc<InstanceRecord>>,
}

/// The instances that accept work, by data centre, for one generation of the member table.
#[derive(Default)]
struct LiveIndex {
    generation: u64,
    near: HashMap<DataCentre, Rc<Vec<Rc<InstanceRecord>>>>,
    all: Rc<Vec<Rc<InstanceRecord>>>,
}

/// How long an instance tries to find others before it acts alone.
const JOIN_TIMEOUT: Duration = Duration::from_millis(1200);

/// The member table and the configuration of this instance.
pub struct Fleet {
    pub(crate) own: RefCell<InstanceRecord>,
    pub(crate) table: RefCell<MemberTable>,
    pub(crate) borders: Borders,
    pub(crate) timing: FleetTiming,
    pub(crate) seeds: Vec<std::net::SocketAddr>,
    /// Whether there was an exchange with another instance since the start.
    pub(crate) has_contacted_others: Cell<bool>,
    /// When an instance that has contacted no other one assumes that it is alone.
    alone_after: Instant,
    homes: RefCell<HashMap<TargetKey, CachedHome>>,
    live: RefCell<LiveIndex>,
    changed: Event,
    /// Notified when this instance begins to leave. Separate from `changed`, because every idle session listens to it.
    leaving: Event,
    /// The configuration in force.
    pub config: ConfigStore,
}

impl Fleet {
    /// Creates a fleet that knows only this instance; `seeds` are the addresses to find others at.
    pub fn new(
        own: InstanceRecord,
        seeds: Vec<std::net::SocketAddr>,
        borders: Borders,
        timing: FleetTiming,
    ) -> Rc<Fleet> {
        let mut table = MemberTable::default();
        table.merge(&own, None);
        let alone_after = borders.clock.now() + JOIN_TIMEOUT;
        Rc::new(Fleet {
            has_contacted_others: Cell::new(false),
            alone_after,
            own: RefCell::new(own),
            table: RefCell::new(table),
            borders,
            timing,
            seeds,
            homes: RefCell::default(),
            live: RefCell::default(),
            changed: Event::new(),
            leaving: Event::new(),
            config: ConfigStore::default(),
        })
    }

    /// The external dependencies of this instance.
    pub fn borders(&self) -> &Borders {
        &self.borders
    }

    /// Runs gossip and the distribution of the configuration. Never ends.
    pub async fn run(self: Rc<Self>) {
        let gossip = Rc::clone(&self).run_gossip();
        let config = Rc::clone(&self).run_config();
        futures::join!(gossip, config);
    }

    /// This instance's id.
    pub fn id(&self) -> InstanceId {
        self.own.borrow().id.clone()
    }

    /// This instance's data centre.
    pub fn data_centre(&self) -> DataCentre {
        self.own.borrow().data_centre.clone()
    }

    /// Whether this instance is shutting down.
    pub fn is_leaving(&self) -> bool {
        self.own.borrow().state == InstanceState::Leaving
    }

    /// Marks this instance as leaving, so that it gets no new work.
    pub fn leave(&self) {
        self.own.borrow_mut().state = InstanceState::Leaving;
        let own = self.own.borrow().clone();
        self.merge(&own, None);
        self.leaving.notify(usize::MAX);
    }

    /// All known instances, including dead ones.
    pub fn instances(&self) -> Vec<InstanceRecord> {
        self.table.borrow().all().cloned().collect()
    }

    /// The number of instances that accept work.
    pub fn live_count(&self) -> usize {
        self.table.borrow().all().filter(|it| it.can_accept_work()).count()
    }

    /// The instances that can be homes of targets in `data_centre`: those located there, or all if there are none.
    ///
    /// Cached by data centre, because scanning the whole fleet for each target at every change of instances would be
    /// too slow.
    fn candidates(&self, data_centre: &DataCentre) -> Rc<Vec<Rc<InstanceRecord>>> {
        let mut live = self.live.borrow_mut();
        let table = self.table.borrow();
        if live.generation != table.generation {
            *live = LiveIndex::new(&table);
        }
        let near = live.near.get(data_centre);
        Rc::clone(near.unwrap_or(&live.all))
    }

    /// The `count` highest-ranked candidates for `key`.
    pub(crate) fn highest_ranked(
        &self,
        count: usize,
        key: &str,
        data_centre: &DataCentre,
    ) -> Vec<Rc<InstanceRecord>> {
        let mut ranked = self.candidates(data_centre).to_vec();
        ranked.sort_by_cached_key(|it| std::cmp::Reverse(weight(key, it.id.as_str())));
        ranked.truncate(count);
        ranked
    }

    /// A counter that increases with each change of the member table.
    pub fn generation(&self) -> u64 {
        self.table.borrow().generation
    }

    /// The instance that holds the connections of `target`.
    ///
    /// It is chosen by rendezvous hashing among the instances of the target's data centre, or among all instances if
    /// none is left there.
    pub fn home(&self, target: &TargetKey, data_centre: &DataCentre) -> Option<Rc<InstanceRecord>> {
        let generation = self.generation();
        if let Some(cached) = self.homes.borrow().get(target)
            && cached.generation == generation
            && cached.data_centre == *data_centre
        {
            return cached.home.clone();
        }
        let key = target.to_string();
        let candidates = self.candidates(data_centre);
        let home = candidates.iter().max_by_key(|it| weight(&key, it.id.as_str())).cloned();
        let cached =
            CachedHome { generation, data_centre: data_centre.clone(), home: home.clone() };
        self.homes.borrow_mut().insert(target.clone(), cached);
        home
    }

    /// Whether this instance may act as a home.
    ///
    /// An instance that has just started knows no other one and would consider itself the home of all targets. When a
    /// whole data centre restarts, each instance would then connect to every target.
    fn has_joined(&self) -> bool {
        self.has_contacted_others.get() || self.borders.clock.now() >= self.alone_after
    }

    /// Whether this instance holds the connections of `target`.
    pub fn is_home(&self, target: &TargetKey, data_centre: &DataCentre) -> bool {
        if !self.has_joined() || !self.may_hold(data_centre) {
            return false;
        }
        let home = self.home(target, data_centre);
        home.is_some_and(|it| it.id == self.own.borrow().id)
    }

    /// Whether this instance can be the home of targets in `data_centre`; a cheap check that excludes most targets of a
    /// large fleet.
    fn may_hold(&self, data_centre: &DataCentre) -> bool {
        let own = self.own.borrow();
        own.data_centre == *data_centre
            || self.candidates(data_centre).first().is_none_or(|it| it.data_centre != *data_centre)
    }

    /// Returns a listener that is notified when this instance begins to shut down.
    pub fn listen_leaving(&self) -> EventListener {
        self.leaving.listen()
    }

    /// Returns a listener for the next change of the instances. Call this before reading, so that no change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Notifies all that listen for a change of instances.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Merges a record into the member table if it supersedes the known one; returns whether it did.
    pub(crate) fn merge(&self, record: &InstanceRecord, due_at: Option<Instant>) -> bool {
        let is_new = self.table.borrow_mut().merge(record, due_at);
        if is_new {
            self.changed.notify(usize::MAX);
        }
        is_new
    }
}

impl LiveIndex {
    fn new(table: &MemberTable) -> LiveIndex {
        let all: Vec<Rc<InstanceRecord>> =
            table.all().filter(|it| it.can_accept_work()).cloned().map(Rc::new).collect();
        let mut near: HashMap<DataCentre, Vec<Rc<InstanceRecord>>> = HashMap::new();
        for record in &all {
            near.entry(record.data_centre.clone()).or_default().push(Rc::clone(record));
        }
        LiveIndex {
            generation: table.generation,
            near: near
                .into_iter()
                .map(|(data_centre, records)| (data_centre, Rc::new(records)))
                .collect(),
            all: Rc::new(all),
        }
    }
}
