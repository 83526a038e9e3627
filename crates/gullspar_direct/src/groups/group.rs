//! One group of targets and its leader.

use std::cell::{Cell, RefCell, RefMut};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::{Event, EventListener};
use gullspar_border::BootInstant;
use gullspar_model::{GroupName, LogPoint, MemberName, Term};

use crate::groups::acknowledged_commits::AcknowledgedCommits;
use crate::groups::commit_report::ReceivedCommitReports;
use crate::groups::failover_timing;
use crate::groups::leader_load::LeaderLoad;
use crate::groups::received_reports::ReceivedReports;
use crate::groups::usual_durations::UsualDurations;
use crate::targets::target::Target;
use crate::{ClaimTracker, GroupView, LeaderHealth, PositionSample, PositionSamples};

/// The leader of a group, as the member itself reported it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    pub member: MemberName,
    pub term: Term,
}

/// The state of a group as this instance sees it.
pub struct Group {
    pub(crate) name: GroupName,
    /// Since when this instance serves the group.
    pub(super) served_since: BootInstant,
    pub(super) targets: RefCell<BTreeMap<MemberName, Rc<Target>>>,
    pub(super) leader: RefCell<Option<Leader>>,
    /// The highest term in which a leader answered.
    newest_term: Cell<Term>,
    leaderless_since: Cell<Instant>,
    /// When the request was sent to which the current leader first answered that it leads.
    led_since: Cell<Option<BootInstant>>,
    /// When another leader than the one seen before was first seen.
    replaced_at: Cell<Option<BootInstant>>,
    /// The last leader seen.
    last_leader: RefCell<Option<MemberName>>,
    /// Since when this instance has had no responsive leader, as of the last refresh.
    leader_unavailable_since: Cell<Option<Instant>>,
    pub(super) position_samples: RefCell<PositionSamples>,
    /// Counts the changes of the leader that this instance has seen.
    leadership: Cell<u64>,
    pub(super) usual_durations: RefCell<UsualDurations>,
    /// What callers of this instance lose at the current leader.
    pub(super) leader_load: RefCell<LeaderLoad>,
    pub(super) leader_reports: RefCell<ReceivedReports>,
    /// When the last transfer known was ordered.
    pub(super) transferred_at: Cell<Option<BootInstant>>,
    pub(super) acknowledged: RefCell<AcknowledgedCommits>,
    pub(super) claims: RefCell<ClaimTracker>,
    /// Whether members acknowledge a commit only once a replica has received it. Such a group promotes only a member
    /// that has all acknowledged commits.
    pub(super) is_synchronous: Cell<bool>,
    /// What the other homes have acknowledged.
    pub(super) commit_reports: RefCell<ReceivedCommitReports>,
    /// A commit that no replica has received in time.
    pub(super) stalled_at: Cell<Option<LogPoint>>,
    /// How long a replica typically needs to receive a commit, in microseconds.
    typical_lag_us: Cell<u64>,
    /// When replicas are no longer considered too far behind for writes to wait for them.
    lagging_until: Cell<Option<Instant>>,
    /// When a target last refused this instance a connection because of its connection limit.
    connection_limit_hit_at: Cell<Option<Instant>>,
    /// When a target last became unresponsive for this instance.
    last_unresponsive_at: Cell<Option<BootInstant>>,
    /// When the group is released to other instances; `None` while this instance holds it.
    release_at: Cell<Option<Instant>>,
    ended: Cell<bool>,
    changed: Event,
    check_requested: Event,
    progress: Event,
}

