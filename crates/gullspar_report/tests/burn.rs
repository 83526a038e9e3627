//! Burn rates, urgencies and the rendered reports.

use gullspar_border::{BurnSeries, MinuteCount, TargetFailureCount};
use gullspar_report::{BurnReport, Urgency, html, text};
use test_case::test_case;

fn series(class: &str, minutes: Vec<MinuteCount>) -> BurnSeries {
    BurnSeries {
        service: "tours".to_owned(),
        class: class.to_owned(),
        objective_ppm: 999_000,
        minutes,
        blames: vec![TargetFailureCount {
            target: "core/m1".to_owned(),
            reason: "the service is overloaded".to_owned(),
            count: 7,
        }],
    }
}

fn minute(good: u32, not_run: u32) -> MinuteCount {
    MinuteCount { good, not_run, ..MinuteCount::default() }
}

/// Guards against a wrong urgency: a threshold must be exceeded in both of its windows.
#[test_case(vec![minute(999, 1); 360], Urgency::None; "just within the objective")]
#[test_case(vec![minute(980, 20); 60], Urgency::Page; "twenty times the rate for an hour")]
#[test_case(vec![minute(992, 8); 360], Urgency::Ticket; "eight times the rate for six hours")]
#[test_case([vec![minute(1000, 0); 5], vec![minute(980, 20); 55]].concat(), Urgency::Ticket; "over for five minutes")]
#[test_case(Vec::new(), Urgency::None; "no requests")]
fn urgency_requires_a_short_and_a_long_window(minutes: Vec<MinuteCount>, expected: Urgency) {
    let report = BurnReport::new(&[series("strict", minutes)]);
    assert_eq!(report.rows[0].urgency, expected);
}

#[test]
fn the_most_urgent_row_comes_first_with_its_failures() {
    let report = BurnReport::new(&[
        series("tolerant", vec![minute(1000, 0); 10]),
        series("strict", vec![minute(900, 100); 10]),
    ]);
    insta::assert_snapshot!(text(&report), @r"
    service      class        objective    5 min   30 min      1 h      6 h  urgency
    tours        strict          99.90%   100.00   100.00   100.00   100.00  page
              7 at core/m1: the service is overloaded
    tours        tolerant        99.90%     0.00     0.00     0.00     0.00  -
              7 at core/m1: the service is overloaded
    ");
}

/// Guards against pages that load anything over the network, and against unescaped names.
#[test]
fn the_page_is_self_contained() {
    let report = BurnReport::new(&[series("<b>", vec![minute(900, 100); 10])]);
    let page = html(&report).unwrap();
    assert!(page.contains("<svg") && page.contains("&lt;b&gt;"));
    let without_namespace = page.replace("http://www.w3.org/2000/svg", "");
    assert!(!without_namespace.contains("http") && !without_namespace.contains("<script"));
}

#[test]
fn series_of_instances_are_added_minute_by_minute() {
    let mut sum = series("strict", vec![minute(1, 1)]);
    sum.add(&series("strict", vec![minute(2, 0), minute(3, 4)]));
    assert_eq!(sum.minutes, [minute(3, 1), minute(3, 4)]);
    assert_eq!(sum.blames[0].count, 14);
}
