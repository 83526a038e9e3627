//! Delays the success of a write until a replica has received its commit.
//!
//! A leader answers a commit before any replica has it, or once one has it that may not become the next leader. If the leader
//! fails then, an acknowledged write is lost. The guarantees are described in `docs/promises.md`.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BootInstant, within};
use gullspar_model::{LogPoint, MemberName};

use crate::groups::group::Group;
use crate::groups::successors::Successors;
use crate::targets::received_point;
use crate::targets::target::Target;
use crate::targets::target_watch;
use crate::{Borders, Proxy};

/// How long a write waits for a replica.
///
/// After this time a write may be acknowledged although only the leader has it; such writes are counted.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(80);

/// How long a write waits for a replica while the replicas are known to lag by more than [`CONFIRM_TIMEOUT`].
const LAGGING_CONFIRM_TIMEOUT: Duration = Duration::from_millis(5);

/// How long replicas count as lagging after one write waited for them without success.
const LAGGING_TTL: Duration = Duration::from_millis(500);

/// Delay after the first poll of the replicas for one write. It doubles with each poll, so that replicas that are
/// far behind are not polled too often.
const FIRST_POLL_DELAY: Duration = Duration::from_millis(5);

/// Maximum delay between two polls while commits are held back because the leader is being replaced.
const MAX_HELD_POLL_DELAY: Duration = Duration::from_millis(50);

/// How long one query for a received position may take while commits are held back.
const RECEIVED_QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// How long a commit of a synchronous group waits until replicas are asked what they have received. Most commits are applied
/// somewhere by then.
const RECEIVED_QUERY_DELAY: Duration = Duration::from_millis(100);

/// Time in which the other instances learn of a new leader. Until then, writes are sent and wait for their confirmation.
const NEW_LEADER_PERIOD: Duration = Duration::from_secs(1);

/// How long writes are sent although an order may still make another member the leader and a member doesn't answer. Most
/// claims are settled within this time.
const SETTLEMENT_PERIOD: Duration = Duration::from_millis(500);

/// How long a commit of a synchronous group waits until replicas count as receiving nothing. Writes are refused from then on
/// until one of them has it.
const STALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval between checks of whether a commit that only its leader has may be acknowledged.
const LEADER_ONLY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// A commit that the leader has answered.
#[derive(Clone, Debug)]
pub(crate) struct Commit {
    /// The leader that executed the commit.
    pub(crate) leader: MemberName,
    pub(crate) point: LogPoint,
}

/// Whether a commit would survive the failure of its leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CommitStatus {
    /// The next leader will have the commit.
    Replicated,
    /// The commit was not confirmed on replicas in time, but its leader still leads and is not being replaced.
    LeaderOnly,
    /// Another term has begun or may begin, and it is unknown whether its log has the commit.
    Superseded,
}

