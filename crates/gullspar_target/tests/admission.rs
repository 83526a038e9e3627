//! Admission under overload.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gullspar_border::Clock;
use gullspar_net::SystemClock;
use gullspar_target::Admission;

const CAPACITY: u32 = 2;
const SERVICE_TIME: Duration = Duration::from_millis(10);
const OBJECTIVE: Duration = Duration::from_millis(100);
const DEADLINE: Duration = Duration::from_millis(1000);

/// Time between two arrivals; they come at 1.4 times the rate that the capacity can serve.
const ARRIVAL_INTERVAL: Duration = Duration::from_micros(3571);

const REQUESTS: u32 = 560;

/// Runs the load; returns the share of requests that were answered within their objective.
fn share_in_time(by_objective: bool) -> f64 {
    let answered_in_time = Rc::new(Cell::new(0));
    let runtime = compio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let clock: Rc<dyn Clock> = Rc::new(SystemClock);
        let admission = Admission::new(Rc::clone(&clock), CAPACITY);
        let began = Instant::now();
        let mut tasks = Vec::new();
        for number in 0..REQUESTS {
            compio::time::sleep_until(began + ARRIVAL_INTERVAL * number).await;
            let (admission, answered_in_time) =
                (Rc::clone(&admission), Rc::clone(&answered_in_time));
            tasks.push(compio::runtime::spawn(async move {
                let arrived = Instant::now();
                let deadline = arrived + DEADLINE;
                let objective = if by_objective { arrived + OBJECTIVE } else { deadline };
                let Ok(permit) = admission.acquire_by(1, objective, deadline).await else { return };
                compio::time::sleep(SERVICE_TIME).await;
                drop(permit);
                if arrived.elapsed() <= OBJECTIVE {
                    answered_in_time.set(answered_in_time.get() + 1);
                }
            }));
        }
        for task in tasks {
            let _ = task.await;
        }
    });
    f64::from(answered_in_time.get()) / f64::from(REQUESTS)
}

/// Guards against all callers of an overloaded target being answered late, because the order of
/// arrival serves each request just after its objective.
#[test]
fn most_requests_stay_in_time_when_a_target_is_overloaded() {
    let by_arrival = share_in_time(false);
    let by_objective = share_in_time(true);
    assert!(by_objective > 0.5, "{by_objective} in time");
    assert!(by_objective > 1.5 * by_arrival, "{by_objective} against {by_arrival}");
}

/// Guards against keeping a request in the queue that can't be served before its deadline.
#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_on_arrival() {
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
