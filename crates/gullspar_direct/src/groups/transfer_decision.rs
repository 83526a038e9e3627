//! Decides whether the leader role of a group is transferred although its leader answers.
//!
//! It handles two kinds of load: a leader that has the work of all members because the replicas can't serve reads, and
//! a leader that itself is slow or fails. See `docs/design/leader-transfer.md`.

use std::time::{Duration, Instant};

use crate::LeaderReport;

/// How long a transfer interrupts a group's writes: a promotion takes some 600 ms, and another 300 ms pass until all homes
/// use the new leader.
const TRANSFER_PAUSE: Duration = Duration::from_millis(900);

/// No group is transferred again within this time of a transfer, so that transfers cost at most 3% of its service.
const MIN_TRANSFER_INTERVAL: Duration = Duration::from_secs(30);

/// How long a leader must have led. After a change, connections are opened and queues are worked off.
const MIN_LED_PERIOD: Duration = Duration::from_secs(3);

/// How long the homes must agree before a transfer; tolerates the delay of reports and short bursts.
const MIN_AGREED_PERIOD: Duration = Duration::from_millis(500);

/// Such a state is expected to last for the time that it has lasted, and this much longer: one commit that is applied late
/// holds back all later ones.
const EXPECTED_REST: Duration = Duration::from_secs(4);

/// Upper limit of the expected rest.
const MAX_EXPECTED_REST: Duration = Duration::from_secs(10);

/// What callers lose if the leader stays must be this multiple of what the transfer costs.
const MIN_LOSS_RATIO: f64 = 2.0;

/// Minimum number of lost requests per second; a few single failures are no reason.
const MIN_LOST_PER_S: f64 = 2.0;

/// Minimum number of homes that must report the same cause: one home's view is not enough.
const MIN_SUPPORTERS: usize = 2;

/// Why the leader role is transferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferCause {
    /// The replicas apply commits too late to serve reads.
    Lagging,
    /// The leader is far slower than usual, or refuses or fails what it is sent.
    Impaired,
}

/// What is known about a group when the decision is made.
#[derive(Clone, Debug)]
pub struct TransferInputs<'a> {
    /// Number of homes that count for the group, including this instance.
    pub counted: usize,
    /// This instance's own report. It acts only for a cause that it sees itself.
    pub own: Option<&'a LeaderReport>,
    /// The valid reports of other homes about the current leader.
    pub others: &'a [LeaderReport],
    /// How long the current leader has led, as seen by this instance; at most the instance's age.
    pub led_for: Duration,
    /// How long ago this instance knows the last transfer to have been ordered.
    pub transferred_ago: Option<Duration>,
}

impl<'a> TransferInputs<'a> {
    /// All valid reports.
    fn reports(&self) -> impl Iterator<Item = &'a LeaderReport> {
        self.own.into_iter().chain(self.others)
    }
}

/// A transfer that is worth its cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransferVerdict {
    pub cause: TransferCause,
    /// Requests that callers are expected to lose if the leader stays.
    pub loss_of_staying: f64,
    /// Requests that the transfer is expected to cost.
    pub loss_of_transfer: f64,
    pub supporters: usize,
}

/// Decides on transfers of one group, and remembers since when homes have agreed.
#[derive(Debug, Default)]
pub struct TransferJudge {
    lagging_since: Option<Instant>,
    impaired_since: Option<Instant>,
}

impl TransferJudge {
    /// Whether the leader role is to be transferred at `now`; `None` if the leader stays.
    pub fn judge(&mut self, inputs: &TransferInputs<'_>, now: Instant) -> Option<TransferVerdict> {
        let lagging = agreed_since(&mut self.lagging_since, inputs, now, |it| it.is_lagging);
        let impaired = agreed_since(&mut self.impaired_since, inputs, now, |it| it.is_impaired);
        if inputs.led_for < MIN_LED_PERIOD || is_transferred_recently(inputs) {
            return None;
        }
        let lagging = lagging.and_then(|since| {
            verdict(TransferCause::Lagging, inputs, now.saturating_duration_since(since))
        });
        lagging.or_else(|| {
            let agreed_for = now.saturating_duration_since(impaired?);
            verdict(TransferCause::Impaired, inputs, agreed_for)
        })
    }
}

/// Since when enough homes have reported a cause; `None` if they don't.
fn agreed_since(
    since: &mut Option<Instant>,
    inputs: &TransferInputs<'_>,
    now: Instant,
    supports: impl Fn(&LeaderReport) -> bool,
) -> Option<Instant> {
    let supporters = inputs.reports().filter(|it| supports(it)).count();
    let is_agreed = inputs.own.is_some_and(&supports)
        && supporters >= MIN_SUPPORTERS
        && 2 * supporters >= inputs.counted;
    *since = is_agreed.then(|| since.unwrap_or(now));
    *since
}

fn is_transferred_recently(inputs: &TransferInputs<'_>) -> bool {
    let reported = inputs.reports().filter_map(|it| it.transferred_ms_ago);
    let reported = reported.map(|it| Duration::from_millis(u64::from(it)));
    reported.chain(inputs.transferred_ago).any(|it| it < MIN_TRANSFER_INTERVAL)
}

fn verdict(
    cause: TransferCause,
    inputs: &TransferInputs<'_>,
    agreed_for: Duration,
) -> Option<TransferVerdict> {
    let sum = |field: fn(&LeaderReport) -> u32| -> f64 {
        inputs.reports().map(|it| f64::from(field(it))).sum()
    };
    // Homes that lose nothing don't report; they are taken to have as many requests as the others.
    let reporting = inputs.reports().count();
    let all_homes = inputs.counted.max(reporting) as f64 / reporting as f64;
    let requests_per_s = sum(|it| it.requests_per_s) * all_homes;
    let lost_per_s = sum(|it| it.lost_per_s);
    let (relief_per_s, supporters) = match cause {
        TransferCause::Lagging => (
            lost_per_s.min(sum(|it| it.displaced_per_s)),
            inputs.reports().filter(|it| it.is_lagging).count(),
        ),
        TransferCause::Impaired => {
            (lost_per_s, inputs.reports().filter(|it| it.is_impaired).count())
        }
    };
    let rest = (EXPECTED_REST + agreed_for).min(MAX_EXPECTED_REST);
    let found = TransferVerdict {
        cause,
        loss_of_staying: relief_per_s * rest.as_secs_f64(),
        loss_of_transfer: requests_per_s * TRANSFER_PAUSE.as_secs_f64(),
        supporters,
    };
    let is_worth_it = agreed_for >= MIN_AGREED_PERIOD
        && relief_per_s >= MIN_LOST_PER_S
        && found.loss_of_staying >= MIN_LOSS_RATIO * found.loss_of_transfer;
    is_worth_it.then_some(found)
}
