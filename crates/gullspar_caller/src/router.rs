//! Chooses where a request goes, and whether it is tried again.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use gullspar_border::{jittered, within};
use gullspar_fleet::Fleet;
use gullspar_model::{
    Access, GroupSpec, InstanceRecord, MemberName, MemberSpec, NotRun, Outcome, TargetKey, Unknown,
};
use gullspar_target::{Canceller, FrameSink, Lane, Unit};
use gullspar_wire::LaneUnit;

use crate::caller_sink::CallerSink;
use crate::session_state::HeldLane;
use crate::{LanePool, RetryBudget, TargetScores};

/// How long opening a lane may take before another way is tried.
const LANE_WITHIN: Duration = Duration::from_millis(300);

/// A home that answered within this time needs not be asked whether it is there.
const HEARD_LATELY: Duration = Duration::from_millis(250);

/// How long the home of a superseded primary may take to tell the fate of what it was running.
const SUPERSEDED_GRACE: Duration = Duration::from_millis(150);

/// First and longest pause before a refused request is tried again.
const FIRST_PAUSE: Duration = Duration::from_millis(20);
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// The state of knowledge that a request was routed by.
#[derive(Clone, Copy, PartialEq, Eq)]
struct Knowledge {
    config: u64,
    instances: u64,
}

/// A request on its way.
pub(crate) struct Routed<'r> {
    pub(crate) unit: Unit,
    pub(crate) group: &'r GroupSpec,
    pub(crate) deadline: Instant,
    /// Whether running it twice does no harm.
    pub(crate) repeatable: bool,
    /// Whether a replica may serve it.
    pub(crate) replica_allowed: bool,
}

/// How a request ended, and the lane if it must be kept.
pub(crate) struct Routing {
    pub(crate) outcome: Outcome,
    pub(crate) lane: Option<HeldLane>,
    pub(crate) on_primary: bool,
    /// The target that it was last tried at.
    pub(crate) target: Option<TargetKey>,
}

/// Sends requests to targets.
pub struct Router {
    fleet: Rc<Fleet>,
    lanes: Rc<LanePool>,
    budget: RetryBudget,
    scores: TargetScores,
}

impl Router {
    /// A router over the lanes of `lanes`.
    pub fn new(fleet: Rc<Fleet>, lanes: Rc<LanePool>) -> Rc<Router> {
        Rc::new(Router {
            fleet,
            lanes,
            budget: RetryBudget::default(),
            scores: TargetScores::default(),
        })
    }

    /// Gives back a lane that is no longer needed.
    pub(crate) fn give_back(&self, held: HeldLane) {
        self.lanes.give_back(&held.home, held.lane);
    }

    /// Runs a request until it is done, its deadline passes, or it can't be tried again.
    pub(crate) async fn route(
        &self,
        routed: &mut Routed<'_>,
        sink: &mut CallerSink<'_>,
        on_lane: &dyn Fn(Option<Canceller>),
    ) -> Routing {
        self.budget.fill();
        let mut pause = FIRST_PAUSE;
        let mut earlier = None;
        loop {
            let seen = self.knowledge();
            let mut routing = self.try_targets(routed, sink, on_lane).await;
            match routing.outcome {
                Outcome::Unknown(reason) => earlier = Some(reason),
                // An attempt that was refused says nothing of the one before it, which may have run.
                Outcome::NotRun(_) => {
                    if let Some(reason) = earlier {
                        routing.outcome = Outcome::Unknown(reason);
                    }
                }
                Outcome::Done { .. } => {}
            }
            let again = match &routing.outcome {
                Outcome::Done { .. } => false,
                Outcome::NotRun(NotRun::Overloaded { .. }) => false,
                Outcome::NotRun(reason) => reason.can_retry_elsewhere(),
                Outcome::Unknown(reason) => {
                    routed.repeatable && *reason != Unknown::DeadlinePassed && !sink.started
                }
            };
            if !again || sink.started {
                return routing;
            }
            if !self.wait_for_turn(seen, pause, routed.deadline).await {
                return routing;
            }
            pause = (pause * 2).min(LONGEST_PAUSE);
        }
    }

