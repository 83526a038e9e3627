//! Communication between instances: heartbeats over UDP, snapshots and forwarded sessions over TCP.

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

/// Maximum size of an encoded heartbeat, in bytes. Longer ones are not sent.
const MAX_HEARTBEAT_BYTES: usize = 8 * 1024;

/// Time in which an instance that connects must send its request and receive a snapshot.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Reaches other instances over UDP and TCP, on the same port.
pub struct DatagramPeers {
    socket: UdpSocket,
    clock: Rc<dyn Clock>,
}

impl DatagramPeers {
    /// Creates a channel that sends datagrams from `socket`.
    pub fn new(socket: UdpSocket, clock: Rc<dyn Clock>) -> DatagramPeers {
        DatagramPeers { socket, clock }
    }
}

impl PeerChannel for DatagramPeers {
    fn send(&self, to: SocketAddr, message: &PeerMessage) {
        let bytes = match postcard::to_stdvec(message) {
            Ok(bytes) if bytes.len() <= MAX_HEARTBEAT_BYTES => bytes,
            Ok(bytes) => {
                log::warn!(bytes = bytes.len(); "G0735 a heartbeat exceeds the size limit and was not sent");
                return;
            }
            Err(err) => {
                log::error!(reason = err.to_string().as_str(); "G0736 encoding a heartbeat failed");
                return;
            }
        };
        let socket = self.socket.clone();
        let send = async move {
            let BufResult(result, _) = socket.send_to(bytes, to).await;
            if let Err(err) = result {
                log::debug!(to = to.to_string().as_str(), reason = err.to_string().as_str(); "G0737 sending a heartbeat failed");
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
        session: ForwardedSession,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<Box<dyn HomeLink>, PeerError>> {
        let clock = Rc::clone(&self.clock);
        async move {
            let opened = within(&*clock, deadline, TcpHomeLink::open(to, session)).await;
            let link = opened.map_err(|_| PeerError::no_answer("the deadline passed"))??;
            Ok(Box::new(link) as Box<dyn HomeLink>)
        }
        .boxed_local()
    }
}

/// Receives heartbeats on `socket` and gives them to `proxy`; never returns.
pub async fn receive_heartbeats(socket: UdpSocket, proxy: Rc<Proxy>) {
    loop {
        let buf = Vec::with_capacity(MAX_HEARTBEAT_BYTES);
        let BufResult(received, buf) = socket.recv_from(buf).await;
        match received {
            Ok((length, from)) => match postcard::from_bytes(&buf[..length.min(buf.len())]) {
                Ok(message) => proxy.handle_message(message),
                Err(err) => {
                    log::debug!(from = from.to_string().as_str(), reason = err.to_string().as_str(); "G0738 decoding a heartbeat failed");
                }
            },
            Err(err) => {
                log::debug!(reason = err.to_string().as_str(); "G0739 receiving heartbeats failed");
            }
        }
    }
}

/// Serves other instances on `listener`: snapshot requests and forwarded callers' sessions; never
/// returns.
pub async fn serve_instances(listener: TcpListener, proxy: Rc<Proxy>, clock: Rc<dyn Clock>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let serve = serve_instance(stream, Rc::clone(&proxy), Rc::clone(&clock));
                compio::runtime::spawn(serve).detach();
            }
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "G0740 accepting a connection from an instance failed");
                clock.sleep_until(clock.now() + Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_instance(stream: TcpStream, proxy: Rc<Proxy>, clock: Rc<dyn Clock>) {
    let mut framed = Framed::new(TcpLink::new(stream));
    let deadline = clock.now() + REQUEST_TIMEOUT;
    match within(&*clock, deadline, framed.read()).await {
        Ok(Ok(Some(Hello::Snapshot(req)))) => {
            let snapshot = proxy.snapshot(req);
            // An instance that gets no snapshot repeats its request, here or elsewhere.
            let _ = within(&*clock, deadline, framed.write(&snapshot)).await;
        }
        Ok(Ok(Some(Hello::Session(session)))) => {
            serve_relayed_caller(proxy, Box::new(RelayedCaller { framed }), session).await;
        }
        Ok(Ok(None)) => {}
        Ok(Err(err)) => {
            log::debug!(reason = err.to_string().as_str(); "G0748 reading the first message of an instance failed");
        }
        Err(_) => log::debug!("G0749 an instance connected but sent no request before the timeout"),
    }
}
