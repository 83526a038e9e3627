//! Telling others what one knows, and noticing who has stopped answering.

use std::rc::Rc;
use std::time::Instant;

use gullspar_border::{PeerReply, PeerRequest, jittered};
use gullspar_model::{InstanceRecord, InstanceState};

use crate::Fleet;

/// One exchange in this many goes to an instance believed dead, so that two halves of a fleet that
/// lost each other for an hour find together again without anybody's help.
const REVIVE_EVERY: u64 = 10;

/// One exchange in this many goes to another data centre.
const ABROAD_EVERY: u64 = 4;

/// How many others are asked to probe an instance that did not answer.
const PROBES: usize = 2;

impl Fleet {
    pub(crate) async fn run_gossip(self: Rc<Self>) {
        let mut round = self.borders.entropy.next_u64() % REVIVE_EVERY;
        loop {
            let pause = jittered(&*self.borders.entropy, self.timing.gossip_every);
            let next = self.borders.clock.now() + pause;
            round += 1;
            match self.pick(round) {
                // A silent instance must not hold up the exchanges with the others.
                Some(other) => {
                    compio::runtime::spawn(Rc::clone(&self).exchange_with(other)).detach();
                }
                None => Rc::clone(&self).join().await,
            }
            self.borders.clock.sleep_until(next).await;
            let now = self.borders.clock.now();
            let forget_at = now + self.timing.forget_dead_after;
            let dead = self.table.borrow_mut().expire(now, forget_at);
            for id in &dead {
                log::warn!("G0202 instance {id} is declared dead");
            }
            if !dead.is_empty() {
                self.notify();
            }
        }
    }

    fn pick(&self, round: u64) -> Option<InstanceRecord> {
        let own = self.own.borrow();
        let revive = round.is_multiple_of(REVIVE_EVERY);
        let abroad = round.is_multiple_of(ABROAD_EVERY);
        let table = self.table.borrow();
        let others: Vec<&InstanceRecord> = table.all().filter(|it| it.id != own.id).collect();
        let live: Vec<&InstanceRecord> =
            others.iter().copied().filter(|it| it.state != InstanceState::Dead).collect();
        let dead: Vec<&InstanceRecord> =
            others.iter().copied().filter(|it| it.state == InstanceState::Dead).collect();
        let (near, far): (Vec<&InstanceRecord>, Vec<&InstanceRecord>) =
            live.iter().partition(|it| it.data_centre == own.data_centre);
        let pool = match (revive && !dead.is_empty(), abroad, near.is_empty(), far.is_empty()) {
            (true, ..) => dead,
            (_, true, _, false) | (_, _, true, false) => far,
            (_, _, false, _) => near,
            _ => live,
        };
        let index = self.borders.entropy.next_u64() as usize;
        pool.get(index.checked_rem(pool.len())?).map(|it| (*it).clone())
    }

    async fn exchange_with(self: Rc<Self>, other: InstanceRecord) {
        if self.exchange(other.peer).await || other.state == InstanceState::Dead {
            return;
        }
        let probes = self.probers(&other).into_iter().map(|prober| {
            let deadline = self.borders.clock.now() + 2 * self.timing.answer_within;
            let req = PeerRequest::Probe { peer: other.peer };
            self.borders.peers.call(prober.peer, req, deadline)
        });
        // A link broken on our side only must not declare a sound instance dead, so others are
        // asked before the suspicion is spread.
        let reached = futures::future::join_all(probes).await;
        if reached.iter().any(|it| matches!(it, Ok(PeerReply::Probed { answered: true }))) {
            return;
        }
        // One that announced its leaving has left.
        let leaving = other.state == InstanceState::Leaving;
        let state = if leaving { InstanceState::Dead } else { InstanceState::Suspect };
        let record = InstanceRecord { state, ..other };
        if self.learn(&record, self.due_at(state)) {
            log::info!("G0203 instance {} does not answer", record.id);
        }
    }

