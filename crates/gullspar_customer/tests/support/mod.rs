//! A simulated fleet that serves one customer, on one thread.

#![allow(dead_code, reason = "each test file uses a part")]

mod random;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use gullspar_border::BootInstant;
use gullspar_customer::{
    ConsumeOutcome, LeasedTokens, OwnedQuotas, QuotaHandover, RateLimit, TokenGrant, TokenRequest,
};
use gullspar_model::CustomerName;
use random::Random;

pub const MS: u64 = 1000;
pub const S: u64 = 1000 * MS;

/// The way between two instances, and how long a question may stay unanswered.
const DELAY: u64 = 2 * MS;
const ASK_WITHIN: u64 = 60 * MS;
const TRIES: u32 = 2;

/// How long instances take to learn of a death or a cut, and of one that leaves or starts.
const DEATH_KNOWN: (u64, u64) = (700 * MS, 1500 * MS);
const NEWS_KNOWN: (u64, u64) = (20 * MS, 400 * MS);

/// How long all are down after a power loss.
const DOWN: u64 = 700 * MS;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    Leased,
    /// Each home has an even part of the limit.
    EvenShares,
}

#[derive(Clone, Copy, Debug)]
pub enum Event {
    /// The first instances, in percent, are cut off from the others.
    Cut {
        percent: usize,
    },
    Heal,
    /// The instance that most take for the owner dies; another takes its place at once.
    KillOwner,
    /// An instance leaves, and is back a second later.
    Leave(usize),
    PowerLoss,
}

struct Node {
    side: u8,
    is_up: bool,
    /// Whom it takes for members, by number.
    members: Vec<bool>,
    changed_at: u64,
    quota: OwnedQuotas,
    leased: LeasedTokens,
    even: f64,
    waiting: VecDeque<Waiting>,
    asked_at: Option<u64>,
    is_unfunded: bool,
}

struct Waiting {
    until: u64,
    tries: u32,
}

enum Message {
    Ask { to: usize, from: usize, wanted: u32, is_forwarded: bool },
    Grant { to: usize, grant: TokenGrant },
    Handover { to: usize, thousandths: i64 },
    Learn { at: usize, about: usize, is_member: bool },
}

pub struct Fleet {
    nodes: Vec<Node>,
    homes: Vec<usize>,
    weights: Vec<f64>,
    limit: RateLimit,
    policy: Policy,
    now: u64,
    random: Random,
    messages: BTreeMap<(u64, u64), Message>,
    sent: u64,
    events: BTreeMap<u64, Vec<Event>>,
    down_until: u64,
    /// When operations ran.
    pub ran: Vec<u64>,
    pub refused: usize,
    /// What one exact bucket for the whole fleet holds, and what it refuses.
    exact: f64,
    pub exactly_refused: usize,
}

fn customer() -> CustomerName {
    CustomerName::new("customer")
}

impl Fleet {
    pub fn new(size: usize, homes: usize, seed: u64, policy: Policy) -> Fleet {
        let mut random = Random::new(seed);
        let nodes = (0..size).map(|_| Node::new(size, 0)).collect();
        let mut numbers: Vec<usize> = (0..size).collect();
        numbers.sort_by_cached_key(|_| random.next());
        numbers.truncate(homes);
        Fleet {
            nodes,
            weights: vec![1.0; homes],
            homes: numbers,
            limit: RateLimit { thousandths_per_s: 0, burst: 0 },
            policy,
            // Long after the start.
            now: 60 * S,
            random,
            messages: BTreeMap::new(),
            sent: 0,
            events: BTreeMap::new(),
            down_until: 0,
            ran: Vec::new(),
            refused: 0,
            exact: 0.0,
            exactly_refused: 0,
        }
    }

    /// One home gets as much as `skew` others.
    pub fn skewed(mut self, skew: f64) -> Fleet {
        self.weights[0] = skew * self.weights.len() as f64 / 8.0;
        self
    }

    pub fn set_limit(&mut self, per_s: u64, burst: u64) {
        self.limit = RateLimit { thousandths_per_s: per_s * 1000, burst };
        self.exact = burst as f64;
    }

    /// Plans events at seconds from now.
    pub fn plan(&mut self, events: &[(u64, Event)]) {
        for (second, event) in events {
            self.events.entry(self.now + second * S).or_default().push(*event);
        }
    }

