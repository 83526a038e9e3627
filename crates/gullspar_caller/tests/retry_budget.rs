//! Guards against retries that multiply the load during a failure.

use gullspar_caller::RetryBudget;

/// Guards against a load that doubles when all requests fail and each is retried.
#[test]
fn retries_are_a_tenth_of_the_load_when_all_requests_fail() {
    let budget = RetryBudget::default();
    // Consumes the saved retries first.
    while budget.try_consume() {}
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_request();
        while budget.try_consume() {
            retries += 1;
        }
    }
    assert_eq!(retries, 100);
}
