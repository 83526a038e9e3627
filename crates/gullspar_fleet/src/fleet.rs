//! This instance among the others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use gullspar_border::{Clock, Dialer, Entropy, Peers, Platform};
use gullspar_model::{DataCentre, InstanceId, InstanceRecord, InstanceState, TargetKey};

use crate::member_table::MemberTable;
use crate::{ConfigStore, FleetTiming, weight};

/// The borders that an instance meets the world through.
#[derive(Clone)]
pub struct Borders {
    pub clock: Rc<dyn Clock>,
    pub entropy: Rc<dyn Entropy>,
    pub dialer: Rc<dyn Dialer>,
    pub peers: Rc<dyn Peers>,
    pub platform: Rc<dyn Platform>,
}

/// The home of a target, for as long as the instances stay the same.
struct CachedHome {
    generation: u64,
    data_centre: DataCentre,
    home: Option<Rc<InstanceRecord>>,
}

/// The instances that take work, by data centre.
#[derive(Default)]
struct LiveIndex {
    generation: u64,
    near: HashMap<DataCentre, Rc<Vec<Rc<InstanceRecord>>>>,
    all: Rc<Vec<Rc<InstanceRecord>>>,
}

/// How long an instance looks for others before it acts alone.
const JOIN_WITHIN: Duration = Duration::from_millis(1200);

/// The instances known to this one, and the configuration shared with them.
pub struct Fleet {
    pub(crate) own: RefCell<InstanceRecord>,
    pub(crate) table: RefCell<MemberTable>,
    pub(crate) borders: Borders,
    pub(crate) timing: FleetTiming,
    pub(crate) seeds: Vec<std::net::SocketAddr>,
    /// Whether another instance answered since the start.
    pub(crate) heard_of_others: Cell<bool>,
    /// When an instance that heard of no other takes itself for the only one.
    alone_from: Instant,
    homes: RefCell<HashMap<TargetKey, CachedHome>>,
    live: RefCell<LiveIndex>,
    changed: Event,
    /// Apart from `changed`, because every idle session waits for it.
    leaving: Event,
    /// The configuration in force.
    pub config: ConfigStore,
}

impl Fleet {
    /// A fleet that knows only this instance and where to ask for others.
    pub fn new(
        own: InstanceRecord,
        seeds: Vec<std::net::SocketAddr>,
        borders: Borders,
        timing: FleetTiming,
    ) -> Rc<Fleet> {
        let mut table = MemberTable::default();
        table.learn(&own, None);
        let alone_from = borders.clock.now() + JOIN_WITHIN;
        Rc::new(Fleet {
            heard_of_others: Cell::new(false),
            alone_from,
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

    /// The borders that this instance meets the world through.
    pub fn borders(&self) -> &Borders {
        &self.borders
    }

    /// Runs gossip and configuration for as long as the task lives.
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

    /// Announces that this instance takes no new work.
    pub fn leave(&self) {
        self.own.borrow_mut().state = InstanceState::Leaving;
        let own = self.own.borrow().clone();
        self.learn(&own, None);
        self.leaving.notify(usize::MAX);
    }

    /// All instances known, dead ones included.
    pub fn instances(&self) -> Vec<InstanceRecord> {
        self.table.borrow().all().cloned().collect()
    }

    /// How many instances take work.
    pub fn live_count(&self) -> usize {
        self.table.borrow().all().filter(|it| it.can_accept_work()).count()
    }

    /// The instances that could hold something in `data_centre`: those there, or all where none is.
    ///
    /// Kept by data centre: looking through the whole fleet for each target would take seconds of
    /// processor time at every change of instances.
    fn candidates(&self, data_centre: &DataCentre) -> Rc<Vec<Rc<InstanceRecord>>> {
        let mut live = self.live.borrow_mut();
        let table = self.table.borrow();
        if live.generation != table.generation {
            *live = LiveIndex::new(&table);
        }
        let near = live.near.get(data_centre);
        Rc::clone(near.unwrap_or(&live.all))
    }

    /// The `count` first instances by rank for `key`.
    pub(crate) fn first(
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

    /// Counts up whenever what is known of the instances changes.
    pub fn generation(&self) -> u64 {
        self.table.borrow().generation
    }

    /// The instance that holds the connections of `target`.
    ///
    /// An instance of the target's data centre, by rendezvous hashing; where none is left there, one
    /// of all, so that the target is still served, over the longer way.
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
    /// An instance that just started knows of no other and would take itself for the home of
    /// everything. A data centre that restarts at once would so open every connection to every target
    /// from every instance.
    fn has_joined(&self) -> bool {
        self.heard_of_others.get() || self.borders.clock.now() >= self.alone_from
    }

    /// Whether this instance holds the connections of `target`.
    pub fn is_home(&self, target: &TargetKey, data_centre: &DataCentre) -> bool {
        if !self.has_joined() || !self.may_hold(data_centre) {
            return false;
        }
        let home = self.home(target, data_centre);
        home.is_some_and(|it| it.id == self.own.borrow().id)
    }

    /// Whether anything in `data_centre` can be this instance's; most of a large fleet's targets are
    /// told apart by this alone.
    fn may_hold(&self, data_centre: &DataCentre) -> bool {
        let own = self.own.borrow();
        own.data_centre == *data_centre
            || self.candidates(data_centre).first().is_none_or(|it| it.data_centre != *data_centre)
    }

    /// Notified once, when this instance begins to shut down.
    pub fn listen_leaving(&self) -> EventListener {
        self.leaving.listen()
    }

    /// Notified when the instances change; take it before reading, so that no change is missed.
    pub fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Wakes whoever waits for a change of instances.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Believes a record if it is news.
    pub(crate) fn learn(&self, record: &InstanceRecord, due_at: Option<Instant>) -> bool {
        let news = self.table.borrow_mut().learn(record, due_at);
        if news {
            self.changed.notify(usize::MAX);
        }
        news
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
            near: near.into_iter().map(|(place, records)| (place, Rc::new(records))).collect(),
            all: Rc::new(all),
        }
    }
}
