//! A simulated fleet that serves one customer, on one thread.

use std::collections::BTreeMap;

use gullspar_border::BootInstant;
use gullspar_customer::{ConsumeOutcome, QuotaHandover, RateLimit, TokenGrant, TokenRequest};
use gullspar_model::CustomerName;

use super::event::Event;
use super::instance::{Instance, Waiting};
use super::known::Known;
use super::message::Message;
use super::policy::Policy;
use super::random::Random;

pub const MS: u64 = 1000;
pub const S: u64 = 1000 * MS;

/// Network delay between two instances.
const DELAY: u64 = 2 * MS;

/// How long to wait for an answer to a token request, and how often to repeat the request.
const ANSWER_TIMEOUT: u64 = 60 * MS;
const MAX_TRIES: u32 = 2;

/// Shortest and longest time until instances detect a death or a partition, and until they learn that one leaves or
/// starts.
const FAILURE_DETECTION: (u64, u64) = (700 * MS, 1500 * MS);
const UPDATE_PROPAGATION: (u64, u64) = (20 * MS, 400 * MS);

/// How long all instances are down after a power loss.
const OUTAGE: u64 = 700 * MS;

pub struct Fleet {
    instances: Vec<Instance>,
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
    /// The times at which operations ran.
    pub ran: Vec<u64>,
    pub refused: usize,
    /// Level of one exact bucket for the whole fleet.
    exact_tokens: f64,
    /// Operations that the exact bucket refuses.
    pub exactly_refused: usize,
}

fn customer() -> CustomerName {
    CustomerName::new("customer")
}

impl Fleet {
    pub fn new(size: usize, homes: usize, seed: u64, policy: Policy) -> Fleet {
        let mut random = Random::new(seed);
        let instances = (0..size).map(|_| Instance::new(size, 0)).collect();
        let mut numbers: Vec<usize> = (0..size).collect();
        numbers.sort_by_cached_key(|_| random.next());
        numbers.truncate(homes);
        Fleet {
            instances,
            weights: vec![1.0; homes],
            homes: numbers,
            limit: RateLimit { thousandths_per_s: 0, burst: 0 },
            policy,
            // Later than the settle period after the start.
            now: 60 * S,
            random,
            messages: BTreeMap::new(),
            sent: 0,
            events: BTreeMap::new(),
            down_until: 0,
            ran: Vec::new(),
            refused: 0,
            exact_tokens: 0.0,
            exactly_refused: 0,
        }
    }

    /// Sets the load weight of the first home to `skew` eighths of the number of homes; all others have weight 1.
    pub fn skewed(mut self, skew: f64) -> Fleet {
        self.weights[0] = skew * self.weights.len() as f64 / 8.0;
        self
    }

    pub fn set_limit(&mut self, per_s: u64, burst: u64) {
        self.limit = RateLimit { thousandths_per_s: per_s * 1000, burst };
        self.exact_tokens = burst as f64;
    }

    /// Schedules events, each at a number of seconds from now.
    pub fn schedule(&mut self, events: &[(u64, Event)]) {
        for (second, event) in events {
            self.events.entry(self.now + second * S).or_default().push(*event);
        }
    }

    /// Runs for `time` with `per_s` operations per second.
    pub fn run(&mut self, time: u64, per_s: f64) {
        let end = self.now + time;
        let mut next = self.now + self.random.time_to_next(per_s);
        while self.now < end {
            self.now += MS;
            let refill = self.limit.per_s() * MS as f64 / S as f64;
            self.exact_tokens = (self.exact_tokens + refill).min(self.limit.burst as f64);
            if let Some(events) = self.events.remove(&self.now) {
                events.into_iter().for_each(|it| self.apply_event(it));
            }
            self.deliver();
            self.expire_waiting();
            while next <= self.now {
                let home = self.homes[self.random.choose(&self.weights)];
                self.run_operation(home);
                next += self.random.time_to_next(per_s);
            }
        }
    }

