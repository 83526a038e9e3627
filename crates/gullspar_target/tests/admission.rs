//! What callers get when more comes than a target can do.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::Clock;
use gullspar_net::SystemClock;
use gullspar_target::Admission;

const CAPACITY: u32 = 2;
const WORK: Duration = Duration::from_millis(10);
const OBJECTIVE: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(1000);

/// Between two arrivals: 1.4 times what the target can do.
const ARRIVAL: Duration = Duration::from_micros(3571);

const REQUESTS: u32 = 560;

/// Plays the load; gives the share of requests that were answered within their objective.
fn in_time(by_objective: bool) -> f64 {
    let met = Rc::new(Cell::new(0));
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let admission = Admission::new(Rc::clone(&clock), CAPACITY);
        let began = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..REQUESTS {
            compio::time::sleep_until(began + ARRIVAL * number).await;
            let (admission, met) = (Rc::clone(&admission), Rc::clone(&met));
            tasks.push(compio::runtime::spawn(async move {
                let arrived = Instant::now();
                let deadline = arrived + DEADLINE;
                let objective = if by_objective { arrived + OBJECTIVE } else { deadline };
                let Ok(permit) = admission.acquire_by(1, objective, deadline).await else { return };
                compio::time::sleep(WORK).await;
                drop(permit);
                if arrived.elapsed() <= OBJECTIVE {
                    met.set(met.get() + 1);
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
    });
    f64::from(met.get()) / f64::from(REQUESTS)
}

/// Symptom: while a group's replicas lag, not one of its callers is answered in time.
/// Events: all reads go to the leader, 1.4 times what it can do; the queue grows to the deadline.
/// Cause: the order of arrival serves each request when its objective has just passed.
///
/// Measured here: 0.1 to 0.3 of the requests in time in the order of arrival, 0.6 to 0.7 by objective; the
/// target can do 0.71.
#[test]
fn most_requests_stay_in_time_when_a_target_is_overloaded() {
    let by_arrival = in_time(false);
    let by_objective = in_time(true);
    assert!(by_objective > 0.5, "{by_objective} in time");
    assert!(by_objective > 1.5 * by_arrival, "{by_objective} against {by_arrival}");
}

/// A request that can't be served in time is refused on arrival, not at its deadline.
#[test]
fn a_hopeless_request_is_refused_on_arrival() {
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let admission = Admission::new(clock, 1);
        for _ in 0..3 {
            let deadline = Instant::now() + DEADLINE;
            let permit = admission.acquire(1, deadline).await.unwrap();
            compio::time::sleep(Duration::from_millis(60)).await;
            drop(permit);
        }
        let _held = admission.acquire(1, Instant::now() + DEADLINE).await.unwrap();
        let asked = Instant::now();
        let refused = admission.acquire(1, asked + Duration::from_millis(100)).await;
        assert!(refused.is_err());
        assert!(asked.elapsed() < Duration::from_millis(20), "took {:?}", asked.elapsed());
    });
}
