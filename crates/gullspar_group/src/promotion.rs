//! Making another member the primary.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use gullspar_border::{ConfigEntry, ObjectVersion, PlatformError, within};
use gullspar_model::{
    GroupObject, Guard, LogPoint, MemberName, MemberSpec, MemberStatus, Term, TermStart,
    should_pause_promotion_after,
};
use quick_error::quick_error;

use crate::{GroupWatch, Leader, TargetControl, TargetError};

/// How long to wait for further members once a majority is fenced: a longer log may be among them.
const GRACE: Duration = Duration::from_millis(20);

/// How long replicas may take to catch up with a primary that leaves in good order.
const CATCH_UP_WITHIN: Duration = Duration::from_millis(1500);

quick_error! {
    /// Why a promotion did not come about. The group is as safe as before, whatever the step.
    #[derive(Debug)]
    pub enum PromotionError {
        /// Somebody else was faster.
        Overtaken {
            display("another instance changed the group's leadership")
        }
        /// The platform did not take the claim.
        Platform(err: PlatformError) {
            from()
            display("{err}")
        }
        /// Too few members could be fenced.
        NoMajority(fenced: usize) {
            display("only {fenced} members could be fenced")
        }
        /// The chosen member did not become the primary.
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

/// One attempt to promote.
pub struct Promotion {
    watch: Rc<GroupWatch>,
}

impl Promotion {
    /// An attempt for the group that `watch` observes.
    pub fn new(watch: Rc<GroupWatch>) -> Promotion {
        Promotion { watch }
    }

    /// Replaces the leader of `base`; does nothing if the group has moved on from it.
    pub async fn run(&self, base: Term, graceful: bool) -> Result<Leader, PromotionError> {
        let claim = self.claim(base).await?;
        reached(PromotionStep::Claimed);
        let term = claim.object.claimed;
        if graceful {
            self.let_replicas_catch_up(term, claim.object.primary.as_ref()).await;
        }
        let fenced = self.fence_majority(term).await?;
        reached(PromotionStep::Fenced);
        let (mut chosen, end) = most_advanced(fenced).ok_or(PromotionError::NoMajority(0))?;
        let deadline = self.watch.now() + self.watch.timing.step_timeout;
        chosen.control.promote(term, deadline).await?;
        reached(PromotionStep::Promoted);
        let leader = Leader { term, member: chosen.spec.name };
        self.record(claim, &leader, end).await?;
        reached(PromotionStep::Recorded);
        Ok(leader)
    }

    /// Claims the next term. The platform grants each term once, so two claimants never share one.
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
            // Somebody claimed while this instance made up its mind. Claiming on top of that would
            // fence what the other is about to promote.
            self.take(version, &object);
            return Err(PromotionError::Overtaken);
        }
        if object.term > base {
            // The group has a newer leader; taking it over brings us up to date.
            self.take(version, &object);
            return Err(PromotionError::Overtaken);
        }
        let nonce = self.watch.borders().entropy.next_u64();
        let claimed = GroupObject {
            claimed: object.claimed.next(),
            claim: format!("{}-{nonce:016x}", self.watch.fleet.id()),
            ..object
        };
        let version = self.put(version, &claimed).await?;
        self.take(version, &claimed);
        Ok(Claim { version, object: claimed })
    }

    /// Writes the group's object, and reads it back when the answer is lost.
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
                // The update may have taken effect. Taken for failed, a granted claim would be
                // claimed again at a higher term for nothing; the nonce tells it apart.
                let stored = platform.get(&self.key()).await?;
                let ours = stored.filter(|it| {
                    serde_json::from_str::<GroupObject>(&it.value).is_ok_and(|it| it == *object)
                });
                ours.map(|it| it.version).ok_or(PromotionError::Overtaken)
            }
            Err(err) => Err(err.into()),
        }
    }

    fn take(&self, version: ObjectVersion, object: &GroupObject) {
        let entry = ConfigEntry { key: self.key(), version, value: to_json(object) };
        self.watch.fleet.distribute(vec![entry]);
    }

    fn key(&self) -> String {
        format!("{}{}", GroupObject::PREFIX, self.watch.name)
    }

    /// Stops a leaving primary first, so that its replicas get all it has.
    async fn let_replicas_catch_up(&self, term: Term, primary: Option<&MemberName>) {
        let spec = self.watch.spec();
        let Some(primary) = primary.and_then(|it| spec.member(it)) else { return };
        let deadline = self.watch.now() + self.watch.timing.step_timeout;
        // Without the primary's answer the promotion goes on as after a failure.
        let Ok(fenced) = self.fence(primary.clone(), term, deadline).await else { return };
        let deadline = self.watch.now() + CATCH_UP_WITHIN;
        self.watch
            .wait_until(deadline, || {
                let behind = spec.members.iter().filter(|it| it.name != primary.name).any(|it| {
                    let status = self.watch.view(&it.name).and_then(|it| it.status);
                    status.is_none_or(|it| it.position < fenced.status.position)
                });
                (!behind).then_some(())
            })
            .await;
    }

    /// Makes a majority refuse all terms below `term`, and only then reads what they have.
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
                until = deadline.min(self.watch.now() + GRACE);
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

    /// Writes down who leads, so that all instances learn of it.
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
        self.take(version, &object);
        Ok(())
    }
}

fn to_json(object: &GroupObject) -> String {
    // Plain fields and names only: there is nothing in it that JSON can't hold.
    serde_json::to_string(object).unwrap_or_default()
}

/// The member with the longest log, a leaving one only where no other is as long.
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

/// Where a test may let the whole instance stand still, as a paused virtual machine does.
fn reached(step: PromotionStep) {
    /// Longer than it takes the others to notice and to act.
    const PAUSE: Duration = Duration::from_millis(2500);
    if should_pause_promotion_after(step as u32) {
        std::thread::sleep(PAUSE);
    }
}
