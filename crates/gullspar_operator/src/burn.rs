//! Requests by minute, of all instances together.

use std::rc::Rc;
use std::time::Duration;

use gullspar_border::{BurnSeries, PeerReply, PeerRequest};
use gullspar_model::InstanceState;

use crate::Operator;

/// How long an instance may take to answer.
const ANSWER_WITHIN: Duration = Duration::from_millis(500);

impl Operator {
    /// Asks every instance for its requests by minute and adds them up by service and class.
    pub async fn burn(self: &Rc<Self>) -> Vec<BurnSeries> {
        let own = self.fleet.id();
        let borders = self.fleet.borders();
        let deadline = borders.clock.now() + ANSWER_WITHIN;
        let others = self
            .fleet
            .instances()
            .into_iter()
            .filter(|it| it.id != own && it.state != InstanceState::Dead)
            .map(|it| borders.peers.call(it.peer, PeerRequest::Burn, deadline));
        let answers = futures::future::join_all(others).await;
        let mut sum = self.own.burn();
        for answer in answers {
            if let Ok(PeerReply::Burn(series)) = answer {
                series.iter().for_each(|it| add(&mut sum, it));
            }
        }
        sum.sort_by(|one, other| (&one.service, &one.class).cmp(&(&other.service, &other.class)));
        sum
    }
}

fn add(sum: &mut Vec<BurnSeries>, series: &BurnSeries) {
    let known = sum.iter_mut().find(|it| it.service == series.service && it.class == series.class);
    match known {
        Some(known) => known.add(series),
        None => sum.push(series.clone()),
    }
}
