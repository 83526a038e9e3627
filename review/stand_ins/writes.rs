//! Callers that write, and the check that no acknowledged commit is lost.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::caller::{Answer, Session};
use crate::deployment::{self, Deployment, GROUPS};
use crate::promotions::Promotions;
use crate::record::Record;

const CALLERS: usize = 18 * GROUPS;

/// Callers that write until they are stopped.
pub struct Writers {
    /// Ids of the writes that were acknowledged.
    acknowledged: Arc<Mutex<BTreeSet<String>>>,
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Writers {
    pub fn start(deployment: &Deployment, record: &Arc<Record>) -> Writers {
        let acknowledged: Arc<Mutex<BTreeSet<String>>> = Arc::default();
        let stopped = Arc::new(AtomicBool::new(false));
        let threads = (0..CALLERS).map(|number| {
            let instance = &deployment.instances[number / GROUPS % deployment.instances.len()];
            let address = instance.caller_address.clone();
            let (acknowledged, stopped) = (Arc::clone(&acknowledged), Arc::clone(&stopped));
            let record = Arc::clone(record);
            thread::spawn(move || {
                write_until_stopped(number, &address, &acknowledged, &stopped, &record);
            })
        });
        let threads = threads.collect();
        Writers { acknowledged, stopped, threads }
    }

    /// Stops the callers; returns the ids of the writes that were acknowledged.
    pub fn stop(self) -> BTreeSet<String> {
        self.stopped.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|it| drop(it.join()));
        self.acknowledged.lock().unwrap().clone()
    }
}

fn write_until_stopped(
    number: usize,
    address: &str,
    acknowledged: &Mutex<BTreeSet<String>>,
    stopped: &AtomicBool,
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
            let answer = session.query(&id, &format!("WRITE {number} v{count}"));
            record.line(&format!("caller {number} gets {id}: {answer:?}"));
            match answer {
                Ok(Answer::Success) => {
                    acknowledged.lock().unwrap().insert(id);
                }
                Ok(Answer::Failure(_)) => thread::sleep(Duration::from_millis(20)),
                Err(_) => break,
            }
        }
    }
}

/// Whether every commit that was acknowledged to a caller is in the log of each member that was promoted.
///
/// # Errors
///
/// Fails if there is nothing to judge.
pub fn judge(
    deployment: &Deployment,
    acknowledged: &BTreeSet<String>,
    record: &Record,
) -> Result<bool, String> {
    record.report(&format!("{} writes acknowledged", acknowledged.len()));
    let is_played = |it: &Arc<Promotions>| !it.done.lock().unwrap().is_empty();
    if acknowledged.is_empty() || !deployment.promotions.iter().all(is_played) {
        return Err("there was no write or no promotion".to_owned());
    }
    let mut held = true;
    for promotions in &deployment.promotions {
        held &= judge_group(promotions, acknowledged, record);
    }
    Ok(held)
}

fn judge_group(promotions: &Promotions, acknowledged: &BTreeSet<String>, record: &Record) -> bool {
    let load = |it: &AtomicU64| it.load(Ordering::SeqCst);
    record.report(&format!(
        "{}: {} orders, {} of them left unanswered, {} carried out late",
        promotions.group.name,
        load(&promotions.orders),
        load(&promotions.held),
        load(&promotions.late_done)
    ));
    let mut held = true;
    let mut counts = [0; 2];
    for (promotion, is_late) in promotions.done.lock().unwrap().iter() {
        counts[usize::from(*is_late)] += 1;
        let lost: Vec<&String> =
            promotion.undone.iter().filter(|it| acknowledged.contains(*it)).collect();
        if !lost.is_empty() {
            held = false;
            let kind = if *is_late { "a late" } else { "a prompt" };
            record.report(&format!(
                "  {kind} order promoted {}, whose log lacks {} acknowledged commits: {lost:?}",
                promotions.group.member_id(promotion.member),
                lost.len()
            ));
        }
    }
    record.report(&format!("  {} prompt and {} late promotions took effect", counts[0], counts[1]));
    held
}
