//! All simulated instances, and the network between them.

use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use std::rc::Rc;

use gullspar_border::BootInstant;
use gullspar_membership::{Gossip, HEARTBEAT_INTERVAL, MIN_HEARTBEAT_INTERVAL};
use gullspar_model::InstanceId;

use super::node::{self, Load, Node};
use super::{MS, Random};

/// Between two looks of an instance at its links.
const CHECK_EVERY: u64 = 100 * MS;

/// Delays between instances of one data centre, and of two.
const NEAR_DELAY: u64 = MS / 2;
const FAR_DELAY: u64 = 2 * MS;

/// A busy instance stands still about once a second, for up to this long.
const LONGEST_STALL: u64 = 450 * MS;

/// Instances whose addresses all know from their settings.
const SEEDS: usize = 3;

/// UDP and IP headers of a datagram, in bytes.
const HEADERS: u64 = 28;

/// All machines start within this time.
const START_SPREAD: u64 = 300 * MS;

enum Event {
    Round { node: usize, round: u64 },
    Check { node: usize, life: u64 },
    Stall { node: usize },
    Arrive { node: usize, gossip: Rc<Gossip> },
}

struct Planned {
    at: u64,
    order: u64,
    event: Event,
}

impl PartialEq for Planned {
    fn eq(&self, other: &Planned) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Planned {}

impl PartialOrd for Planned {
    fn partial_cmp(&self, other: &Planned) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Planned {
    fn cmp(&self, other: &Planned) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

pub struct Fleet {
    pub nodes: Vec<Node>,
    pub now: u64,
    pub random: Random,
    /// Datagrams that get lost, in a thousand.
    pub loss_permille: u64,
    /// Instances that were declared dead by somebody while they were up and reachable.
    pub deaths: BTreeSet<(usize, InstanceId)>,
    places: usize,
    queue: BinaryHeap<Reverse<Planned>>,
    planned: u64,
}

impl Fleet {
    /// A fleet in which nobody has started.
    pub fn new(places: usize, seed: u64) -> Fleet {
        Fleet {
            nodes: Vec::new(),
            now: 0,
            random: Random::new(seed),
            loss_permille: 0,
            deaths: BTreeSet::new(),
            places,
            queue: BinaryHeap::new(),
            planned: 0,
        }
    }

    /// A fleet of which all know all.
    pub fn settled(size: usize, places: usize, seed: u64) -> Fleet {
        let mut fleet = Fleet::new(places, seed);
        fleet.start_together(size, true);
        fleet.run_for(10_000 * MS);
        assert!(fleet.all_know_all(), "{size} instances know each other after 10 s");
        fleet.deaths.clear();
        fleet
    }

    /// Starts `size` instances at about the same time, with the addresses of all if `listed`.
    pub fn start_together(&mut self, size: usize, listed: bool) {
        for number in 0..size {
            let at = self.now + self.random.below(START_SPREAD);
            self.add(number, at);
            if listed {
                let all = (0..size).filter(|it| *it != number);
                all.for_each(|it| {
                    self.nodes[number].membership.add_probe_address(node::address(it))
                });
            }
        }
    }

    /// Starts one more instance now; gives its number.
    pub fn start_one(&mut self) -> usize {
        let number = self.nodes.len();
        self.add(number, self.now);
        number
    }

    fn add(&mut self, number: usize, at: u64) {
        let seeds: Vec<_> = (0..SEEDS).map(node::address).collect();
        self.nodes.push(Node::new(number, number % self.places, &seeds));
        self.begin(number, at);
    }

    fn begin(&mut self, number: usize, at: u64) {
        let Node { life, round, .. } = self.nodes[number];
        self.plan(at, Event::Round { node: number, round });
        self.plan(at, Event::Check { node: number, life });
    }

    /// Ends an instance at once.
    pub fn kill(&mut self, number: usize) {
        self.nodes[number].is_up = false;
        self.nodes[number].life += 1;
    }

    /// Starts an instance anew under its name; it knows nothing of before.
    pub fn restart(&mut self, number: usize) {
        let seeds: Vec<_> = (0..SEEDS).map(node::address).collect();
        let Node { life, round, .. } = self.nodes[number];
        self.nodes[number] = Node::new(number, number % self.places, &seeds);
        self.nodes[number].life = life + 1;
        self.nodes[number].round = round + 1;
        self.begin(number, self.now);
    }

    /// Has an instance stand still for `time`.
    pub fn freeze(&mut self, number: usize, time: u64) {
        self.nodes[number].still_until = self.now + time;
    }

    pub fn make_busy(&mut self, number: usize) {
        self.nodes[number].load = Load::Busy;
        let at = self.now + self.random.below(1000 * MS);
        self.plan(at, Event::Stall { node: number });
    }

    pub fn boot_now(&self) -> BootInstant {
        BootInstant(1_000_000_000 + self.now)
    }

    pub fn run_for(&mut self, time: u64) {
        let end = self.now + time;
        while self.queue.peek().is_some_and(|it| it.0.at <= end) {
            let Some(Reverse(planned)) = self.queue.pop() else { break };
            self.now = planned.at;
            self.carry_out(planned.event);
        }
        self.now = end;
    }

    /// Runs until `reached`, looking every 10 ms; gives the milliseconds it took, and fails past `limit_ms`.
    pub fn run_until(
        &mut self,
        limit_ms: u64,
        what: &str,
        reached: impl Fn(&Fleet) -> bool,
    ) -> u64 {
        let began = self.now;
        while !reached(self) {
            let taken = (self.now - began) / MS;
            assert!(taken < limit_ms, "{what} within {limit_ms} ms");
            self.run_for(10 * MS);
        }
        (self.now - began) / MS
    }

    fn plan(&mut self, at: u64, event: Event) {
        self.planned += 1;
        self.queue.push(Reverse(Planned { at, order: self.planned, event }));
    }

    fn carry_out(&mut self, event: Event) {
        let number = match &event {
            Event::Round { node, .. } | Event::Check { node, .. } => *node,
            Event::Arrive { node, .. } | Event::Stall { node } => *node,
        };
        let node = &self.nodes[number];
        let is_void = match &event {
            Event::Round { round, .. } => node.round != *round,
            Event::Check { life, .. } => node.life != *life,
            Event::Arrive { .. } | Event::Stall { .. } => false,
        };
        if is_void || !node.is_up {
            return;
        }
        if self.nodes[number].still_until > self.now {
            let at = self.nodes[number].still_until;
            self.plan(at, event);
            return;
        }
        match event {
            Event::Round { node, .. } => self.round(node),
            Event::Check { node, life } => {
                let now = self.boot_now();
                for dead in self.nodes[node].membership.check(now) {
                    self.deaths.insert((node, dead));
                }
                self.hurry(node);
                self.plan(self.now + CHECK_EVERY, Event::Check { node, life });
            }
            Event::Stall { node } => {
                self.nodes[node].still_until = self.now + self.random.below(LONGEST_STALL);
                let at = self.now + 500 * MS + self.random.below(1000 * MS);
                self.plan(at, Event::Stall { node });
            }
            Event::Arrive { node, gossip } => self.arrive(node, &gossip),
        }
    }

    fn round(&mut self, number: usize) {
        let now = self.boot_now();
        let random = self.random.next();
        let to = self.nodes[number].membership.begin_round(random, now);
        for address in to {
            let gossip = self.nodes[number].membership.gossip_for(address, now);
            self.send(number, node::number(address), gossip);
        }
        self.nodes[number].last_round = self.now;
        self.nodes[number].round += 1;
        let round = self.nodes[number].round;
        let next = self.now + HEARTBEAT_INTERVAL.as_micros() as u64;
        self.plan(next, Event::Round { node: number, round });
        self.hurry(number);
    }

    /// Brings the next round forward if there are news.
    fn hurry(&mut self, number: usize) {
        if !self.nodes[number].membership.has_updates() {
            return;
        }
        let at = self.nodes[number].last_round + MIN_HEARTBEAT_INTERVAL.as_micros() as u64;
        let round = self.nodes[number].round;
        self.plan(at.max(self.now), Event::Round { node: number, round });
    }

    fn arrive(&mut self, number: usize, gossip: &Gossip) {
        let now = self.boot_now();
        let taken = self.nodes[number].membership.handle_gossip(gossip, now);
        if taken.needs_answer {
            let answer = self.nodes[number].membership.answer(gossip, now);
            self.send(number, node::number(gossip.from.member.address), answer);
        }
        if taken.has_updates {
            self.hurry(number);
        }
    }

    fn send(&mut self, from: usize, to: usize, gossip: Gossip) {
        let size = postcard::to_stdvec(&gossip).unwrap().len() as u64 + HEADERS;
        let is_far = self.nodes.get(to).is_none_or(|it| it.place != self.nodes[from].place);
        let sender = &mut self.nodes[from];
        sender.datagrams += 1;
        sender.bytes += size;
        sender.far_bytes += if is_far { size } else { 0 };
        let Some(receiver) = self.nodes.get(to) else { return };
        if !receiver.is_up || receiver.side != self.nodes[from].side {
            return;
        }
        if self.random.happens(self.loss_permille) {
            return;
        }
        let delay = if is_far { FAR_DELAY } else { NEAR_DELAY };
        self.plan(self.now + delay, Event::Arrive { node: to, gossip: Rc::new(gossip) });
    }

    /// Numbers of the instances that run.
    pub fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|it| self.nodes[*it].is_up).collect()
    }

    /// Whether each instance that runs takes just the others that run for members.
    pub fn all_know_all(&self) -> bool {
        let up = self.up();
        up.iter().all(|it| self.knows_just(*it, &up))
    }

    /// Whether instance `number` takes just `expected`, less itself, for members.
    pub fn knows_just(&self, number: usize, expected: &[usize]) -> bool {
        let members: BTreeSet<InstanceId> =
            self.nodes[number].membership.members().map(|it| it.id.clone()).collect();
        let others = expected.iter().filter(|it| **it != number);
        others.clone().count() == members.len()
            && others.clone().all(|it| members.contains(&node::id(*it)))
    }

    /// Whether instance `number` takes `other` for a member.
    pub fn knows(&self, number: usize, other: usize) -> bool {
        let wanted = node::id(other);
        self.nodes[number].membership.members().any(|it| it.id == wanted)
    }

    pub fn is_isolated(&self, number: usize) -> bool {
        self.nodes[number].membership.is_isolated(self.boot_now())
    }
}