    fn boot(&self) -> BootInstant {
        BootInstant(self.now)
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Partition { percent } => {
                let partitioned = self.instances.len() * percent / 100;
                self.instances[..partitioned].iter_mut().for_each(|it| it.side = 1);
                self.schedule_side_updates(FAILURE_DETECTION);
            }
            Event::Heal => {
                self.instances.iter_mut().for_each(|it| it.side = 0);
                self.schedule_side_updates(UPDATE_PROPAGATION);
            }
            Event::KillOwner => {
                let owner = self.owner_for(self.homes[0]);
                self.restart(owner);
                self.instances[owner].is_up = false;
                self.broadcast_update(owner, Known::Dead, FAILURE_DETECTION);
            }
            Event::Isolate { percent, with_owner } => self.isolate(percent, with_owner),
            Event::Kill { percent } => {
                for number in 0..self.instances.len() * percent / 100 {
                    self.restart(number);
                    self.instances[number].is_up = false;
                    self.broadcast_update(number, Known::Dead, FAILURE_DETECTION);
                }
            }
            Event::Leave(number) => {
                self.instances[number].learn(number, Known::Left);
                self.hand_over_quota(number);
                self.broadcast_update(number, Known::Left, UPDATE_PROPAGATION);
                let back = (S + UPDATE_PROPAGATION.0, S + UPDATE_PROPAGATION.1);
                self.broadcast_update(number, Known::Member, back);
                self.send_at(
                    self.now + S,
                    Message::MemberUpdate { at: number, about: number, known: Known::Member },
                );
            }
            Event::PowerLoss => {
                self.down_until = self.now + OUTAGE;
                (0..self.instances.len()).for_each(|it| self.restart(it));
                self.messages.clear();
            }
        }
    }

    fn isolate(&mut self, percent: usize, with_owner: bool) {
        let owner = self.owner_for(self.homes[0]);
        let count = self.instances.len() * percent / 100;
        let others: Vec<usize> = (0..self.instances.len()).filter(|it| *it != owner).collect();
        let isolated = with_owner.then_some(owner).into_iter().chain(others).take(count);
        for (at, number) in isolated.enumerate() {
            self.instances[number].side = 1 + at;
        }
        self.schedule_side_updates(FAILURE_DETECTION);
    }

    fn restart(&mut self, number: usize) {
        let size = self.instances.len();
        let (side, is_up) = (self.instances[number].side, self.instances[number].is_up);
        let started = self.now.max(self.down_until);
        self.instances[number] = Instance { side, is_up, ..Instance::new(size, started) };
    }

    fn schedule_side_updates(&mut self, delay: (u64, u64)) {
        for at in 0..self.instances.len() {
            for about in 0..self.instances.len() {
                let is_reached = self.instances[at].side == self.instances[about].side;
                let known = if is_reached { Known::Member } else { Known::Dead };
                if self.instances[about].is_up && self.instances[at].members[about] != known {
                    let when = self.now + self.random.between(delay);
                    self.send_at(when, Message::MemberUpdate { at, about, known });
                }
            }
        }
    }

    fn broadcast_update(&mut self, about: usize, known: Known, delay: (u64, u64)) {
        for at in (0..self.instances.len()).filter(|it| *it != about) {
            let when = self.now + self.random.between(delay);
            self.send_at(when, Message::MemberUpdate { at, about, known });
        }
    }

    fn send_at(&mut self, at: u64, message: Message) {
        self.sent += 1;
        self.messages.insert((at, self.sent), message);
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.instances[from].side == self.instances[to].side && self.instances[to].is_up {
            self.send_at(self.now + DELAY, message);
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.messages.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Message::Request { to, from, wanted, is_forwarded } => {
                    self.grant(to, from, wanted, is_forwarded);
                }
                Message::Grant { to, grant } => self.apply_grant(to, &grant),
                Message::Handover { to, thousandths } => {
                    let handover = QuotaHandover { customer: customer(), thousandths };
                    let (limit, now) = (self.limit, self.boot());
                    self.instances[to].quota.apply_handover(&handover, limit, now);
                }
                Message::MemberUpdate { at, about, known } => {
                    self.instances[at].learn(about, known);
                    self.instances[at].changed_at = self.now;
                    self.hand_over_quota(at);
                }
            }
        }
    }

    fn hand_over_quota(&mut self, at: usize) {
        let owner = self.owner_for(at);
        let closed = self.instances[at].quota.close(|_| owner == at);
        for handover in closed {
            let message = Message::Handover { to: owner, thousandths: handover.thousandths };
            self.send(at, owner, message);
        }
    }

    /// The owner as seen by `at`.
    fn owner_for(&self, at: usize) -> usize {
        self.instances[at].owner
    }

    fn grant(&mut self, at: usize, from: usize, wanted: u32, is_forwarded: bool) {
        let owner = self.owner_for(at);
        if owner != at {
            if !is_forwarded {
                self.send(
                    at,
                    owner,
                    Message::Request { to: owner, from, wanted, is_forwarded: true },
                );
            }
            return;
        }
        let req = TokenRequest {
            customer: customer(),
            wanted,
            reply_to: ([127, 0, 0, 1], 1).into(),
            is_forwarded,
        };
        let (reach, now, limit) = (self.instances[at].reach, self.boot(), self.limit);
        let since = BootInstant(self.instances[at].changed_at);
        let grant = self.instances[at].quota.grant(&req, limit, since, reach, now);
        if from == at {
            self.apply_grant(at, &grant);
        } else {
            self.send(at, from, Message::Grant { to: from, grant });
        }
    }

    fn apply_grant(&mut self, at: usize, grant: &TokenGrant) {
        let now = self.boot();
        let instance = &mut self.instances[at];
        instance.leased.apply_grant(grant, now);
        instance.is_without_grants = grant.is_settling;
        instance.asked_at = None;
        let waiting = std::mem::take(&mut instance.waiting);
        waiting.into_iter().for_each(|it| self.attempt(at, it.tries));
    }

    fn expire_waiting(&mut self) {
        for at in self.homes.clone() {
            while self.instances[at].waiting.front().is_some_and(|it| it.until <= self.now) {
                let Some(waiting) = self.instances[at].waiting.pop_front() else { break };
                self.instances[at].asked_at = None;
                self.attempt(at, waiting.tries + 1);
            }
        }
    }

    fn run_operation(&mut self, home: usize) {
        let passes = self.exact_tokens >= 1.0;
        self.exact_tokens -= if passes { 1.0 } else { 0.0 };
        self.exactly_refused += usize::from(!passes);
        if self.now < self.down_until || !self.instances[home].is_up {
            return;
        }
        if self.policy == Policy::EvenShares {
            let share = self.limit.per_s() / self.homes.len() as f64;
            let burst = (self.limit.burst as f64 / self.homes.len() as f64).max(1.0);
            let instance = &mut self.instances[home];
            let passed = (self.now - instance.changed_at) as f64 / S as f64;
            instance.changed_at = self.now;
            instance.even_tokens = (instance.even_tokens + passed * share).min(burst);
            let runs = instance.even_tokens >= 1.0;
            instance.even_tokens -= if runs { 1.0 } else { 0.0 };
            return self.record(runs);
        }
        self.attempt(home, 0);
    }

    fn attempt(&mut self, home: usize, tries: u32) {
        let now = self.boot();
        match self.instances[home].leased.consume(now) {
            ConsumeOutcome::Granted => {
                self.record(true);
                if self.instances[home].leased.is_running_low(now) {
                    self.request_tokens(home);
                }
            }
            ConsumeOutcome::Exhausted { .. } => self.record(false),
            ConsumeOutcome::NeedsGrant
                if self.instances[home].is_without_grants || tries == MAX_TRIES =>
            {
                self.instances[home].is_without_grants = true;
                self.request_tokens(home);
                let runs = self.instances[home].leased.consume_in_grace_period(now);
                self.record(runs);
            }
            ConsumeOutcome::NeedsGrant => {
                self.instances[home]
                    .waiting
                    .push_back(Waiting { until: self.now + ANSWER_TIMEOUT, tries });
                self.request_tokens(home);
            }
        }
    }

    fn request_tokens(&mut self, home: usize) {
        if self.instances[home].asked_at.is_some_and(|at| self.now < at + ANSWER_TIMEOUT) {
            return;
        }
        self.instances[home].asked_at = Some(self.now);
        let waiting = self.instances[home].waiting.len().max(1) as u32;
        let wanted = self.instances[home].leased.tokens_to_request(waiting, self.boot());
        let owner = self.owner_for(home);
        if owner == home {
            self.grant(home, home, wanted, false);
        } else {
            self.send(
                home,
                owner,
                Message::Request { to: owner, from: home, wanted, is_forwarded: false },
            );
        }
    }

    fn record(&mut self, runs: bool) {
        if runs {
            self.ran.push(self.now);
        } else {
            self.refused += 1;
        }
    }
}