impl Proxy {
    /// Determines whether `commit` would survive the failure of its leader, and waits for replicas to receive it.
    ///
    /// A commit that is still undecided at `deadline` counts as superseded.
    pub(crate) async fn confirm_commit(
        &self,
        group: &Rc<Group>,
        commit: &Commit,
        deadline: Instant,
    ) -> CommitStatus {
        if group.is_synchronous() {
            return self.confirm_synchronous_commit(group, commit, deadline).await;
        }
        let clock = &self.borders.clock;
        let point = commit.point;
        let (started, boot_started) = (clock.now(), clock.boot_now());
        let wait = if group.has_lagging_replicas(started) {
            LAGGING_CONFIRM_TIMEOUT
        } else {
            CONFIRM_TIMEOUT
        };
        let mut leader_only_at = started + wait;
        let mut poll_at = started + group.typical_lag();
        let mut poll_delay = FIRST_POLL_DELAY;
        // A group whose replicas must confirm from now on is not acknowledged alone any more.
        while !group.is_synchronous() {
            let progress = group.listen_progress();
            if let Some(status) = self.commit_status(group, commit, clock.boot_now()) {
                if status == CommitStatus::Replicated {
                    group.record_acknowledged(point);
                    group.update_typical_lag(clock.now().saturating_duration_since(started));
                }
                return status;
            }
            let now = clock.now();
            if now >= leader_only_at || group.staying_replicas().is_empty() {
                if group.leader().is_some() && !self.still_leads(group, commit).await {
                    return CommitStatus::Superseded;
                }
                if self.can_acknowledge_alone(group, boot_started) {
                    self.record_leader_only(group, point, wait);
                    return CommitStatus::LeaderOnly;
                }
                if now >= deadline {
                    log::warn!(group = group.name.as_str(), term = point.term.0, position = point.position.0; "G0756 only the leader has a commit, and another leader may have been ordered");
                    return CommitStatus::Superseded;
                }
                leader_only_at = (now + LEADER_ONLY_CHECK_INTERVAL).min(deadline);
            }
            if now >= poll_at {
                poll_replicas(&self.borders, group, point);
                poll_at = now + poll_delay;
                poll_delay *= 2;
                if group.is_being_replaced(clock.boot_now()) {
                    poll_delay = poll_delay.min(MAX_HELD_POLL_DELAY);
                }
            }
            // The loop checks again whether or not a replica made progress.
            let _ = within(&**clock, poll_at.min(leader_only_at), progress).await;
        }
        self.confirm_synchronous_commit(group, commit, deadline).await
    }

    /// Like [`Proxy::confirm_commit`], for a group that loses no acknowledged commit: waits until each member that may lead
    /// next has the commit.
    async fn confirm_synchronous_commit(
        &self,
        group: &Rc<Group>,
        commit: &Commit,
        deadline: Instant,
    ) -> CommitStatus {
        let clock = &self.borders.clock;
        let point = commit.point;
        let started = clock.now();
        let mut stalled_at = Some(started + STALL_TIMEOUT);
        let mut poll_at = started + group.typical_lag();
        let mut poll_delay = FIRST_POLL_DELAY;
        let mut was_held = false;
        loop {
            let progress = group.listen_progress();
            let successors = self.successors(group);
            if let Some(status) = synchronous_status(group, commit, &successors) {
                if status == CommitStatus::Replicated {
                    group.record_acknowledged(point);
                }
                if status == CommitStatus::Replicated && !was_held {
                    group.update_typical_lag(clock.now().saturating_duration_since(started));
                }
                return status;
            }
            was_held |= !matches!(successors, Successors::Chosen(_));
            let now = clock.now();
            if now >= deadline {
                log::warn!(group = group.name.as_str(), term = point.term.0, position = point.position.0, settled = group.is_settled(); "G0799 a commit was not confirmed in time, since the next leader may lack it");
                return CommitStatus::Superseded;
            }
            if stalled_at.is_some_and(|it| now >= it) {
                stalled_at = None;
                group.record_stalled(point);
            }
            if now >= poll_at {
                let asks_received = now >= started + RECEIVED_QUERY_DELAY
                    || group.is_being_replaced(clock.boot_now());
                let members = successors.members();
                poll_members(&self.borders, group, members, point, asks_received);
                poll_at = now + poll_delay;
                poll_delay = (poll_delay * 2).min(MAX_HELD_POLL_DELAY);
            }
            let until = stalled_at.map_or(deadline, |it| it.min(deadline)).min(poll_at);
            // The loop checks again whether or not a member made progress.
            let _ = within(&**clock, until, progress).await;
        }
    }

    /// The members of a synchronous group that may lead next, as far as this instance knows.
    fn successors(&self, group: &Group) -> Successors {
        let now = self.borders.clock.boot_now();
        // An order that was carried out just before the present leader was ordered may still take effect. And other
        // instances may promote a member without this one's knowledge if most of them don't confirm the leader.
        let may_be_ordered = group.is_being_replaced(now) || !self.is_leader_confirmed(group, now);
        Successors::of(group, may_be_ordered)
    }

