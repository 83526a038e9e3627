//! The simulated instances and the network between them.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::rc::Rc;

use gullspar_border::BootInstant;
use gullspar_membership::{Gossip, HEARTBEAT_INTERVAL, MIN_HEARTBEAT_INTERVAL};
use gullspar_model::InstanceId;

use super::instance::{self, Instance, Load};
use super::{MS, Random};

/// Time between two checks of an instance.
const CHECK_INTERVAL: u64 = 100 * MS;

/// Delays within a data centre and between two.
const NEAR_DELAY: u64 = MS / 2;
const FAR_DELAY: u64 = 2 * MS;

/// Maximum duration of a pause of a busy instance; there is about one per second.
const MAX_STALL: u64 = 450 * MS;

/// Number of instances whose addresses all others know from their settings.
const SEED_COUNT: usize = 3;

/// Size of the UDP and IP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// All instances of a fleet start within this time.
const MAX_START_DELAY: u64 = 300 * MS;

enum Event {
    Round { instance: usize, round: u64 },
    Check { instance: usize, life: u64 },
    Stall { instance: usize },
    Receive { instance: usize, gossip: Rc<Gossip> },
}

struct ScheduledEvent {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub struct Fleet {
    pub instances: Vec<Instance>,
    pub now: u64,
    pub random: Random,
    /// Lost datagrams per thousand.
    pub loss_permille: u64,
    /// Pairs of an instance and another one that it declared dead.
    pub deaths: BTreeSet<(usize, InstanceId)>,
    data_centres: usize,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    scheduled_count: u64,
}

impl Fleet {
    /// Creates a fleet without instances.
    pub fn new(data_centres: usize, seed: u64) -> Fleet {
        Fleet {
            instances: Vec::new(),
            now: 0,
            random: Random::new(seed),
            loss_permille: 0,
            deaths: BTreeSet::new(),
            data_centres,
            queue: BinaryHeap::new(),
            scheduled_count: 0,
        }
    }

    /// Creates a fleet in which all instances know all others.
    pub fn settled(size: usize, data_centres: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(data_centres, seed);
        fleet.start_together(size, true);
        fleet.run_for(10_000 * MS);
        assert!(fleet.all_know_all(), "{size} instances know each other after 10 s");
        fleet.deaths.clear();
        fleet
    }

    /// Starts `size` instances at about the same time; if `is_listed`, they know all addresses.
    pub fn start_together(&mut self, size: usize, is_listed: bool) {
        for number in 0..size {
            let at = self.now + self.random.below(MAX_START_DELAY);
            self.add(number, at);
            if is_listed {
                let all = (0..size).filter(|it| *it != number);
                all.for_each(|it| {
                    self.instances[number].membership.add_probe_address(instance::address(it))
                });
            }
        }
    }

    /// Starts one more instance and returns its number.
    pub fn start_one(&mut self) -> usize {
        let number = self.instances.len();
        self.add(number, self.now);
        number
    }

    fn add(&mut self, number: usize, at: u64) {
        let seeds: Vec<_> = (0..SEED_COUNT).map(instance::address).collect();
        self.instances.push(Instance::new(number, number % self.data_centres, &seeds));
        self.start(number, at);
    }

    fn start(&mut self, number: usize, at: u64) {
        let Instance { life, round, .. } = self.instances[number];
        self.schedule(at, Event::Round { instance: number, round });
        self.schedule(at, Event::Check { instance: number, life });
    }

    /// Stops an instance without notice.
    pub fn kill(&mut self, number: usize) {
        self.instances[number].is_up = false;
        self.instances[number].life += 1;
    }

    /// Restarts an instance under the same name and without its previous state.
    pub fn restart(&mut self, number: usize) {
        let seeds: Vec<_> = (0..SEED_COUNT).map(instance::address).collect();
        let Instance { life, round, .. } = self.instances[number];
        self.instances[number] = Instance::new(number, number % self.data_centres, &seeds);
        self.instances[number].life = life + 1;
        self.instances[number].round = round + 1;
        self.start(number, self.now);
    }

    /// Suspends an instance for `time`.
    pub fn suspend(&mut self, number: usize, time: u64) {
        self.instances[number].suspended_until = self.now + time;
    }

    pub fn make_busy(&mut self, number: usize) {
        self.instances[number].load = Load::Busy;
        let at = self.now + self.random.below(1000 * MS);
        self.schedule(at, Event::Stall { instance: number });
    }

    pub fn boot_now(&self) -> BootInstant {
        BootInstant(1_000_000_000 + self.now)
    }

