//! Selects the member to promote.

use std::rc::Rc;
use std::time::Instant;

use futures::future;

use crate::Claim;
use crate::groups::candidate::Candidate;
use crate::groups::failover::{FailoverCause, FailoverCoordinator};
use crate::groups::failover_timing::{CATCH_UP_TIMEOUT, POINT_QUERY_TIMEOUT};
use crate::targets::received_point::{self, QueryResult};
use crate::targets::target::Target;

impl FailoverCoordinator {
    /// The member to promote: the one with the longest log; `None` if no member can be promoted yet.
    ///
    /// Writes that the old leader acknowledged beyond the end of that log are lost. A leader that is leaving
    /// still runs, so its replacement waits until the candidate has its whole log.
    pub(crate) async fn select_candidate(
        &self,
        cause: FailoverCause,
        began: Instant,
        previous: Option<&Claim>,
    ) -> Option<Candidate> {
        if self.group.is_synchronous() && cause != FailoverCause::Leaves {
            return self.preselect_successor(previous).await;
        }
        let targets: Vec<Rc<Target>> =
            self.group.targets().into_iter().filter(|it| it.is_answering()).collect();
        let queries = targets.iter().map(|it| self.query_candidate(it));
        let candidates: Vec<Candidate> =
            future::join_all(queries).await.into_iter().flatten().collect();
        let is_eligible = |it: &&Candidate| {
            let target = self.group.target(&it.member);
            target.is_some_and(|it| !it.spec().leaving && !self.is_leader(&it))
        };
        let best = candidates.iter().filter(is_eligible).max_by_key(|it| it.point)?;
        let best = self.accept_candidate(best, previous, &candidates)?;
        let may_lose_commits =
            self.borders.clock.now() >= began + CATCH_UP_TIMEOUT && !self.group.is_synchronous();
        let waits_for_catch_up = cause == FailoverCause::Leaves && !may_lose_commits;
        let newest = self.group.newest_position_sample().map(|it| it.point);
        if waits_for_catch_up && best.point < newest { None } else { Some(best) }
    }

    /// Returns `best` unless its log may lack acknowledged writes of a newer term, which is logged.
    pub(crate) fn accept_candidate(
        &self,
        best: &Candidate,
        previous: Option<&Claim>,
        all: &[Candidate],
    ) -> Option<Candidate> {
        if self.is_up_to_date(best, previous, all) {
            return Some(best.clone());
        }
        log::warn!(group = self.group.name.as_str(), member = best.member.as_str(), point:? = best.point, over_term:? = previous.map(|it| it.over_term); "G0753 only members of a superseded term are reachable; no member is promoted");
        None
    }

    /// Whether the log of `best` can include all acknowledged writes of the group's newest term.
    ///
    /// The member that the previous claim promoted may have led a term later than the claim's `over_term`, and
    /// may have acknowledged writes that a partitioned instance knows nothing of. A log that does not reach
    /// beyond `over_term` lacks them. Such a log is accepted only if the promoted member itself shows that it
    /// never led, or if that member has been removed from the group.
    fn is_up_to_date(&self, best: &Candidate, previous: Option<&Claim>, all: &[Candidate]) -> bool {
        let Some(previous) = previous else { return true };
        let is_later = |it: &Candidate| it.point.is_some_and(|it| it.term > previous.over_term);
        if is_later(best) || best.member == previous.member {
            return true;
        }
        let promoted = all.iter().find(|it| it.member == previous.member);
        let is_removed = self.group.target(&previous.member).is_none();
        is_removed || promoted.is_some_and(|it| !is_later(it))
    }

    fn is_leader(&self, target: &Target) -> bool {
        self.group.is_leader(&target.member())
    }

    /// Asks a member where its log ends; `None` if it does not answer now.
    ///
    /// An earlier answer is not enough: the member may have followed other terms since.
    async fn query_candidate(&self, target: &Target) -> Option<Candidate> {
        let received = match self.query_received(target).await {
            QueryResult::Answered(point) => Some(point),
            QueryResult::Refused => None,
            QueryResult::Silent => return None,
        };
        Some(Candidate { member: target.member(), point: received.max(target.point()) })
    }

    /// Asks a member what it has received, and records the answer.
    pub(crate) async fn query_received(&self, target: &Target) -> QueryResult {
        let clock = &self.borders.clock;
        let deadline = clock.now() + POINT_QUERY_TIMEOUT;
        received_point::query(&**clock, &self.group, target, deadline).await
    }
}
