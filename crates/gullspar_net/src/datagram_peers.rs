//! Beacons as datagrams, and snapshots over short connections.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::BytesMut;
use compio::BufResult;
use compio::net::{TcpListener, TcpStream, UdpSocket};
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{Clock, Link, PeerError, within};
use gullspar_direct::{Beacon, PeerChannel, Proxy, Snapshot, SnapshotRequest};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::TcpLink;

/// The longest beacon that is sent, in bytes; it fits a datagram on every usual link.
const BEACON_LIMIT: usize = 8 * 1024;

/// The longest snapshot that is read, in bytes: some thousand services.
const SNAPSHOT_LIMIT: usize = 8 * 1024 * 1024;

/// Bytes of the length before each message on a connection.
const LENGTH_BYTES: usize = 4;

/// How long an instance that asks for a snapshot may take over it.
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
    fn send(&self, to: SocketAddr, beacon: &Beacon) {
        let bytes = match postcard::to_stdvec(beacon) {
            Ok(bytes) if bytes.len() <= BEACON_LIMIT => bytes,
            Ok(bytes) => {
                log::warn!(bytes = bytes.len(); "G0735 a beacon is too long and is not sent");
                return;
            }
            Err(err) => {
                log::error!(reason = err.to_string().as_str(); "G0736 a beacon can't be written");
                return;
            }
        };
        let socket = self.socket.clone();
        let send = async move {
            let BufResult(result, _) = socket.send_to(bytes, to).await;
            if let Err(err) = result {
                log::debug!(to = to.to_string().as_str(), reason = err.to_string().as_str(); "G0737 a beacon was not sent");
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
                let stream = TcpStream::connect(from).await.map_err(no_answer)?;
                let mut link = TcpLink::new(stream);
                write_message(&mut link, &req).await?;
                read_message(&mut link).await
            };
            let answered = within(&*clock, deadline, exchange).await;
            answered.map_err(|_| no_answer("the deadline passed"))?
        }
        .boxed_local()
    }
}

/// Takes the beacons that arrive on `socket`; never ends.
pub async fn receive_beacons(socket: UdpSocket, proxy: Rc<Proxy>) {
    loop {
        let buf = Vec::with_capacity(BEACON_LIMIT);
        let BufResult(received, buf) = socket.recv_from(buf).await;
        match received {
            Ok((length, from)) => match postcard::from_bytes(&buf[..length.min(buf.len())]) {
                Ok(beacon) => proxy.take_beacon(beacon),
                Err(err) => {
                    log::debug!(from = from.to_string().as_str(), reason = err.to_string().as_str(); "G0738 a beacon is unreadable");
                }
            },
            Err(err) => {
                log::debug!(reason = err.to_string().as_str(); "G0739 receiving beacons failed");
            }
        }
    }
}

/// Hands out snapshots on `listener`; never ends.
pub async fn serve_snapshots(listener: TcpListener, proxy: Rc<Proxy>, clock: Rc<dyn Clock>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let (proxy, clock) = (Rc::clone(&proxy), Rc::clone(&clock));
                let serve = async move {
                    let deadline = clock.now() + SERVE_WITHIN;
                    // Whoever asked and hears nothing asks again, here or elsewhere.
                    let _ = within(&*clock, deadline, serve_snapshot(stream, &proxy)).await;
                };
                compio::runtime::spawn(serve).detach();
            }
            Err(err) => {
                log::warn!(reason = err.to_string().as_str(); "G0740 accepting an instance failed");
                clock.sleep_until(clock.now() + Duration::from_millis(50)).await;
            }
        }
    }
}

async fn serve_snapshot(stream: TcpStream, proxy: &Proxy) -> Result<(), PeerError> {
    let mut link = TcpLink::new(stream);
    let req: SnapshotRequest = read_message(&mut link).await?;
    write_message(&mut link, &proxy.snapshot(req)).await
}

async fn write_message<T: Serialize>(link: &mut TcpLink, message: &T) -> Result<(), PeerError> {
    let body = postcard::to_stdvec(message).map_err(no_answer)?;
    let mut buf = BytesMut::with_capacity(LENGTH_BYTES + body.len());
    buf.extend_from_slice(&(body.len() as u32).to_be_bytes());
    buf.extend_from_slice(&body);
    link.send(buf).await.map_err(no_answer)?;
    Ok(())
}

async fn read_message<T: DeserializeOwned>(link: &mut TcpLink) -> Result<T, PeerError> {
    let mut buf = BytesMut::new();
    loop {
        if let Some((length, rest)) = buf.split_first_chunk::<LENGTH_BYTES>() {
            let length = u32::from_be_bytes(*length) as usize;
            if length > SNAPSHOT_LIMIT {
                return Err(no_answer("the message is too long"));
            }
            if let Some(body) = rest.get(..length) {
                return postcard::from_bytes(body).map_err(no_answer);
            }
        }
        let before = buf.len();
        buf.reserve(BEACON_LIMIT);
        buf = link.recv(buf).await.map_err(no_answer)?;
        if buf.len() == before {
            return Err(no_answer("the connection ended"));
        }
    }
}

fn no_answer(reason: impl ToString) -> PeerError {
    PeerError::NoAnswer(reason.to_string())
}
