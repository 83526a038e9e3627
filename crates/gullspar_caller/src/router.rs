//! Target selection and retries of requests.

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

/// How long opening a lane, or an echo on it, may take before the home counts as unreachable.
const LANE_TIMEOUT: Duration = Duration::from_millis(300);

/// A home that answered within this time is sent a request without an echo first.
const RECENT_CONTACT_PERIOD: Duration = Duration::from_millis(250);

/// How long the home of a superseded primary may take to report the outcome of a running request.
const SUPERSEDED_TIMEOUT: Duration = Duration::from_millis(150);

/// Delay before the first retry of a request; it doubles with each retry, up to the maximum.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(20);
const MAX_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Versions of the configuration and of the instance list that a request was routed by.
#[derive(Clone, Copy, PartialEq, Eq)]
struct RoutingVersion {
    config: u64,
    instances: u64,
}

/// A request to be routed.
pub(crate) struct RoutedRequest<'r> {
    pub(crate) unit: Unit,
    pub(crate) group: &'r GroupSpec,
    pub(crate) deadline: Instant,
    /// Whether running it twice is harmless.
    pub(crate) repeatable: bool,
    /// Whether a replica may serve it.
    pub(crate) replica_allowed: bool,
}

/// The outcome of a request, and its lane if that can be used again.
pub(crate) struct RouteResult {
    pub(crate) outcome: Outcome,
    pub(crate) lane: Option<HeldLane>,
    pub(crate) on_primary: bool,
    /// The target of the last attempt.
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
    /// Creates a router that takes its lanes from `lanes`.
    pub fn new(fleet: Rc<Fleet>, lanes: Rc<LanePool>) -> Rc<Router> {
        Rc::new(Router {
            fleet,
            lanes,
            budget: RetryBudget::default(),
            scores: TargetScores::default(),
        })
    }

    /// Returns a lane that is no longer needed to the pool.
    pub(crate) fn return_lane(&self, held: HeldLane) {
        self.lanes.release(&held.home, held.lane);
    }