    /// Whether the commit of a write that is sent to the leader now could be acknowledged.
    pub(crate) fn can_confirm_commits(&self, group: &Group) -> bool {
        let now = self.borders.clock.boot_now();
        if group.is_synchronous() {
            let is_recent = group.led_for(now) < NEW_LEADER_PERIOD
                || group.claims().is_unsettled_since(now.minus(SETTLEMENT_PERIOD));
            let successors = self.successors(group);
            return !group.is_stalled(&successors) && (is_recent || successors.can_confirm());
        }
        let (candidates, others) = (group.staying_replicas(), group.other_members());
        let can_be_replicated =
            match self.is_leader_confirmed(group, now) || group.led_for(now) < NEW_LEADER_PERIOD {
                true => !candidates.is_empty(),
                false => !others.is_empty() && candidates.len() == others.len(),
            };
        can_be_replicated || self.can_acknowledge_alone(group, now)
    }

    /// Whether most instances that monitor `group` recently reported nothing against its leader.
    ///
    /// If not, this instance may be partitioned together with the leader and a replica while the other instances promote
    /// the other replica.
    fn is_leader_confirmed(&self, group: &Group, now: BootInstant) -> bool {
        let leader = group.leader();
        leader.is_some_and(|it| {
            self.is_confirmed_since(group, &it.member, BootInstant::MACHINE_START, now)
        })
    }

    /// Whether most homes have reported nothing against `leader` after `since`. If this instance reaches less than half of the
    /// fleet, the others may choose new homes, which replace a leader without the former ones.
    fn is_confirmed_since(
        &self,
        group: &Group,
        leader: &MemberName,
        since: BootInstant,
        now: BootInstant,
    ) -> bool {
        !self.peers.is_isolated(now)
            && self.peers.views.is_leader_confirmed(&group.name, leader, since, now)
    }

    /// The status of the commit as known now; `None` while it is undecided.
    fn commit_status(
        &self,
        group: &Group,
        commit: &Commit,
        now: BootInstant,
    ) -> Option<CommitStatus> {
        let point = commit.point;
        if group.newest_term() > point.term {
            return Some(CommitStatus::Superseded);
        }
        if !group.is_leader(&commit.leader) {
            return status_with_successor(group, point);
        }
        // Any of the replicas may replace a leaving leader, so all of them need the commit. Another instance that replaces
        // the leader may also promote a member that does not answer here.
        let is_replicated = if group.is_leader_leaving() {
            have_all(&group.staying_replicas(), point)
        } else if group.is_being_replaced(now) || !self.is_leader_confirmed(group, now) {
            have_all(&group.other_members(), point)
        } else {
            group.staying_replicas().iter().any(|it| it.has_commit(point))
        };
        is_replicated.then_some(CommitStatus::Replicated)
    }

    fn record_leader_only(&self, group: &Group, point: LogPoint, wait: Duration) {
        log::info!(group = group.name.as_str(), term = point.term.0, position = point.position.0; "G0745 a commit is acknowledged although only the leader has it");
        self.borders.stats.acknowledged_alone();
        group.record_acknowledged(point);
        if wait == CONFIRM_TIMEOUT {
            group.record_lagging_until(self.borders.clock.now() + LAGGING_TTL);
        }
    }

