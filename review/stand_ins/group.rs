//! A stand-in for one group: a replicated log, its members, and their line protocol.
//!
//! The members are as PROTOCOL.md describes them. A commit is acknowledged once one replica has received it
//! (`syncReplicas` = 1). A promotion leads the next term with what the named member had received.

use std::collections::BTreeSet;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::random::Random;
use crate::record::Record;

/// Members of a group at the start.
pub const MEMBERS: usize = 3;

/// Members that a group may have in a run, one after the other.
pub const MAX_MEMBERS: usize = 20;

/// How far replicas are behind, as in the site file.
pub const LAG_MEAN_MS: f64 = 60.0;
const LAG_SPREAD: f64 = 0.6;
const LAG_MAX_MS: f64 = 360.0;

/// Time from a commit's arrival at a replica until it is applied there.
const APPLY_DELAY: Duration = Duration::from_millis(2);

/// How often a thread that waits looks again.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

struct Entry {
    term: u64,
    number: u64,
    /// Id of the statement that committed it.
    id: String,
    /// When each member receives it; `None` for members that did not run.
    received_at: [Option<Instant>; MAX_MEMBERS],
}

struct State {
    /// The leader's log. The log of a replica is the part of it that it has received.
    log: Vec<Entry>,
    leader: usize,
    term: u64,
    dark: [bool; MAX_MEMBERS],
    /// Members that receive no commits although they answer.
    deaf: [bool; MAX_MEMBERS],
    is_member: [bool; MAX_MEMBERS],
    /// Members that have announced that they will leave.
    draining: [bool; MAX_MEMBERS],
    /// Grows when a member comes back or leaves, which ends its older connections.
    starts: [u64; MAX_MEMBERS],
    random: Random,
}

impl State {
    /// Whether a member runs; a dark one receives nothing.
    fn runs(&self, member: usize) -> bool {
        self.is_member[member] && !self.dark[member]
    }

    /// The leader and the replicas that receive commits.
    fn receiving(&self) -> Vec<usize> {
        (0..MAX_MEMBERS).filter(|it| self.runs(*it) && !self.deaf[*it]).collect()
    }

    fn received(&self, member: usize, now: Instant) -> usize {
        self.log.iter().take_while(|it| it.received_at[member].is_some_and(|at| at <= now)).count()
    }

    /// TERM.NUMBER of the last of the first `count` entries.
    fn point(&self, count: usize) -> (u64, u64) {
        count.checked_sub(1).map_or((1, 0), |it| (self.log[it].term, self.log[it].number))
    }

    fn applied_point(&self, member: usize) -> (u64, u64) {
        let now = Instant::now();
        let before = if member == self.leader { now } else { now - APPLY_DELAY };
        self.point(self.received(member, before))
    }

    fn commit(&mut self, id: &str) -> (u64, u64) {
        let now = Instant::now();
        let number = self.log.last().map_or(0, |it| it.number) + 1;
        let mut received_at = [None; MAX_MEMBERS];
        for member in self.receiving() {
            if member == self.leader {
                received_at[member] = Some(now);
                continue;
            }
            let lag = self.random.log_normal(LAG_MEAN_MS, LAG_SPREAD, LAG_MAX_MS);
            let arrival = now + Duration::from_micros((lag * 1000.0) as u64);
            // Commits arrive in order.
            let previous = self.log.last().and_then(|it| it.received_at[member]);
            received_at[member] = Some(arrival.max(previous.unwrap_or(now)));
        }
        self.log.push(Entry { term: self.term, number, id: id.to_owned(), received_at });
        (self.term, number)
    }

    /// Sends the replicas what they have not received, in order.
    fn send_missing(&mut self) {
        let now = Instant::now();
        for member in self.receiving() {
            if member == self.leader {
                continue;
            }
            let mut arrival = now;
            for entry in &mut self.log {
                if entry.received_at[member].is_some_and(|it| it <= now) {
                    continue;
                }
                let lag = self.random.log_normal(LAG_MEAN_MS, LAG_SPREAD, LAG_MAX_MS);
                arrival = arrival.max(now + Duration::from_micros((lag * 1000.0) as u64));
                entry.received_at[member] = Some(arrival);
            }
        }
    }