    /// Runs a request, with retries, until it is done, its deadline passes, or it can't be retried.
    pub(crate) async fn route(
        &self,
        routed: &mut RoutedRequest<'_>,
        sink: &mut CallerSink<'_>,
        set_canceller: &dyn Fn(Option<Canceller>),
    ) -> RouteResult {
        self.budget.record_request();
        let mut delay = MIN_RETRY_DELAY;
        let mut earlier_unknown = None;
        loop {
            let previous = self.routing_version();
            let mut routing = self.try_targets(routed, sink, set_canceller).await;
            match routing.outcome {
                Outcome::Unknown(reason) => earlier_unknown = Some(reason),
                // A refused attempt does not rule out that an earlier one has run.
                Outcome::NotRun(_) => {
                    if let Some(reason) = earlier_unknown {
                        routing.outcome = Outcome::Unknown(reason);
                    }
                }
                Outcome::Done { .. } => {}
            }
            let can_retry = match &routing.outcome {
                Outcome::Done { .. } => false,
                Outcome::NotRun(NotRun::Overloaded { .. }) => false,
                Outcome::NotRun(reason) => reason.can_retry_elsewhere(),
                Outcome::Unknown(reason) => {
                    routed.repeatable && *reason != Unknown::DeadlinePassed && !sink.started
                }
            };
            if !can_retry || sink.started {
                return routing;
            }
            if !self.wait_before_retry(previous, delay, routed.deadline).await {
                return routing;
            }
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Waits until a request may be retried; `false` if its deadline passes first.
    ///
    /// A change of leadership or of the instances allows a retry at once, since it probably ends the
    /// failure. Otherwise the delay must pass and the retry budget must have a retry left.
    async fn wait_before_retry(
        &self,
        previous: RoutingVersion,
        delay: Duration,
        deadline: Instant,
    ) -> bool {
        let borders = self.fleet.borders();
        loop {
            let updates = future::select(self.fleet.config.listen(), self.fleet.listen());
            if self.routing_version() != previous {
                return true;
            }
            let until = borders.clock.now() + jittered(&*borders.entropy, delay);
            // Updates are detected by comparing routing versions.
            let _ = within(&*borders.clock, until.min(deadline), updates).await;
            if borders.clock.now() >= deadline {
                return false;
            }
            if self.routing_version() != previous || self.budget.try_consume() {
                return true;
            }
        }
    }

    /// Changes whenever a leadership or the list of instances changes.
    fn routing_version(&self) -> RoutingVersion {
        RoutingVersion { config: self.fleet.config.digest(), instances: self.fleet.generation() }
    }

    async fn try_targets(
        &self,
        routed: &mut RoutedRequest<'_>,
        sink: &mut CallerSink<'_>,
        set_canceller: &dyn Fn(Option<Canceller>),
    ) -> RouteResult {
        let primary = self.primary(&routed.group.name);
        if routed.replica_allowed {
            let borders = self.fleet.borders();
            let (data_centre, now) = (self.fleet.data_centre(), borders.clock.now());
            let entropy = &*borders.entropy;
            let candidates =
                self.scores.replicas(routed.group, primary.as_ref(), &data_centre, entropy, now);
            for replica in candidates {
                routed.unit.head.on_primary = false;
                let acknowledge = std::mem::replace(&mut routed.unit.head.acknowledge, false);
                let routing = self.try_target(routed, replica, sink, set_canceller).await;
                routed.unit.head.acknowledge = acknowledge;
                let is_final = match &routing.outcome {
                    Outcome::Done { .. } => true,
                    Outcome::NotRun(_) => false,
                    Outcome::Unknown(_) => sink.started || !routed.repeatable,
                };
                if is_final {
                    return routing;
                }
            }
        }
        routed.unit.head.on_primary = true;
        let Some(primary) = primary.and_then(|it| routed.group.member(&it)) else {
            let outcome = Outcome::NotRun(NotRun::NoPrimary);
            return RouteResult { outcome, lane: None, on_primary: true, target: None };
        };
        self.try_target(routed, primary, sink, set_canceller).await
    }

    fn primary(&self, group: &gullspar_model::GroupName) -> Option<MemberName> {
        self.fleet.config.group(group).and_then(|it| it.object.primary.clone())
    }

    async fn try_target(
        &self,
        routed: &mut RoutedRequest<'_>,
        member: &MemberSpec,
        sink: &mut CallerSink<'_>,
        set_canceller: &dyn Fn(Option<Canceller>),
    ) -> RouteResult {
        let on_primary = routed.unit.head.on_primary;
        let key = TargetKey::new(&routed.group.name, &member.name);
        let Some(home) = self.fleet.home(&key, &member.data_centre) else {
            let outcome = Outcome::NotRun(NotRun::Unreachable);
            return RouteResult { outcome, lane: None, on_primary, target: Some(key) };
        };
        let clock = Rc::clone(&self.fleet.borders().clock);
        let started = clock.now();
        routed.unit.head.member = member.name.clone();
        let remaining = routed.deadline.saturating_duration_since(started);
        routed.unit.head.remaining_ms = remaining.as_millis() as u64;
        self.scores.record_start(&key);
        let (outcome, lane) = self.run_on(&home, routed, sink, set_canceller).await;
        let took = clock.now().saturating_duration_since(started);
        self.scores.record_end(&key, &outcome, took, clock.now());
        RouteResult { outcome, lane, on_primary, target: Some(key) }
    }

    async fn run_on(
        &self,
        home: &InstanceRecord,
        routed: &RoutedRequest<'_>,
        sink: &mut dyn FrameSink,
        set_canceller: &dyn Fn(Option<Canceller>),
    ) -> (Outcome, Option<HeldLane>) {
        let clock = Rc::clone(&self.fleet.borders().clock);
        let deadline = routed.deadline.min(clock.now() + LANE_TIMEOUT);
        let mut lane = match self.lanes.acquire(home, deadline).await {
            Ok(lane) => lane,
            Err(err) => {
                log::debug!("G0306 cannot open a lane to {}: {err}", home.id);
                return (Outcome::NotRun(NotRun::Unreachable), None);
            }
        };
        if !self.is_responsive(home, &mut lane).await {
            return (Outcome::NotRun(NotRun::Unreachable), None);
        }
        set_canceller(Some(lane.canceller()));
        let result = self.unless_superseded(&routed.unit.head, lane.run(&routed.unit, sink)).await;
        set_canceller(None);
        let Some(result) = result else { return (superseded_outcome(&routed.unit.head), None) };
        match result {
            Ok(outcome) => {
                self.lanes.record_answer(&home.id, clock.now());
                // A late answer may still arrive on a lane whose outcome is unknown.
                let is_reusable = !matches!(outcome, Outcome::Unknown(_));
                let held = is_reusable.then(|| HeldLane {
                    home: home.id.clone(),
                    lane,
                    on_primary: routed.unit.head.on_primary,
                    member: routed.unit.head.member.clone(),
                });
                (outcome, held)
            }
            Err(err) if err.sent => {
                log::debug!("G0307 the lane to {} broke: {}", home.id, err.source);
                (broken_lane_outcome(&routed.unit.head), None)
            }
            Err(_) => (Outcome::NotRun(NotRun::Unreachable), None),
        }
    }

    /// Whether `home` answered recently, or answers an echo on `lane` now.
    ///
    /// A write sent to an unreachable home would end with an unknown outcome, and a read would wait
    /// until its deadline although another target could serve it.
    async fn is_responsive(&self, home: &InstanceRecord, lane: &mut Box<dyn Lane>) -> bool {
        let now = self.fleet.borders().clock.now();
        if self.lanes.has_answered_since(&home.id, now - RECENT_CONTACT_PERIOD) {
            return true;
        }
        let answers = lane.is_responsive(now + LANE_TIMEOUT).await;
        if answers {
            self.lanes.record_answer(&home.id, self.fleet.borders().clock.now());
        }
        answers
    }

    /// Awaits `run`; `None` if the unit's primary was superseded and `run` did not end soon after.
    ///
    /// Otherwise a hung primary or a partitioned home would hold the request until its deadline, while
    /// a request with a key could already run on the new primary.
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
            clock.sleep_until(clock.now() + SUPERSEDED_TIMEOUT).await;
        };
        futures::pin_mut!(run, ended);
        match future::select(run, ended).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }
}

/// The outcome of a unit whose primary was superseded while it ran.
pub(crate) fn superseded_outcome(head: &LaneUnit) -> Outcome {
    if head.continues && !head.commits {
        Outcome::NotRun(NotRun::TransactionLost)
    } else {
        Outcome::Unknown(Unknown::Superseded)
    }
}

/// The outcome of a unit whose lane broke after the unit was sent.
pub(crate) fn broken_lane_outcome(head: &LaneUnit) -> Outcome {
    if head.continues && !head.commits {
        // The home closes the connection together with the lane, so the transaction can't commit.
        Outcome::NotRun(NotRun::TransactionLost)
    } else {
        Outcome::Unknown(Unknown::ConnectionLost)
    }
}

/// Whether a unit only reads.
pub(crate) fn is_read_only(head: &LaneUnit) -> bool {
    head.access == Access::Read
}
