//! Retries stay a tenth of the load, whatever fails.

use gullspar_caller::RetryBudget;

/// Symptom: the load doubles when everything fails.
/// Events: a thousand fresh requests, each of which would be tried again as often as it may.
#[test]
fn under_total_failure_retries_are_a_tenth_of_the_load() {
    let budget = RetryBudget::default();
    // What was saved up in quiet times is spent first.
    while budget.draw() {}
    let mut retries = 0;
    for _ in 0..1000 {
        budget.fill();
        while budget.draw() {
            retries += 1;
        }
    }
    assert_eq!(retries, 100);
}