    /// Waits until a request may be tried again; `false` when its deadline comes first.
    ///
    /// A change of leadership or of instances is the likeliest end of the trouble and lets it go at
    /// once. Otherwise it waits out its pause and draws on the budget; while the budget is spent, only
    /// news lets it go.
    async fn wait_for_turn(&self, seen: Knowledge, pause: Duration, deadline: Instant) -> bool {
        let borders = self.fleet.borders();
        loop {
            let news = future::select(self.fleet.config.listen(), self.fleet.listen());
            if self.knowledge() != seen {
                return true;
            }
            let until = borders.clock.now() + jittered(&*borders.entropy, pause);
            // Whether news came is seen by the check above.
            let _ = within(&*borders.clock, until.min(deadline), news).await;
            if borders.clock.now() >= deadline {
                return false;
            }
            if self.knowledge() != seen || self.budget.draw() {
                return true;
            }
        }
    }

    /// What a change of leadership or of instances would change.
    fn knowledge(&self) -> Knowledge {
        Knowledge { config: self.fleet.config.digest(), instances: self.fleet.generation() }
    }

    async fn try_targets(
        &self,
        routed: &mut Routed<'_>,
        sink: &mut CallerSink<'_>,
        on_lane: &dyn Fn(Option<Canceller>),
    ) -> Routing {
        let primary = self.primary(&routed.group.name);
        if routed.replica_allowed {
            let borders = self.fleet.borders();
            let (own, now) = (self.fleet.data_centre(), borders.clock.now());
            let entropy = &*borders.entropy;
            let able = self.scores.replicas(routed.group, primary.as_ref(), &own, entropy, now);
            for replica in able {
                routed.unit.head.on_primary = false;
                let acknowledge = std::mem::replace(&mut routed.unit.head.acknowledge, false);
                let routing = self.try_one(routed, replica, sink, on_lane).await;
                routed.unit.head.acknowledge = acknowledge;
                let settled = match &routing.outcome {
                    Outcome::Done { .. } => true,
                    Outcome::NotRun(_) => false,
                    Outcome::Unknown(_) => sink.started || !routed.repeatable,
                };
                if settled {
                    return routing;
                }
            }
        }
        routed.unit.head.on_primary = true;
        let Some(primary) = primary.and_then(|it| routed.group.member(&it)) else {
            let outcome = Outcome::NotRun(NotRun::NoPrimary);
            return Routing { outcome, lane: None, on_primary: true, target: None };
        };
        self.try_one(routed, primary, sink, on_lane).await
    }

    fn primary(&self, group: &gullspar_model::GroupName) -> Option<MemberName> {
        self.fleet.config.group(group).and_then(|it| it.object.primary.clone())
    }

    async fn try_one(
        &self,
        routed: &mut Routed<'_>,
        member: &MemberSpec,
        sink: &mut CallerSink<'_>,
        on_lane: &dyn Fn(Option<Canceller>),
    ) -> Routing {
        let on_primary = routed.unit.head.on_primary;
        let key = TargetKey::new(&routed.group.name, &member.name);
        let Some(home) = self.fleet.home(&key, &member.data_centre) else {
            let outcome = Outcome::NotRun(NotRun::Unreachable);
            return Routing { outcome, lane: None, on_primary, target: Some(key) };
        };
        let clock = Rc::clone(&self.fleet.borders().clock);
        let started = clock.now();
        routed.unit.head.member = member.name.clone();
        let remaining = routed.deadline.saturating_duration_since(started);
        routed.unit.head.remaining_ms = remaining.as_millis() as u64;
        self.scores.depart(&key);
        let (outcome, lane) = self.run_on(&home, routed, sink, on_lane).await;
        let took = clock.now().saturating_duration_since(started);
        self.scores.learn(&key, &outcome, took, clock.now());
        Routing { outcome, lane, on_primary, target: Some(key) }
    }