impl Group {
    pub(crate) fn new(
        name: GroupName,
        now: Instant,
        boot_now: BootInstant,
        lease: Duration,
    ) -> Rc<Group> {
        Rc::new(Group {
            name,
            served_since: boot_now,
            targets: RefCell::default(),
            leader: RefCell::default(),
            newest_term: Cell::new(Term(0)),
            leaderless_since: Cell::new(now),
            led_since: Cell::new(None),
            replaced_at: Cell::new(None),
            last_leader: RefCell::default(),
            leader_unavailable_since: Cell::new(None),
            position_samples: RefCell::default(),
            leadership: Cell::new(0),
            usual_durations: RefCell::default(),
            leader_load: RefCell::default(),
            leader_reports: RefCell::default(),
            transferred_at: Cell::new(None),
            acknowledged: RefCell::default(),
            claims: RefCell::new(ClaimTracker::new(lease)),
            is_synchronous: Cell::new(false),
            commit_reports: RefCell::default(),
            stalled_at: Cell::new(None),
            typical_lag_us: Cell::new(0),
            lagging_until: Cell::new(None),
            connection_limit_hit_at: Cell::new(None),
            last_unresponsive_at: Cell::new(None),
            release_at: Cell::new(None),
            ended: Cell::new(false),
            changed: Event::new(),
            check_requested: Event::new(),
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
            self.claims.borrow_mut().record_unlisted_member();
        }
        self.notify();
    }

    pub(crate) fn target(&self, member: &MemberName) -> Option<Rc<Target>> {
        self.targets.borrow().get(member).cloned()
    }

    pub(crate) fn targets(&self) -> Vec<Rc<Target>> {
        self.targets.borrow().values().cloned().collect()
    }

    /// All listed members but the leader.
    pub(crate) fn other_members(&self) -> Vec<Rc<Target>> {
        let targets = self.targets.borrow();
        targets.values().filter(|it| !self.is_leader(&it.member())).cloned().collect()
    }

    /// The other members that answer and stay. One of them may become the next leader.
    pub(crate) fn staying_replicas(&self) -> Vec<Rc<Target>> {
        self.other_members().into_iter().filter(|it| it.is_staying()).collect()
    }

    /// The recent mean duration of a statement on the fastest of the group's targets; `None` if none has
    /// answered a statement yet.
    pub(crate) fn fastest_mean(&self) -> Option<Duration> {
        self.targets.borrow().values().filter_map(|it| it.mean_duration()).min()
    }

    /// The current leader.
    pub fn leader(&self) -> Option<Leader> {
        self.leader.borrow().clone()
    }

    pub(crate) fn is_leader(&self, member: &MemberName) -> bool {
        self.leader.borrow().as_ref().is_some_and(|it| it.member == *member)
    }

    /// The leader's target, if it is known and responsive.
    pub(crate) fn responsive_leader(&self) -> Option<Rc<Target>> {
        let member = self.leader.borrow().as_ref()?.member.clone();
        self.target(&member).filter(|it| !it.is_unresponsive())
    }

    /// The leader's target, if it accepts new work.
    pub(crate) fn serving_leader(&self) -> Option<Rc<Target>> {
        self.responsive_leader().filter(|it| !it.is_closed_to_new_work())
    }

    /// The highest term in which a leader answered.
    pub(crate) fn newest_term(&self) -> Term {
        self.newest_term.get()
    }

    /// Whether the leader has announced that it will leave.
    pub(crate) fn is_leader_leaving(&self) -> bool {
        let leader = self.leader.borrow().as_ref().and_then(|it| self.target(&it.member));
        leader.is_some_and(|it| it.spec().leaving)
    }

    /// How long replicas typically need to receive a commit. The first poll for a commit is delayed by this time.
    pub(crate) fn typical_lag(&self) -> Duration {
        Duration::from_micros(self.typical_lag_us.get())
    }

    /// Whether replicas are considered too far behind for a write to wait for them.
    pub(crate) fn has_lagging_replicas(&self, now: Instant) -> bool {
        self.lagging_until.get().is_some_and(|until| now < until)
    }

    pub(crate) fn record_lagging_until(&self, until: Instant) {
        self.lagging_until.set(Some(until));
    }

    /// Updates the typical lag with the time that a commit took until it was confirmed as replicated.
    ///
    /// The sample is reduced by a tenth. Otherwise the typical lag would never fall, because polls start only after
    /// it.
    pub(crate) fn update_typical_lag(&self, took: Duration) {
        let sample = took.as_micros() as u64 * 9 / 10;
        self.typical_lag_us.set((self.typical_lag_us.get() * 7 + sample) / 8);
    }

    pub(crate) fn leaderless_since(&self) -> Instant {
        self.leaderless_since.get()
    }

    /// Since when this instance has had no responsive leader; `None` if it has one.
    pub(crate) fn leader_unavailable_since(&self) -> Option<Instant> {
        self.leader_unavailable_since.get()
    }

    /// Updates [`Group::leader_unavailable_since`].
    pub(crate) fn refresh_leader_availability(&self, now: Instant) {
        let since = match self.responsive_leader() {
            Some(_) => None,
            None => self.leader_unavailable_since.get().or(Some(now)),
        };
        self.leader_unavailable_since.set(since);
    }

    /// Whether a target has refused this instance a connection because of its connection limit since `instant`.
    pub(crate) fn has_hit_connection_limit_since(&self, instant: Instant) -> bool {
        self.connection_limit_hit_at.get().is_some_and(|at| at >= instant)
    }

    /// Records that a target refused this instance a connection because of its connection limit.
    pub(crate) fn record_connection_limit(&self, now: Instant) {
        self.connection_limit_hit_at.set(Some(now));
    }

    /// When a target last became unresponsive for this instance.
    pub(crate) fn last_unresponsive_at(&self) -> Option<BootInstant> {
        self.last_unresponsive_at.get()
    }

    /// Records that a target became unresponsive.
    pub(crate) fn record_unresponsive(&self, now: BootInstant) {
        self.last_unresponsive_at.set(Some(now));
        self.notify();
    }

    /// Records that `member`, asked at `requested_at`, answered as the leader with the end of its log at `point`.
    /// Returns the number of commits acknowledged here that it lacks.
    pub(crate) fn record_leader(
        &self,
        member: &MemberName,
        point: LogPoint,
        requested_at: BootInstant,
    ) -> usize {
        if point.term < self.newest_term.get() {
            // A late answer from a leader that has been superseded.
            return 0;
        }
        self.newest_term.set(point.term);
        self.position_samples.borrow_mut().add(PositionSample { requested_at, point });
        let is_unchanged = self.leader.borrow().as_ref().is_some_and(|it| it.member == *member);
        if is_unchanged {
            return 0;
        }
        log::info!(group = self.name.as_str(), member = member.as_str(), term = point.term.0; "G0706 a group has a new leader");
        let former = self.leader.replace(Some(Leader { member: member.clone(), term: point.term }));
        self.led_since.set(Some(requested_at));
        let last = self.last_leader.replace(Some(member.clone()));
        if last.is_some_and(|it| it != *member) {
            self.replaced_at.set(Some(requested_at));
        }
        self.end_leadership(former.as_ref(), requested_at);
        self.notify();
        let undone = self.acknowledged.borrow_mut().take_undone(point);
        if undone > 0 {
            log::warn!(group = self.name.as_str(), commits = undone, term = point.term.0, position = point.position.0; "G0793 a new leader lacks commits that this instance acknowledged");
        }
        undone
    }

    /// Forgets what is only true while the same member leads.
    fn end_leadership(&self, former: Option<&Leader>, now: BootInstant) {
        self.leadership.set(self.leadership.get() + 1);
        self.targets.borrow().values().for_each(|it| it.forget_received());
        let load = self.leader_load.replace(LeaderLoad::default());
        // A former leader that was overloaded is not slow as a replica, and serves reads at once.
        if let Some(target) = former.and_then(|it| self.target(&it.member))
            && !load.is_impaired(now)
        {
            target.forget_durations();
        }
    }

    /// Records that `member` answered that it does not lead.
    pub(crate) fn record_not_leader(
        &self,
        member: &MemberName,
        now: Instant,
        boot_now: BootInstant,
    ) {
        if !self.is_leader(member) {
            return;
        }
        log::info!(group = self.name.as_str(), member = member.as_str(); "G0707 a group's leader no longer leads");
        let former = self.leader.take();
        self.end_leadership(former.as_ref(), boot_now);
        self.leaderless_since.set(now);
        self.notify();
    }

    /// Adds a position that the leader returned with an answer to a request sent at `requested_at`.
    pub(crate) fn add_position_sample(&self, point: LogPoint, requested_at: BootInstant) {
        if point.term >= self.newest_term.get() {
            self.position_samples.borrow_mut().add(PositionSample { requested_at, point });
        }
    }

    /// The oldest position sample requested at most `max_age` before `now`. It covers every commit that was
    /// acknowledged earlier than that.
    pub(crate) fn position_sample_within(
        &self,
        now: BootInstant,
        max_age: Duration,
    ) -> Option<PositionSample> {
        self.position_samples.borrow().oldest_within(now, max_age)
    }

    /// The newest position sample of the leader.
    pub(crate) fn newest_position_sample(&self) -> Option<PositionSample> {
        self.position_samples.borrow().newest()
    }

    /// A number that changes whenever this instance sees the leader change.
    pub(crate) fn leadership(&self) -> u64 {
        self.leadership.get()
    }

    /// How long the current leader has led, as seen by this instance.
    pub(crate) fn led_for(&self, now: BootInstant) -> Duration {
        self.led_since.get().map_or(Duration::ZERO, |it| now.since(it))
    }

    /// Records that a commit was acknowledged.
    pub(crate) fn record_acknowledged(&self, point: LogPoint) {
        self.acknowledged.borrow_mut().record(point);
    }

    /// The claims known for the group.
    pub(crate) fn claims(&self) -> RefMut<'_, ClaimTracker> {
        self.claims.borrow_mut()
    }

