//! Case: the settings file changes twice in quick succession, and each change is announced with SIGHUP.

use std::collections::BTreeMap;
use std::os::unix::process::ExitStatusExt;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::{Answer, Session};
use crate::deployment::{self, Deployment, GROUPS};
use crate::instance::HANG_UP;
use crate::record::Record;

const CALLERS: usize = 12;
const INSTANCES: usize = 3;
const WORK: Duration = Duration::from_millis(18);

/// Time between two rounds. A round changes the settings of one instance twice.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
const RUN_FOR: Duration = Duration::from_secs(60);

/// A process that ended is started again after this time.
const RESTART_DELAY: Duration = Duration::from_millis(600);

pub fn run(
    program: &Path,
    seed: u64,
    with_trouble: bool,
    record: &Arc<Record>,
) -> Result<bool, String> {
    let mut deployment = Deployment::start(program, INSTANCES, seed, WORK, Duration::ZERO, record)
        .map_err(|it| it.to_string())?;
    let stopped = Arc::new(AtomicBool::new(false));
    // Ids of requests whose connection ended without an answer.
    let cut: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicU64::new(0));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let address = deployment.instances[number / GROUPS % INSTANCES].caller_address.clone();
            let (cut, stopped, served) =
                (Arc::clone(&cut), Arc::clone(&stopped), Arc::clone(&served));
            let record = Arc::clone(record);
            thread::spawn(move || {
                request_until_stopped(number, &address, &cut, &stopped, &served, &record)
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    let deadline = Instant::now() + RUN_FOR;
    let mut ends: BTreeMap<usize, Vec<Instant>> = BTreeMap::new();
    let mut change = 0;
    while Instant::now() < deadline {
        for at in 0..deployment.instances.len() {
            let instance = &mut deployment.instances[at];
            for _ in 0..if with_trouble { 2 } else { 1 } {
                change += 1;
                instance.change_settings(change).map_err(|it| it.to_string())?;
                instance.signal(HANG_UP);
            }
            thread::sleep(ROUND_INTERVAL);
            if let Some(status) = instance.ended() {
                ends.entry(at).or_default().push(Instant::now());
                record.report(&format!(
                    "instance {at} ended by itself after change {change}: signal {:?}, code {:?}",
                    status.signal(),
                    status.code()
                ));
                thread::sleep(RESTART_DELAY);
                instance.start().map_err(|it| it.to_string())?;
                thread::sleep(Duration::from_secs(4));
            }
        }
        if ends.values().filter(|it| it.len() >= 3).count() >= 2 {
            break;
        }
    }
    stopped.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|it| drop(it.join()));
    let cut = cut.lock().unwrap();
    let has_reached = |id: &str| deployment.promotions.iter().any(|it| it.group.has_reached(id));
    let lost: Vec<&String> = cut.iter().filter(|it| has_reached(it)).collect();
    record.report(&format!(
        "{change} changes of settings, {} requests answered, {} requests cut off, of these {} were passed on to a member: {lost:?}",
        served.load(Ordering::SeqCst),
        cut.len(),
        lost.len()
    ));
    let often = ends.values().filter(|it| it.len() >= 3).count();
    let instances = deployment.instances.len();
    record.report(&format!("{often} instances of {instances} ended by themselves three times"));
    Ok(lost.is_empty() && often < 2)
}

fn request_until_stopped(
    number: usize,
    address: &str,
    cut: &Mutex<Vec<String>>,
    stopped: &AtomicBool,
    served: &AtomicU64,
    record: &Record,
) {
    let mut count = 0;
    while !stopped.load(Ordering::SeqCst) {
        let Ok(mut session) = Session::open(address, &deployment::database(number % GROUPS)) else {
            thread::sleep(Duration::from_millis(50));
            continue;
        };
        while !stopped.load(Ordering::SeqCst) {
            count += 1;
            let id = format!("c{number:02}{count:06}");
            record.line(&format!("caller {number} sends {id}"));
            let answer = session.query(&id, &format!("READ {number}"));
            record.line(&format!("caller {number} gets {id}: {answer:?}"));
            match answer {
                Ok(Answer::Success) => {
                    served.fetch_add(1, Ordering::SeqCst);
                }
                Ok(Answer::Failure(_)) => thread::sleep(Duration::from_millis(20)),
                Err(_) => {
                    cut.lock().unwrap().push(id);
                    break;
                }
            }
        }
    }
}