    /// A primary that goes dark sends nothing more.
    fn stop_sending(&mut self) {
        let now = Instant::now();
        for entry in &mut self.log {
            for at in &mut entry.received_at {
                *at = at.filter(|it| *it <= now);
            }
        }
    }

    fn find(&self, point: (u64, u64)) -> Option<&Entry> {
        self.log.iter().rev().find(|it| (it.term, it.number) == point)
    }
}

pub struct Group {
    pub name: String,
    number: usize,
    state: Mutex<State>,
    record: Arc<Record>,
    work: Duration,
    /// Ids of the statements that reached a member.
    reached: Mutex<BTreeSet<String>>,
}

/// A promotion that took effect.
pub struct Promotion {
    pub member: usize,
    /// Ids of the commits that the member had not received.
    pub undone: Vec<String>,
}

impl Group {
    /// Creates a group whose statements take `work`.
    pub fn new(number: usize, seed: u64, work: Duration, record: Arc<Record>) -> Arc<Group> {
        let state = State {
            log: Vec::new(),
            leader: 0,
            term: 1,
            dark: [false; MAX_MEMBERS],
            deaf: [false; MAX_MEMBERS],
            is_member: std::array::from_fn(|it| it < MEMBERS),
            draining: [false; MAX_MEMBERS],
            starts: [0; MAX_MEMBERS],
            random: Random::new(seed.wrapping_add(number as u64)),
        };
        Arc::new(Group {
            name: format!("racebook{number}"),
            number,
            state: Mutex::new(state),
            record,
            work,
            reached: Mutex::default(),
        })
    }

    /// Whether a read, write or commit with this id reached a member.
    pub fn has_reached(&self, id: &str) -> bool {
        self.reached.lock().unwrap().contains(id)
    }

    pub fn member_id(&self, member: usize) -> String {
        format!("i-{:010x}", 0x100 * (self.number + 1) + member)
    }

    pub fn member_of_id(&self, id: &str) -> Option<usize> {
        (0..MAX_MEMBERS).find(|it| self.member_id(*it) == id)
    }

    pub fn leader(&self) -> usize {
        self.state.lock().unwrap().leader
    }

    /// Makes a member dark, or brings it back with its log.
    pub fn set_dark(&self, member: usize, dark: bool) {
        let mut state = self.state.lock().unwrap();
        state.dark[member] = dark;
        if dark && state.leader == member {
            state.stop_sending();
        }
        if !dark {
            state.starts[member] += 1;
            if !state.dark[state.leader] {
                state.send_missing();
            }
        }
        let what = if dark { "goes dark" } else { "is back" };
        self.record.line(&format!("member {} {what}", self.member_id(member)));
    }

    /// Whether a member runs; a dark one does not.
    pub fn is_running(&self, member: usize) -> bool {
        self.state.lock().unwrap().runs(member)
    }

    /// Makes a replica receive nothing, or everything again.
    pub fn set_deaf(&self, member: usize, deaf: bool) {
        let mut state = self.state.lock().unwrap();
        state.deaf[member] = deaf;
        if deaf {
            let now = Instant::now();
            for entry in &mut state.log {
                entry.received_at[member] = entry.received_at[member].filter(|it| *it <= now);
            }
        } else if !state.dark[state.leader] {
            state.send_missing();
        }
        let what = if deaf { "receives nothing" } else { "receives again" };
        self.record.line(&format!("member {} {what}", self.member_id(member)));
    }

    pub fn is_member(&self, member: usize) -> bool {
        self.state.lock().unwrap().is_member[member]
    }

    pub fn is_draining(&self, member: usize) -> bool {
        self.state.lock().unwrap().draining[member]
    }

    /// Adds the next member, as a replica to which the whole log was transferred; returns it.
    pub fn add_member(&self) -> usize {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let added = (0..MAX_MEMBERS).rfind(|it| state.is_member[*it]).map_or(0, |it| it + 1);
        state.is_member[added] = true;
        state.log.iter_mut().for_each(|it| it.received_at[added] = Some(now));
        self.record.line(&format!("member {} joins", self.member_id(added)));
        added
    }

