//! The decision to transfer a leader role, without a network.

use std::time::{Duration, Instant};

use gullspar_direct::{LeaderReport, TransferCause, TransferInputs, TransferJudge};
use test_case::test_case;

/// A measured group: six homes, and a leader that has the work of three members and sheds half of it.
const HOMES: usize = 6;
const REQUESTS_PER_S: u32 = 528;
const LOST_PER_S: u32 = 258;
const DISPLACED_PER_S: u32 = 348;

const STEP: Duration = Duration::from_millis(100);

/// What a transfer costs: 600 ms of promotion and 300 ms to agree.
const PAUSE_S: f64 = 0.9;

const LONG_AGO: Duration = Duration::from_secs(60);

/// The report of one of the homes.
fn report(lost_per_s: u32) -> LeaderReport {
    let homes = HOMES as u32;
    LeaderReport {
        group: "group-1".into(),
        leader: "m0".into(),
        is_lagging: true,
        is_impaired: false,
        requests_per_s: REQUESTS_PER_S / homes,
        lost_per_s: lost_per_s / homes,
        displaced_per_s: DISPLACED_PER_S / homes,
        transferred_ms_ago: None,
    }
}

fn impaired(lost_per_s: u32) -> LeaderReport {
    LeaderReport { is_lagging: false, is_impaired: true, displaced_per_s: 0, ..report(lost_per_s) }
}

/// A judge that gets the same reports for some time.
struct Judged {
    reports: Vec<LeaderReport>,
    counted: usize,
    led_for: Duration,
    transferred_ago: Option<Duration>,
}

impl Judged {
    fn new(reports: Vec<LeaderReport>) -> Judged {
        Judged { reports, counted: HOMES, led_for: LONG_AGO, transferred_ago: None }
    }

    fn inputs(&self) -> TransferInputs<'_> {
        TransferInputs {
            counted: self.counted,
            own: self.reports.first(),
            others: self.reports.get(1..).unwrap_or_default(),
            led_for: self.led_for,
            transferred_ago: self.transferred_ago,
        }
    }

    /// The first cause for which the role is transferred, and after which time.
    fn decide_within(&self, time: Duration) -> Option<(TransferCause, Duration)> {
        let (mut judge, started) = (TransferJudge::default(), Instant::now());
        let steps = time.as_millis() / STEP.as_millis();
        (0..=steps as u32).map(|it| STEP * it).find_map(|passed| {
            let verdict = judge.judge(&self.inputs(), started + passed)?;
            Some((verdict.cause, passed))
        })
    }
}

/// Guards against leaving a leader alone with its group's load for longer than the homes need to agree, and against
/// transferring because of a lag of half a second.
#[test]
fn the_measured_group_is_transferred_once_homes_agree_for_half_a_second() {
    let judged = Judged::new(vec![report(LOST_PER_S); HOMES]);
    let decided = judged.decide_within(Duration::from_secs(10));
    assert_eq!(decided, Some((TransferCause::Lagging, Duration::from_millis(500))));
}

/// Guards against transfers that cost callers more than they gain: the loss with the decision is compared with that of
/// a leader that always stays, for lags of different lengths.
#[test_case(0.4, 1.0; "a short lag is no reason")]
#[test_case(1.0, 2.9; "the shortest lag that is acted on costs about a transfer")]
#[test_case(6.0, 0.5; "the lag of the measured day")]
#[test_case(24.0, 0.12; "a lag until the log that stands still is applied")]
fn the_loss_of_callers_is_bounded(lag_s: f64, max_part_of_staying: f64) {
    let lost_by_staying = f64::from(LOST_PER_S) * lag_s;
    let judged = Judged::new(vec![report(LOST_PER_S); HOMES]);
    let lost = match judged.decide_within(Duration::from_secs_f64(lag_s)) {
        None => lost_by_staying,
        Some((_, after)) => {
            f64::from(LOST_PER_S) * after.as_secs_f64() + f64::from(REQUESTS_PER_S) * PAUSE_S
        }
    };
    let part = lost / lost_by_staying;
    assert!(part <= max_part_of_staying, "{part}");
}

