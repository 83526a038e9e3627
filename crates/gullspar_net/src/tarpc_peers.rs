//! Calls other instances over tarpc.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

use compio::io::framed::Framed;
use compio::io::framed::frame::LengthDelimited;
use compio::net::TcpStream;
use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{Clock, PeerError, PeerReply, PeerRequest, Peers, within};
use tarpc::client::Config;
use tarpc::context::Context;

use crate::closing_transport::ClosingTransport;
use crate::peer_codec::PeerCodec;
use crate::peer_service::{PeerServiceClient, PeerServiceRequest, PeerServiceResponse};

/// Calls instances over one connection to each, which is opened on first use.
pub struct TarpcPeers {
    clock: Rc<dyn Clock>,
    clients: Rc<RefCell<HashMap<SocketAddr, PeerServiceClient>>>,
}

impl TarpcPeers {
    /// Creates a client that measures deadlines on `clock`.
    pub fn new(clock: Rc<dyn Clock>) -> TarpcPeers {
        TarpcPeers { clock, clients: Rc::default() }
    }
}

async fn connect(to: SocketAddr) -> Result<PeerServiceClient, PeerError> {
    let stream = TcpStream::connect(to).await.map_err(PeerError::no_answer)?;
    // Without this option the stream still works, only slower.
    let _ = stream.set_nodelay(true);
    let transport = Framed::new::<
        tarpc::ClientMessage<PeerServiceRequest>,
        tarpc::Response<PeerServiceResponse>,
    >(PeerCodec, LengthDelimited::new())
    .with_duplex(stream);
    let created = PeerServiceClient::new(Config::default(), ClosingTransport::new(transport));
    compio::runtime::spawn(async move {
        // An error ends the connection, and each call in flight fails with it.
        let _ = created.dispatch.await;
    })
    .detach();
    Ok(created.client)
}

impl Peers for TarpcPeers {
    fn call(
        &self,
        to: SocketAddr,
        req: PeerRequest,
        deadline: Instant,
    ) -> LocalBoxFuture<'static, Result<PeerReply, PeerError>> {
        let clock = Rc::clone(&self.clock);
        let clients = Rc::clone(&self.clients);
        async move {
            let call = async {
                let known = clients.borrow().get(&to).cloned();
                let client = match known {
                    Some(client) => client,
                    None => {
                        let client = connect(to).await?;
                        clients.borrow_mut().insert(to, client.clone());
                        client
                    }
                };
                let mut cx = Context::current();
                cx.deadline = deadline;
                client.call(cx, req).await.map_err(PeerError::no_answer)
            };
            let result = within(&*clock, deadline, call)
                .await
                .unwrap_or_else(|_| Err(PeerError::no_answer("the deadline passed")));
            if result.is_err() {
                // The connection may be broken or stalled; the next call opens a new one.
                clients.borrow_mut().remove(&to);
            }
            result
        }
        .boxed_local()
    }
}