    async fn run_on(
        &self,
        home: &InstanceRecord,
        routed: &Routed<'_>,
        sink: &mut dyn FrameSink,
        on_lane: &dyn Fn(Option<Canceller>),
    ) -> (Outcome, Option<HeldLane>) {
        let clock = Rc::clone(&self.fleet.borders().clock);
        let deadline = routed.deadline.min(clock.now() + LANE_WITHIN);
        let mut lane = match self.lanes.take(home, deadline).await {
            Ok(lane) => lane,
            Err(err) => {
                log::debug!("G0306 no lane to {}: {err}", home.id);
                return (Outcome::NotRun(NotRun::Unreachable), None);
            }
        };
        if !self.is_there(home, &mut lane).await {
            return (Outcome::NotRun(NotRun::Unreachable), None);
        }
        on_lane(Some(lane.canceller()));
        let result = self.unless_superseded(&routed.unit.head, lane.run(&routed.unit, sink)).await;
        on_lane(None);
        let Some(result) = result else { return (superseded(&routed.unit.head), None) };
        match result {
            Ok(outcome) => {
                self.lanes.heard(&home.id, clock.now());
                // A lane with an unknown outcome may still carry a late answer.
                let sound = !matches!(outcome, Outcome::Unknown(_));
                let held = sound.then(|| HeldLane {
                    home: home.id.clone(),
                    lane,
                    on_primary: routed.unit.head.on_primary,
                    member: routed.unit.head.member.clone(),
                });
                (outcome, held)
            }
            Err(err) if err.sent => {
                log::debug!("G0307 a lane to {} broke: {}", home.id, err.source);
                (lost_on_lane(&routed.unit.head), None)
            }
            Err(_) => (Outcome::NotRun(NotRun::Unreachable), None),
        }
    }

    /// Whether a home that was not heard of lately answers now.
    ///
    /// A write sent to a home behind a cut link would be neither done nor certainly not run, and its
    /// caller left with an unknown outcome; a read would wait there until its deadline although another
    /// target could serve it. The question costs a round trip, after a silence only.
    async fn is_there(&self, home: &InstanceRecord, lane: &mut Box<dyn Lane>) -> bool {
        let now = self.fleet.borders().clock.now();
        if self.lanes.heard_since(&home.id, now - HEARD_LATELY) {
            return true;
        }
        let answers = lane.is_responsive(now + LANE_WITHIN).await;
        if answers {
            self.lanes.heard(&home.id, self.fleet.borders().clock.now());
        }
        answers
    }

    /// Awaits what a lane brings, but not long after the primary that it leads to was superseded.
    ///
    /// A hung primary, or a home that is cut off, would hold the request until its deadline although
    /// its outcome can't get better any more, and a request with a key could long have run elsewhere.
    pub(crate) async fn unless_superseded<T>(
        &self,
        head: &LaneUnit,
        run: impl Future<Output = T>,
    ) -> Option<T> {
        if !head.on_primary {
            return Some(run.await);
        }
        let term = self.fleet.config.group(&head.group).map(|it| it.object.term);
        let ended = async {
            loop {
                let changed = self.fleet.config.listen();
                if self.fleet.config.group(&head.group).map(|it| it.object.term) != term {
                    break;
                }
                changed.await;
            }
            let clock = &self.fleet.borders().clock;
            clock.sleep_until(clock.now() + SUPERSEDED_GRACE).await;
        };
        futures::pin_mut!(run, ended);
        match future::select(run, ended).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }
}

/// What is known of a unit whose primary was superseded while it ran.
pub(crate) fn superseded(head: &LaneUnit) -> Outcome {
    if head.continues && !head.commits {
        Outcome::NotRun(NotRun::TransactionLost)
    } else {
        Outcome::Unknown(Unknown::Superseded)
    }
}

/// What is known of a unit whose lane broke after it was sent.
pub(crate) fn lost_on_lane(head: &LaneUnit) -> Outcome {
    if head.continues && !head.commits {
        // The home closes the connection with its lane, so the transaction can't commit any more.
        Outcome::NotRun(NotRun::TransactionLost)
    } else {
        Outcome::Unknown(Unknown::ConnectionLost)
    }
}

/// Whether a unit reads only.
pub(crate) fn reads_only(head: &LaneUnit) -> bool {
    head.access == Access::Read
}
