//! What this instance knows about the responsiveness of one home.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use slotmap::{SlotMap, new_key_type};

use crate::fleet::usual_time::UsualTime;

/// Range of the time after which a statement is unanswered for longer than usual.
///
/// Together with [`MAX_SILENCE`], the upper limit keeps detection within 300 ms of sending the statement. The lower one keeps
/// statements of usual length from causing probes.
const MIN_USUAL_ANSWER: Duration = Duration::from_millis(30);
const MAX_USUAL_ANSWER: Duration = Duration::from_millis(80);

/// Time between two probes of a home that is silent.
const SILENT_PROBE_INTERVAL: Duration = Duration::from_millis(30);

/// How long nothing must have been received from a home that answers before it is probed.
const QUIET_PERIOD: Duration = Duration::from_millis(80);

/// Time between two probes of a home that is unresponsive or has not answered a probe yet.
const RETRY_PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Range of the silence after which a home is unresponsive.
///
/// Homes with a twelfth of a core run only once in 100 ms under full load, so a shorter silence says nothing.
const MIN_SILENCE: Duration = Duration::from_millis(150);
const MAX_SILENCE: Duration = Duration::from_millis(200);

/// A home that is silent for this many usual round trips is unresponsive.
const SILENT_ROUND_TRIPS: u32 = 4;

/// Number of probes that must stay unanswered, since datagrams are lost occasionally.
const MIN_UNANSWERED_PROBES: u32 = 4;

/// How long a home is unresponsive without any sign of life. By then, membership has removed an instance that is gone.
const VERDICT_PERIOD: Duration = Duration::from_secs(10);

new_key_type! {
    /// A statement that a home has not answered yet.
    pub struct UnansweredKey;
}

/// A silence that began with an unanswered probe.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    pub(crate) since: Instant,
    /// Number of probes sent since then.
    pub(crate) probes: u32,
}

/// One home, as this instance observes it.
#[derive(Debug)]
pub(crate) struct HomeState {
    pub(crate) address: SocketAddr,
    answer_time: UsualTime,
    round_trip: UsualTime,
    /// When each unanswered statement was sent.
    unanswered: SlotMap<UnansweredKey, Instant>,
    /// Whether it has answered a probe; instances of older builds never do.
    answers_probes: bool,
    last_heard: Option<Instant>,
    last_probe: Option<Instant>,
    silence: Option<Silence>,
    /// Until when it is unresponsive.
    unresponsive_until: Option<Instant>,
}

impl HomeState {
    pub(crate) fn new(address: SocketAddr) -> HomeState {
        HomeState {
            address,
            answer_time: UsualTime::default(),
            round_trip: UsualTime::default(),
            unanswered: SlotMap::with_key(),
            answers_probes: false,
            last_heard: None,
            last_probe: None,
            silence: None,
            unresponsive_until: None,
        }
    }

    /// Records that a statement was sent to the home.
    pub(crate) fn sent(&mut self, now: Instant) -> UnansweredKey {
        self.unanswered.insert(now)
    }

    /// Whether the only unanswered statement is the newest one, so that the home may have to be probed earlier than before.
    pub(crate) fn has_single_unanswered(&self) -> bool {
        self.unanswered.len() == 1
    }

    pub(crate) fn answered(&mut self, key: UnansweredKey, now: Instant) {
        if let Some(sent_at) = self.unanswered.remove(key) {
            self.answer_time.record(now.saturating_duration_since(sent_at));
        }
    }

    /// Forgets a statement whose answer is no longer awaited.
    pub(crate) fn withdraw(&mut self, key: UnansweredKey) {
        self.unanswered.remove(key);
    }

    pub(crate) fn probe_answered(&mut self, round_trip: Duration) {
        self.answers_probes = true;
        self.round_trip.record(round_trip);
    }

    /// Records a sign of life; returns whether the home was unresponsive until now.
    pub(crate) fn heard(&mut self, now: Instant) -> bool {
        self.last_heard = Some(now);
        self.silence = None;
        self.unresponsive_until.take().is_some()
    }

    pub(crate) fn last_heard(&self) -> Option<Instant> {
        self.last_heard
    }

    /// Forgets that the home answers probes. An instance that was restarted may be of an older build.
    pub(crate) fn connection_lost(&mut self) {
        self.answers_probes = false;
        self.silence = None;
    }

    pub(crate) fn is_unresponsive(&self, now: Instant) -> bool {
        self.unresponsive_until.is_some_and(|until| now < until)
    }

    /// Ends a verdict that has lasted for [`VERDICT_PERIOD`]; returns whether there was one.
    pub(crate) fn end_verdict(&mut self, now: Instant) -> bool {
        let is_over = self.unresponsive_until.take_if(|until| now >= *until).is_some();
        if is_over {
            self.connection_lost();
        }
        is_over
    }

    /// Begins to observe a silence anew, because this instance was paused.
    pub(crate) fn discount_pause(&mut self) {
        self.silence = None;
    }

    /// Makes the home unresponsive if its silence has lasted long enough; returns that silence.
    pub(crate) fn judge(&mut self, now: Instant) -> Option<Silence> {
        if self.unanswered.is_empty() {
            self.silence = None;
        }
        let silence = self.silence?;
        self.verdict_at().filter(|it| now >= *it)?;
        self.silence = None;
        self.unresponsive_until = Some(now + VERDICT_PERIOD);
        Some(silence)
    }

    /// When the current silence makes the home unresponsive; `None` if too few probes were sent.
    fn verdict_at(&self) -> Option<Instant> {
        let silence = self.silence.filter(|it| it.probes >= MIN_UNANSWERED_PROBES)?;
        let limit = self.round_trip.upper() * SILENT_ROUND_TRIPS;
        Some(silence.since + limit.clamp(MIN_SILENCE, MAX_SILENCE))
    }

    /// When the next probe is due; `None` while the home need not be probed.
    pub(crate) fn probe_due_at(&self) -> Option<Instant> {
        let after_last = |interval| self.last_probe.map(|it| it + interval);
        if self.unresponsive_until.is_some() {
            return after_last(RETRY_PROBE_INTERVAL);
        }
        let oldest = *self.unanswered.values().min()?;
        if !self.answers_probes {
            return Some(after_last(RETRY_PROBE_INTERVAL).map_or(oldest, |it| it.max(oldest)));
        }
        if self.silence.is_some() {
            return after_last(SILENT_PROBE_INTERVAL);
        }
        let usual = self.answer_time.upper().clamp(MIN_USUAL_ANSWER, MAX_USUAL_ANSWER);
        let quiet = self.last_heard.map(|it| it + QUIET_PERIOD);
        Some((oldest + usual).max(quiet.unwrap_or(oldest)))
    }

    /// Records that a probe is sent now.
    pub(crate) fn probe_sent(&mut self, now: Instant) {
        self.last_probe = Some(now);
        if self.answers_probes && self.unresponsive_until.is_none() {
            let silence = self.silence.get_or_insert(Silence { since: now, probes: 0 });
            silence.probes += 1;
        }
    }

    /// When the home must be looked at again; `None` if only events change anything.
    pub(crate) fn next_poll(&self) -> Option<Instant> {
        let times = [self.probe_due_at(), self.verdict_at(), self.unresponsive_until];
        times.into_iter().flatten().min()
    }
}
