//! A network between instances in memory, with links that can be blocked.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use event_listener::Event;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::PeerError;
use gullspar_direct::{
    ForwardedSession, HomeLink, PeerChannel, PeerMessage, Proxy, Snapshot, SnapshotRequest,
    serve_relayed_caller,
};

use super::fake_relay;

/// The instances of a test by their address, and the links that are blocked.
#[derive(Default)]
pub struct FakeNetwork {
    instances: RefCell<BTreeMap<SocketAddr, Rc<Proxy>>>,
    /// Instances that reach no other instance.
    partitioned: RefCell<BTreeSet<SocketAddr>>,
    /// Links that are blocked, as pairs of sender and receiver.
    blocked_pairs: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    /// Instances that nothing reaches and that reach nothing, while their connections stay open.
    silent: RefCell<BTreeSet<SocketAddr>>,
    /// Links on which nothing arrives, while their connections stay open, as pairs of instances in both orders.
    silent_pairs: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    silence_ended: Event,
    /// Whether silent instances still accept connections, like a machine whose processes stand still.
    pub silent_accept: Cell<bool>,
    /// Instances of an older build, which can't decode the messages that were added last.
    older_builds: RefCell<BTreeSet<SocketAddr>>,
    /// The tasks that serve forwarded sessions.
    sessions: RefCell<Vec<compio::runtime::JoinHandle<()>>>,
}

impl FakeNetwork {
    /// Makes an instance reachable under `address`.
    pub fn join(&self, address: SocketAddr, proxy: Rc<Proxy>) {
        self.instances.borrow_mut().insert(address, proxy);
    }

    /// Partitions an instance from all others.
    pub fn partition(&self, number: u16) {
        self.partitioned.borrow_mut().insert(SocketAddr::from(([127, 0, 0, 1], number)));
    }

    /// Silences an instance: no message from or to it arrives, and no connection breaks. [`FakeNetwork::heal`] delivers
    /// what was sent over connections.
    pub fn silence(&self, number: u16) {
        self.silent.borrow_mut().insert(SocketAddr::from(([127, 0, 0, 1], number)));
    }

    /// Makes an instance one of an older build.
    pub fn downgrade(&self, number: u16) {
        self.older_builds.borrow_mut().insert(SocketAddr::from(([127, 0, 0, 1], number)));
    }

    /// Silences all links between the instances in `left` and those in `right`, as [`FakeNetwork::silence`] does.
    pub fn silence_between(&self, left: &[u16], right: &[u16]) {
        let address = |number: &u16| SocketAddr::from(([127, 0, 0, 1], *number));
        let mut pairs = self.silent_pairs.borrow_mut();
        for a in left.iter().map(address) {
            for b in right.iter().map(address) {
                pairs.extend([(a, b), (b, a)]);
            }
        }
    }

    fn is_silent(&self, a: SocketAddr, b: SocketAddr) -> bool {
        let silent = self.silent.borrow();
        silent.contains(&a) || silent.contains(&b) || self.silent_pairs.borrow().contains(&(a, b))
    }

    /// Drops all sessions between instances without notice, as when a home crashes.
    pub fn drop_sessions(&self) {
        self.sessions.borrow_mut().clear();
    }

    /// Blocks all links between the instances in `left` and those in `right`.
    pub fn partition_between(&self, left: &[u16], right: &[u16]) {
        for a in left {
            for b in right {
                self.block_one_way(*a, *b);
                self.block_one_way(*b, *a);
            }
        }
    }

    /// Blocks messages from `from` to `to`. The opposite direction still works.
    pub fn block_one_way(&self, from: u16, to: u16) {
        let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
        self.blocked_pairs.borrow_mut().insert((address(from), address(to)));
    }

    /// Unblocks all links.
    pub fn heal(&self) {
        self.blocked_pairs.borrow_mut().clear();
        self.partitioned.borrow_mut().clear();
        self.silent.borrow_mut().clear();
        self.silent_pairs.borrow_mut().clear();
        self.silence_ended.notify(usize::MAX);
    }

    /// The network as the instance at `own` accesses it.
    pub fn channel(self: &Rc<Self>, own: SocketAddr) -> Rc<dyn PeerChannel> {
        Rc::new(FakePeerChannel { network: Rc::clone(self), own })
    }

    /// The instance at `to`, if messages from `from` reach it.
    fn find_reachable(&self, from: SocketAddr, to: SocketAddr) -> Option<Rc<Proxy>> {
        let partitioned = self.partitioned.borrow();
        if partitioned.contains(&from) || partitioned.contains(&to) {
            return None;
        }
        if self.is_silent(from, to) || self.blocked_pairs.borrow().contains(&(from, to)) {
            return None;
        }
        self.instances.borrow().get(&to).cloned()
    }
}

/// The way between two instances.
pub struct Path {
    network: Rc<FakeNetwork>,
    ends: (SocketAddr, SocketAddr),
}

impl Path {
    /// Whether the home is of an older build.
    pub fn ends_at_older_build(&self) -> bool {
        self.network.older_builds.borrow().contains(&self.ends.1)
    }

    /// Waits until neither end is silent.
    pub async fn wait_until_connected(&self) {
        loop {
            let ended = self.network.silence_ended.listen();
            if !self.network.is_silent(self.ends.0, self.ends.1) {
                return;
            }
            ended.await;
        }
    }
}

struct FakePeerChannel {
    network: Rc<FakeNetwork>,
    own: SocketAddr,
}

impl PeerChannel for FakePeerChannel {
    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let is_probe = matches!(message, PeerMessage::HomeProbe(_));
        if is_probe && self.network.older_builds.borrow().contains(&to) {
            return;
        }
        if let Some(proxy) = self.network.find_reachable(self.own, to) {
            proxy.handle_message(message.clone());
        }
    }

    fn fetch(
        &self,
        from: SocketAddr,
        req: SnapshotRequest,
        _deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Snapshot, PeerError>> {
        let result = match self.network.find_reachable(self.own, from) {
            Some(proxy) => Ok(proxy.snapshot(req)),
            None => Err(PeerError::NoAnswer("link blocked".to_owned())),
        };
        async move { result }.boxed_local()
    }

    fn open_session(
        &self,
        to: SocketAddr,
        session: ForwardedSession,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Box<dyn HomeLink>, PeerError>> {
        let is_silent = self.network.is_silent(self.own, to);
        if is_silent && !self.network.silent_accept.get() {
            return async move {
                compio::time::sleep_until(deadline).await;
                Err(PeerError::NoAnswer("silent".to_owned()))
            }
            .boxed_local();
        }
        let reached = match is_silent {
            true => self.network.instances.borrow().get(&to).cloned(),
            false => self.network.find_reachable(self.own, to),
        };
        let result = match reached {
            Some(proxy) => {
                let path = Path { network: Rc::clone(&self.network), ends: (self.own, to) };
                let (home, relayed) = fake_relay::pair(path);
                let served = serve_relayed_caller(proxy, Box::new(relayed), session);
                self.network.sessions.borrow_mut().push(compio::runtime::spawn(served));
                Ok(Box::new(home) as Box<dyn HomeLink>)
            }
            None => Err(PeerError::NoAnswer("link blocked".to_owned())),
        };
        async move { result }.boxed_local()
    }
}