    /// Whether the promotion of another leader may have been ordered: a claim holder acted within its timeout and
    /// since the current leader was first seen.
    pub(crate) fn is_being_replaced(&self, now: BootInstant) -> bool {
        let earliest = now.minus(failover_timing::PROMOTION_TIMEOUT);
        let since = self.led_since.get().map_or(earliest, |it| it.max(earliest));
        self.claims.borrow().has_act_after(since)
    }

    /// Like [`Group::is_being_replaced`], but a leader that is the first one that this instance sees may be the one that
    /// is being replaced.
    pub(crate) fn may_be_replaced(&self, now: BootInstant) -> bool {
        let earliest = now.minus(failover_timing::PROMOTION_TIMEOUT);
        let since = self.replaced_at.get().map_or(earliest, |it| it.max(earliest));
        self.claims.borrow().has_act_after(since)
    }

    /// The view of this group to send to other instances.
    pub(crate) fn view(
        &self,
        now: Instant,
        boot_now: BootInstant,
        settle_until: Instant,
    ) -> GroupView {
        let leader = self.leader().map(|it| it.member);
        let health = match &leader {
            Some(member) => match self.target(member) {
                Some(target) if !target.is_unresponsive() => LeaderHealth::Leads,
                _ => LeaderHealth::Unresponsive,
            },
            None if now < settle_until => LeaderHealth::Unsure,
            None => LeaderHealth::NoLeader,
        };
        let claim = self.claims.borrow().report(boot_now);
        GroupView { group: self.name.clone(), leader, health, claim }
    }

    /// When the group is released to other instances; `None` while this instance holds it.
    pub(crate) fn release_at(&self) -> Option<Instant> {
        self.release_at.get()
    }

    pub(crate) fn set_release_at(&self, at: Option<Instant>) {
        self.release_at.set(at);
    }

    /// Marks the group as no longer held by this instance, which ends its failover coordinator.
    pub(crate) fn end(&self) {
        self.ended.set(true);
        self.notify();
    }

    pub(crate) fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Wakes everything that waits for a change of the group.
    pub(crate) fn notify(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Listens for a change of the group: of its leader, its targets or their state.
    pub(crate) fn listen(&self) -> EventListener {
        self.changed.listen()
    }

    /// Wakes everything that waits for a replica's position.
    pub(crate) fn notify_progress(&self) {
        self.progress.notify(usize::MAX);
    }

    pub(crate) fn listen_progress(&self) -> EventListener {
        self.progress.listen()
    }

    /// Requests an immediate check of all members.
    pub(crate) fn request_check(&self) {
        self.check_requested.notify(usize::MAX);
    }

    pub(crate) fn listen_check_request(&self) -> EventListener {
        self.check_requested.listen()
    }
}
