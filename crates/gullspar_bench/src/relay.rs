//! A plain byte relay on the same runtime, as the baseline for the cost of a proxy.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

use bytes::BytesMut;
use compio::net::TcpStream;
use gullspar_border::Link;
use gullspar_net::TcpLink;

/// A relay that forwards every connection to one address.
pub struct Relay {
    pub address: SocketAddr,
}

impl Relay {
    /// Starts a relay to `to` on its own thread, which runs until the process ends.
    pub fn start(to: SocketAddr) -> io::Result<Relay> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        std::thread::Builder::new().name("relay".to_owned()).spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else { return };
            runtime.block_on(async move {
                let Ok(listener) = compio::net::TcpListener::from_std(listener) else { return };
                while let Ok((stream, _)) = listener.accept().await {
                    compio::runtime::spawn(async move {
                        let Ok(other) = TcpStream::connect(to).await else { return };
                        let requests =
                            copy(TcpLink::new(stream.clone()), TcpLink::new(other.clone()));
                        let responses = copy(TcpLink::new(other), TcpLink::new(stream));
                        // Errors are ignored, because the bench sees a broken connection itself.
                        let _ = futures::join!(requests, responses);
                    })
                    .detach();
                }
            });
        })?;
        Ok(Relay { address })
    }
}

async fn copy(mut from: TcpLink, mut to: TcpLink) -> io::Result<()> {
    let mut buf = BytesMut::with_capacity(16 * 1024);
    loop {
        buf.reserve(4 * 1024);
        buf = from.recv(buf).await?;
        if buf.is_empty() {
            return to.close_write().await;
        }
        buf = to.send(buf).await?;
    }
}
