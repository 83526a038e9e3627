//! Finds homes that became unresponsive, from what was sent to them and what was received.
//!
//! A home is unresponsive if a statement stays unanswered and probes beside it do as well. A home that is only busy answers
//! the probes. This module has neither a network nor a clock; see `docs/design/unresponsive-homes.md`.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use gullspar_model::InstanceId;
use slotmap::{Key, KeyData, SlotMap, new_key_type};

use crate::fleet::home_state::{HomeState, UnansweredKey};

/// A poll that is this much late follows a pause of this instance. What arrived meanwhile is not processed yet, so the
/// silence of homes is observed anew.
const PAUSE_DETECTED_AFTER: Duration = Duration::from_millis(100);

/// A poll that is this much late decides nothing; the next one does, once what has arrived is processed.
const MAX_LATENESS: Duration = Duration::from_millis(20);

/// When polling is repeated after a late poll.
const REPEAT_POLL_AFTER: Duration = Duration::from_millis(5);

/// How long the answer to a probe is awaited. A later one is ignored; further probes follow while a home is silent.
const PROBE_TTL: Duration = Duration::from_secs(1);

new_key_type! {
    /// A probe that is not answered yet.
    struct ProbeKey;
}

/// A probe on its way.
#[derive(Debug)]
struct SentProbe {
    home: InstanceId,
    at: Instant,
}

/// What has to be done, or has been found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HomeEvent {
    /// Send a probe to the home at `to`.
    SendProbe { to: SocketAddr, number: u64 },
    /// The home became unresponsive.
    Unresponsive { home: InstanceId, silent_for: Duration, probes: u32 },
    /// Nothing was received from the home for so long that it is tried again like an unknown one.
    VerdictEnded { home: InstanceId },
}

/// The homes to which this instance forwards sessions.
#[derive(Debug, Default)]
pub struct HomeHealth {
    homes: BTreeMap<InstanceId, HomeState>,
    probes: SlotMap<ProbeKey, SentProbe>,
    /// When the next poll is due.
    next_poll: Option<Instant>,
}

impl HomeHealth {
    /// Records that a statement was sent to the home at `address`.
    pub fn sent(&mut self, home: &InstanceId, address: SocketAddr, now: Instant) -> UnansweredKey {
        let state = self.homes.entry(home.clone()).or_insert_with(|| HomeState::new(address));
        if state.address != address {
            state.address = address;
            state.connection_lost();
        }
        let key = state.sent(now);
        if state.has_single_unanswered() {
            self.next_poll = earlier(self.next_poll, state.next_poll());
        }
        key
    }

    /// Records the answer to a statement; returns whether the home was unresponsive until now.
    pub fn answered(&mut self, home: &InstanceId, key: UnansweredKey, now: Instant) -> bool {
        self.homes.get_mut(home).is_some_and(|it| {
            it.answered(key, now);
            it.heard(now)
        })
    }

    /// Forgets a statement whose answer is no longer awaited.
    pub fn withdraw(&mut self, home: &InstanceId, key: UnansweredKey) {
        if let Some(state) = self.homes.get_mut(home) {
            state.withdraw(key);
        }
    }

    /// Records the answer to a probe; returns the home if it was unresponsive until now.
    pub fn probe_answered(&mut self, number: u64, now: Instant) -> Option<InstanceId> {
        let probe = self.probes.remove(ProbeKey::from(KeyData::from_ffi(number)))?;
        let state = self.homes.get_mut(&probe.home)?;
        state.probe_answered(now.saturating_duration_since(probe.at));
        state.heard(now).then_some(probe.home)
    }

    /// Records another sign of life, such as a heartbeat; returns whether the home was unresponsive until now.
    pub fn heard(&mut self, home: &InstanceId, now: Instant) -> bool {
        self.homes.get_mut(home).is_some_and(|it| it.heard(now))
    }

    /// Records that the home closed a connection or that it broke.
    pub fn connection_lost(&mut self, home: &InstanceId) {
        if let Some(state) = self.homes.get_mut(home) {
            state.connection_lost();
        }
    }

    /// Whether the home is unresponsive.
    pub fn is_unresponsive(&self, home: &InstanceId, now: Instant) -> bool {
        self.homes.get(home).is_some_and(|it| it.is_unresponsive(now))
    }

    /// When the last sign of life of the home was recorded.
    pub fn last_heard(&self, home: &InstanceId) -> Option<Instant> {
        self.homes.get(home)?.last_heard()
    }

    /// When to call [`HomeHealth::poll`] next; `None` while there is nothing to observe.
    pub fn next_poll(&self) -> Option<Instant> {
        self.next_poll
    }

    /// Sends the probes that are due, and judges the homes that are silent.
    pub fn poll(&mut self, now: Instant) -> Vec<HomeEvent> {
        let lateness =
            self.next_poll.map_or(Duration::ZERO, |it| now.saturating_duration_since(it));
        let mut events = Vec::new();
        self.probes.retain(|_, it| now < it.at + PROBE_TTL);
        for (home, state) in &mut self.homes {
            if state.end_verdict(now) {
                events.push(HomeEvent::VerdictEnded { home: home.clone() });
            }
            if lateness >= PAUSE_DETECTED_AFTER {
                state.discount_pause();
            }
            if lateness < MAX_LATENESS
                && let Some(silence) = state.judge(now)
            {
                let silent_for = now.saturating_duration_since(silence.since);
                let (home, probes) = (home.clone(), silence.probes);
                events.push(HomeEvent::Unresponsive { home, silent_for, probes });
            }
            if state.probe_due_at().is_some_and(|due| now >= due) {
                state.probe_sent(now);
                let key = self.probes.insert(SentProbe { home: home.clone(), at: now });
                let number = key.data().as_ffi();
                events.push(HomeEvent::SendProbe { to: state.address, number });
            }
        }
        let next_poll = self.homes.values().filter_map(HomeState::next_poll).min();
        let earliest = now + REPEAT_POLL_AFTER;
        self.next_poll = next_poll.map(|it| it.max(earliest));
        events
    }
}

fn earlier(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    a.into_iter().chain(b).min()
}
