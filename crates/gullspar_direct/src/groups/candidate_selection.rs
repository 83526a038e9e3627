//! Selects the member to promote.

use std::rc::Rc;
use std::time::Instant;

use crate::groups::candidate::Candidate;
use crate::groups::failover::{FailoverCause, FailoverCoordinator};
use crate::groups::failover_timing::{CATCH_UP_TIMEOUT, POINT_QUERY_TIMEOUT};
use crate::groups::successors;
use crate::targets::received_point::{self, QueryResult};
use crate::targets::target::Target;
use crate::{Claim, FencingToken, LogEnd, MemberLog, NewestAcknowledged};
use futures::future;

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
            return self.preselect_candidate(previous).await;
        }
        let is_responsive = |it: &Rc<Target>| !it.is_unresponsive() && it.has_responded();
        let targets: Vec<Rc<Target>> =
            self.group.targets().into_iter().filter(is_responsive).collect();
        let queries = targets.iter().map(|it| self.query_candidate(it));
        let candidates: Vec<Candidate> =
            future::join_all(queries).await.into_iter().flatten().collect();
        let is_eligible = |it: &&Candidate| {
            let target = self.group.target(&it.member);
            target.is_some_and(|it| !it.spec().leaving && !self.is_leader(&it))
        };
        let best = candidates.iter().filter(is_eligible).max_by_key(|it| it.point)?;
        if !self.is_up_to_date(best, previous, &candidates) {
            log::warn!(group = self.group.name.as_str(), member = best.member.as_str(), point:? = best.point, over_term:? = previous.map(|it| it.over_term); "G0753 only members of a superseded term are reachable; no member is promoted");
            return None;
        }
        let may_lose_commits =
            self.borders.clock.now() >= began + CATCH_UP_TIMEOUT && !self.group.is_synchronous();
        let waits_for_catch_up = cause == FailoverCause::Leaves && !may_lose_commits;
        let newest = self.group.newest_position_sample().map(|it| it.point);
        if waits_for_catch_up && best.point < newest { None } else { Some(best.clone()) }
    }

    /// The member of a synchronous group for which a failover is claimed. Whether it has all acknowledged commits is known
    /// only once the other homes have learnt of the claim.
    async fn preselect_candidate(&self, previous: Option<&Claim>) -> Option<Candidate> {
        let logs = self.query_logs().await;
        let answered = logs.iter().filter(|it| it.end != LogEnd::Unknown);
        let best = answered.max_by_key(|it| (!it.is_leaving, it.end.reached()))?;
        self.accept_candidate(best, &logs, previous)
    }

    /// The member of a synchronous group to promote, once the other homes know of the claim with `token`; `None` if none is
    /// certain to have all acknowledged commits, which is logged if `is_logged`.
    pub(crate) async fn choose_successor(
        &self,
        previous: Option<&Claim>,
        token: FencingToken,
        is_logged: bool,
    ) -> Option<Candidate> {
        let logs = self.query_logs().await;
        let acknowledged = self.newest_acknowledged(token);
        let may_leader_return =
            self.group.leader().is_some_and(|it| self.group.target(&it.member).is_some());
        let chosen = successors::choose_successor(&logs, acknowledged, may_leader_return);
        if chosen.is_none() && is_logged {
            log::info!(group = self.group.name.as_str(), acknowledged:? = acknowledged, logs:? = logs; "G0800 no member is certain to have all acknowledged commits; none is promoted yet");
        }
        self.accept_candidate(chosen?, &logs, previous)
    }

    /// The newest commit that any home has acknowledged, as reported since the homes know of the claim with `token`.
    fn newest_acknowledged(&self, token: FencingToken) -> NewestAcknowledged {
        let now = self.borders.clock.boot_now();
        let others = self.peers.views.recent_monitors(&self.group.name, now);
        self.group.newest_acknowledged(&others, token, now)
    }

    fn accept_candidate(
        &self,
        chosen: &MemberLog,
        logs: &[MemberLog],
        previous: Option<&Claim>,
    ) -> Option<Candidate> {
        let candidate =
            |it: &MemberLog| Candidate { member: it.member.clone(), point: it.end.reached() };
        let answered = logs.iter().filter(|it| it.end != LogEnd::Unknown);
        let all: Vec<Candidate> = answered.map(candidate).collect();
        let chosen = candidate(chosen);
        if self.is_up_to_date(&chosen, previous, &all) {
            return Some(chosen);
        }
        log::warn!(group = self.group.name.as_str(), member = chosen.member.as_str(), point:? = chosen.point, over_term:? = previous.map(|it| it.over_term); "G0753 only members of a superseded term are reachable; no member is promoted");
        None
    }

    /// Asks all members but the leader where their logs end.
    async fn query_logs(&self) -> Vec<MemberLog> {
        let targets = self.group.targets();
        let others = targets.iter().filter(|it| !self.is_leader(it));
        future::join_all(others.map(|it| self.query_log(it))).await
    }

    async fn query_log(&self, target: &Target) -> MemberLog {
        let clock = &self.borders.clock;
        let deadline = clock.now() + POINT_QUERY_TIMEOUT;
        let is_answering = !target.is_unresponsive() && target.has_responded();
        let result = match is_answering {
            true => received_point::query(&**clock, &self.group, target, deadline).await,
            false => QueryResult::Silent,
        };
        let end = match (result, target.point()) {
            (QueryResult::Answered(point), _) => LogEnd::Exactly(point),
            (QueryResult::Refused, Some(applied)) => LogEnd::AtLeast(applied),
            (QueryResult::Refused, None) | (QueryResult::Silent, _) => LogEnd::Unknown,
        };
        MemberLog { member: target.member(), end, is_leaving: target.spec().leaving }
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
        let clock = &self.borders.clock;
        let deadline = clock.now() + POINT_QUERY_TIMEOUT;
        let received = match received_point::query(&**clock, &self.group, target, deadline).await {
            QueryResult::Answered(point) => Some(point),
            QueryResult::Refused => None,
            QueryResult::Silent => return None,
        };
        Some(Candidate { member: target.member(), point: received.max(target.point()) })
    }
}
