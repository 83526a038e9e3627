//! This instance among the others.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;

use event_listener::{Event, EventListener};
use gullspar_border::{Clock, Dialer, Entropy, Peers, Platform};
use gullspar_model::{DataCentre, InstanceId, InstanceRecord, InstanceState};

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

#[derive(PartialEq, Eq, Hash)]
struct RankKey {
    key: String,
    data_centre: DataCentre,
}

struct CachedRank {
    generation: u64,
    ranked: Rc<Vec<InstanceRecord>>,
}

/// The instances known to this one, and the configuration shared with them.
pub struct Fleet {
    pub(crate) own: RefCell<InstanceRecord>,
    pub(crate) table: RefCell<MemberTable>,
    pub(crate) borders: Borders,
    pub(crate) timing: FleetTiming,
    pub(crate) seeds: Vec<std::net::SocketAddr>,
    ranks: RefCell<HashMap<RankKey, CachedRank>>,
    changed: Event,
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
        Rc::new(Fleet {
            own: RefCell::new(own),
            table: RefCell::new(table),
            borders,
            timing,
            seeds,
            ranks: RefCell::default(),
            changed: Event::new(),
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
    pub fn ranked(&self, target: &str, data_centre: &DataCentre) -> Rc<Vec<InstanceRecord>> {
        let generation = self.table.borrow().generation;
        let key = RankKey { key: target.to_owned(), data_centre: data_centre.clone() };
        if let Some(cached) = self.ranks.borrow().get(&key)
            && cached.generation == generation
        {
            return Rc::clone(&cached.ranked);
        }
        let table = self.table.borrow();
        let live = table.all().filter(|it| it.takes_work()).cloned();
        let ranked = Rc::new(RankedInstances::rank(target, data_centre, live));
        let cached = CachedRank { generation, ranked: Rc::clone(&ranked) };
        self.ranks.borrow_mut().insert(key, cached);
        ranked
    }

    /// The instance that holds the connections of `target`.
    pub fn home(&self, target: &str, data_centre: &DataCentre) -> Option<InstanceRecord> {
        self.ranked(target, data_centre).first().cloned()
    }

    /// Whether this instance holds the connections of `target`.
    pub fn is_home(&self, target: &str, data_centre: &DataCentre) -> bool {
        self.home(target, data_centre).is_some_and(|it| it.id == self.id())
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
    pub(crate) fn learn(
        &self,
        record: &InstanceRecord,
        dead_at: Option<std::time::Instant>,
    ) -> bool {
        let news = self.table.borrow_mut().learn(record, dead_at);
        if news {
            self.changed.notify(usize::MAX);
        }
        news
    }
}
