//! Promotes another member to primary.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use gullspar_border::{ConfigEntry, ObjectVersion, PlatformError, within};
use gullspar_model::{
    ClaimId, GroupObject, Guard, LogPoint, MemberName, MemberSpec, MemberStatus, Term, TermStart,
    should_pause_promotion_after,
};
use quick_error::quick_error;

use crate::{GroupWatch, Leader, TargetControl, TargetError};

/// How long to wait for further members once a majority is fenced, since one of them may have a longer log.
const FENCE_GRACE_PERIOD: Duration = Duration::from_millis(20);

/// How long replicas may take to catch up with a primary that is leaving.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1500);

quick_error! {
    /// Why a promotion failed. A failure at any step leaves the group consistent.
    #[derive(Debug)]
    pub enum PromotionError {
        /// Another instance claimed or changed the leadership first.
        Overtaken {
            display("another instance changed the group's leadership")
        }
        /// The platform could not be read or did not store the object.
        Platform(err: PlatformError) {
            from()
            display("{err}")
        }
        /// Fewer than a majority of members could be fenced; holds their number.
        NoMajority(fenced: usize) {
            display("only {fenced} members could be fenced")
        }
        /// The selected member did not become the primary.
        Target(err: TargetError) {
            from()
            display("{err}")
        }
    }
}

/// The steps of a promotion, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PromotionStep {
    Claimed,
    Fenced,
    Promoted,
    Recorded,
}

/// A claim that the platform granted.
struct Claim {
    version: ObjectVersion,
    object: GroupObject,
}

struct FencedMember {
    spec: MemberSpec,
    status: MemberStatus,
    control: TargetControl,
}

/// One attempt to promote a member of a group.
pub struct Promotion {
    watch: Rc<GroupWatch>,
}

impl Promotion {
    /// Creates an attempt for the group that `watch` observes.
    pub fn new(watch: Rc<GroupWatch>) -> Promotion {
        Promotion { watch }
    }

    /// Replaces the leader of the term `base` and returns the new one.
    ///
    /// With `graceful`, the old primary is fenced first and the replicas catch up with it. Fails with
    /// [`PromotionError::Overtaken`] if the group has a newer leader or claim.
    pub async fn run(&self, base: Term, graceful: bool) -> Result<Leader, PromotionError> {
        let claim = self.claim(base).await?;
        pause_for_test(PromotionStep::Claimed);
        let term = claim.object.claimed;
        if graceful {
            self.let_replicas_catch_up(term, claim.object.primary.as_ref()).await;
        }
        let fenced = self.fence_majority(term).await?;
        pause_for_test(PromotionStep::Fenced);
        let (mut selected, end) = most_advanced(fenced).ok_or(PromotionError::NoMajority(0))?;
        let deadline = self.watch.now() + self.watch.timing.step_timeout;
        selected.control.promote(term, deadline).await?;
        pause_for_test(PromotionStep::Promoted);
        let leader = Leader { term, member: selected.spec.name };
        self.record(claim, &leader, end).await?;
        pause_for_test(PromotionStep::Recorded);
        Ok(leader)
    }

    /// Claims the next term. The platform grants each term only once, so two instances never share a term.
    async fn claim(&self, base: Term) -> Result<Claim, PromotionError> {
        let key = self.key();
        let stored = self.watch.borders().platform.get(&key).await?;
        let (version, object) = match &stored {
            None => (ObjectVersion::default(), GroupObject::unclaimed()),
            Some(it) => {
                let object: GroupObject = serde_json::from_str(&it.value)
                    .map_err(|err| PlatformError::Refused(err.to_string()))?;
                (it.version, object)
            }
        };
        let known = self.watch.fleet.config.group(&self.watch.name).map(|it| it.object.claimed);
        if object.claimed > known.unwrap_or_default() {
            // Another instance has claimed meanwhile. A further claim would fence the member that the other instance
            // is about to promote.
            self.publish(version, &object);
            return Err(PromotionError::Overtaken);
        }
        if object.term > base {
            // The group has a newer leader; publishing the object makes it known here.
            self.publish(version, &object);
            return Err(PromotionError::Overtaken);
        }
        let nonce = self.watch.borders().entropy.next_u64();
        let claimed = GroupObject {
            claimed: object.claimed.next(),
            claim: ClaimId::new(&self.watch.fleet.id(), nonce),
            ..object
        };
        let version = self.put(version, &claimed).await?;
        self.publish(version, &claimed);
        Ok(Claim { version, object: claimed })
    }

    /// Writes the group's object, and reads it back if no answer arrives.
    async fn put(
        &self,
        expected: ObjectVersion,
        object: &GroupObject,
    ) -> Result<ObjectVersion, PromotionError> {
        let platform = &self.watch.borders().platform;
        let value = to_json(object);
        match platform.put(&self.key(), expected, value).await {
            Ok(version) => Ok(version),
            Err(PlatformError::Conflict(_)) => Err(PromotionError::Overtaken),
            Err(PlatformError::NoAnswer(_)) => {
                // The update may have taken effect, and a granted claim must not be claimed again at a higher
                // term. The nonce shows whether the stored claim is this one.
                let stored = platform.get(&self.key()).await?;
                let own = stored.filter(|it| {
                    serde_json::from_str::<GroupObject>(&it.value).is_ok_and(|it| it == *object)
                });
                own.map(|it| it.version).ok_or(PromotionError::Overtaken)
            }
            Err(err) => Err(err.into()),
        }
    }

