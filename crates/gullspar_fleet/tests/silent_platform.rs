//! Following the platform's configuration through its silence.

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

/// When an accepted configuration has to be in force everywhere.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(6);

/// How long a call waits for its answer beside the waiting that a watch asks for, as the client of the platform does.
const ANSWER_WITHIN: Duration = Duration::from_millis(1500);

/// How long a test waits for a call that is bound to come.
const CALL_WITHIN: Duration = Duration::from_secs(20);

const LOOK_EVERY: Duration = Duration::from_millis(10);

const KEY: &str = "gullspar/groups/core";

/// A platform with one object, that can swallow calls.
#[derive(Default)]
struct FakePlatform {
    revision: Cell<u64>,
    silent: Cell<bool>,
    swallowed: Cell<usize>,
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

    async fn watched(&self, since: u64, wait: Duration) -> Result<WatchReply, PlatformError> {
        let sent = Instant::now();
        while !self.silent.get() {
            if self.revision.get() > since || sent.elapsed() >= wait {
                return Ok(self.reply(since));
            }
            compio::time::sleep(LOOK_EVERY).await;
        }
        self.swallowed.set(self.swallowed.get() + 1);
        compio::time::sleep((wait + ANSWER_WITHIN).saturating_sub(sent.elapsed())).await;
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
        async { Err(PlatformError::Refused("nobody writes here".to_owned())) }.boxed_local()
    }

    fn watch<'a>(
        &'a self,
        _prefix: &'a str,
        revision: u64,
        wait_ms: u64,
    ) -> LocalBoxFuture<'a, Result<WatchReply, PlatformError>> {
        self.watched(revision, Duration::from_millis(wait_ms)).boxed_local()
    }

    fn instances(&self) -> LocalBoxFuture<'_, Result<Vec<PlatformInstance>, PlatformError>> {
        async { Ok(Vec::new()) }.boxed_local()
    }
}

/// Nobody else is there.
struct Nobody;

impl Peers for Nobody {
    fn call(
        &self,
        _to: SocketAddr,
        _req: PeerRequest,
        _deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<PeerReply, PeerError>> {
        async { Err(PeerError::NoAnswer("nobody is there".to_owned())) }.boxed_local()
    }
}

impl Dialer for Nobody {
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
        dialer: Rc::new(Nobody),
        peers: Rc::new(Nobody),
        platform,
    };
    Fleet::new(own, Vec::new(), borders, FleetTiming::default())
}

async fn until(deadline: Instant, what: &str, reached: impl Fn() -> bool) {
    while !reached() {
        assert!(Instant::now() < deadline, "{what}");
        compio::time::sleep(LOOK_EVERY).await;
    }
}

/// Symptom: a configuration that the platform has accepted is in force in a data centre only after eleven seconds.
/// Events: the platform falls silent and returns; its relays there sent it a watch before, or meanwhile, that is
/// never answered; it accepts a configuration, and no relay asks for it.
/// Cause: a platform of which nobody knows whether it answers was asked to hold its answer back for ten seconds.
#[test_case(1; "the watch that waited when silence began")]
#[test_case(2; "the first call into the silence")]
fn a_configuration_is_in_force_in_time_after_the_platform_was_silent(calls: usize) {
    compio::runtime::Runtime::new().unwrap().block_on(async {
        let platform = Rc::new(FakePlatform { revision: Cell::new(1), ..FakePlatform::default() });
        let fleet = fleet(Rc::clone(&platform));
        let running = compio::runtime::spawn(Rc::clone(&fleet).run());
        let version = || fleet.config.version(KEY).0;
        until(Instant::now() + CALL_WITHIN, "the first one is in force", || version() == 1).await;
        platform.silent.set(true);
        let swallowed = || platform.swallowed.get() >= calls;
        until(Instant::now() + CALL_WITHIN, "the silent platform is asked", swallowed).await;
        platform.silent.set(false);
        platform.revision.set(2);
        let deadline = Instant::now() + IN_FORCE_WITHIN;
        until(deadline, "the configuration is in force", || version() == 2).await;
        drop(running);
    });
}
