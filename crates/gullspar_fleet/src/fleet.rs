//! This instance among the others.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use gullspar_border::{Clock, Dialer, Entropy, Peers, Platform};
use gullspar_model::{DataCentre, InstanceId, InstanceRecord, InstanceState, TargetKey};

use crate::member_table::MemberTable;
use crate::{ConfigStore, FleetTiming, RankedInstances};

/// The borders that an instance meets the world through.
#[derive(Clone)]
pub struct Borders {
    pub clock: Rc<dyn Clock>,
    pub entropy: Rc<dyn Entropy>,
    pub dialer: Rc<dyn Dialer>,
    pub peers: Rc<dyn Peers>,
    pub platform: Rc<dyn Platform>,
}

struct CachedRank {
    generation: u64,
    data_centre: DataCentre,
    ranked: Rc<Vec<InstanceRecord>>,
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
    ranks: RefCell<HashMap<TargetKey, CachedRank>>,
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
            ranks: RefCell::default(),
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
        self.table.borrow().all().filter(|it| it.takes_work()).count()
    }

    /// The instances that take work, in the order in which they would hold `target`.
    pub fn ranked(&self, target: &TargetKey, data_centre: &DataCentre) -> Rc<Vec<InstanceRecord>> {
        let generation = self.generation();
        if let Some(cached) = self.ranks.borrow().get(target)
            && cached.generation == generation
            && cached.data_centre == *data_centre
        {
            return Rc::clone(&cached.ranked);
        }
        let ranked = Rc::new(self.rank(&target.to_string(), data_centre));
        let cached =
            CachedRank { generation, data_centre: data_centre.clone(), ranked: Rc::clone(&ranked) };
        self.ranks.borrow_mut().insert(target.clone(), cached);
        ranked
    }

    /// The instances that take work, ranked for any key.
    pub(crate) fn rank(&self, key: &str, data_centre: &DataCentre) -> Vec<InstanceRecord> {
        let table = self.table.borrow();
        let live = table.all().filter(|it| it.takes_work()).cloned();
        RankedInstances::rank(key, data_centre, live)
    }

    /// Counts up whenever what is known of the instances changes.
    pub fn generation(&self) -> u64 {
        self.table.borrow().generation
    }

    /// The instance that holds the connections of `target`.
    pub fn home(&self, target: &TargetKey, data_centre: &DataCentre) -> Option<InstanceRecord> {
        self.ranked(target, data_centre).first().cloned()
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
        let ranked = self.ranked(target, data_centre);
        let first = ranked.first().is_some_and(|it| it.id == self.own.borrow().id);
        first && self.has_joined()
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
    pub(crate) fn learn(&self, record: &InstanceRecord, dead_at: Option<Instant>) -> bool {
        let news = self.table.borrow_mut().learn(record, dead_at);
        if news {
            self.changed.notify(usize::MAX);
        }
        news
    }
}