    /// Applies the object here and spreads it to the other instances.
    fn publish(&self, version: ObjectVersion, object: &GroupObject) {
        let entry = ConfigEntry { key: self.key(), version, value: to_json(object) };
        self.watch.fleet.distribute(vec![entry]);
    }

    fn key(&self) -> String {
        format!("{}{}", GroupObject::PREFIX, self.watch.name)
    }

    /// Fences a leaving primary, and waits up to [`CATCH_UP_TIMEOUT`] until its replicas have received its whole log.
    async fn let_replicas_catch_up(&self, term: Term, primary: Option<&MemberName>) {
        let spec = self.watch.spec();
        let Some(primary) = primary.and_then(|it| spec.member(it)) else { return };
        let deadline = self.watch.now() + self.watch.timing.step_timeout;
        // Without an answer from the primary the promotion continues as after a failure.
        let Ok(fenced) = self.fence(primary.clone(), term, deadline).await else { return };
        let deadline = self.watch.now() + CATCH_UP_TIMEOUT;
        self.watch
            .wait_until(deadline, || {
                let is_behind =
                    spec.members.iter().filter(|it| it.name != primary.name).any(|it| {
                        let status = self.watch.view(&it.name).and_then(|it| it.status);
                        status.is_none_or(|it| it.position < fenced.status.position)
                    });
                (!is_behind).then_some(())
            })
            .await;
    }

    /// Makes a majority refuse all terms below `term`, and returns the fenced members with their status after that.
    async fn fence_majority(&self, term: Term) -> Result<Vec<FencedMember>, PromotionError> {
        let spec = self.watch.spec();
        let deadline = self.watch.now() + self.watch.timing.step_timeout;
        let mut calls: FuturesUnordered<_> =
            spec.members.iter().map(|it| self.fence(it.clone(), term, deadline)).collect();
        let mut fenced = Vec::new();
        let mut until = deadline;
        let clock = Rc::clone(&self.watch.borders().clock);
        while let Ok(Some(result)) = within(&*clock, until, calls.next()).await {
            fenced.extend(result);
            if fenced.len() == spec.majority() {
                until = deadline.min(self.watch.now() + FENCE_GRACE_PERIOD);
            }
        }
        if fenced.len() < spec.majority() {
            return Err(PromotionError::NoMajority(fenced.len()));
        }
        Ok(fenced)
    }

    async fn fence(
        &self,
        spec: MemberSpec,
        term: Term,
        deadline: Instant,
    ) -> Result<FencedMember, TargetError> {
        let borders = self.watch.borders();
        let clock = Rc::clone(&borders.clock);
        let mut control =
            TargetControl::open(&*borders.dialer, clock, spec.address, deadline).await?;
        let status = control.fence(term, deadline).await?;
        Ok(FencedMember { spec, status, control })
    }

    /// Records the new leader on the platform and spreads it to all instances.
    async fn record(
        &self,
        claim: Claim,
        leader: &Leader,
        end: LogPoint,
    ) -> Result<(), PromotionError> {
        let mut object = claim.object;
        object.term = leader.term;
        object.primary = Some(leader.member.clone());
        object.history.push(TermStart { term: leader.term, after: end });
        let surplus = object.history.len().saturating_sub(GroupObject::HISTORY_LIMIT);
        object.history.drain(..surplus);
        let version = self.put(claim.version, &object).await?;
        self.publish(version, &object);
        Ok(())
    }
}

fn to_json(object: &GroupObject) -> String {
    // Every field of the object can be represented in JSON, so serialisation does not fail.
    serde_json::to_string(object).unwrap_or_default()
}

/// The member with the longest log, and the end of that log. A leaving member is selected only if no other log is
/// as long.
fn most_advanced(fenced: Vec<FencedMember>) -> Option<(FencedMember, LogPoint)> {
    let rank = |it: &FencedMember| (it.status.log_end(), !it.spec.leaving);
    let best = if Guard::LongestLog.is_enabled() {
        fenced.into_iter().max_by_key(rank)?
    } else {
        fenced.into_iter().min_by_key(rank)?
    };
    let end = best.status.log_end();
    Some((best, end))
}

/// Blocks the whole instance if a test asked for it after this step, as a paused virtual machine would.
fn pause_for_test(step: PromotionStep) {
    /// Long enough for the other instances to detect the pause and to act.
    const PAUSE_PERIOD: Duration = Duration::from_millis(2500);
    if should_pause_promotion_after(step as u32) {
        std::thread::sleep(PAUSE_PERIOD);
    }
}
