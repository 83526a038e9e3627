//! The tarpc service between instances.

use gullspar_border::{PeerReply, PeerRequest};

/// A single method for all requests, so that a simulated [`Peers`](gullspar_border::Peers) border
/// needs to implement only one.
#[tarpc::service]
pub(crate) trait PeerService {
    async fn call(req: PeerRequest) -> PeerReply;
}
