//! One group of targets and who leads it.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use gullspar_border::BootInstant;
use gullspar_model::{GroupName, LogPoint, MemberName, Term};

use crate::groups::failover_timing;
use crate::targets::target::Target;
use crate::{ClaimBook, GroupView, LeaderHealth, Reading, Readings};

/// Who leads, as it said itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    pub member: MemberName,
    pub term: Term,
}

/// A group as this instance sees it.
pub struct Group {
    pub(crate) name: GroupName,
    targets: RefCell<BTreeMap<MemberName, Rc<Target>>>,
    leader: RefCell<Option<Leader>>,
    /// The highest term in which a leader answered.
    newest_term: Cell<Term>,
    leaderless_since: Cell<Instant>,
    /// When the present leader was first seen to lead.
    led_since: Cell<Option<BootInstant>>,
    /// Since when no leader answered here, as far as was looked.
    leader_lacking_since: Cell<Option<Instant>>,
    readings: RefCell<Readings>,
    claims: RefCell<ClaimBook>,
    /// How long a replica usually needs to have a commit, in microseconds.
    usual_lag_us: Cell<u64>,
    /// Until then replicas are taken to be too far behind for writes to wait for them.
    lag_until: Cell<Option<Instant>>,
    /// When a target last refused this instance a connection since it has too many.
    full_at: Cell<Option<Instant>>,
    /// When a target last fell silent here.
    darkened_at: Cell<Option<BootInstant>>,
    given_up_at: Cell<Option<Instant>>,
    ended: Cell<bool>,
    changed: Event,
    check_now: Event,
    progress: Event,
}

impl Group {
    pub(crate) fn new(name: GroupName, now: Instant, lease: Duration) -> Rc<Group> {
        Rc::new(Group {
            name,
            targets: RefCell::default(),
            leader: RefCell::default(),
            newest_term: Cell::new(Term(0)),
            leaderless_since: Cell::new(now),
            led_since: Cell::new(None),
            leader_lacking_since: Cell::new(None),
            readings: RefCell::default(),
            claims: RefCell::new(ClaimBook::new(lease)),
            usual_lag_us: Cell::new(0),
            lag_until: Cell::new(None),
            full_at: Cell::new(None),
            darkened_at: Cell::new(None),
            given_up_at: Cell::new(None),
            ended: Cell::new(false),
            changed: Event::new(),
            check_now: Event::new(),
            progress: Event::new(),
        })
    }

    pub(crate) fn add(&self, target: Rc<Target>) {
        self.targets.borrow_mut().insert(target.member(), target);
    }

    pub(crate) fn remove(&self, member: &MemberName) {
        if let Some(target) = self.targets.borrow_mut().remove(member) {
            target.removed.set(true);
            target.pool.close();
        }
        self.notify();
    }

    pub(crate) fn target(&self, member: &MemberName) -> Option<Rc<Target>> {
        self.targets.borrow().get(member).cloned()
    }

    pub(crate) fn targets(&self) -> Vec<Rc<Target>> {
        self.targets.borrow().values().cloned().collect()
    }

    /// What a statement takes of late on the fastest of the group's targets, if any has answered one.
    pub(crate) fn usual_mean(&self) -> Option<Duration> {
        self.targets.borrow().values().filter_map(|it| it.mean()).min()
    }

    /// Who leads.
    pub fn leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    pub(crate) fn is_leader(&self, member: &MemberName) -> bool {
        self.leader.borrow().as_ref().is_some_and(|it| it.member == *member)
    }

    /// The leader's target, if it is there and answers.
    pub(crate) fn working_leader(&self) -> Option<Rc<Target>> {
        let member = self.leader.borrow().as_ref()?.member.clone();
        self.target(&member).filter(|it| !it.is_dark())
    }

    /// The leader's target, if it may be given new work.
    pub(crate) fn serving_leader(&self) -> Option<Rc<Target>> {
        self.working_leader().filter(|it| !it.is_past_leaving())
    }

    /// The highest term in which a leader answered.
    pub(crate) fn newest_term(&self) -> Term {
        self.newest_term.get()
    }

    /// Whether the leader has announced that it will go.
    pub(crate) fn leader_leaves(&self) -> bool {
        let leader = self.leader.borrow().as_ref().and_then(|it| self.target(&it.member));
        leader.is_some_and(|it| it.spec().leaving)
    }

    /// How long to wait before a replica is worth asking for a commit just made.
    pub(crate) fn usual_lag(&self) -> Duration {
        Duration::from_micros(self.usual_lag_us.get())
    }

    /// Whether replicas are known to be too far behind for a write to wait for them.
    pub(crate) fn replicas_lag(&self, now: Instant) -> bool {
        self.lag_until.get().is_some_and(|until| now < until)
    }

    pub(crate) fn note_lag(&self, until: Instant) {
        self.lag_until.set(Some(until));
    }

    /// A replica had a commit this long after it was made. What is learnt lies a little below, so that
    /// a shorter lag is noticed as well.
    pub(crate) fn learn_lag(&self, took: Duration) {
        let sample = took.as_micros() as u64 * 9 / 10;
        self.usual_lag_us.set((self.usual_lag_us.get() * 7 + sample) / 8);
    }

