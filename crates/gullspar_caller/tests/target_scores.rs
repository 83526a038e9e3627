//! Which replicas are tried for a read, by what was seen of them.

use std::time::{Duration, Instant};

use gullspar_border::Entropy;
use gullspar_caller::TargetScores;
use gullspar_model::{
    DataCentre, GroupName, GroupSpec, MemberName, MemberSpec, NotRun, Outcome, TargetKey, Unknown,
};
use test_case::test_case;

/// Never draws the turn in which a random replica is tried.
struct NeverExplores;

impl Entropy for NeverExplores {
    fn next_u64(&self) -> u64 {
        1
    }
}

/// A group led by `m1` in `a`, with replicas `m2` in `b` and `m3` in `c`.
fn group() -> GroupSpec {
    let member = |name: &str, data_centre: &str| MemberSpec {
        name: MemberName::new(name),
        address: ([127, 0, 0, 1], 1).into(),
        data_centre: DataCentre::new(data_centre),
        slots: 5,
        connections: 30,
        leaving: false,
    };
    let members = vec![member("m1", "a"), member("m2", "b"), member("m3", "c")];
    GroupSpec { name: GroupName::new("core"), members }
}

fn key(member: &str) -> TargetKey {
    TargetKey::new(&GroupName::new("core"), &MemberName::new(member))
}

/// The replicas that a read of an instance in `c` would try.
fn tried(scores: &TargetScores, now: Instant) -> Vec<String> {
    let (primary, own) = (MemberName::new("m1"), DataCentre::new("c"));
    let group = group();
    let replicas = scores.replicas(&group, Some(&primary), &own, &NeverExplores, now);
    replicas.into_iter().map(|it| it.name.as_str().to_owned()).collect()
}

fn ended(scores: &TargetScores, member: &str, outcome: &Outcome, took_ms: u64, now: Instant) {
    scores.depart(&key(member));
    scores.learn(&key(member), outcome, Duration::from_millis(took_ms), now);
}

const DONE: Outcome = Outcome::Done { status: b'I', point: None, age_ms: None };

#[test]
fn the_replica_at_hand_is_first_until_another_proves_faster() {
    let (scores, now) = (TargetScores::default(), Instant::now());
    assert_eq!(tried(&scores, now), ["m3", "m2"]);
    ended(&scores, "m3", &DONE, 20, now);
    ended(&scores, "m2", &DONE, 10, now);
    assert_eq!(tried(&scores, now), ["m2", "m3"]);
}

/// Symptom: a burst goes to one replica while another stands idle.
/// Events: all reads of a moment see the same mean latencies.
#[test]
fn requests_on_their_way_count_at_once() {
    let (scores, now) = (TargetScores::default(), Instant::now());
    ended(&scores, "m3", &DONE, 10, now);
    ended(&scores, "m2", &DONE, 15, now);
    scores.depart(&key("m3"));
    assert_eq!(tried(&scores, now), ["m2", "m3"]);
}

/// Each failure has its time. Too old for one caller is none: where all avoided such a replica, callers that
/// accept any age would be refused by the only one they have.
#[test_case(&Outcome::NotRun(NotRun::Unreachable), 1500; "out of reach")]
#[test_case(&Outcome::NotRun(NotRun::DeadlinePassed), 100; "too slow")]
#[test_case(&Outcome::Unknown(Unknown::ConnectionLost), 100; "lost")]
#[test_case(&Outcome::NotRun(NotRun::Behind), 0; "behind")]
fn a_replica_that_failed_is_avoided_for(outcome: &Outcome, avoided_ms: u64) {
    let (scores, now) = (TargetScores::default(), Instant::now());
    ended(&scores, "m3", outcome, 1, now);
    let back = now + Duration::from_millis(avoided_ms);
    if avoided_ms > 0 {
        assert_eq!(tried(&scores, back - Duration::from_millis(1)), ["m2"]);
    }
    assert_eq!(tried(&scores, back), ["m3", "m2"]);
}
