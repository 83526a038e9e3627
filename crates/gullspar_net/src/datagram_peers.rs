//! Heartbeats as datagrams; snapshots and sessions over connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::net::{TcpListener, TcpStream, UdpSocket};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{Clock, PeerError, within};
use gullspar_direct::{
    ForwardedSession, HomeLink, PeerChannel, PeerMessage, Proxy, Snapshot, SnapshotRequest,
    serve_relayed_caller,
};

use crate::TcpLink;
use crate::framed::{Framed, Hello};
use crate::relay_link::{RelayedCaller, TcpHomeLink};

/// The longest heartbeat that is sent, in bytes; it fits a datagram on every usual link.
const HEARTBEAT_LIMIT: usize = 8 * 1024;

/// How long an instance that connects may take to say what it wants, and to take a snapshot.
const SERVE_WITHIN: Duration = Duration::from_secs(2);

/// The ways to other instances over UDP and TCP, both on the same port.
pub struct DatagramPeers {
    socket: UdpSocket,
    clock: Rc<dyn Clock>,
}

impl DatagramPeers {
    /// Sends from `socket`.
    pub fn new(socket: UdpSocket, clock: Rc<dyn Clock>) -> DatagramPeers {
        DatagramPeers { socket, clock }
    }
}

impl PeerChannel for DatagramPeers {
    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= HEARTBEAT_LIMIT => bytes,
            Ok(bytes) => {
                log::warn!(bytes = bytes.len(); "G0735 a heartbeat is too long and is not sent");
                return;
            }
            Err(err) => {
                log::error!(reason = err.to_string().as_str(); "G0736 a heartbeat can't be written");
                return;
            }
        };
        let socket = self.socket.clone();
        let send = async move {
            let BufResult(result, _) = socket.send_to(bytes, to).await;
            if let Err(err) = result {
                log::debug!(to = to.to_string().as_str(), reason = err.to_string().as_str(); "G0737 a heartbeat was not sent");
            }
        };
        compio::runtime::spawn(send).detach();
    }

    fn fetch(
        &self,
        from: SocketAddr,
        req: SnapshotRequest,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Snapshot, PeerError>> {
        let clock = Rc::clone(&self.clock);
        async move {
            let exchange = async {
                let stream = TcpStream::connect(from).await.map_err(PeerError::no_answer)?;
                let mut framed = Framed::new(TcpLink::new(stream));
                framed.write(&Hello::Snapshot(req)).await?;
                framed.read().await?.ok_or_else(|| PeerError::no_answer("the connection ended"))
            };
            let answered = within(&*clock, deadline, exchange).await;
            answered.map_err(|_| PeerError::no_answer("the deadline passed"))?
        }
        .boxed_local()
    }

    fn open_session(
        &self,
        to: SocketAddr,
        handed_on: ForwardedSession,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Box<dyn HomeLink>, PeerError>> {
        let clock = Rc::clone(&self.clock);
        async move {
            let opened = within(&*clock, deadline, TcpHomeLink::open(to, handed_on)).await;
            let link = opened.map_err(|_| PeerError::no_answer("the deadline passed"))??;
            Ok(Box::new(link) as Box<dyn HomeLink>)
        }
        .boxed_local()
    }
}

/// Takes the heartbeats that arrive on `socket`; never ends.
pub async fn receive_heartbeats(socket: UdpSocket, proxy: Rc<Proxy>) {
    loop {
        let buf = Vec::with_capacity(HEARTBEAT_LIMIT);
        let BufResult(received, buf) = socket.recv_from(buf).await;
        match received {
            Ok((length, from)) => match postcard::from_bytes(&buf[..length.min(buf.len())]) {
                Ok(message) => proxy.handle_message(message),
                Err(err) => {
                    log::debug!(from = from.to_string().as_str(), reason = err.to_string().as_str(); "G0738 a heartbeat is unreadable");
                }
            },
            Err(err) => {
                log::debug!(reason = err.to_string().as_str(); "G0739 receiving heartbeats failed");
            }
        }
    }
}

/// Answers other instances on `listener`: snapshots, and sessions of callers that they hand on; never
/// ends.
pub async fn serve_instances(listener: TcpListener, proxy: Rc<Proxy>, clock: Rc<dyn Clock>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serve = serve_instance(stream, Rc::clone(&proxy), Rc::clone(&clock));
                compio::runtime::spawn(serve).detach();
            }
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "G0740 accepting an instance failed");
                clock.sleep_until(clock.now() + Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_instance(stream: TcpStream, proxy: Rc<Proxy>, clock: Rc<dyn Clock>) {
    let mut framed = Framed::new(TcpLink::new(stream));
    let deadline = clock.now() + SERVE_WITHIN;
    match within(&*clock, deadline, framed.read()).await {
        Ok(Ok(Some(Hello::Snapshot(req)))) => {
            let snapshot = proxy.snapshot(req);
            // Whoever asked and hears nothing asks again, here or elsewhere.
            let _ = within(&*clock, deadline, framed.write(&snapshot)).await;
        }
        Ok(Ok(Some(Hello::Session(handed_on)))) => {
            serve_relayed_caller(proxy, Box::new(RelayedCaller { framed }), handed_on).await;
        }
        Ok(Ok(None)) => {}
        Ok(Err(err)) => {
            log::debug!(reason = err.to_string().as_str(); "G0748 an instance's greeting is unreadable");
        }
        Err(_) => log::debug!("G0749 an instance connected and said nothing"),
    }
}
