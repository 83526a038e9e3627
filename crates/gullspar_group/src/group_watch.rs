//! The observed state of one group.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use event_listener::Event;
use gullspar_border::{PrimaryView, within};
use gullspar_fleet::{Borders, Fleet};
use gullspar_model::{
    GroupName, GroupSpec, Guard, LogPoint, LogPosition, MemberName, MemberStatus, NotRun, Term,
    Unknown,
};

use crate::{GroupTiming, MemberView, PositionSample, PositionSamples};

/// The leader of a group and the term that it leads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    pub term: Term,
    pub member: MemberName,
}

/// The final outcome of a write that a primary executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// A majority has the write, in the term of the point.
    Acknowledged(LogPoint),
    /// The group's log does not have the write and never will.
    Undone,
    Unknown(Unknown),
}

/// Keeps a group observed while a request in flight needs it.
pub struct WatchGuard {
    watch: Rc<GroupWatch>,
}

impl std::ops::Deref for WatchGuard {
    type Target = Rc<GroupWatch>;

    fn deref(&self) -> &Rc<GroupWatch> {
        &self.watch
    }
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.watch.guards.set(self.watch.guards.get() - 1);
    }
}

/// The observed state of a group of which this instance is the home of at least one member.
pub struct GroupWatch {
    pub(crate) name: GroupName,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) timing: GroupTiming,
    pub(crate) spec: RefCell<Rc<GroupSpec>>,
    pub(crate) views: RefCell<BTreeMap<MemberName, MemberView>>,
    position_samples: RefCell<PositionSamples>,
    /// No member counts as silent before this instant, because observation has just begun or this process was paused.
    silence_counts_from: Cell<Instant>,
    /// The newest claimed term seen on the platform, and when it was first seen.
    pub(crate) last_claim: Cell<(Term, Instant)>,
    /// Number of live [`WatchGuard`]s.
    guards: Cell<u32>,
    changed: Event,
    pub(crate) ended: Cell<bool>,
}

impl GroupWatch {
    pub(crate) fn new(
        name: GroupName,
        spec: Rc<GroupSpec>,
        fleet: Rc<Fleet>,
        timing: GroupTiming,
    ) -> Rc<GroupWatch> {
        let now = fleet.borders().clock.now();
        let views = spec.members.iter().map(|it| (it.name.clone(), MemberView::new(now)));
        Rc::new(GroupWatch {
            name,
            timing,
            views: RefCell::new(views.collect()),
            spec: RefCell::new(spec),
            position_samples: RefCell::default(),
            silence_counts_from: Cell::new(now + timing.failed_after),
            last_claim: Cell::new((Term(0), now)),
            guards: Cell::new(0),
            changed: Event::new(),
            ended: Cell::new(false),
            fleet,
        })
    }

    pub(crate) fn borders(&self) -> &Borders {
        self.fleet.borders()
    }

    pub(crate) fn now(&self) -> Instant {
        self.borders().clock.now()
    }

    /// The group's name.
    pub fn name(&self) -> GroupName {
        self.name.clone()
    }

    /// The group's members as configured.
    pub fn spec(&self) -> Rc<GroupSpec> {
        Rc::clone(&self.spec.borrow())
    }

    /// The last known state of a member.
    pub fn view(&self, member: &MemberName) -> Option<MemberView> {
        self.views.borrow().get(member).copied()
    }

    /// The leader of the highest term that a member or the platform reports.
    pub fn leader(&self) -> Option<Leader> {
        let configured = self.fleet.config.group(&self.name).and_then(|it| {
            let member = it.object.primary.clone()?;
            Some(Leader { term: it.object.term, member })
        });
        let views = self.views.borrow();
        let reported = views.iter().filter_map(|(member, view)| {
            let status = view.status?;
            let is_leader = status.is_primary_in(status.term);
            is_leader.then(|| Leader { term: status.term, member: member.clone() })
        });
        reported.chain(configured).max_by_key(|it| it.term)
    }

    /// Applies a changed configuration of the group.
    pub(crate) fn update_spec(&self, spec: Rc<GroupSpec>) {
        let now = self.now();
        let mut views = self.views.borrow_mut();
        views.retain(|name, _| spec.member(name).is_some());
        for member in &spec.members {
            views.entry(member.name.clone()).or_insert_with(|| MemberView::new(now));
        }
        drop(views);
        *self.spec.borrow_mut() = spec;
        self.changed.notify(usize::MAX);
    }