    /// Runs for `time` with `per_s` operations a second.
    pub fn run(&mut self, time: u64, per_s: f64) {
        let end = self.now + time;
        let mut next = self.now + self.random.until_next(per_s);
        while self.now < end {
            self.now += MS;
            let refill = self.limit.per_s() * MS as f64 / S as f64;
            self.exact = (self.exact + refill).min(self.limit.burst as f64);
            if let Some(events) = self.events.remove(&self.now) {
                events.into_iter().for_each(|it| self.happen(it));
            }
            self.deliver();
            self.give_up_waiting();
            while next <= self.now {
                let home = self.homes[self.random.choose(&self.weights)];
                self.operate(home);
                next += self.random.until_next(per_s);
            }
        }
    }

    fn boot(&self) -> BootInstant {
        BootInstant(self.now)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Cut { percent } => {
                let behind = self.nodes.len() * percent / 100;
                self.nodes[..behind].iter_mut().for_each(|it| it.side = 1);
                self.learn_of_sides(DEATH_KNOWN);
            }
            Event::Heal => {
                self.nodes.iter_mut().for_each(|it| it.side = 0);
                self.learn_of_sides(NEWS_KNOWN);
            }
            Event::KillOwner => {
                let owner = self.owner_for(self.homes[0]);
                self.begin_anew(owner);
                self.nodes[owner].is_up = false;
                self.tell_all(owner, false, DEATH_KNOWN);
            }
            Event::Leave(number) => {
                self.nodes[number].members[number] = false;
                self.hand_over_quota(number);
                self.tell_all(number, false, NEWS_KNOWN);
                let back = (S + NEWS_KNOWN.0, S + NEWS_KNOWN.1);
                self.tell_all(number, true, back);
                self.send_at(
                    self.now + S,
                    Message::Learn { at: number, about: number, is_member: true },
                );
            }
            Event::PowerLoss => {
                self.down_until = self.now + DOWN;
                (0..self.nodes.len()).for_each(|it| self.begin_anew(it));
                self.messages.clear();
            }
        }
    }

    fn begin_anew(&mut self, number: usize) {
        let size = self.nodes.len();
        let (side, is_up) = (self.nodes[number].side, self.nodes[number].is_up);
        let started = self.now.max(self.down_until);
        self.nodes[number] = Node { side, is_up, ..Node::new(size, started) };
    }

    fn learn_of_sides(&mut self, within: (u64, u64)) {
        for at in 0..self.nodes.len() {
            for about in 0..self.nodes.len() {
                let together = self.nodes[at].side == self.nodes[about].side;
                if self.nodes[about].is_up && self.nodes[at].members[about] != together {
                    let when = self.now + self.random.between(within);
                    self.send_at(when, Message::Learn { at, about, is_member: together });
                }
            }
        }
    }

    fn tell_all(&mut self, about: usize, is_member: bool, within: (u64, u64)) {
        for at in (0..self.nodes.len()).filter(|it| *it != about) {
            let when = self.now + self.random.between(within);
            self.send_at(when, Message::Learn { at, about, is_member });
        }
    }

    fn send_at(&mut self, at: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((at, self.sent), message);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.nodes[from].side == self.nodes[to].side && self.nodes[to].is_up {
            self.send_at(self.now + DELAY, message);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Ask { to, from, wanted, is_forwarded } => {
                    self.grant(to, from, wanted, is_forwarded);
                }
                Message::Grant { to, grant } => self.take_grant(to, &grant),
                Message::Handover { to, thousandths } => {
                    let handover = QuotaHandover { customer: customer(), thousandths };
                    let (limit, now) = (self.limit, self.boot());
                    self.nodes[to].quota.apply_handover(&handover, limit, now);
                }
                Message::Learn { at, about, is_member } => {
                    self.nodes[at].members[about] = is_member;
                    self.nodes[at].changed_at = self.now;
                    self.hand_over_quota(at);
                }
            }
        }
    }

    fn hand_over_quota(&mut self, at: usize) {
        let owner = self.owner_for(at);
        let closed = self.nodes[at].quota.close(|_| owner == at);
        for handover in closed {
            let message = Message::Handover { to: owner, thousandths: handover.thousandths };
            self.send(at, owner, message);
        }
    }

    /// The instance that `at` takes for the owner: the lowest after a shuffle of numbers.
    fn owner_for(&self, at: usize) -> usize {
        let members = &self.nodes[at].members;
        let rank = |it: &usize| (*it as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 20;
        (0..members.len()).filter(|it| members[*it]).min_by_key(rank).unwrap_or(at)
    }

    fn part(&self, at: usize) -> f64 {
        let members = &self.nodes[at].members;
        // Behind a cut, whole data centres are missing; single instances are not.
        let missing = members.iter().filter(|it| !**it).count() as f64 / members.len() as f64;
        if missing >= 0.2 { 1.0 - missing } else { 1.0 }
    }

    fn grant(&mut self, at: usize, from: usize, wanted: u32, is_forwarded: bool) {
        let owner = self.owner_for(at);
        if owner != at {
            if !is_forwarded {
                self.send(at, owner, Message::Ask { to: owner, from, wanted, is_forwarded: true });
            }
            return;
        }
        let req = TokenRequest {
            customer: customer(),
            wanted,
            reply_to: ([127, 0, 0, 1], 1).into(),
            is_forwarded,
        };
        let (part, now, limit) = (self.part(at), self.boot(), self.limit);
        let since = BootInstant(self.nodes[at].changed_at);
        let grant = self.nodes[at].quota.grant(&req, limit, since, part, now);
        if from == at {
            self.take_grant(at, &grant);
        } else {
            self.send(at, from, Message::Grant { to: from, grant });
        }
    }

    fn take_grant(&mut self, at: usize, grant: &TokenGrant) {
        let now = self.boot();
        let node = &mut self.nodes[at];
        node.leased.apply_grant(grant, now);
        node.is_unfunded = grant.is_settling;
        node.asked_at = None;
        let waiting = std::mem::take(&mut node.waiting);
        waiting.into_iter().for_each(|it| self.try_again(at, it.tries));
    }

    fn give_up_waiting(&mut self) {
        for at in self.homes.clone() {
            while self.nodes[at].waiting.front().is_some_and(|it| it.until <= self.now) {
                let Some(waiting) = self.nodes[at].waiting.pop_front() else { break };
                self.nodes[at].asked_at = None;
                self.try_again(at, waiting.tries + 1);
            }
        }
    }

    fn operate(&mut self, home: usize) {
        let passes = self.exact >= 1.0;
        self.exact -= if passes { 1.0 } else { 0.0 };
        self.exactly_refused += usize::from(!passes);
        if self.now < self.down_until || !self.nodes[home].is_up {
            return;
        }
        if self.policy == Policy::EvenShares {
            let share = self.limit.per_s() / self.homes.len() as f64;
            let burst = (self.limit.burst as f64 / self.homes.len() as f64).max(1.0);
            let node = &mut self.nodes[home];
            let passed = (self.now - node.changed_at) as f64 / S as f64;
            node.changed_at = self.now;
            node.even = (node.even + passed * share).min(burst);
            let runs = node.even >= 1.0;
            node.even -= if runs { 1.0 } else { 0.0 };
            return self.note(runs);
        }
        self.try_again(home, 0);
    }

    fn try_again(&mut self, home: usize, tries: u32) {
        let now = self.boot();
        match self.nodes[home].leased.consume(now) {
            ConsumeOutcome::Granted => {
                self.note(true);
                if self.nodes[home].leased.is_running_low(now) {
                    self.ask(home);
                }
            }
            ConsumeOutcome::Exhausted { .. } => self.note(false),
            ConsumeOutcome::NeedsGrant if self.nodes[home].is_unfunded || tries == TRIES => {
                self.nodes[home].is_unfunded = true;
                self.ask(home);
                let runs = self.nodes[home].leased.consume_in_grace_period(now);
                self.note(runs);
            }
            ConsumeOutcome::NeedsGrant => {
                self.nodes[home].waiting.push_back(Waiting { until: self.now + ASK_WITHIN, tries });
                self.ask(home);
            }
        }
    }

    fn ask(&mut self, home: usize) {
        if self.nodes[home].asked_at.is_some_and(|at| self.now < at + ASK_WITHIN) {
            return;
        }
        self.nodes[home].asked_at = Some(self.now);
        let waiting = self.nodes[home].waiting.len().max(1) as u32;
        let wanted = self.nodes[home].leased.tokens_to_request(waiting, self.boot());
        let owner = self.owner_for(home);
        if owner == home {
            self.grant(home, home, wanted, false);
        } else {
            self.send(
                home,
                owner,
                Message::Ask { to: owner, from: home, wanted, is_forwarded: false },
            );
        }
    }

    fn note(&mut self, runs: bool) {
        if runs {
            self.ran.push(self.now);
        } else {
            self.refused += 1;
        }
    }
}

impl Node {
    fn new(size: usize, started: u64) -> Node {
        Node {
            side: 0,
            is_up: true,
            members: vec![true; size],
            changed_at: started,
            quota: OwnedQuotas::default(),
            leased: LeasedTokens::new(BootInstant(started).plus(Duration::ZERO)),
            even: 1.0,
            waiting: VecDeque::new(),
            asked_at: None,
            is_unfunded: false,
        }
    }
}
