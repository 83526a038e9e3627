//! Selects the member of a synchronous group to promote, which must have all acknowledged commits.

use futures::future;

use crate::groups::candidate::Candidate;
use crate::groups::failover::FailoverCoordinator;
use crate::groups::successors;
use crate::targets::received_point::QueryResult;
use crate::targets::target::Target;
use crate::{Claim, FencingToken, LogEnd, MemberLog, NewestAcknowledged};

impl FailoverCoordinator {
    /// The member for which a failover is claimed. Whether it has all acknowledged commits is known only once the other homes
    /// have learnt of the claim.
    pub(crate) async fn preselect_successor(&self, previous: Option<&Claim>) -> Option<Candidate> {
        let logs = self.query_logs().await;
        let answered = logs.iter().filter(|it| it.end != LogEnd::Unknown);
        let best = answered.max_by_key(|it| (!it.is_leaving, it.end.reached()))?;
        self.accept_successor(best, &logs, previous)
    }

    /// The member to promote, once the other homes know of the claim with `token`; `None` if none is certain to have all
    /// acknowledged commits, which is logged if `is_logged`.
    pub(crate) async fn select_complete_successor(
        &self,
        previous: Option<&Claim>,
        token: FencingToken,
        is_logged: bool,
    ) -> Option<Candidate> {
        let logs = self.query_logs().await;
        let acknowledged = self.newest_acknowledged(token);
        let leader = self.group.leader().map(|it| it.member);
        let may_leader_return = leader.is_some_and(|it| self.group.target(&it).is_some());
        let chosen = successors::choose_successor(&logs, acknowledged, may_leader_return);
        if chosen.is_none() && is_logged {
            log::info!(group = self.group.name.as_str(), acknowledged:? = acknowledged, logs:? = logs; "G0800 no member is certain to have all acknowledged commits; none is promoted yet");
        }
        self.accept_successor(chosen?, &logs, previous)
    }

    /// The newest commit that any home has acknowledged, as reported since the homes know of the claim with `token`.
    fn newest_acknowledged(&self, token: FencingToken) -> NewestAcknowledged {
        let now = self.borders.clock.boot_now();
        let others = self.peers.views.recent_monitors(&self.group.name, now);
        self.group.newest_acknowledged(&others, token, now)
    }

    fn accept_successor(
        &self,
        chosen: &MemberLog,
        logs: &[MemberLog],
        previous: Option<&Claim>,
    ) -> Option<Candidate> {
        let candidate =
            |it: &MemberLog| Candidate { member: it.member.clone(), point: it.end.reached() };
        let answered = logs.iter().filter(|it| it.end != LogEnd::Unknown);
        let answered: Vec<Candidate> = answered.map(candidate).collect();
        self.accept_candidate(&candidate(chosen), previous, &answered)
    }

    /// Asks all members but the leader where their logs end.
    async fn query_logs(&self) -> Vec<MemberLog> {
        let others = self.group.other_members();
        future::join_all(others.iter().map(|it| self.query_log(it))).await
    }

    async fn query_log(&self, target: &Target) -> MemberLog {
        let result = match target.is_answering() {
            true => self.query_received(target).await,
            false => QueryResult::Silent,
        };
        let end = match (result, target.point()) {
            (QueryResult::Answered(point), _) => LogEnd::Exactly(point),
            (QueryResult::Refused, Some(applied)) => LogEnd::AtLeast(applied),
            (QueryResult::Refused, None) | (QueryResult::Silent, _) => LogEnd::Unknown,
        };
        MemberLog { member: target.member(), end, is_leaving: target.spec().leaving }
    }
}
