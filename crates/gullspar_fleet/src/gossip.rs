//! Gossip: exchanges member records with other instances and detects those that stop answering.

use std::rc::Rc;
use std::time::Instant;

use gullspar_border::{PeerReply, PeerRequest, jittered};
use gullspar_model::{InstanceRecord, InstanceState};

use crate::Fleet;

/// One exchange in this many goes to an instance considered dead, so that the parts of a fleet merge again after a long
/// partition.
const DEAD_EVERY: u64 = 10;

/// One exchange in this many goes to another data centre.
const REMOTE_EVERY: u64 = 4;

/// How many other instances are asked to probe one that did not answer.
const PROBES: usize = 2;

impl Fleet {
    /// Exchanges records with one instance per interval, and declares suspects dead. Never ends.
    pub(crate) async fn run_gossip(self: Rc<Self>) {
        let mut round = self.borders.entropy.next_u64() % DEAD_EVERY;
        loop {
            let pause = jittered(&*self.borders.entropy, self.timing.gossip_interval);
            let next = self.borders.clock.now() + pause;
            round += 1;
            match self.pick(round) {
                // An instance that does not answer must not delay the exchanges with the others.
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
                log::warn!("G0202 instance {id} was declared dead");
            }
            if !dead.is_empty() {
                self.notify();
            }
        }
    }

    /// Selects an instance for the exchange of this round: a dead one, one in another data centre, or a near one.
    fn pick(&self, round: u64) -> Option<InstanceRecord> {
        let own = self.own.borrow();
        let try_dead = round.is_multiple_of(DEAD_EVERY);
        let remote = round.is_multiple_of(REMOTE_EVERY);
        let table = self.table.borrow();
        let others: Vec<&InstanceRecord> = table.all().filter(|it| it.id != own.id).collect();
        let live: Vec<&InstanceRecord> =
            others.iter().copied().filter(|it| it.state != InstanceState::Dead).collect();
        let dead: Vec<&InstanceRecord> =
            others.iter().copied().filter(|it| it.state == InstanceState::Dead).collect();
        let (near, far): (Vec<&InstanceRecord>, Vec<&InstanceRecord>) =
            live.iter().partition(|it| it.data_centre == own.data_centre);
        let pool = match (try_dead && !dead.is_empty(), remote, near.is_empty(), far.is_empty()) {
            (true, ..) => dead,
            (_, true, _, false) | (_, _, true, false) => far,
            (_, _, false, _) => near,
            _ => live,
        };
        let index = self.borders.entropy.next_u64() as usize;
        pool.get(index.checked_rem(pool.len())?).map(|it| (*it).clone())
    }

    /// Exchanges records with `other`, and marks it as a suspect, or as dead if it was leaving, when neither
    /// this instance nor the probers get an answer.
    async fn exchange_with(self: Rc<Self>, other: InstanceRecord) {
        if self.exchange(other.peer).await || other.state == InstanceState::Dead {
            return;
        }
        let probes = self.probers(&other).into_iter().map(|prober| {
            let deadline = self.borders.clock.now() + 2 * self.timing.answer_timeout;
            let req = PeerRequest::Probe { peer: other.peer };
            self.borders.peers.call(prober.peer, req, deadline)
        });
        // Others are asked first: a broken link of this instance alone must not make a healthy instance a suspect.
        let replies = futures::future::join_all(probes).await;
        if replies.iter().any(|it| matches!(it, Ok(PeerReply::Probed { answered: true }))) {
            return;
        }
        // An instance that announced its leaving has left.
        let leaving = other.state == InstanceState::Leaving;
        let state = if leaving { InstanceState::Dead } else { InstanceState::Suspect };
        let record = InstanceRecord { state, ..other };
        if self.merge(&record, self.due_at(state)) {
            log::info!("G0203 instance {} did not answer", record.id);
        }
    }

