//! Holding the success of a write back until a replica has it.
//!
//! Targets acknowledge a commit by the leader's word alone. If the leader fails before a replica has
//! received the commit, its successor never had it, and a booking that was confirmed is gone. What is
//! promised, and what is not, stands in `docs/promises.md`.

use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::{BootInstant, within};
use gullspar_model::{LogPoint, MemberName};

use crate::groups::group::Group;
use crate::targets::target::Target;
use crate::targets::target_watch;
use crate::{Borders, Proxy};

/// How long a write waits for a replica.
///
/// Long enough for a replica that keeps up, and short before what callers want. With replicas that receive nothing a
/// write is acknowledged by the leader alone after this time, and counted.
const CONFIRM_WITHIN: Duration = Duration::from_millis(80);

/// How long a write waits while replicas are known to be further behind than that: the full wait would
/// end the same way and make the caller late.
const LAGGING_WAIT: Duration = Duration::from_millis(5);

/// How long replicas that were too far behind for one write are taken to be so for others.
const LAG_HOLDS_FOR: Duration = Duration::from_millis(500);

/// Pause after the first look at the replicas for one write; it doubles with each further look, so that
/// replicas that are far behind are not asked twenty times for nothing.
const FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Between two looks at whether a commit that only its leader has may be acknowledged; heartbeats come
/// four times as seldom.
const VOUCH_PAUSE: Duration = Duration::from_millis(50);

/// A commit that its leader has answered.
#[derive(Clone, Debug)]
pub(crate) struct Commit {
    /// The leader that made it.
    pub(crate) leader: MemberName,
    pub(crate) point: LogPoint,
}

/// How a commit stands with the replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Whoever leads next has it.
    Held,
    /// No replica was seen to have it in time, its leader leads still, and nobody is about to replace it.
    Alone,
    /// Another term has begun, or may be about to, and it can't be told whether its log has the commit.
    Superseded,
}

impl Proxy {
    /// Waits until `commit` would survive its leader, or until `deadline`.
    pub(crate) async fn confirm(
        &self,
        group: &Rc<Group>,
        commit: &Commit,
        deadline: Instant,
    ) -> Standing {
        let clock = &self.borders.clock;
        let point = commit.point;
        let (asked, boot_asked) = (clock.now(), clock.boot_now());
        let wait = if group.replicas_lag(asked) { LAGGING_WAIT } else { CONFIRM_WITHIN };
        let mut alone_at = asked + wait;
        let mut look_at = asked + group.usual_lag();
        let mut pause = FIRST_PAUSE;
        loop {
            let progress = group.listen_progress();
            if let Some(standing) = standing(group, commit) {
                if standing == Standing::Held {
                    group.learn_lag(clock.now().saturating_duration_since(asked));
                }
                return standing;
            }
            let now = clock.now();
            if now >= alone_at || staying(group).is_empty() {
                if group.leader().is_some() && !self.still_leads(group, commit).await {
                    return Standing::Superseded;
                }
                if self.may_stand_alone(group, boot_asked) {
                    self.note_alone(group, point, wait);
                    return Standing::Alone;
                }
                if now >= deadline {
                    log::warn!(group = group.name.as_str(), term = point.term.0, position = point.position.0; "G0756 a commit is held by its leader alone, and another leader may have been ordered");
                    return Standing::Superseded;
                }
                alone_at = (now + VOUCH_PAUSE).min(deadline);
            }
            if now >= look_at {
                look(&self.borders, group, point);
                look_at = now + pause;
                pause *= 2;
            }
            // Either way it is looked at again.
            let _ = within(&**clock, look_at.min(alone_at), progress).await;
        }
    }

    /// Whether a write that is sent to the leader now can be acknowledged at all.
    pub(crate) fn can_confirm(&self, group: &Group) -> bool {
        let now = self.borders.clock.boot_now();
        !staying(group).is_empty() || self.may_stand_alone(group, now)
    }

