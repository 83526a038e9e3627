//! Serves calls from other instances.

use std::rc::Rc;

use compio::io::framed::Framed;
use compio::io::framed::frame::LengthDelimited;
use compio::net::{TcpListener, TcpStream};
use futures::channel::{mpsc, oneshot};
use futures::{StreamExt, TryStreamExt};
use gullspar_border::{PeerHandler, PeerReply, PeerRequest};
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};

use crate::closing_transport::ClosingTransport;
use crate::peer_codec::PeerCodec;
use crate::peer_service::PeerService;

/// A call to the instance, with the channel for its reply.
type IncomingCall = (PeerRequest, oneshot::Sender<PeerReply>);

/// Forwards calls to the handler's task.
///
/// tarpc requires a `Send` server, but the handler is bound to one thread.
#[derive(Clone)]
struct Forwarder {
    tx: mpsc::UnboundedSender<IncomingCall>,
}

impl PeerService for Forwarder {
    async fn call(self, _: Context, req: PeerRequest) -> PeerReply {
        let (tx, rx) = oneshot::channel();
        // The channel is closed if the instance is shutting down; the call then gets no reply.
        let _ = self.tx.unbounded_send((req, tx));
        match rx.await {
            Ok(reply) => reply,
            Err(_) => std::future::pending().await,
        }
    }
}

/// Accepts other instances on `listener` and answers their calls with `handler`; never returns.
pub async fn serve_peers(listener: TcpListener, handler: Rc<dyn PeerHandler>) {
    let (tx, mut rx) = mpsc::unbounded::<IncomingCall>();
    compio::runtime::spawn(async move {
        while let Some((req, reply)) = rx.next().await {
            let handling = Rc::clone(&handler).handle(req);
            compio::runtime::spawn(async move {
                // Sending fails if the calling instance has disconnected.
                let _ = reply.send(handling.await);
            })
            .detach();
        }
    })
    .detach();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                compio::runtime::spawn(serve_connection(stream, Forwarder { tx: tx.clone() }))
                    .detach();
            }
            Err(err) => log::warn!("G0301 accepting a connection from an instance failed: {err}"),
        }
    }
}

async fn serve_connection(stream: TcpStream, forwarder: Forwarder) {
    // Without this option the stream still works, only slower.
    let _ = stream.set_nodelay(true);
    let transport = Framed::new::<
        tarpc::Response<crate::peer_service::PeerServiceResponse>,
        tarpc::ClientMessage<crate::peer_service::PeerServiceRequest>,
    >(PeerCodec, LengthDelimited::new())
    .with_duplex(stream);
    let mut requests = BaseChannel::with_defaults(ClosingTransport::new(transport)).requests();
    while let Ok(Some(req)) = requests.try_next().await {
        compio::runtime::spawn(req.execute(forwarder.clone().serve())).detach();
    }
}