    /// When a record of this state is acted upon.
    fn due_at(&self, state: InstanceState) -> Option<Instant> {
        let now = self.borders.clock.now();
        match state {
            InstanceState::Suspect => Some(now + self.timing.suspect_for),
            InstanceState::Dead => Some(now + self.timing.forget_dead_after),
            InstanceState::Alive | InstanceState::Leaving => None,
        }
    }

    fn probers(&self, other: &InstanceRecord) -> Vec<InstanceRecord> {
        let own = self.id();
        let table = self.table.borrow();
        let mut able: Vec<&InstanceRecord> = table
            .all()
            .filter(|it| it.id != own && it.id != other.id && it.state == InstanceState::Alive)
            .collect();
        if !able.is_empty() {
            let start = self.borders.entropy.next_u64() as usize % able.len();
            able.rotate_left(start);
        }
        able.into_iter().take(PROBES).cloned().collect()
    }

    /// Exchanges news with the instance at `peer`; tells whether it answered.
    async fn exchange(self: &Rc<Self>, peer: std::net::SocketAddr) -> bool {
        let req = {
            let updates = self.table.borrow_mut().news();
            let from = self.own.borrow().clone();
            PeerRequest::Exchange { from, updates, config_digest: self.config.digest() }
        };
        let deadline = self.borders.clock.now() + self.timing.answer_within;
        let reply = self.borders.peers.call(peer, req, deadline).await;
        let Ok(PeerReply::Exchanged { from, updates, config_digest }) = reply else { return false };
        self.hear(&from, &updates);
        if config_digest != self.config.digest() {
            self.pull_from(peer).await;
        }
        true
    }

    /// Answers another instance's exchange.
    pub fn answer_exchange(
        self: &Rc<Self>,
        from: InstanceRecord,
        updates: Vec<InstanceRecord>,
        config_digest: u64,
    ) -> PeerReply {
        let stranger = self.table.borrow().get(&from.id).is_none();
        self.hear(&from, &updates);
        let updates = if stranger {
            // A newcomer is told everything at once; waiting for gossip would take it minutes.
            self.instances()
        } else {
            self.table.borrow_mut().news()
        };
        if config_digest != self.config.digest() {
            let this = Rc::clone(self);
            compio::runtime::spawn(async move { this.pull_from(from.peer).await }).detach();
        }
        let own = self.own.borrow().clone();
        PeerReply::Exchanged { from: own, updates, config_digest: self.config.digest() }
    }

    /// Probes a third instance on another's behalf.
    pub async fn answer_probe(self: Rc<Self>, peer: std::net::SocketAddr) -> PeerReply {
        PeerReply::Probed { answered: self.exchange(peer).await }
    }

    fn hear(&self, from: &InstanceRecord, updates: &[InstanceRecord]) {
        self.learn(from, None);
        self.heard_of_others.set(true);
        for record in updates {
            if record.id == self.id() {
                self.object_to(record);
                continue;
            }
            self.learn(record, self.due_at(record.state));
        }
    }

    /// Objects when others say something worse of this instance than it knows of itself.
    fn object_to(&self, record: &InstanceRecord) {
        let mut own = self.own.borrow_mut();
        if record.incarnation > own.incarnation
            || (record.incarnation == own.incarnation && record.state > own.state)
        {
            own.incarnation = record.incarnation + 1;
            let own = own.clone();
            self.learn(&own, None);
        }
    }

    /// Asks the seeds for others, and the platform when no seed answers.
    async fn join(self: Rc<Self>) {
        for seed in &self.seeds {
            if *seed != self.own.borrow().peer {
                self.exchange(*seed).await;
            }
        }
        if self.live_count() > 1 {
            return;
        }
        // The platform's list may be old or out of reach; gossip brings the rest.
        if let Ok(listed) = self.borders.platform.instances().await {
            for entry in listed.iter().filter(|it| it.id != self.id() && !it.leaving) {
                self.exchange(entry.peer).await;
            }
        }
    }
}