    pub(crate) fn leaderless_since(&self) -> Instant {
        self.leaderless_since.get()
    }

    /// Since when this instance has no leader that it can use; `None` if it has one.
    pub(crate) fn leader_lacking_since(&self) -> Option<Instant> {
        self.leader_lacking_since.get()
    }

    pub(crate) fn look_for_leader(&self, now: Instant) {
        let since = match self.working_leader() {
            Some(_) => None,
            None => self.leader_lacking_since.get().or(Some(now)),
        };
        self.leader_lacking_since.set(since);
    }

    /// Whether a target has refused this instance a connection since `instant`.
    pub(crate) fn was_full_since(&self, instant: Instant) -> bool {
        self.full_at.get().is_some_and(|at| at >= instant)
    }

    /// A target has refused this instance a connection since it has too many.
    pub(crate) fn note_full(&self, now: Instant) {
        self.full_at.set(Some(now));
    }

    /// When a target last fell silent here.
    pub(crate) fn darkened_at(&self) -> Option<BootInstant> {
        self.darkened_at.get()
    }

    /// A target has fallen silent.
    pub(crate) fn note_dark(&self, now: BootInstant) {
        self.darkened_at.set(Some(now));
        self.notify();
    }

    /// `member`, asked at `begun`, answered as the leader with its log at `point`.
    pub(crate) fn leads(&self, member: &MemberName, point: LogPoint, begun: BootInstant) {
        if point.term < self.newest_term.get() {
            // A late answer of a leader that was superseded meanwhile.
            return;
        }
        self.newest_term.set(point.term);
        self.readings.borrow_mut().add(Reading { begun, point });
        let same = self.leader.borrow().as_ref().is_some_and(|it| it.member == *member);
        if !same {
            log::info!(group = self.name.as_str(), member = member.as_str(), term = point.term.0; "G0706 a group is led by");
            *self.leader.borrow_mut() = Some(Leader { member: member.clone(), term: point.term });
            self.led_since.set(Some(begun));
            self.notify();
        }
    }

    /// `member` said that it does not lead.
    pub(crate) fn does_not_lead(&self, member: &MemberName, now: Instant) {
        if !self.is_leader(member) {
            return;
        }
        log::info!(group = self.name.as_str(), member = member.as_str(); "G0707 a group's leader leads no more");
        *self.leader.borrow_mut() = None;
        self.leaderless_since.set(now);
        self.notify();
    }

    /// Takes a position that a leader gave with an answer.
    pub(crate) fn add_reading(&self, point: LogPoint, begun: BootInstant) {
        if point.term >= self.newest_term.get() {
            self.readings.borrow_mut().add(Reading { begun, point });
        }
    }

    /// The oldest reading that covers everything older than `max_age`.
    pub(crate) fn reading_within(&self, now: BootInstant, max_age: Duration) -> Option<Reading> {
        self.readings.borrow().oldest_within(now, max_age)
    }

    /// The newest reading of the leader.
    pub(crate) fn newest_reading(&self) -> Option<Reading> {
        self.readings.borrow().newest()
    }

    /// What is known of the group's claims.
    pub(crate) fn claims(&self) -> RefMut<'_, ClaimBook> {
        self.claims.borrow_mut()
    }

    /// Whether somebody has set about replacing the present leader.
    pub(crate) fn is_being_replaced(&self, now: BootInstant) -> bool {
        let lately = now.minus(failover_timing::TAKES_EFFECT_WITHIN);
        let since = self.led_since.get().map_or(lately, |it| it.max(lately));
        self.claims.borrow().acted_after(since)
    }

    /// What other instances are told of this group.
    pub(crate) fn view(
        &self,
        now: Instant,
        boot_now: BootInstant,
        settle_until: Instant,
    ) -> GroupView {
        let leader = self.leader().map(|it| it.member);
        let health = match &leader {
            Some(member) => match self.target(member) {
                Some(target) if !target.is_dark() => LeaderHealth::Leads,
                _ => LeaderHealth::Unresponsive,
            },
            None if now < settle_until => LeaderHealth::Unsure,
            None => LeaderHealth::NoLeader,
        };
        let claim = self.claims.borrow().to_tell(boot_now);
        GroupView { group: self.name.clone(), leader, health, claim }
    }

    /// When the group is given up to other instances, if it is.
    pub(crate) fn given_up_at(&self) -> Option<Instant> {
        self.given_up_at.get()
    }

    pub(crate) fn set_given_up_at(&self, at: Option<Instant>) {
        self.given_up_at.set(at);
    }

    /// Nobody looks after the group here any more.
    pub(crate) fn end(&self) {
        self.ended.set(true);
        self.notify();
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Something about the group changed.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Notified when the leader changes or its state does.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// A replica told where its log ends.
    pub(crate) fn notify_progress(&self) {
        self.progress.notify(usize::MAX);
    }

    pub(crate) fn listen_progress(&self) -> EventListener {
        self.progress.listen()
    }

    /// Has all members checked at once.
    pub(crate) fn check(&self) {
        self.check_now.notify(usize::MAX);
    }

    pub(crate) fn listen_check(&self) -> EventListener {
        self.check_now.listen()
    }
}