    /// The replicas that run and are not leaving, the oldest first.
    pub fn replicas(&self) -> Vec<usize> {
        let state = self.state.lock().unwrap();
        let stays = |it: &usize| state.runs(*it) && !state.draining[*it] && *it != state.leader;
        (0..MAX_MEMBERS).filter(stays).collect()
    }

    /// The member announces that it will leave.
    pub fn drain(&self, member: usize) {
        self.state.lock().unwrap().draining[member] = true;
        self.record.line(&format!("member {} is draining", self.member_id(member)));
    }

    /// The member exits.
    pub fn remove_member(&self, member: usize) {
        let mut state = self.state.lock().unwrap();
        state.is_member[member] = false;
        state.starts[member] += 1;
        self.record.line(&format!("member {} exits", self.member_id(member)));
    }

    /// Makes `member` the primary with what it has received; `None` if it is the primary already.
    pub fn promote(&self, member: usize) -> Option<Promotion> {
        let mut state = self.state.lock().unwrap();
        if state.leader == member {
            return None;
        }
        let kept = state.received(member, Instant::now());
        let undone: Vec<String> = state.log.split_off(kept).into_iter().map(|it| it.id).collect();
        state.leader = member;
        state.deaf[member] = false;
        state.term += 1;
        state.send_missing();
        let (term, point) = (state.term, state.point(kept));
        self.record.line(&format!(
            "member {} leads term {term} from {}.{}, {} commits undone",
            self.member_id(member),
            point.0,
            point.1,
            undone.len()
        ));
        Some(Promotion { member, undone })
    }

    /// Serves all members on free ports of 127.0.0.1.
    pub fn serve(self: &Arc<Group>) -> std::io::Result<Vec<SocketAddr>> {
        let mut addresses = Vec::new();
        for member in 0..MAX_MEMBERS {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            addresses.push(listener.local_addr()?);
            let group = Arc::clone(self);
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let group = Arc::clone(&group);
                    let start = group.state.lock().unwrap().starts[member];
                    let connection = Connection { group, member, start, transaction: None };
                    thread::spawn(move || connection.serve(stream));
                }
            });
        }
        Ok(addresses)
    }
}

struct Transaction {
    /// The term in which a plain transaction began; `None` if it only reads.
    term: Option<u64>,
    has_written: bool,
    has_failed: bool,
}

struct Connection {
    group: Arc<Group>,
    member: usize,
    start: u64,
    transaction: Option<Transaction>,
}

