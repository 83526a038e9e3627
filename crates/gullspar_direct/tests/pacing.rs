//! Statement times on a congested target, simulated without a network in steps of one millisecond.

use std::collections::VecDeque;
use std::time::Duration;

use gullspar_direct::{Share, cooldown_after};
use test_case::test_case;

/// Length of a simulated run, in milliseconds.
const SIMULATED_PERIOD: u64 = 20_000;

/// The weight of the newest statement in an instance's running mean is one divided by this number.
const MEAN_PARTS: u64 = 8;

/// A load above the target's capacity: each instance always has another statement waiting.
#[derive(Clone, Copy)]
struct Load {
    slots: u32,
    instances: usize,
    work_ms: u64,
    /// Open transactions; each sends its next statement when the last one is answered, without a permit.
    transactions: usize,
}

/// The result of a simulated run.
struct RunResult {
    /// Mean time of a statement of a transaction.
    transaction_statement_ms: u64,
    statements: u64,
}

struct SentStatement {
    at: u64,
    /// The instance that sent it; `None` for a statement of a transaction.
    by: Option<usize>,
}

fn simulate(load: Load, with_cooldown: bool) -> RunResult {
    let share = Share::of(load.slots, load.instances);
    let usual = Duration::from_millis(load.work_ms);
    let mut means = vec![load.work_ms * 1000; load.instances];
    // When each permit of each instance is free again; `None` while its statement is at the target.
    let mut permits = vec![vec![Some(0); share.permits() as usize]; load.instances];
    let mut queue: VecDeque<SentStatement> =
        (0..load.transactions).map(|_| SentStatement { at: 0, by: None }).collect();
    let mut running: Vec<(u64, SentStatement)> = Vec::new();
    let (mut statements, mut answered, mut total_ms) = (0, 0, 0);
    for now in 0..SIMULATED_PERIOD {
        let (done, rest): (Vec<_>, Vec<_>) = running.into_iter().partition(|it| it.0 <= now);
        running = rest;
        for (_, sent) in done {
            statements += 1;
            let took = now - sent.at;
            let Some(by) = sent.by else {
                answered += 1;
                total_ms += took;
                queue.push_back(SentStatement { at: now, by: None });
                continue;
            };
            means[by] = (means[by] * (MEAN_PARTS - 1) + took * 1000) / MEAN_PARTS;
            let mean = Duration::from_micros(means[by]);
            let cooldown =
                cooldown_after(share, Duration::from_millis(took), Some(mean), Some(usual));
            let cooldown = if with_cooldown { cooldown.as_millis() as u64 } else { 0 };
            if let Some(permit) = permits[by].iter_mut().find(|it| it.is_none()) {
                *permit = Some(now + cooldown);
            }
        }
        for (by, permits) in permits.iter_mut().enumerate() {
            for permit in permits.iter_mut().filter(|it| it.is_some_and(|free_at| free_at <= now)) {
                *permit = None;
                queue.push_back(SentStatement { at: now, by: Some(by) });
            }
        }
        while running.len() < load.slots as usize {
            let Some(sent) = queue.pop_front() else { break };
            running.push((now + load.work_ms, sent));
        }
    }
    RunResult { transaction_statement_ms: total_ms / u64::max(answered, 1), statements }
}

/// Guards against statements of transactions that wait in the queue of a congested target behind those of many
/// instances, and against cooldowns that leave slots idle.
#[test_case(Load { slots: 3, instances: 9, work_ms: 18, transactions: 2 }; "three slots and nine instances")]
#[test_case(Load { slots: 2, instances: 9, work_ms: 14, transactions: 2 }; "two slots and nine instances")]
#[test_case(Load { slots: 3, instances: 24, work_ms: 8, transactions: 1 }; "many instances")]
#[test_case(Load { slots: 1, instances: 5, work_ms: 60, transactions: 1 }; "one slot and long statements")]
fn transactions_wait_less_and_no_slot_idles(load: Load) {
    let before = simulate(load, false);
    let after = simulate(load, true);
    assert!(
        after.transaction_statement_ms * 100 <= before.transaction_statement_ms * 75,
        "{} ms, {} ms without cooldowns",
        after.transaction_statement_ms,
        before.transaction_statement_ms
    );
    assert!(
        after.statements * 100 >= before.statements * 97,
        "{} statements, {} without cooldowns",
        after.statements,
        before.statements
    );
}

/// Guards against cooldowns for a load that the target can handle.
#[test_case(Some(18), Some(18); "as fast as the others")]
#[test_case(Some(30), Some(18); "slower because of its mix of statements")]
#[test_case(None, None; "no statement times yet")]
fn a_target_that_is_not_congested_has_no_cooldown(mean: Option<u64>, usual: Option<u64>) {
    let ms = |it: Option<u64>| it.map(Duration::from_millis);
    let taken = Duration::from_millis(30);
    assert_eq!(cooldown_after(Share::of(3, 9), taken, ms(mean), ms(usual)), Duration::ZERO);
}

/// Guards against cooldowns where each instance may run at least one statement at a time.
#[test]
fn a_share_of_a_statement_or_more_has_no_cooldown() {
    let (slow, fast) = (Some(Duration::from_millis(90)), Some(Duration::from_millis(10)));
    assert_eq!(
        cooldown_after(Share::of(3, 4), Duration::from_millis(90), slow, fast),
        Duration::ZERO
    );
    assert_eq!(Share::of(3, 4).permits(), 2);
    assert_eq!(Share::of(3, 1).permits(), 3);
    assert_eq!(Share::of(3, 100).permits(), 1);
}