    /// When a record of this state expires: a suspect is declared dead, a dead one removed.
    fn due_at(&self, state: InstanceState) -> Option<Instant> {
        let now = self.borders.clock.now();
        match state {
            InstanceState::Suspect => Some(now + self.timing.suspect_timeout),
            InstanceState::Dead => Some(now + self.timing.forget_dead_after),
            InstanceState::Alive | InstanceState::Leaving => None,
        }
    }

    /// Instances chosen at random to probe `other`.
    fn probers(&self, other: &InstanceRecord) -> Vec<InstanceRecord> {
        let own = self.id();
        let table = self.table.borrow();
        let mut candidates: Vec<&InstanceRecord> = table
            .all()
            .filter(|it| it.id != own && it.id != other.id && it.state == InstanceState::Alive)
            .collect();
        if !candidates.is_empty() {
            let start = self.borders.entropy.next_u64() as usize % candidates.len();
            candidates.rotate_left(start);
        }
        candidates.into_iter().take(PROBES).cloned().collect()
    }

    /// Exchanges recent records with the instance at `peer`; returns whether it answered.
    async fn exchange(self: &Rc<Self>, peer: std::net::SocketAddr) -> bool {
        let req = {
            let updates = self.table.borrow_mut().updates();
            let from = self.own.borrow().clone();
            PeerRequest::Exchange { from, updates, config_digest: self.config.digest() }
        };
        let deadline = self.borders.clock.now() + self.timing.answer_timeout;
        let reply = self.borders.peers.call(peer, req, deadline).await;
        let Ok(PeerReply::Exchanged { from, updates, config_digest }) = reply else { return false };
        self.merge_records(&from, &updates);
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
        let is_unknown = self.table.borrow().get(&from.id).is_none();
        self.merge_records(&from, &updates);
        let updates = if is_unknown {
            // A new instance gets all records at once; through gossip alone this would take minutes.
            self.instances()
        } else {
            self.table.borrow_mut().updates()
        };
        if config_digest != self.config.digest() {
            let this = Rc::clone(self);
            compio::runtime::spawn(async move { this.pull_from(from.peer).await }).detach();
        }
        let own = self.own.borrow().clone();
        PeerReply::Exchanged { from: own, updates, config_digest: self.config.digest() }
    }

    /// Probes a third instance on behalf of another one.
    pub async fn answer_probe(self: Rc<Self>, peer: std::net::SocketAddr) -> PeerReply {
        PeerReply::Probed { answered: self.exchange(peer).await }
    }

    /// Merges the sender's record and those that it sent.
    fn merge_records(&self, from: &InstanceRecord, updates: &[InstanceRecord]) {
        self.merge(from, None);
        self.has_contacted_others.set(true);
        for record in updates {
            if record.id == self.id() {
                self.refute(record);
                continue;
            }
            self.merge(record, self.due_at(record.state));
        }
    }

    /// Refutes a record of this instance that has a worse state or a later incarnation than its own, by announcing a
    /// higher incarnation.
    fn refute(&self, record: &InstanceRecord) {
        let mut own = self.own.borrow_mut();
        if record.incarnation > own.incarnation
            || (record.incarnation == own.incarnation && record.state > own.state)
        {
            own.incarnation = record.incarnation + 1;
            let own = own.clone();
            self.merge(&own, None);
        }
    }

    /// Contacts the seeds, and the instances listed by the platform if no seed answers.
    async fn join(self: Rc<Self>) {
        for seed in &self.seeds {
            if *seed != self.own.borrow().peer {
                self.exchange(*seed).await;
            }
        }
        if self.live_count() > 1 {
            return;
        }
        // The platform's list may be outdated or unavailable; gossip completes it.
        if let Ok(listed) = self.borders.platform.instances().await {
            for entry in listed.iter().filter(|it| it.id != self.id() && !it.leaving) {
                self.exchange(entry.peer).await;
            }
        }
    }
}
