//! Observes the homes to which sessions are forwarded, with probes beside unanswered statements.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use event_listener::{Event, EventListener};
use gullspar_border::within;
use gullspar_model::InstanceId;

use crate::fleet::home_health::{HomeEvent, HomeHealth};
use crate::fleet::home_state::UnansweredKey;
use crate::{HomeProbe, HomeProbeAnswer, Member, PeerMessage, Proxy};

/// The health of homes, with notification of its changes.
#[derive(Default)]
pub(crate) struct HomeMonitor {
    health: RefCell<HomeHealth>,
    /// Notified when the next poll is due earlier than before.
    poll_moved: Event,
    /// Notified when a home became unresponsive.
    home_lost: Event,
}

impl HomeMonitor {
    /// Listens for homes that become unresponsive.
    pub(crate) fn listen(&self) -> EventListener {
        self.home_lost.listen()
    }
}

/// A statement that a home has not answered yet. Dropping it means that the answer is no longer awaited.
pub(crate) struct UnansweredStatement {
    proxy: Rc<Proxy>,
    home: InstanceId,
    key: UnansweredKey,
}

impl UnansweredStatement {
    /// Records the answer.
    pub(crate) fn answered(self) {
        let now = self.proxy.borders.clock.now();
        let health = &self.proxy.home_monitor.health;
        let has_returned = health.borrow_mut().answered(&self.home, self.key, now);
        if has_returned {
            log_return(&self.home, true);
        }
    }
}

impl Drop for UnansweredStatement {
    fn drop(&mut self) {
        // Does nothing if the answer was recorded.
        self.proxy.home_monitor.health.borrow_mut().withdraw(&self.home, self.key);
    }
}

fn log_return(home: &InstanceId, responded: bool) {
    log::info!(home = home.as_str(), responded = responded; "G0779 a home is used again");
}

impl Proxy {
    /// Records that a statement is sent to `home`.
    pub(crate) fn statement_sent(self: &Rc<Self>, home: &Member) -> UnansweredStatement {
        let now = self.borders.clock.now();
        let mut health = self.home_monitor.health.borrow_mut();
        let planned = health.next_poll();
        let key = health.sent(&home.id, home.address, now);
        if health.next_poll() != planned {
            self.home_monitor.poll_moved.notify(usize::MAX);
        }
        UnansweredStatement { proxy: Rc::clone(self), home: home.id.clone(), key }
    }

    /// Whether `home` answers neither statements nor probes.
    pub(crate) fn is_unresponsive(&self, home: &InstanceId) -> bool {
        let now = self.borders.clock.now();
        self.home_monitor.health.borrow().is_unresponsive(home, now)
    }

    /// Waits until `home` is unresponsive.
    pub(crate) async fn until_unresponsive(&self, home: &InstanceId) {
        loop {
            let lost = self.home_monitor.listen();
            if self.is_unresponsive(home) {
                return;
            }
            lost.await;
        }
    }

    /// Whether anything was received from `home` within `ttl`, other than heartbeats before its first statement.
    pub(crate) fn has_heard_from(&self, home: &InstanceId, ttl: Duration) -> bool {
        let now = self.borders.clock.now();
        let heard_at = self.home_monitor.health.borrow().last_heard(home);
        heard_at.is_some_and(|it| now < it + ttl)
    }

    /// Records that a connection to `home` was lost.
    pub(crate) fn home_connection_lost(&self, home: &InstanceId) {
        self.home_monitor.health.borrow_mut().connection_lost(home);
    }

    pub(crate) fn record_home_heartbeat(&self, from: &InstanceId) {
        let now = self.borders.clock.now();
        if self.home_monitor.health.borrow_mut().heard(from, now) {
            log_return(from, true);
        }
    }

    pub(crate) fn answer_home_probe(&self, probe: &HomeProbe) {
        let answer = HomeProbeAnswer { number: probe.number };
        self.borders.peers.send(probe.reply_to, &PeerMessage::HomeProbeAnswer(answer));
    }

    pub(crate) fn apply_home_probe_answer(&self, answer: &HomeProbeAnswer) {
        let now = self.borders.clock.now();
        let returned = self.home_monitor.health.borrow_mut().probe_answered(answer.number, now);
        if let Some(home) = returned {
            log_return(&home, true);
        }
    }

    /// Probes homes and passes on which of them became unresponsive; never returns.
    pub(crate) async fn monitor_homes(self: Rc<Self>) {
        let (clock, monitor) = (Rc::clone(&self.borders.clock), &self.home_monitor);
        loop {
            let poll_moved = monitor.poll_moved.listen();
            let events = monitor.health.borrow_mut().poll(clock.now());
            for event in events {
                self.handle_home_event(event);
            }
            let next_poll = monitor.health.borrow().next_poll();
            match next_poll {
                // The poll finds what is due, whatever ended the wait.
                Some(at) => {
                    let _ = within(&*clock, at, poll_moved).await;
                }
                None => poll_moved.await,
            }
        }
    }

    fn handle_home_event(&self, event: HomeEvent) {
        match event {
            HomeEvent::SendProbe { to, number } => {
                let probe = HomeProbe { number, reply_to: self.own.address };
                self.borders.peers.send(to, &PeerMessage::HomeProbe(probe));
            }
            HomeEvent::Unresponsive { home, silent_for, probes } => {
                log::warn!(home = home.as_str(), silent_ms = silent_for.as_millis() as u64, probes = probes; "G0778 a home is unresponsive; its sessions move to other homes");
                self.borders.stats.home_unresponsive();
                self.home_monitor.home_lost.notify(usize::MAX);
            }
            HomeEvent::VerdictEnded { home } => log_return(&home, false),
        }
    }
}
