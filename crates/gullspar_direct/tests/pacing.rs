//! What callers get from a crowded target, played without a network, millisecond by millisecond.

use std::collections::VecDeque;
use std::time::Duration;

use gullspar_direct::{Share, cooldown_after};
use test_case::test_case;

/// How long a run is, in milliseconds.
const LENGTH: u64 = 20_000;

/// Weight of the newest statement in the mean that an instance learns, as one part in this many.
const MEAN_WEIGHT: u64 = 8;

/// A load that is more than the target can do: each instance always has another statement that waits.
#[derive(Clone, Copy)]
struct Load {
    slots: u32,
    instances: usize,
    work_ms: u64,
    /// Transactions that are open, each sending the next statement once the last is answered, past the queue.
    transactions: usize,
}

/// What came of it.
struct Served {
    /// Mean time of a statement of a transaction.
    transaction_ms: u64,
    statements: u64,
}

struct Sent {
    at: u64,
    /// The instance that sent it, or `None` for one of a transaction.
    by: Option<usize>,
}

fn play(load: Load, resting: bool) -> Served {
    let share = Share::of(load.slots, load.instances);
    let usual = Duration::from_millis(load.work_ms);
    let mut means = vec![load.work_ms * 1000; load.instances];
    // When each place of each instance is free again; `None` while its statement is at the target.
    let mut places = vec![vec![Some(0); share.permits() as usize]; load.instances];
    let mut queue: VecDeque<Sent> =
        (0..load.transactions).map(|_| Sent { at: 0, by: None }).collect();
    let mut running: Vec<(u64, Sent)> = Vec::new();
    let (mut statements, mut answered, mut waited) = (0, 0, 0);
    for now in 0..LENGTH {
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|it| it.0 <= now);
        running = rest;
        for (_, sent) in done {
            statements += 1;
            let took = now - sent.at;
            let Some(by) = sent.by else {
                answered += 1;
                waited += took;
                queue.push_back(Sent { at: now, by: None });
                continue;
            };
            means[by] = (means[by] * (MEAN_WEIGHT - 1) + took * 1000) / MEAN_WEIGHT;
            let mean = Duration::from_micros(means[by]);
            let pause = cooldown_after(share, Duration::from_millis(took), Some(mean), Some(usual));
            let pause = if resting { pause.as_millis() as u64 } else { 0 };
            if let Some(place) = places[by].iter_mut().find(|it| it.is_none()) {
                *place = Some(now + pause);
            }
        }
        for (by, places) in places.iter_mut().enumerate() {
            for place in places.iter_mut().filter(|it| it.is_some_and(|free_at| free_at <= now)) {
                *place = None;
                queue.push_back(Sent { at: now, by: Some(by) });
            }
        }
        while running.len() < load.slots as usize {
            let Some(sent) = queue.pop_front() else { break };
            running.push((now + load.work_ms, sent));
        }
    }
    Served { transaction_ms: waited / u64::max(answered, 1), statements }
}

/// Symptom: while one group's replicas lag, each statement of a transaction on its leader takes 54 ms in place of 18,
/// and its callers are late.
/// Events: every instance has callers waiting and sends one statement at a time.
/// Cause: nine statements before three slots wait in the target, where those of a transaction wait with them.
#[test_case(Load { slots: 3, instances: 9, work_ms: 18, transactions: 2 }; "three slots and nine instances")]
#[test_case(Load { slots: 2, instances: 9, work_ms: 14, transactions: 2 }; "two slots and nine instances")]
#[test_case(Load { slots: 3, instances: 24, work_ms: 8, transactions: 1 }; "more instances than any deployment known")]
#[test_case(Load { slots: 1, instances: 5, work_ms: 60, transactions: 1 }; "one slot and long statements")]
fn transactions_wait_less_and_no_slot_idles(load: Load) {
    let before = play(load, false);
    let after = play(load, true);
    assert!(
        after.transaction_ms * 100 <= before.transaction_ms * 75,
        "{} ms, {} ms without rests",
        after.transaction_ms,
        before.transaction_ms
    );
    assert!(
        after.statements * 100 >= before.statements * 97,
        "{} statements, {} without rests",
        after.statements,
        before.statements
    );
}

/// A load that the target can take is never held up, however many instances there are.
#[test_case(Some(18), Some(18); "as fast as the others")]
#[test_case(Some(30), Some(18); "slower by its kind of statements")]
#[test_case(None, None; "nothing learnt yet")]
fn a_target_that_is_not_crowded_gets_no_rest(mean: Option<u64>, usual: Option<u64>) {
    let ms = |it: Option<u64>| it.map(Duration::from_millis);
    let taken = Duration::from_millis(30);
    assert_eq!(cooldown_after(Share::of(3, 9), taken, ms(mean), ms(usual)), Duration::ZERO);
}

/// With a place or more for each instance there is nothing to share out.
#[test]
fn a_whole_place_never_rests() {
    let (slow, fast) = (Some(Duration::from_millis(90)), Some(Duration::from_millis(10)));
    assert_eq!(
        cooldown_after(Share::of(3, 4), Duration::from_millis(90), slow, fast),
        Duration::ZERO
    );
    assert_eq!(Share::of(3, 4).permits(), 2);
    assert_eq!(Share::of(3, 1).permits(), 3);
    assert_eq!(Share::of(3, 100).permits(), 1);
}
