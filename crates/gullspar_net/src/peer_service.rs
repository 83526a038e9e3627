//! The tarpc service between instances.

use gullspar_border::{PeerReply, PeerRequest};

/// One call for everything: the request tells what is asked, so that a test's stand-in for the
/// [`Peers`](gullspar_border::Peers) border has one method to write.
#[tarpc::service]
pub(crate) trait PeerService {
    async fn call(req: PeerRequest) -> PeerReply;
}
