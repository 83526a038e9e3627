//! Callers that write and read in a loop and record the outcomes they receive.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::client::{Client, RequestOutcome};
use crate::history::{History, WriteRecord};

/// Pause before a caller that was refused or disconnected retries.
const RETRY_DELAY: Duration = Duration::from_millis(10);

/// How callers of a workload behave.
#[derive(Clone, Debug)]
pub struct WorkloadSettings {
    /// Caller addresses of the instances, which each caller uses in turn.
    pub addresses: Vec<SocketAddr>,
    pub service: String,
    pub user: String,
    pub callers: usize,
    /// Pause after each write of a caller.
    pub pause: Duration,
    /// Whether each acknowledged write is followed by a read at another instance that must see it.
    pub read_back: bool,
    /// Whether that read carries the writer's session token.
    pub carry_token: bool,
    /// Whether each write carries a request key, so that an instance can retry it.
    pub keyed: bool,
    /// Prefix of all ids; keeps the ids of several workloads on one lab distinct.
    pub prefix: String,
}

/// A workload that runs until it is stopped.
pub struct Workload {
    stop: Arc<AtomicBool>,
    thread: Option<std::thread::JoinHandle<History>>,
}

impl Workload {
    /// Starts the callers on a new thread.
    pub fn start(settings: WorkloadSettings) -> Workload {
        let stop = Arc::new(AtomicBool::new(false));
        let stop_requested = Arc::clone(&stop);
        let thread = std::thread::spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else { return History::default() };
            runtime.block_on(async move {
                let settings = std::rc::Rc::new(settings);
                let callers: Vec<_> = (0..settings.callers)
                    .map(|number| {
                        let caller =
                            run_caller(number, settings.clone(), Arc::clone(&stop_requested));
                        compio::runtime::spawn(caller)
                    })
                    .collect();
                let mut history = History::default();
                for caller in callers {
                    if let Ok(part) = caller.await {
                        history.merge(part);
                    }
                }
                history
            })
        });
        Workload { stop, thread: Some(thread) }
    }

    /// Stops the callers after their current request and returns their history.
    pub fn stop(mut self) -> History {
        self.stop.store(true, Ordering::Relaxed);
        let thread = self.thread.take();
        thread.and_then(|it| it.join().ok()).unwrap_or_default()
    }
}

async fn run_caller(
    number: usize,
    settings: std::rc::Rc<WorkloadSettings>,
    stop: Arc<AtomicBool>,
) -> History {
    let mut history = History::default();
    let mut turn = number;
    let mut client = None;
    let mut sequence = 0;
    while !stop.load(Ordering::Relaxed) {
        let address = settings.addresses[turn % settings.addresses.len()];
        let mut connected = match client.take() {
            Some(connected) => connected,
            None => {
                let connecting = Client::connect(address, &settings.user, &settings.service, None);
                match compio::time::timeout(Duration::from_secs(2), connecting).await {
                    Ok(Ok(connected)) => connected,
                    _ => {
                        turn += 1;
                        compio::time::sleep(RETRY_DELAY).await;
                        continue;
                    }
                }
            }
        };
        sequence += 1;
        let id = format!("{}w{number}-{sequence}", settings.prefix);
        let outcome = write(&mut connected, &id, &settings, &mut history).await;
        if outcome == RequestOutcome::Done && settings.read_back {
            let token = connected.token.clone();
            turn += 1;
            read_back(&id, token, turn, &settings, &mut history).await;
        }
        if outcome == RequestOutcome::Done {
            client = Some(connected);
        } else {
            turn += 1;
            compio::time::sleep(RETRY_DELAY).await;
        }
        if !settings.pause.is_zero() {
            compio::time::sleep(settings.pause).await;
        }
    }
    history
}

async fn write(
    client: &mut Client,
    id: &str,
    settings: &WorkloadSettings,
    history: &mut History,
) -> RequestOutcome {
    let key_comment =
        if settings.keyed { format!("/* gullspar key={id} */ ") } else { String::new() };
    let sql = format!("{key_comment}INSERT INTO ledger VALUES ('{id}')");
    let sent_at = Instant::now();
    // The outcome is unknown if the connection breaks before the answer.
    let outcome = match client.query(&sql).await {
        Ok(answer) => answer.outcome(),
        Err(_) => RequestOutcome::Unknown,
    };
    let record = WriteRecord { id: id.to_owned(), outcome, sent_at, answered_at: Instant::now() };
    history.writes.push(record);
    outcome
}

async fn read_back(
    id: &str,
    token: Option<String>,
    turn: usize,
    settings: &WorkloadSettings,
    history: &mut History,
) {
    let address = settings.addresses[turn % settings.addresses.len()];
    let token = token.filter(|_| settings.carry_token);
    let connecting = Client::connect(address, &settings.user, &settings.service, token.as_deref());
    let Ok(Ok(mut other)) = compio::time::timeout(Duration::from_secs(2), connecting).await else {
        return;
    };
    let sql = format!("SELECT id FROM ledger WHERE id = '{id}'");
    let Ok(answer) = other.query(&sql).await else { return };
    if answer.outcome() == RequestOutcome::Done {
        history.reads += 1;
        if answer.rows.is_empty() {
            history.stale.push(id.to_owned());
        }
    }
}
