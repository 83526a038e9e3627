//! Which member takes a leader's place.

use std::rc::Rc;
use std::time::Instant;

use futures::future;
use gullspar_border::within;
use gullspar_model::LogPoint;
use gullspar_statement::TargetCommand;

use crate::Claim;
use crate::groups::candidate::Candidate;
use crate::groups::failover::{Cause, Keeper};
use crate::groups::failover_timing::{ASK_WITHIN, CATCH_UP_WITHIN};
use crate::targets::target::Target;

impl Keeper {
    /// The member to promote: the one whose log reaches furthest.
    ///
    /// What the old leader acknowledged beyond that is lost, so a leader that is still there waits for
    /// its successor to have everything.
    pub(crate) async fn candidate(
        &self,
        cause: Cause,
        began: Instant,
        before: Option<&Claim>,
    ) -> Option<Candidate> {
        let answers = |it: &Rc<Target>| !it.is_unresponsive() && it.has_responded();
        let targets: Vec<Rc<Target>> = self.group.targets().into_iter().filter(answers).collect();
        let asked = targets.iter().map(|it| self.ask(it));
        let candidates: Vec<Candidate> =
            future::join_all(asked).await.into_iter().flatten().collect();
        let stays = |it: &&Candidate| {
            let target = self.group.target(&it.member);
            target.is_some_and(|it| !it.spec().leaving && !self.leads(&it))
        };
        let best = candidates.iter().filter(stays).max_by_key(|it| it.point)?;
        if !self.is_present(best, before, &candidates) {
            log::warn!(group = self.group.name.as_str(), member = best.member.as_str(), point:? = best.point, over_term:? = before.map(|it| it.over_term); "G0753 only members of a superseded term are in reach; nobody is promoted");
            return None;
        }
        let waits = cause == Cause::Leaves && self.borders.clock.now() < began + CATCH_UP_WITHIN;
        let newest = self.group.newest_reading().map(|it| it.point);
        if waits && best.point < newest { None } else { Some(best.clone()) }
    }

    /// Whether the log of `best` can be that of the group's newest term.
    ///
    /// A claim before this one was over some term. Whoever it promoted leads a later one, and may have
    /// acknowledged writes that an instance behind a cut never heard of; a log that ends in that term or
    /// an older one lacks them. It is good only if the promoted member itself shows that it never led,
    /// or is gone for good.
    fn is_present(&self, best: &Candidate, before: Option<&Claim>, all: &[Candidate]) -> bool {
        let Some(before) = before else { return true };
        let is_later = |it: &Candidate| it.point.is_some_and(|it| it.term > before.over_term);
        if is_later(best) || best.member == before.member {
            return true;
        }
        let promoted = all.iter().find(|it| it.member == before.member);
        let gone = self.group.target(&before.member).is_none();
        gone || promoted.is_some_and(|it| !is_later(it))
    }

    fn leads(&self, target: &Target) -> bool {
        self.group.is_leader(&target.member())
    }

    /// Asks a member how far its log reaches; `None` if it does not answer now.
    ///
    /// What it told before says nothing of the terms that it may have followed since.
    async fn ask(&self, target: &Target) -> Option<Candidate> {
        let spec = target.spec();
        let clock = &self.borders.clock;
        let deadline = clock.now() + ASK_WITHIN;
        let received = within(&**clock, deadline, received_point(target, deadline)).await;
        let received = received.ok().flatten()?;
        Some(Candidate { member: spec.member.clone(), point: received.max(target.point()) })
    }
}

/// How far the target's log reaches with all it has received; `None` if it can't be asked, and `Some(None)`
/// if it answers and does not tell, as when it is busy.
async fn received_point(target: &Target, deadline: Instant) -> Option<Option<LogPoint>> {
    // On a connection that is there: a target that has as many as it takes would refuse a new one.
    let mut lease = target.pool.acquire_for_check(&target.spec(), true, deadline).await?.ok()?;
    let answers = lease.connection()?.exchange(vec![TargetCommand::ReceivedPoint]).await.ok()?;
    lease.return_to_pool();
    Some(answers.first()?.point)
}
