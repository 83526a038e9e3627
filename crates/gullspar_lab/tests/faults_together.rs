//! Random combinations of all faults, generated from a seed.
//!
//! `SEED=7 cargo test -p gullspar_lab --test faults_together` reproduces the run of a seed.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

mod support;

use std::time::Duration;

use gullspar_lab::{FaultChange, RequestOutcome, TargetFault, Workload, WorkloadSettings};
use support::{LabUnderTest, assert_consistent, run, writers};
use test_case::test_case;

/// Number of fault changes in one run.
const FAULT_CHANGES: u32 = 14;

const TARGETS: [&str; 3] = ["core/m1", "core/m2", "core/m3"];
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];

/// An xorshift generator, which gives the same numbers on every machine.
struct Random(u64);

impl Random {
    fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % limit as u64) as usize
    }
}

/// Under any combination of faults, no write may be lost, duplicated or applied although refused, and no
/// read may miss its caller's own write.
#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
fn random_faults_violate_no_guarantee(seed: u64) {
    let seed = std::env::var("SEED").ok().and_then(|it| it.parse().ok()).unwrap_or(seed);
    println!("seed {seed}");
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut lab = LabUnderTest::small();
    let unkeyed =
        Workload::start(WorkloadSettings { read_back: true, carry_token: true, ..writers(&lab) });
    let keyed = Workload::start(WorkloadSettings {
        keyed: true,
        prefix: "k".to_owned(),
        callers: 3,
        ..writers(&lab)
    });
    for _ in 0..FAULT_CHANGES {
        inject_random_fault(&mut lab, &mut random);
        std::thread::sleep(Duration::from_millis(150 + random.below(700) as u64));
    }
    clear_faults(&mut lab);
    lab.wait_for("group that takes writes", || {
        run(async {
            let mut client = lab.connect(0, "strict").await;
            let written = client.query("INSERT INTO ledger VALUES ('probe')").await;
            written.is_ok_and(|it| it.outcome() == RequestOutcome::Done)
        })
    });
    std::thread::sleep(Duration::from_millis(500));
    let mut history = unkeyed.stop();
    history.merge(keyed.stop());
    assert_consistent(&lab, &history);
}

fn inject_random_fault(lab: &mut LabUnderTest, random: &mut Random) {
    let target = TARGETS[random.below(3)].to_owned();
    let data_centre = DATA_CENTRES[random.below(3)];
    let instance = random.below(lab.lab.instances.len());
    let change = match random.below(14) {
        0 => FaultChange::Target { target, fault: TargetFault::Stopped },
        1 => FaultChange::Target { target, fault: TargetFault::Hung },
        2 => FaultChange::Target { target, fault: TargetFault::Slow(80) },
        3..=5 => FaultChange::Target { target, fault: TargetFault::None },
        6 => FaultChange::Isolate { data_centre: data_centre.into(), cut: true },
        7 => FaultChange::Isolate { data_centre: data_centre.into(), cut: false },
        8 => FaultChange::PlatformOut { out: random.below(2) == 0 },
        9 => FaultChange::PlatformLosesAnswers { count: 2 },
        10 => FaultChange::ReplicationLag { lag_ms: [1, 60, 250][random.below(3)] },
        11 => {
            lab.lab.instances[instance].restart();
            return;
        }
        12 => {
            lab.lab.instances[instance].pause(Duration::from_millis(900));
            return;
        }
        _ => FaultChange::Cut {
            between: DATA_CENTRES[random.below(3)].into(),
            and: data_centre.into(),
            cut: random.below(2) == 0,
        },
    };
    lab.lab.faults.apply(change);
}

fn clear_faults(lab: &mut LabUnderTest) {
    lab.lab.faults.apply(FaultChange::PlatformOut { out: false });
    lab.lab.faults.apply(FaultChange::PlatformLosesAnswers { count: 0 });
    lab.lab.faults.apply(FaultChange::ReplicationLag { lag_ms: 5 });
    for target in TARGETS {
        let target = target.to_owned();
        lab.lab.faults.apply(FaultChange::Target { target, fault: TargetFault::None });
    }
    for (index, name) in DATA_CENTRES.iter().enumerate() {
        let data_centre = (*name).into();
        lab.lab.faults.apply(FaultChange::Isolate { data_centre, cut: false });
        let (between, and) = ((*name).into(), DATA_CENTRES[(index + 1) % 3].into());
        lab.lab.faults.apply(FaultChange::Cut { between, and, cut: false });
    }
}