    /// Whether the group must still be observed, where `is_held` says whether this instance is the home of a member.
    ///
    /// An instance whose targets get another home, as at a shutdown, may still have writes in flight that need
    /// observation to be acknowledged. Observation ends with the last of them rather than after a fixed time:
    /// otherwise the observers of all former homes would use up the connections that targets accept.
    pub(crate) fn is_needed(&self, is_held: bool) -> bool {
        is_held || self.guards.get() > 0
    }

    /// Keeps the group observed for as long as the guard lives.
    pub fn guard(self: &Rc<Self>) -> WatchGuard {
        self.guards.set(self.guards.get() + 1);
        WatchGuard { watch: Rc::clone(self) }
    }

    /// Wakes everything that waits for a change of the group.
    pub(crate) fn wake(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Records a status that `member` returned to a request sent at `asked_at`.
    pub(crate) fn record_response(
        &self,
        member: &MemberName,
        status: MemberStatus,
        asked_at: Instant,
    ) {
        let now = self.now();
        {
            let mut views = self.views.borrow_mut();
            let Some(view) = views.get_mut(member) else { return };
            *view = MemberView {
                status: Some(status),
                asked_at,
                last_response_at: now,
                is_refusing: false,
            };
        }
        self.add_position_sample();
        self.changed.notify(usize::MAX);
    }

    /// Records that a member refuses connections.
    pub(crate) fn record_refusal(&self, member: &MemberName) {
        if let Some(view) = self.views.borrow_mut().get_mut(member) {
            view.is_refusing = true;
        }
        self.changed.notify(usize::MAX);
    }

    /// After a pause of this process, lets no member count as silent until `failed_after` from now.
    pub(crate) fn discount_silence(&self) {
        self.silence_counts_from.set(self.now() + self.timing.failed_after);
    }

    /// Adds a position sample of the leader if a majority is active in its term.
    fn add_position_sample(&self) {
        let Some(leader) = self.leader() else { return };
        let Some(confirmed) = self.confirmed_as_of(leader.term) else { return };
        let Some(view) = self.view(&leader.member) else { return };
        let Some(status) = view.status.filter(|it| it.is_primary_in(leader.term)) else { return };
        let point = LogPoint { term: leader.term, position: status.position };
        let as_of = confirmed.min(view.asked_at);
        self.position_samples.borrow_mut().add(PositionSample { as_of, point });
    }

    /// The latest instant at which a majority is known to have been active in `term`.
    ///
    /// At that instant no higher term had fenced a majority, so no write had been acknowledged in a higher term.
    ///
    /// A member is active in a term if it leads or follows the log of that term and was not fenced at a higher one.
    pub fn confirmed_as_of(&self, term: Term) -> Option<Instant> {
        let mut asked: Vec<Instant> = self
            .views
            .borrow()
            .values()
            .filter(|it| it.status.is_some_and(|it| it.is_active_in(term)))
            .map(|it| it.asked_at)
            .collect();
        asked.sort_unstable_by_key(|it| std::cmp::Reverse(*it));
        asked.get(self.spec.borrow().majority() - 1).copied()
    }

    /// Whether a majority was active in `term` at an instant no longer ago than `age`.
    pub fn confirmed_within(&self, term: Term, age: Duration) -> bool {
        self.confirmed_as_of(term).is_some_and(|it| self.elapsed(it) <= age)
    }

    /// Whether a majority answered recently that it is active in `term`.
    pub fn has_responsive_majority(&self, term: Term) -> bool {
        let now = self.now();
        self.is_majority(|it| {
            it.is_recent(now, self.timing.failed_after)
                && it.status.is_some_and(|it| it.is_active_in(term))
        })
    }

    /// Whether `predicate` holds for a majority of the members.
    fn is_majority(&self, predicate: impl Fn(&MemberView) -> bool) -> bool {
        let count = self.views.borrow().values().filter(|it| predicate(it)).count();
        count >= self.spec.borrow().majority()
    }

    /// Whether a majority answered recently, in whatever role and term.
    pub(crate) fn is_majority_reachable(&self) -> bool {
        let now = self.now();
        self.is_majority(|it| it.is_recent(now, self.timing.failed_after))
    }

    /// Whether a majority has the log of `term` up to `position`.
    pub fn is_acknowledged(&self, term: Term, position: LogPosition) -> bool {
        if !Guard::MajorityHolds.is_enabled() {
            return true;
        }
        self.is_majority(|it| {
            it.status.is_some_and(|it| it.is_active_in(term) && it.position >= position)
        })
    }

    /// Waits until the outcome of a write at `point` is certain, or until `deadline`.
    ///
    /// A write is acknowledged once a majority has it: a later promotion first fences a majority, which shares a
    /// member with this one, and selects the longest log in it. If the term ends before that, the history of the
    /// group's object shows whether the new term's log includes the write; if so, a majority of the new term must
    /// have it.
    pub async fn settle(&self, point: LogPoint, deadline: Instant) -> Settled {
        let settled = self.wait_until(deadline, || {
            if self.is_acknowledged(point.term, point.position) {
                return Some(Settled::Acknowledged(point));
            }
            let group = self.fleet.config.group(&self.name)?;
            if group.object.term <= point.term {
                return None;
            }
            match group.object.is_in_current_log(point) {
                Some(false) => Some(Settled::Undone),
                None => Some(Settled::Unknown(Unknown::Superseded)),
                Some(true) => {
                    let current = LogPoint { term: group.object.term, position: point.position };
                    self.is_acknowledged(current.term, current.position)
                        .then_some(Settled::Acknowledged(current))
                }
            }
        });
        settled.await.unwrap_or(Settled::Unknown(Unknown::NotAcknowledged))
    }

    /// Waits until the leadership of `term` is confirmed for an instant not before `since`.
    pub async fn wait_confirmed(
        &self,
        term: Term,
        since: Instant,
        deadline: Instant,
    ) -> Result<(), NotRun> {
        self.wait_until(deadline, || {
            let confirmed = self.confirmed_as_of(term).is_some_and(|it| it >= since);
            confirmed.then_some(Ok(()))
        })
        .await
        .unwrap_or(Err(NotRun::NoMajority))
    }

    /// Waits until `member` satisfies the floor and the maximum age that a read requires.
    pub async fn wait_fresh(
        &self,
        member: &MemberName,
        floor: Option<LogPoint>,
        max_age: Option<Duration>,
        deadline: Instant,
    ) -> Result<(), NotRun> {
        self.wait_until(deadline, || {
            let status = self.view(member).and_then(|it| it.status)?;
            if floor.is_some_and(|it| !status.has_reached(it)) && Guard::Floor.is_enabled() {
                return None;
            }
            let Some(max_age) = max_age else { return Some(Ok(())) };
            let age = self.age(member)?;
            (age <= max_age).then_some(Ok(()))
        })
        .await
        .unwrap_or(Err(NotRun::Behind))
    }

    /// The maximum age of a member's data; `None` if no position sample covers it.
    pub fn age(&self, member: &MemberName) -> Option<Duration> {
        let status = self.view(member)?.status?;
        let as_of = self.position_samples.borrow().fresh_as_of(&status)?;
        Some(self.now().saturating_duration_since(as_of))
    }

    /// The time since `instant`.
    pub fn elapsed(&self, instant: Instant) -> Duration {
        self.now().saturating_duration_since(instant)
    }

    /// Calls `ready` now and after each change until it returns `Some`. Returns `None` at the deadline or when the
    /// watch has ended.
    pub(crate) async fn wait_until<T>(
        &self,
        deadline: Instant,
        mut ready: impl FnMut() -> Option<T>,
    ) -> Option<T> {
        loop {
            let changed = self.changed.listen();
            if let Some(output) = ready() {
                return Some(output);
            }
            if self.now() >= deadline || self.ended.get() {
                return None;
            }
            // The check above handles the deadline.
            let _ = within(&*self.borders().clock, deadline, changed).await;
        }
    }

    /// How this instance sees the primary of `term`.
    pub fn view_of_primary(&self, term: Term) -> PrimaryView {
        let Some(leader) = self.leader().filter(|it| it.term == term) else {
            return PrimaryView::NoView;
        };
        if self.now() < self.silence_counts_from.get() || self.view(&leader.member).is_none() {
            return PrimaryView::NoView;
        }
        if self.is_silent(&leader.member) { PrimaryView::Failed } else { PrimaryView::Answers }
    }

    /// Whether a member has not answered for so long that it counts as failed.
    ///
    /// Always false shortly after observation began or this process was paused, since answers may have been missed.
    pub fn is_silent(&self, member: &MemberName) -> bool {
        let now = self.now();
        let Some(view) = self.view(member) else { return false };
        let timeout =
            if view.is_refusing { self.timing.refused_after } else { self.timing.failed_after };
        now >= self.silence_counts_from.get() && now > view.last_response_at + timeout
    }
}