impl Connection {
    fn serve(mut self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut line = String::new();
        loop {
            line.clear();
            match reader.read_line(&mut line) {
                Ok(length) if length > 0 => {}
                _ => return,
            }
            if !self.wait_while_dark() {
                return;
            }
            let Some(answer) = self.answer(line.trim_end_matches(['\r', '\n'])) else { return };
            if !self.wait_while_dark() || writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Waits while the member is dark; returns whether the connection goes on.
    fn wait_while_dark(&self) -> bool {
        loop {
            let state = self.group.state.lock().unwrap();
            if state.starts[self.member] != self.start {
                return false;
            }
            if !state.dark[self.member] {
                return true;
            }
            drop(state);
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// The answer to a line; `None` ends the connection.
    fn answer(&mut self, line: &str) -> Option<String> {
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["OPEN", group, _, id] => {
                let is_right =
                    *group == self.group.name && *id == self.group.member_id(self.member);
                Some(if is_right { self.ready() } else { "ERROR WRONGNODE x\r\n".to_owned() })
            }
            ["QUERY", id, "SYNCPOINT", point, rest @ ..] => {
                if self.applied() < parse_point(point)? {
                    return Some(self.error("LAGGING"));
                }
                self.statement(id, rest)
            }
            ["QUERY", id, rest @ ..] => self.statement(id, rest),
            _ => None,
        }
    }

    fn statement(&mut self, id: &str, words: &[&str]) -> Option<String> {
        let is_work = matches!(words[0], "READ" | "WRITE" | "COMMIT");
        if is_work {
            self.group.reached.lock().unwrap().insert((*id).to_owned());
            self.group.record.line(&format!(
                "member {} runs {id} {}",
                self.group.member_id(self.member),
                words.join(" ")
            ));
            thread::sleep(self.group.work);
        }
        if is_work && self.has_lost_lead(words[0]) {
            if let Some(transaction) = &mut self.transaction {
                transaction.has_failed = true;
            }
            return Some(self.error("READONLY"));
        }
        match words {
            ["BEGIN"] if !self.leads() => Some(self.error("READONLY")),
            ["BEGIN"] | ["BEGIN", "READ"] => {
                let term = (words.len() == 1).then(|| self.group.state.lock().unwrap().term);
                self.transaction =
                    Some(Transaction { term, has_written: false, has_failed: false });
                Some(self.complete("-"))
            }
            ["ROLLBACK"] => {
                self.transaction = None;
                Some(self.complete("-"))
            }
            ["WRITE", ..] if self.transaction.is_some() => {
                self.transaction.as_mut()?.has_written = true;
                Some(self.complete(&format!("1.{id}")))
            }
            ["WRITE", ..] if !self.leads() => Some(self.error("READONLY")),
            ["WRITE", ..] => self.commit(id),
            ["COMMIT"] => match self.transaction.take()? {
                Transaction { has_written: true, .. } => self.commit(id),
                _ => Some(self.complete(&format!("1.{id}"))),
            },
            ["READ", item] => Some(format!("ROW {item}\r\n{}", self.complete(&format!("1.{id}")))),
            ["STATUS"] => {
                let state = self.group.state.lock().unwrap();
                let role = if state.leader == self.member { "primary" } else { "replica" };
                let point = state.point(state.received(self.member, Instant::now()));
                let row = format!("ROW {role} {} {}.{} 0 0 0 0", state.term, point.0, point.1);
                drop(state);
                Some(format!("{row}\r\n{}", self.complete("-")))
            }
            _ => Some(self.complete("-")),
        }
    }

    /// Commits, and waits until one replica has received the commit. `None` if a promotion undid it meanwhile.
    fn commit(&self, id: &str) -> Option<String> {
        let point = {
            let mut state = self.group.state.lock().unwrap();
            // A dark member commits nothing.
            (!state.dark[self.member] && state.leader == self.member).then(|| state.commit(id))
        };
        let Some(point) = point else {
            self.wait_while_dark();
            return None;
        };
        loop {
            let state = self.group.state.lock().unwrap();
            let entry = state.find(point)?;
            let now = Instant::now();
            let is_received = (0..MAX_MEMBERS)
                .filter(|it| *it != self.member && state.is_member[*it])
                .any(|it| entry.received_at[it].is_some_and(|at| at <= now));
            drop(state);
            if is_received {
                return Some(self.complete(&format!("1.{id}")));
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    fn leads(&self) -> bool {
        self.group.state.lock().unwrap().leader == self.member
    }

    /// Whether this is a plain transaction whose member has lost the lead; a commit that wrote nothing is excepted.
    fn has_lost_lead(&self, word: &str) -> bool {
        let state = self.group.state.lock().unwrap();
        let Some(Transaction { term: Some(term), has_written, .. }) = &self.transaction else {
            return false;
        };
        *term != state.term && (word != "COMMIT" || *has_written)
    }

    fn applied(&self) -> (u64, u64) {
        self.group.state.lock().unwrap().applied_point(self.member)
    }

    fn ready(&self) -> String {
        let state = match &self.transaction {
            None => "I",
            Some(Transaction { has_failed: true, .. }) => "E",
            Some(_) => "T",
        };
        let point = self.applied();
        format!("READY {state} {}.{}\r\n", point.0, point.1)
    }

    fn complete(&self, signature: &str) -> String {
        format!("COMPLETE {signature}\r\n{}", self.ready())
    }

    fn error(&self, code: &str) -> String {
        format!("ERROR {code} {}\r\n{}", self.group.member_id(self.member), self.ready())
    }
}

fn parse_point(text: &str) -> Option<(u64, u64)> {
    let (term, number) = text.split_once('.')?;
    Some((term.parse().ok()?, number.parse().ok()?))
}
