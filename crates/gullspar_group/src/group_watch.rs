//! One group as this instance observes it.

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

/// Who leads a group, as far as is known here.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Leader {
    pub term: Term,
    pub member: MemberName,
}

/// The fate of a write that took effect on a primary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// A majority holds it, under the term of the point.
    Acknowledged(LogPoint),
    /// The group's log does not hold it, and never will.
    Undone,
    Unknown(Unknown),
}

/// A request in flight that needs a group observed.
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
        self.watch.users.set(self.watch.users.get() - 1);
    }
}

/// The state of a group that this instance holds at least one member of.
pub struct GroupWatch {
    pub(crate) name: GroupName,
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) timing: GroupTiming,
    pub(crate) spec: RefCell<Rc<GroupSpec>>,
    pub(crate) views: RefCell<BTreeMap<MemberName, MemberView>>,
    position_samples: RefCell<PositionSamples>,
    /// Before this instant silence proves nothing: this process itself was paused.
    trust_silence_after: Cell<Instant>,
    /// When the claim last seen on the platform was first seen.
    pub(crate) claim_seen: Cell<(Term, Instant)>,
    /// Requests in flight that need the group observed.
    users: Cell<u32>,
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
            trust_silence_after: Cell::new(now + timing.failed_after),
            claim_seen: Cell::new((Term(0), now)),
            users: Cell::new(0),
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

    /// What was last seen of a member.
    pub fn view(&self, member: &MemberName) -> Option<MemberView> {
        self.views.borrow().get(member).copied()
    }

    /// The leader: the highest term's, by what members say or by what the platform says.
    pub fn leader(&self) -> Option<Leader> {
        let configured = self.fleet.config.group(&self.name).and_then(|it| {
            let member = it.object.primary.clone()?;
            Some(Leader { term: it.object.term, member })
        });
        let views = self.views.borrow();
        let seen = views.iter().filter_map(|(member, view)| {
            let status = view.status?;
            let leads = status.is_primary_in(status.term);
            leads.then(|| Leader { term: status.term, member: member.clone() })
        });
        seen.chain(configured).max_by_key(|it| it.term)
    }

    /// Takes over a changed configuration of the group.
    pub(crate) fn adopt(&self, spec: Rc<GroupSpec>) {
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

    /// Whether observation goes on, for a group of which this instance holds something or not.
    ///
    /// An instance that hands its targets on, as at a shutdown, still has writes in flight whose
    /// acknowledgement only observation brings; ended at once, they would all end unknown. Kept on
    /// for a fixed time instead, the observers of all former homes would fill the connections that
    /// targets accept, seen as refusals with 53300 after each change of instances.
    pub(crate) fn is_kept(&self, held: bool) -> bool {
        held || self.users.get() > 0
    }

    /// Keeps the group observed for as long as the guard lives.
    pub fn guard(self: &Rc<Self>) -> WatchGuard {
        self.users.set(self.users.get() + 1);
        WatchGuard { watch: Rc::clone(self) }
    }

    /// Lets whoever waits look again.
    pub(crate) fn wake(&self) {
        self.changed.notify(usize::MAX);
    }

    /// Notes an answer of a member.
    pub(crate) fn heard(&self, member: &MemberName, status: MemberStatus, asked_at: Instant) {
        let now = self.now();
        {
            let mut views = self.views.borrow_mut();
            let Some(view) = views.get_mut(member) else { return };
            *view = MemberView {
                status: Some(status),
                asked_at,
                last_response_at: now,
                refusing: false,
            };
        }
        self.note_reading();
        self.changed.notify(usize::MAX);
    }

    /// Notes that a member refuses connections.
    pub(crate) fn refused(&self, member: &MemberName) {
        if let Some(view) = self.views.borrow_mut().get_mut(member) {
            view.refusing = true;
        }
        self.changed.notify(usize::MAX);
    }

    /// Notes that this process was paused: all silence until now may be its own.
    pub(crate) fn was_paused(&self) {
        self.trust_silence_after.set(self.now() + self.timing.failed_after);
    }

    fn note_reading(&self) {
        let Some(leader) = self.leader() else { return };
        let Some(confirmed) = self.confirmed_as_of(leader.term) else { return };
        let Some(view) = self.view(&leader.member) else { return };
        let Some(status) = view.status.filter(|it| it.is_primary_in(leader.term)) else { return };
        let point = LogPoint { term: leader.term, position: status.position };
        let as_of = confirmed.min(view.asked_at);
        self.position_samples.borrow_mut().add(PositionSample { as_of, point });
    }

    /// The latest instant at which a majority is known to have taken part in `term`.
    ///
    /// At that instant no higher term had fenced a majority, so nothing had been acknowledged
    /// under one.
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

    /// Whether a majority took part in `term` at an instant no longer ago than `age`.
    pub fn confirmed_within(&self, term: Term, age: Duration) -> bool {
        self.confirmed_as_of(term).is_some_and(|it| self.elapsed(it) <= age)
    }

    /// Whether a majority was heard lately taking part in `term`.
    pub fn has_responsive_majority(&self, term: Term) -> bool {
        let now = self.now();
        self.majority(|it| {
            it.is_recent(now, self.timing.failed_after)
                && it.status.is_some_and(|it| it.is_active_in(term))
        })
    }

    /// Whether a majority of members is seen as `wanted`.
    fn majority(&self, wanted: impl Fn(&MemberView) -> bool) -> bool {
        let count = self.views.borrow().values().filter(|it| wanted(it)).count();
        count >= self.spec.borrow().majority()
    }

    /// Whether a majority was heard lately, whatever part its members play.
    pub(crate) fn majority_reachable(&self) -> bool {
        let now = self.now();
        self.majority(|it| it.is_recent(now, self.timing.failed_after))
    }

    /// Whether a majority holds the log of `term` up to `position`.
    pub fn is_acknowledged(&self, term: Term, position: LogPosition) -> bool {
        if !Guard::MajorityHolds.is_enabled() {
            return true;
        }
        self.majority(|it| {
            it.status.is_some_and(|it| it.is_active_in(term) && it.position >= position)
        })
    }

    /// Waits until the fate of a write at `point` is certain.
    ///
    /// A majority that holds it makes an answer an acknowledgement: whoever promotes later must first
    /// fence a majority, which shares a member with this one, and takes the longest log it finds there.
    /// When the term ends before that, the record of the next promotion tells whether the write is in
    /// the log that was taken over; if it is, a majority of the new term must hold it.
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
                    let now = LogPoint { term: group.object.term, position: point.position };
                    self.is_acknowledged(now.term, now.position)
                        .then_some(Settled::Acknowledged(now))
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

    /// Waits until `member` satisfies the floor and the age that a read asks for.
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

    /// How old a member's data is at most; `None` where no reading tells.
    pub fn age(&self, member: &MemberName) -> Option<Duration> {
        let status = self.view(member)?.status?;
        let as_of = self.position_samples.borrow().fresh_as_of(&status)?;
        Some(self.now().saturating_duration_since(as_of))
    }

    /// How long ago `instant` was.
    pub fn elapsed(&self, instant: Instant) -> Duration {
        self.now().saturating_duration_since(instant)
    }

    /// Checks `ready` now and after each change until it tells, or the deadline passes.
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
            // Time running out is seen by the check above.
            let _ = within(&*self.borders().clock, deadline, changed).await;
        }
    }

    /// How this instance sees the primary of `term`.
    pub fn view_of_primary(&self, term: Term) -> PrimaryView {
        let Some(leader) = self.leader().filter(|it| it.term == term) else {
            return PrimaryView::NoView;
        };
        if self.now() < self.trust_silence_after.get() || self.view(&leader.member).is_none() {
            return PrimaryView::NoView;
        }
        if self.is_silent(&leader.member) { PrimaryView::Failed } else { PrimaryView::Answers }
    }

    /// Whether a member was not heard of for so long that it counts as failed.
    ///
    /// Never after a pause of this process, whose own silence that may have been.
    pub fn is_silent(&self, member: &MemberName) -> bool {
        let now = self.now();
        let Some(view) = self.view(member) else { return false };
        let patience =
            if view.refusing { self.timing.refused_after } else { self.timing.failed_after };
        now >= self.trust_silence_after.get() && now > view.last_response_at + patience
    }
}
