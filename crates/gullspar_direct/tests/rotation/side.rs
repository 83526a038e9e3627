//! The instances of one data centre in simulated time, with lost and late messages; reproducible by its seed.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;

use gullspar_border::BootInstant;
use gullspar_direct::rotation::{
    Coordinator, Decision, GroupStatus, GroupUse, Participant, RotationReport, Ruling,
};
use gullspar_direct::{Member, PeerMessage};
use gullspar_model::InstanceId;

/// Time between two checks of an instance, in milliseconds.
const TICK_MS: u64 = 100;

/// Size of the UDP and IP headers of a datagram, in bytes.
const HEADER_BYTES: u64 = 28;

/// The simulation starts at this time, which is no special one.
const START: BootInstant = BootInstant(1_000_000_000);

/// A simulated instance. Times are in milliseconds since the partition.
pub struct Instance {
    pub member: Member,
    participant: Participant,
    coordinator: Coordinator,
    /// When it detects that it is isolated, and when that ends.
    pub isolated: Option<(u64, u64)>,
    pub uses: Vec<GroupUse>,
    pub statuses: Vec<GroupStatus>,
    /// What it does without a verdict.
    pub leaves_alone: bool,
    /// Messages between different sides are lost.
    pub side: u32,
    pub is_up: bool,
    pub ruling: Ruling,
    /// When it left rotation and returned, in turn.
    pub changes: Vec<u64>,
    pub sent: u64,
    pub sent_bytes: u64,
}

impl Instance {
    fn is_isolated(&self, now_ms: u64) -> bool {
        self.isolated.is_some_and(|(from, to)| (from..to).contains(&now_ms))
    }

    pub fn is_out(&self) -> bool {
        self.changes.len() % 2 == 1
    }
}

enum Event {
    Tick(usize),
    Message(usize, Box<PeerMessage>),
}

pub struct Side {
    pub instances: Vec<Instance>,
    members: Rc<Vec<Member>>,
    pub now_ms: u64,
    /// Messages lost, per thousand.
    pub loss_permille: u64,
    /// Messages delayed by [`Side::late_by_ms`], per thousand.
    pub late_permille: u64,
    pub late_by_ms: u64,
    queue: BTreeMap<Reverse<(u64, u64)>, Event>,
    order: u64,
    random: u64,
}

impl Side {
    pub fn new(size: usize, seed: u64) -> Side {
        let instances: Vec<Instance> = (0..size).map(instance).collect();
        let mut side = Side {
            members: Rc::new(instances.iter().map(|it| it.member.clone()).collect()),
            instances,
            now_ms: 0,
            loss_permille: 0,
            late_permille: 0,
            late_by_ms: 0,
            queue: BTreeMap::new(),
            order: 0,
            random: seed,
        };
        for number in 0..size {
            let at = side.below(TICK_MS);
            side.schedule(at, Event::Tick(number));
        }
        side
    }

