//! Case: an unanswered promotion order is carried out seconds after its primary has come back.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::promotions::Promotions;
use crate::record::Record;
use crate::writes::{self, Writers};

/// How late an unanswered order is carried out. The pages allow 2 to 12 s.
const HOLD_FOR: Duration = Duration::from_millis(2200);

/// How long a primary is dark in a failover with a prompt order. The pages allow 7 s.
const DARK_FOR: Duration = Duration::from_millis(1500);

/// Time without disruption after each round.
const CALM_FOR: Duration = Duration::from_millis(1300);

/// The largest share of orders that is left unanswered, as in the site file.
const MAX_HELD_SHARE: f64 = 0.35;

/// The primary is back this long after the order that is left unanswered.
const BACK_AFTER: Duration = Duration::from_millis(100);

const INSTANCES: usize = 9;

const WORK: Duration = Duration::from_millis(6);

/// When the last round begins.
const LAST_ROUND_AT: Duration = Duration::from_secs(100);

pub fn run(
    program: &Path,
    seed: u64,
    with_trouble: bool,
    record: &Arc<Record>,
) -> Result<bool, String> {
    let deployment = Deployment::start(program, INSTANCES, seed, WORK, HOLD_FOR, record)
        .map_err(|it| it.to_string())?;
    let writers = Writers::start(&deployment, record);
    let rounds: Vec<_> = deployment
        .promotions
        .iter()
        .map(|it| {
            let promotions = Arc::clone(it);
            thread::spawn(move || play_rounds(&promotions, with_trouble))
        })
        .collect();
    rounds.into_iter().for_each(|it| drop(it.join()));
    writes::judge(&deployment, &writers.stop(), record)
}

/// Lets the primary of one group go dark again and again.
fn play_rounds(promotions: &Promotions, with_trouble: bool) {
    let started = Instant::now();
    thread::sleep(Duration::from_secs(4));
    while started.elapsed() < LAST_ROUND_AT {
        if may_hold(promotions) {
            late_round(promotions, with_trouble);
        } else {
            prompt_round(promotions);
        }
    }
}

/// Whether the next order may be left unanswered within [`MAX_HELD_SHARE`].
fn may_hold(promotions: &Promotions) -> bool {
    let orders = promotions.orders.load(Ordering::SeqCst) as f64;
    let held = promotions.late_rounds.load(Ordering::SeqCst) as f64;
    held + 1.0 <= (orders + 1.0) * MAX_HELD_SHARE
}

/// A dark time of the primary in which all orders are answered and carried out at once.
fn prompt_round(promotions: &Promotions) {
    let primary = promotions.group.leader();
    promotions.group.set_dark(primary, true);
    thread::sleep(DARK_FOR);
    promotions.group.set_dark(primary, false);
    thread::sleep(CALM_FOR);
}

/// A short dark time of the primary, in which the order to replace it is left unanswered.
fn late_round(promotions: &Promotions, with_trouble: bool) {
    let primary = promotions.group.leader();
    let orders = promotions.orders.load(Ordering::SeqCst);
    promotions.late_rounds.fetch_add(1, Ordering::SeqCst);
    promotions.hold_next.store(with_trouble, Ordering::SeqCst);
    promotions.group.set_dark(primary, true);
    let deadline = Instant::now() + DARK_FOR;
    while promotions.orders.load(Ordering::SeqCst) == orders && Instant::now() < deadline {
        thread::sleep(Duration::from_millis(1));
    }
    thread::sleep(BACK_AFTER);
    promotions.hold_next.store(false, Ordering::SeqCst);
    promotions.group.set_dark(primary, false);
    thread::sleep(HOLD_FOR + CALM_FOR);
}
