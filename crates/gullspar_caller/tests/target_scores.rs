//! Selection of replicas for reads by latency, load and failures.

use std::time::{Duration, Instant};

use gullspar_border::Entropy;
use gullspar_caller::TargetScores;
use gullspar_model::{
    DataCentre, GroupName, GroupSpec, MemberName, MemberSpec, NotRun, Outcome, TargetKey, Unknown,
};
use test_case::test_case;

/// Never selects a random replica.
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

/// The replicas selected for a read on an instance in `c`.
fn selected(scores: &TargetScores, now: Instant) -> Vec<String> {
    let (primary, own) = (MemberName::new("m1"), DataCentre::new("c"));
    let group = group();
    let replicas = scores.replicas(&group, Some(&primary), &own, &NeverExplores, now);
    replicas.into_iter().map(|it| it.name.as_str().to_owned()).collect()
}

fn record(scores: &TargetScores, member: &str, outcome: &Outcome, took_ms: u64, now: Instant) {
    scores.record_start(&key(member));
    scores.record_end(&key(member), outcome, Duration::from_millis(took_ms), now);
}

const DONE: Outcome = Outcome::Done { status: b'I', point: None, age_ms: None };

/// Guards against reads that go to a slower replica, or leave the data centre without need.
#[test]
fn the_replica_in_the_same_data_centre_is_first_until_another_is_faster() {
    let (scores, now) = (TargetScores::default(), Instant::now());
    assert_eq!(selected(&scores, now), ["m3", "m2"]);
    record(&scores, "m3", &DONE, 20, now);
    record(&scores, "m2", &DONE, 10, now);
    assert_eq!(selected(&scores, now), ["m2", "m3"]);
}

/// Guards against a burst of reads that all go to one replica while another stays idle.
#[test]
fn requests_in_flight_raise_the_expected_latency() {
    let (scores, now) = (TargetScores::default(), Instant::now());
    record(&scores, "m3", &DONE, 10, now);
    record(&scores, "m2", &DONE, 15, now);
    scores.record_start(&key("m3"));
    assert_eq!(selected(&scores, now), ["m2", "m3"]);
}

/// Guards against failed replicas being tried too early, and against avoiding a replica that is only too
/// far behind for one caller: it may be the only one for callers that accept data of any age.
#[test_case(&Outcome::NotRun(NotRun::Unreachable), 1500; "unreachable")]
#[test_case(&Outcome::NotRun(NotRun::DeadlinePassed), 100; "too slow")]
#[test_case(&Outcome::Unknown(Unknown::ConnectionLost), 100; "lost")]
#[test_case(&Outcome::NotRun(NotRun::Behind), 0; "behind")]
fn a_replica_that_failed_is_avoided_for(outcome: &Outcome, avoided_ms: u64) {
    let (scores, now) = (TargetScores::default(), Instant::now());
    record(&scores, "m3", outcome, 1, now);
    let available_at = now + Duration::from_millis(avoided_ms);
    if avoided_ms > 0 {
        assert_eq!(selected(&scores, available_at - Duration::from_millis(1)), ["m2"]);
    }
    assert_eq!(selected(&scores, available_at), ["m3", "m2"]);
}