    /// A random number below `limit`.
    pub fn below(&mut self, limit: u64) -> u64 {
        self.random =
            self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 33) % limit
    }

    pub fn run_until(&mut self, end_ms: u64) {
        while let Some(entry) = self.queue.last_entry() {
            let at = entry.key().0.0;
            if at > end_ms {
                break;
            }
            self.now_ms = at;
            match entry.remove() {
                Event::Tick(number) => {
                    self.tick(number);
                    self.schedule(at + TICK_MS, Event::Tick(number));
                }
                Event::Message(to, message) => self.receive(to, *message),
            }
        }
        self.now_ms = end_ms;
    }

    /// The number of the live instance that reports are sent to first.
    pub fn first_coordinator(&self) -> usize {
        let near = self.near();
        number(Participant::default().check(true, &near, self.now())[0].0.address)
    }

    fn now(&self) -> BootInstant {
        BootInstant(START.0 + self.now_ms * 1000)
    }

    /// The live instances, as all know them; silent ones are not known to be dead within the simulated time.
    fn near(&self) -> Rc<Vec<Member>> {
        Rc::clone(&self.members)
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.order += 1;
        self.queue.insert(Reverse((at_ms, self.order)), event);
    }

    fn tick(&mut self, number: usize) {
        if !self.instances[number].is_up {
            return;
        }
        self.send_reports(number);
        if self.instances[number].coordinator.is_active() {
            self.coordinate(number);
        }
        self.apply(number);
    }

    fn send_reports(&mut self, number: usize) {
        let (near, now) = (self.near(), self.now());
        let instance = &mut self.instances[number];
        let is_needed = instance.is_isolated(self.now_ms);
        let due = instance.participant.check(is_needed, &near, now);
        let due: Vec<_> = due.into_iter().map(|(to, uses)| (to.address, uses)).collect();
        for (to, with_uses) in due {
            let report = self.report(number, with_uses);
            self.send(number, to, PeerMessage::RotationReport(report));
        }
    }

    fn report(&self, number: usize, with_uses: bool) -> RotationReport {
        let instance = &self.instances[number];
        RotationReport {
            from: instance.member.id.clone(),
            reply_to: instance.member.address,
            sent_at: self.now(),
            is_isolated: instance.is_isolated(self.now_ms),
            is_out: instance.is_out(),
            uses: with_uses.then(|| instance.uses.clone()),
            statuses: instance.statuses.clone(),
        }
    }

    fn coordinate(&mut self, number: usize) {
        let (own, near, now) = (self.report(number, true), self.near(), self.now());
        let coordinator = &mut self.instances[number].coordinator;
        coordinator.handle_report(own, now);
        let messages = match coordinator.decide(&near, now) {
            true => coordinator.announcements(&near, now),
            false => coordinator.prompts(&near, now),
        };
        for (to, verdict) in messages {
            self.send(number, to, PeerMessage::RotationVerdict(verdict));
        }
    }

    fn apply(&mut self, number: usize) {
        let (near, now, now_ms) = (self.instances.len(), self.now(), self.now_ms);
        let instance = &mut self.instances[number];
        let is_isolated = instance.is_isolated(now_ms);
        instance.ruling = instance.participant.ruling(is_isolated, near, now);
        let should_leave = match &instance.ruling {
            Ruling::NotNeeded => false,
            Ruling::Awaited => instance.is_out(),
            Ruling::Alone => is_isolated && instance.leaves_alone,
            Ruling::Verdict(it) => it.decision == Decision::Leave,
        };
        if should_leave != instance.is_out() {
            instance.changes.push(now_ms);
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: PeerMessage) {
        let to = number(to);
        if from == to {
            return self.receive(to, message);
        }
        let bytes = postcard::to_stdvec(&message).unwrap().len() as u64 + HEADER_BYTES;
        self.instances[from].sent += 1;
        self.instances[from].sent_bytes += bytes;
        let is_blocked = self.instances[from].side != self.instances[to].side;
        if is_blocked || self.below(1000) < self.loss_permille {
            return;
        }
        let is_late = self.below(1000) < self.late_permille;
        let delay_ms = 1 + self.below(3) + if is_late { self.late_by_ms } else { 0 };
        self.schedule(self.now_ms + delay_ms, Event::Message(to, Box::new(message)));
    }

    fn receive(&mut self, number: usize, message: PeerMessage) {
        if !self.instances[number].is_up {
            return;
        }
        let (near, now) = (self.near(), self.now());
        let instance = &mut self.instances[number];
        match message {
            PeerMessage::RotationReport(report) => {
                let (from, reply_to) = (report.from.clone(), report.reply_to);
                let coordinator = &mut instance.coordinator;
                coordinator.handle_report(report, now);
                let is_undecided = coordinator.decision() == Decision::Undecided;
                if is_undecided && coordinator.is_active() && coordinator.is_complete(&near) {
                    self.coordinate(number);
                }
                let verdict = self.instances[number].coordinator.verdict(&from, now);
                self.send(number, reply_to, PeerMessage::RotationVerdict(verdict));
            }
            PeerMessage::RotationVerdict(verdict) => {
                if instance.participant.handle_verdict(verdict, now) {
                    self.send_reports(number);
                }
                self.apply(number);
            }
            _ => {}
        }
    }
}

fn number(address: SocketAddr) -> usize {
    let IpAddr::V4(ip) = address.ip() else { panic!("only IPv4 here") };
    let [.., high, low] = ip.octets();
    usize::from(high) * 256 + usize::from(low)
}

fn instance(number: usize) -> Instance {
    let id = InstanceId::new(format!("entry-place-{number}"));
    let [.., high, low] = (number as u32).to_be_bytes();
    let member = Member {
        id: id.clone(),
        address: SocketAddr::from(([10, 1, high, low], 7440)),
        data_centre: "place-1".into(),
        strength: 250,
    };
    Instance {
        member,
        participant: Participant::default(),
        coordinator: Coordinator::new(id),
        isolated: None,
        uses: Vec::new(),
        statuses: Vec::new(),
        leaves_alone: false,
        side: 0,
        is_up: true,
        ruling: Ruling::NotNeeded,
        changes: Vec::new(),
        sent: 0,
        sent_bytes: 0,
    }
}