/// Guards against a transfer by one home, or by fewer than half of them, such as those of an older build that don't
/// report.
#[test_case(1, 1, false; "the only home")]
#[test_case(1, 2, false; "one of two")]
#[test_case(2, 2, true; "both of two")]
#[test_case(2, 6, false; "a third")]
#[test_case(3, 6, true; "half")]
#[test_case(4, 9, false; "fewer than half")]
fn at_least_half_of_the_homes_must_agree(reporting: usize, counted: usize, expected: bool) {
    let mut judged = Judged::new(vec![report(LOST_PER_S * 2); reporting]);
    judged.counted = counted;
    assert_eq!(judged.decide_within(Duration::from_secs(10)).is_some(), expected);
}

/// Guards against a transfer by a home whose own replicas have caught up, because reports of others are old.
#[test]
fn a_home_acts_only_for_what_it_sees_itself() {
    let mut reports = vec![report(LOST_PER_S); HOMES];
    reports[0].is_lagging = false;
    assert_eq!(Judged::new(reports).decide_within(Duration::from_secs(10)), None);
}

/// Guards against transfers of groups whose callers are served, or whose leader is busy with what only it can do.
#[test_case(report(0); "replicas lag and nobody loses anything")]
#[test_case(report(24); "replicas lag and few lose anything")]
#[test_case(LeaderReport { displaced_per_s: 0, ..report(LOST_PER_S) }; "replicas lag and nobody reads")]
#[test_case(LeaderReport { is_lagging: false, ..report(LOST_PER_S) }; "a busy leader")]
#[test_case(impaired(0); "a slow leader and nobody loses anything")]
fn a_leader_stays(report: LeaderReport) {
    let judged = Judged::new(vec![report; HOMES]);
    assert_eq!(judged.decide_within(Duration::from_secs(20)), None);
}

/// Guards against a leader that is never replaced although it fails half of its callers.
#[test]
fn an_impaired_leader_is_replaced() {
    let decided = Judged::new(vec![impaired(LOST_PER_S); HOMES]).decide_within(LONG_AGO);
    assert_eq!(decided.map(|it| it.0), Some(TransferCause::Impaired));
}

/// Guards against a second transfer within 30 s that only another home knows of, and against a transfer while the
/// consequences of a change of leader are still being worked off.
#[test_case(Some(29), None, 60, false; "transferred as this home knows")]
#[test_case(None, Some(29), 60, false; "transferred as another home knows")]
#[test_case(Some(31), Some(31), 60, true; "transferred long ago")]
#[test_case(None, None, 2, false; "a new leader")]
fn a_change_of_leader_delays_a_transfer(
    own_s: Option<u64>,
    other_s: Option<u32>,
    led_s: u64,
    expected: bool,
) {
    let mut judged = Judged::new(vec![report(LOST_PER_S); HOMES]);
    judged.transferred_ago = own_s.map(Duration::from_secs);
    judged.reports[HOMES - 1].transferred_ms_ago = other_s.map(|it| it * 1000);
    judged.led_for = Duration::from_secs(led_s);
    assert_eq!(judged.decide_within(Duration::from_secs(10)).is_some(), expected);
}

/// Guards against a count of the time in which homes agree that goes on while they don't.
#[test]
fn an_interrupted_agreement_starts_anew() {
    let agreed = Judged::new(vec![report(LOST_PER_S); HOMES]);
    let opposed = Judged::new(Vec::new());
    let (mut judge, started) = (TransferJudge::default(), Instant::now());
    for step in 0..100 {
        let inputs = if step % 5 == 4 { opposed.inputs() } else { agreed.inputs() };
        assert_eq!(judge.judge(&inputs, started + STEP * step), None);
    }
}
