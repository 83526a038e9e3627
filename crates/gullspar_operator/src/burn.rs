//! Requests per minute, summed over all instances.

use std::rc::Rc;
use std::time::Duration;

use gullspar_border::{BurnSeries, PeerReply, PeerRequest};
use gullspar_model::InstanceState;

use crate::Operator;

/// How long to wait for an instance's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

impl Operator {
    /// Fetches every instance's requests per minute and adds them up by service and class. Instances that don't
    /// answer in time are left out.
    pub async fn burn(self: &Rc<Self>) -> Vec<BurnSeries> {
        let own = self.fleet.id();
        let borders = self.fleet.borders();
        let deadline = borders.clock.now() + ANSWER_TIMEOUT;
        let others = self
            .fleet
            .instances()
            .into_iter()
            .filter(|it| it.id != own && it.state != InstanceState::Dead)
            .map(|it| borders.peers.call(it.peer, PeerRequest::Burn, deadline));
        let answers = futures::future::join_all(others).await;
        let mut total = self.own.burn();
        for answer in answers {
            if let Ok(PeerReply::Burn(series)) = answer {
                series.iter().for_each(|it| add_series(&mut total, it));
            }
        }
        total.sort_by(|one, other| (&one.service, &one.class).cmp(&(&other.service, &other.class)));
        total
    }
}

fn add_series(total: &mut Vec<BurnSeries>, series: &BurnSeries) {
    let known =
        total.iter_mut().find(|it| it.service == series.service && it.class == series.class);
    match known {
        Some(known) => known.add(series),
        None => total.push(series.clone()),
    }
}
