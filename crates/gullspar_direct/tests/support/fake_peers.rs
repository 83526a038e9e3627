//! The way between instances, in memory, with links that can be cut.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::PeerError;
use gullspar_direct::{
    ForwardedSession, HomeLink, PeerChannel, PeerMessage, Proxy, Snapshot, SnapshotRequest,
    serve_relayed_caller,
};

use super::fake_relay;

/// All instances of a test.
#[derive(Default)]
pub struct FakeNetwork {
    instances: RefCell<BTreeMap<SocketAddr, Rc<Proxy>>>,
    cut_off: RefCell<BTreeSet<SocketAddr>>,
    /// Pairs that can't reach each other.
    cut_pairs: RefCell<BTreeSet<(SocketAddr, SocketAddr)>>,
    sessions: RefCell<Vec<compio::runtime::JoinHandle<()>>>,
}

impl FakeNetwork {
    pub fn join(&self, address: SocketAddr, proxy: Rc<Proxy>) {
        self.instances.borrow_mut().insert(address, proxy);
    }

    /// Cuts an instance off from all others.
    pub fn partition(&self, number: u16) {
        self.cut_off.borrow_mut().insert(SocketAddr::from(([127, 0, 0, 1], number)));
    }

    /// Ends all sessions between instances at once, as when a home dies.
    pub fn drop_sessions(&self) {
        self.sessions.borrow_mut().clear();
    }

    /// Cuts all of `some` from all of `others`.
    pub fn partition_between(&self, some: &[u16], others: &[u16]) {
        for one in some {
            for other in others {
                self.block_one_way(*one, *other);
                self.block_one_way(*other, *one);
            }
        }
    }

    /// Lets nothing through from `from` to `to`; what goes the other way arrives.
    pub fn block_one_way(&self, from: u16, to: u16) {
        let address = |number: u16| SocketAddr::from(([127, 0, 0, 1], number));
        self.cut_pairs.borrow_mut().insert((address(from), address(to)));
    }

    pub fn heal(&self) {
        self.cut_pairs.borrow_mut().clear();
        self.cut_off.borrow_mut().clear();
    }

    pub fn channel(self: &Rc<Self>, own: SocketAddr) -> Rc<dyn PeerChannel> {
        Rc::new(Channel { network: Rc::clone(self), own })
    }

    fn reach(&self, from: SocketAddr, to: SocketAddr) -> Option<Rc<Proxy>> {
        let cut_off = self.cut_off.borrow();
        if cut_off.contains(&from) || cut_off.contains(&to) {
            return None;
        }
        if self.cut_pairs.borrow().contains(&(from, to)) {
            return None;
        }
        self.instances.borrow().get(&to).cloned()
    }
}

struct Channel {
    network: Rc<FakeNetwork>,
    own: SocketAddr,
}

impl PeerChannel for Channel {
    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        if let Some(proxy) = self.network.reach(self.own, to) {
            proxy.handle_message(message.clone());
        }
    }

    fn fetch(
        &self,
        from: SocketAddr,
        req: SnapshotRequest,
        _deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Snapshot, PeerError>> {
        let result = match self.network.reach(self.own, from) {
            Some(proxy) => Ok(proxy.snapshot(req)),
            None => Err(PeerError::NoAnswer("cut".to_owned())),
        };
        async move { result }.boxed_local()
    }

    fn open_session(
        &self,
        to: SocketAddr,
        handed_on: ForwardedSession,
        _deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Box<dyn HomeLink>, PeerError>> {
        let result = match self.network.reach(self.own, to) {
            Some(proxy) => {
                let (home, relayed) = fake_relay::pair();
                let served = serve_relayed_caller(proxy, Box::new(relayed), handed_on);
                self.network.sessions.borrow_mut().push(compio::runtime::spawn(served));
                Ok(Box::new(home) as Box<dyn HomeLink>)
            }
            None => Err(PeerError::NoAnswer("cut".to_owned())),
        };
        async move { result }.boxed_local()
    }
}
