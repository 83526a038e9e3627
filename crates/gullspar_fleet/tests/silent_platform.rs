//! Tests that instances get the platform's configuration after the platform was silent.

#![allow(clippy::unwrap_used, reason = "a test that can't go on must fail")]

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{
    Dialer, Link, ObjectVersion, PeerError, PeerReply, PeerRequest, Peers, Platform, PlatformError,
    PlatformInstance, StoredObject, WatchReply,
};
use gullspar_fleet::{Borders, Fleet, FleetTiming};
use gullspar_model::{DataCentre, GroupObject, InstanceId, InstanceRecord, InstanceState};
use gullspar_net::{SystemClock, SystemEntropy};
use test_case::test_case;

/// Maximum time from the acceptance of a configuration until it is in force everywhere.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(6);

/// How long a call waits for its answer in addition to the wait that a watch requests, as in the platform's client.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long a test waits for an event that must happen.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

const KEY: &str = "gullspar/groups/core";

/// A platform that has one object and can be made silent.
#[derive(Default)]
struct FakePlatform {
    revision: Cell<u64>,
    silent: Cell<bool>,
    unanswered: Cell<usize>,
}

impl FakePlatform {
    fn reply(&self, since: u64) -> WatchReply {
        let revision = self.revision.get();
        let object = StoredObject {
            key: KEY.to_owned(),
            version: ObjectVersion(revision),
            value: serde_json::to_string(&GroupObject::unclaimed()).unwrap(),
        };
        WatchReply { revision, changed: if revision > since { vec![object] } else { Vec::new() } }
    }

    async fn answer_watch(&self, since: u64, wait: Duration) -> Result<WatchReply, PlatformError> {
        let sent = Instant::now();
        while !self.silent.get() {
            if self.revision.get() > since || sent.elapsed() >= wait {
                return Ok(self.reply(since));
            }
            compio::time::sleep(POLL_INTERVAL).await;
        }
        self.unanswered.set(self.unanswered.get() + 1);
        compio::time::sleep((wait + ANSWER_TIMEOUT).saturating_sub(sent.elapsed())).await;
        Err(PlatformError::NoAnswer("the deadline passed".to_owned()))
    }
}

impl Platform for FakePlatform {
    fn get<'a>(
        &'a self,
        _key: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<StoredObject>, PlatformError>> {
        async { Ok(None) }.boxed_local()
    }

    fn put<'a>(
        &'a self,
        _key: &'a str,
        _expected: ObjectVersion,
        _value: String,
    ) -> LocalBoxFuture<'a, Result<ObjectVersion, PlatformError>> {
        async { Err(PlatformError::Refused("this platform is read-only".to_owned())) }.boxed_local()
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        revision: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply, PlatformError>> {
        self.answer_watch(revision, Duration::from_millis(wait_ms)).boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformInstance>, PlatformError>> {
        async { Ok(Vec::new()) }.boxed_local()
    }
}

/// No other instance and no target is reachable.
struct NoPeers;

impl Peers for NoPeers {
    fn call(
        &self,
        _to: SocketAddr,
        _req: PeerRequest,
        _deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<PeerReply, PeerError>> {
        async { Err(PeerError::NoAnswer("there are no other instances".to_owned())) }.boxed_local()
    }
}

impl Dialer for NoPeers {
    fn dial(
        &self,
        _address: SocketAddr,
        _deadline: Instant,
    ) -> LocalBoxFuture<'static, io::Result<Box<dyn Link>>> {
        async { Err(io::Error::from(io::ErrorKind::ConnectionRefused)) }.boxed_local()
    }
}

fn fleet(platform: Rc<FakePlatform>) -> Rc<Fleet> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let own = InstanceRecord {
        id: InstanceId::new("instance-1"),
        data_centre: DataCentre::new("dc-1"),
        peer: address,
        lane: address,
        incarnation: 1,
        state: InstanceState::Alive,
    };
    let borders = Borders {
        clock: Rc::new(SystemClock),
        entropy: Rc::new(SystemEntropy),
        dialer: Rc::new(NoPeers),
        peers: Rc::new(NoPeers),
        platform,
    };
    Fleet::new(own, Vec::new(), borders, FleetTiming::default())
}

async fn wait_until(deadline: Instant, what: &str, is_reached: impl Fn() -> bool) {
    while !is_reached() {
        assert!(Instant::now() < deadline, "{what}");
        compio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Guards against a configuration that is in force too late because a watch that the silent platform never answers
/// blocks the next one for too long.
#[test_case(1; "the watch that waited when silence began")]
#[test_case(2; "the first call into the silence")]
fn a_configuration_is_in_force_in_time_after_the_platform_was_silent(calls: usize) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let platform = Rc::new(FakePlatform { revision: Cell::new(1), ..FakePlatform::default() });
        let fleet = fleet(Rc::clone(&platform));
        let running = compio::runtime::spawn(Rc::clone(&fleet).run());
        let version = || fleet.config.version(KEY).0;
        wait_until(Instant::now() + CALL_TIMEOUT, "the first one is in force", || version() == 1)
            .await;
        platform.silent.set(true);
        let has_unanswered_calls = || platform.unanswered.get() >= calls;
        wait_until(
            Instant::now() + CALL_TIMEOUT,
            "the silent platform is asked",
            has_unanswered_calls,
        )
        .await;
        platform.silent.set(false);
        platform.revision.set(2);
        let deadline = Instant::now() + MAX_PROPAGATION_DELAY;
        wait_until(deadline, "the configuration is in force", || version() == 2).await;
        drop(running);
    });
}