    pub fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|it| it.0.at <= end) {
            let Some(Reverse(scheduled)) = self.queue.pop() else { break };
            self.now = scheduled.at;
            self.handle_event(scheduled.event);
        }
        self.now = end;
    }

    /// Runs until `is_reached`, checked every 10 ms; returns the elapsed milliseconds.
    ///
    /// # Panics
    ///
    /// Panics if that takes `limit_ms` or longer.
    pub fn run_until(
        &mut self,
        limit_ms: u64,
        what: &str,
        is_reached: impl Fn(&Fleet) -> bool,
    ) -> u64 {
        let started_at = self.now;
        while !is_reached(self) {
            let elapsed_ms = (self.now - started_at) / MS;
            assert!(elapsed_ms < limit_ms, "{what} within {limit_ms} ms");
            self.run_for(10 * MS);
        }
        (self.now - started_at) / MS
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.scheduled_count += 1;
        self.queue.push(Reverse(ScheduledEvent { at, order: self.scheduled_count, event }));
    }

    fn handle_event(&mut self, event: Event) {
        let number = match &event {
            Event::Round { instance, .. } | Event::Check { instance, .. } => *instance,
            Event::Receive { instance, .. } | Event::Stall { instance } => *instance,
        };
        let instance = &self.instances[number];
        let is_obsolete = match &event {
            Event::Round { round, .. } => instance.round != *round,
            Event::Check { life, .. } => instance.life != *life,
            Event::Receive { .. } | Event::Stall { .. } => false,
        };
        if is_obsolete || !instance.is_up {
            return;
        }
        if self.instances[number].suspended_until > self.now {
            let at = self.instances[number].suspended_until;
            self.schedule(at, event);
            return;
        }
        match event {
            Event::Round { instance, .. } => self.round(instance),
            Event::Check { instance, life } => {
                let now = self.boot_now();
                for dead in self.instances[instance].membership.check(now) {
                    self.deaths.insert((instance, dead));
                }
                self.expedite_round(instance);
                self.schedule(self.now + CHECK_INTERVAL, Event::Check { instance, life });
            }
            Event::Stall { instance } => {
                self.instances[instance].suspended_until = self.now + self.random.below(MAX_STALL);
                let at = self.now + 500 * MS + self.random.below(1000 * MS);
                self.schedule(at, Event::Stall { instance });
            }
            Event::Receive { instance, gossip } => self.receive(instance, &gossip),
        }
    }

    fn round(&mut self, number: usize) {
        let now = self.boot_now();
        let random = self.random.next();
        let to = self.instances[number].membership.begin_round(random, now);
        for address in to {
            let gossip = self.instances[number].membership.gossip_for(address, now);
            self.send(number, instance::number(address), gossip);
        }
        self.instances[number].last_round = self.now;
        self.instances[number].round += 1;
        let round = self.instances[number].round;
        let next = self.now + HEARTBEAT_INTERVAL.as_micros() as u64;
        self.schedule(next, Event::Round { instance: number, round });
        self.expedite_round(number);
    }

    /// Brings the next round forward if updates are pending.
    fn expedite_round(&mut self, number: usize) {
        if !self.instances[number].membership.has_updates() {
            return;
        }
        let at = self.instances[number].last_round + MIN_HEARTBEAT_INTERVAL.as_micros() as u64;
        let round = self.instances[number].round;
        self.schedule(at.max(self.now), Event::Round { instance: number, round });
    }

    fn receive(&mut self, number: usize, gossip: &Gossip) {
        let now = self.boot_now();
        let outcome = self.instances[number].membership.handle_gossip(gossip, now);
        if outcome.needs_answer {
            let answer = self.instances[number].membership.answer(gossip, now);
            self.send(number, instance::number(gossip.from.member.address), answer);
        }
        if outcome.has_updates {
            self.expedite_round(number);
        }
    }

    fn send(&mut self, from: usize, to: usize, gossip: Gossip) {
        let size = postcard::to_stdvec(&gossip).unwrap().len() as u64 + HEADER_BYTES;
        let is_far = self
            .instances
            .get(to)
            .is_none_or(|it| it.data_centre != self.instances[from].data_centre);
        let sender = &mut self.instances[from];
        sender.datagrams += 1;
        sender.bytes += size;
        sender.far_bytes += if is_far { size } else { 0 };
        let Some(receiver) = self.instances.get(to) else { return };
        if !receiver.is_up || receiver.partition != self.instances[from].partition {
            return;
        }
        if self.random.happens(self.loss_permille) {
            return;
        }
        let delay = if is_far { FAR_DELAY } else { NEAR_DELAY };
        self.schedule(self.now + delay, Event::Receive { instance: to, gossip: Rc::new(gossip) });
    }

    /// Numbers of the running instances.
    pub fn up(&self) -> Vec<usize> {
        (0..self.instances.len()).filter(|it| self.instances[*it].is_up).collect()
    }

    /// Whether the members known to each running instance are exactly the other running instances.
    pub fn all_know_all(&self) -> bool {
        let up = self.up();
        up.iter().all(|it| self.knows_exactly(*it, &up))
    }

    /// Whether the members known to instance `number` are exactly `expected` without itself.
    pub fn knows_exactly(&self, number: usize, expected: &[usize]) -> bool {
        let members: BTreeSet<InstanceId> =
            self.instances[number].membership.members().map(|it| it.id.clone()).collect();
        let others = expected.iter().filter(|it| **it != number);
        others.clone().count() == members.len()
            && others.clone().all(|it| members.contains(&instance::id(*it)))
    }

    /// Whether instance `number` knows `other` as a member.
    pub fn has_member(&self, number: usize, other: usize) -> bool {
        let wanted_id = instance::id(other);
        self.instances[number].membership.members().any(|it| it.id == wanted_id)
    }

    pub fn is_isolated(&self, number: usize) -> bool {
        self.instances[number].membership.is_isolated(self.boot_now())
    }
}