    /// Whether a commit whose confirmation began at `started` may be acknowledged although only the leader has it:
    /// the leader is not being replaced, and no partition can separate this instance and the leader from most
    /// other instances.
    ///
    /// An instance that is partitioned together with the leader does not learn of a promotion that the other
    /// instances order. Commits that it acknowledged between the start of the partition and that promotion would
    /// be rolled back.
    fn can_acknowledge_alone(&self, group: &Group, started: BootInstant) -> bool {
        let Some(leader) = group.leader() else { return false };
        let now = self.borders.clock.boot_now();
        let replicas = group.staying_replicas();
        let views_since = if replicas.iter().any(|it| it.has_responded_since(started)) {
            // A replica answers, so the replicas only lag.
            BootInstant::MACHINE_START
        } else if replicas.is_empty() {
            // Views sent before the last replica became unresponsive may be older than a partition.
            group.last_unresponsive_at().unwrap_or(BootInstant::MACHINE_START)
        } else {
            started
        };
        !group.may_be_replaced(now)
            && self.is_confirmed_since(group, &leader.member, views_since, now)
    }

    /// Asks the leader that executed `commit` whether it still leads in the same term and has the commit.
    async fn still_leads(&self, group: &Rc<Group>, commit: &Commit) -> bool {
        let leader = group.responsive_leader().filter(|it| it.member() == commit.leader);
        let Some(leader) = leader else { return false };
        target_watch::is_leader_now(&self.borders, group, &leader).await
            && group.newest_term() == commit.point.term
            && group.is_leader(&commit.leader)
            // A leader that has restarted meanwhile may lead without the commit.
            && leader.point() >= Some(commit.point)
    }
}

/// The status of a commit whose leader no longer leads; `None` until the successor is known.
///
/// Only the successor's log counts: all other members drop what it lacks. Until its first commit the successor
/// reports the end of its log in the old term.
fn status_with_successor(group: &Group, point: LogPoint) -> Option<CommitStatus> {
    let successor = group.target(&group.leader()?.member);
    let is_replicated = successor.is_some_and(|it| it.has_commit(point));
    Some(if is_replicated { CommitStatus::Replicated } else { CommitStatus::Superseded })
}

/// Whether there are targets and all of them have the commit at `point`.
fn have_all(targets: &[Rc<Target>], point: LogPoint) -> bool {
    !targets.is_empty() && targets.iter().all(|it| it.has_commit(point))
}

/// The status of a commit of a synchronous group; `None` while it is undecided.
fn synchronous_status(
    group: &Group,
    commit: &Commit,
    successors: &Successors,
) -> Option<CommitStatus> {
    if group.newest_term() > commit.point.term {
        return Some(CommitStatus::Superseded);
    }
    if !group.is_leader(&commit.leader)
        && status_with_successor(group, commit.point)? == CommitStatus::Superseded
    {
        return Some(CommitStatus::Superseded);
    }
    successors.have(commit.point).then_some(CommitStatus::Replicated)
}

/// Asks the replicas that are not known to have the commit where their logs end.
///
/// While the leader is being replaced, they are also asked what they have received: replicas that apply commits late
/// would otherwise confirm nothing until the new leader is known.
fn poll_replicas(borders: &Borders, group: &Rc<Group>, point: LogPoint) {
    let asks_received = group.is_being_replaced(borders.clock.boot_now());
    poll_members(borders, group, &group.staying_replicas(), point, asks_received);
}

/// Asks `members` that are not known to have the commit at `point` where their logs end, and if `asks_received` also what
/// they have received and not applied yet, which takes a slot.
fn poll_members(
    borders: &Borders,
    group: &Rc<Group>,
    members: &[Rc<Target>],
    point: LogPoint,
    asks_received: bool,
) {
    for target in members.iter().filter(|it| !it.has_commit(point)) {
        if target.is_polled.replace(true) {
            continue;
        }
        let (borders, group, target) = (borders.clone(), Rc::clone(group), Rc::clone(target));
        let task = async move {
            target_watch::check(&borders, &group, &target).await;
            if !target.has_commit(point) && asks_received {
                let deadline = borders.clock.now() + RECEIVED_QUERY_TIMEOUT;
                received_point::query(&*borders.clock, &group, &target, deadline).await;
            }
            target.is_polled.set(false);
            group.notify_progress();
        };
        compio::runtime::spawn(task).detach();
    }
}