    fn note_alone(&self, group: &Group, point: LogPoint, wait: Duration) {
        log::info!(group = group.name.as_str(), term = point.term.0, position = point.position.0; "G0745 a commit is acknowledged by the leader alone");
        self.borders.stats.acknowledged_alone();
        if wait == CONFIRM_WITHIN {
            group.note_lag(self.borders.clock.now() + LAG_HOLDS_FOR);
        }
    }

    /// Whether the word of the leader alone is good enough for a commit made at `asked`: nobody has set about
    /// replacing it, and no cut can lie between this instance with the leader and most others.
    ///
    /// Behind a cut, an instance that is alone with the leader hears nothing of the promotion that the
    /// others order. What it acknowledged from the cut on until the promotion took effect would be
    /// rolled back, seen as confirmed bookings that are gone.
    fn may_stand_alone(&self, group: &Group, asked: BootInstant) -> bool {
        let Some(leader) = group.leader() else { return false };
        let now = self.borders.clock.boot_now();
        let replicas = staying(group);
        let no_cut_since = if replicas.iter().any(|it| it.heard_since(asked)) {
            // They are only behind.
            BootInstant::MACHINE_START
        } else if replicas.is_empty() {
            // What was said before the last of them fell silent may be from before a cut.
            group.darkened_at().unwrap_or(BootInstant::MACHINE_START)
        } else {
            asked
        };
        !group.is_being_replaced(now)
            && self.peers.views.is_leader_confirmed(&group.name, &leader.member, no_cut_since, now)
    }

    /// Whether the leader that made `commit` leads now, as it says itself.
    async fn still_leads(&self, group: &Rc<Group>, commit: &Commit) -> bool {
        let leader = group.working_leader().filter(|it| it.member() == commit.leader);
        let Some(leader) = leader else { return false };
        target_watch::leads(&self.borders, group, &leader).await
            && group.newest_term() == commit.point.term
            && group.is_leader(&commit.leader)
            // One that has started anew meanwhile may lead without it.
            && leader.point() >= Some(commit.point)
    }
}

/// How the commit stands by what is known now; `None` if more may be learnt.
fn standing(group: &Group, commit: &Commit) -> Option<Standing> {
    let point = commit.point;
    if group.newest_term() > point.term {
        return Some(Standing::Superseded);
    }
    if !group.is_leader(&commit.leader) {
        return stands_with_successor(group, point);
    }
    let replicas = staying(group);
    let mut held = replicas.iter().map(|it| has(it, point));
    // A leader that leaves hands over to one of them, and it is not known to which.
    let held = match group.leader_leaves() {
        true => !replicas.is_empty() && held.all(|it| it),
        false => held.any(|it| it),
    };
    held.then_some(Standing::Held)
}

/// How a commit stands whose leader leads no more; `None` until its successor is known.
///
/// Only the successor counts: other replicas, and the old leader itself, lose what it lacks. Until its first commit
/// it shows how far its log reaches in the old term.
fn stands_with_successor(group: &Group, point: LogPoint) -> Option<Standing> {
    let successor = group.target(&group.leader()?.member);
    let held = successor.is_some_and(|it| has(&it, point));
    Some(if held { Standing::Held } else { Standing::Superseded })
}

fn has(target: &Target, point: LogPoint) -> bool {
    target.point().is_some_and(|it| it.term == point.term && it.position >= point.position)
}

/// The replicas that may lead next.
fn staying(group: &Group) -> Vec<Rc<Target>> {
    let stays = |it: &Rc<Target>| {
        !group.is_leader(&it.member()) && !it.spec().leaving && !it.is_dark() && it.was_heard()
    };
    group.targets().into_iter().filter(stays).collect()
}

/// Asks the replicas that are not known to have the commit where their logs end.
fn look(borders: &Borders, group: &Rc<Group>, point: LogPoint) {
    for target in staying(group).into_iter().filter(|it| !has(it, point)) {
        if target.looking.replace(true) {
            continue;
        }
        let (borders, group) = (borders.clone(), Rc::clone(group));
        let task = async move {
            target_watch::check(&borders, &group, &target).await;
            target.looking.set(false);
            group.notify_progress();
        };
        compio::runtime::spawn(task).detach();
    }
}
