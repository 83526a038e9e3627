//! Case: the primary goes dark while one replica drains and another one receives nothing.

use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::deployment::Deployment;
use crate::promotions::Promotions;
use crate::record::Record;
use crate::writes::{self, Writers};

/// The new member starts this long before the old one drains.
const NEW_MEMBER_FIRST: Duration = Duration::from_secs(1);

/// Another replica receives nothing from this long after the announcement on, for this long, as in the site file.
const DEAF_AFTER: Duration = Duration::from_millis(300);
const DEAF_FOR: Duration = Duration::from_secs(6);

/// Meanwhile the primary goes dark this often, each time after a pause. The pages allow 7 s.
const DARK_TIMES: u32 = 2;
const DARK_AFTER: Duration = Duration::from_millis(1200);
const DARK_FOR: Duration = Duration::from_millis(1500);

/// How long a member serves after the announcement: `drainMs` and a little longer.
const DRAIN_FOR: Duration = Duration::from_millis(7300);

/// Time without disruption after each round.
const CALM_FOR: Duration = Duration::from_millis(1000);

const INSTANCES: usize = 3;

const WORK: Duration = Duration::from_millis(6);

/// When the last round begins.
const LAST_ROUND_AT: Duration = Duration::from_secs(96);

pub fn run(
    program: &Path,
    seed: u64,
    with_trouble: bool,
    record: &Arc<Record>,
) -> Result<bool, String> {
    let deployment = Deployment::start(program, INSTANCES, seed, WORK, Duration::ZERO, record)
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

/// Replaces a replica of the group again and again. Meanwhile another one is deaf for a while, and the primary goes
/// dark.
fn play_rounds(promotions: &Promotions, with_trouble: bool) {
    let group = &promotions.group;
    let started = Instant::now();
    thread::sleep(Duration::from_secs(4));
    while started.elapsed() < LAST_ROUND_AT {
        let replicas = group.replicas();
        let [old, deaf, ..] = replicas.as_slice() else { return };
        if with_trouble {
            group.add_member();
        }
        thread::sleep(NEW_MEMBER_FIRST);
        if with_trouble {
            group.drain(*old);
        }
        thread::sleep(DEAF_AFTER);
        group.set_deaf(*deaf, true);
        for _ in 0..DARK_TIMES {
            thread::sleep(DARK_AFTER);
            let primary = group.leader();
            group.set_dark(primary, true);
            thread::sleep(DARK_FOR);
            group.set_dark(primary, false);
        }
        thread::sleep(DEAF_FOR - (DARK_AFTER + DARK_FOR) * DARK_TIMES);
        group.set_deaf(*deaf, false);
        thread::sleep(DRAIN_FOR - DEAF_AFTER - DEAF_FOR);
        if with_trouble {
            group.remove_member(*old);
        }
        thread::sleep(CALM_FOR);
    }
}
