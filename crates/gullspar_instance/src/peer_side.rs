//! Handles requests from other instances.

use std::rc::Rc;

use futures::FutureExt;
use futures::future::LocalBoxFuture;
use gullspar_border::{PeerHandler, PeerReply, PeerRequest, PrimaryView};

use gullspar_operator::OwnReports;

use crate::instance::Components;

impl PeerHandler for Components {
    fn handle(self: Rc<Self>, req: PeerRequest) -> LocalBoxFuture<'static, PeerReply> {
        async move {
            match req {
                PeerRequest::Exchange { from, updates, config_digest } => {
                    self.fleet.answer_exchange(from, updates, config_digest)
                }
                PeerRequest::Probe { peer } => Rc::clone(&self.fleet).answer_probe(peer).await,
                PeerRequest::Pull { known } => {
                    PeerReply::Entries(self.fleet.config.newer_than(&known))
                }
                PeerRequest::Push { entries, forward } => {
                    self.fleet.apply_entries(entries, forward);
                    PeerReply::Accepted
                }
                PeerRequest::ViewOfPrimary { group, term } => {
                    let watch = self.groups.watch(&group);
                    let view = watch.map_or(PrimaryView::NoView, |it| it.view_of_primary(term));
                    PeerReply::View(view)
                }
                PeerRequest::CancelLane { lane } => {
                    self.lanes.cancel(lane);
                    PeerReply::Accepted
                }
                PeerRequest::CancelCaller { process, secret } => {
                    self.cancels.cancel_here(process, secret);
                    PeerReply::Accepted
                }
                PeerRequest::Burn => PeerReply::Burn(self.stats.burn()),
                PeerRequest::Report => PeerReply::Report(Box::new(self.report())),
            }
        }
        .boxed_local()
    }
}
