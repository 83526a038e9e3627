//! The configuration in force and the reports of all instances.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use gullspar_border::{InstanceReport, PeerReply, PeerRequest};
use gullspar_model::{InstanceRecord, InstanceState, ServiceObject, record};

use crate::Operator;

/// How long to wait for an instance's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

record! {
    /// An instance and its report; `None` if it is dead or did not answer in time.
    pub struct InstanceStatus {
        pub record: InstanceRecord,
        pub report: Option<InstanceReport>,
    }
}

record! {
    /// On how many instances the newest version of a service is in force.
    pub struct ServiceStatus {
        pub service: String,
        pub version: u64,
        pub in_force_on: u64,
        pub instances: u64,
    }
}

record! {
    /// The status of the whole system as this instance sees it.
    pub struct Status {
        pub services: Vec<ServiceStatus>,
        pub instances: Vec<InstanceStatus>,
    }
}

impl Operator {
    /// Fetches the reports of all instances.
    pub async fn status(self: &Rc<Self>) -> Status {
        let own = self.fleet.id();
        let records = self.fleet.instances();
        let reports = records.into_iter().map(|record| {
            let own = own.clone();
            async move {
                let report = if record.id == own {
                    Some(self.own.report())
                } else if record.state == InstanceState::Dead {
                    None
                } else {
                    self.fetch_report(&record).await
                };
                InstanceStatus { record, report }
            }
        });
        let instances = futures::future::join_all(reports).await;
        Status { services: service_statuses(&instances), instances }
    }

    async fn fetch_report(&self, record: &InstanceRecord) -> Option<InstanceReport> {
        let borders = self.fleet.borders();
        let deadline = borders.clock.now() + REPORT_TIMEOUT;
        match borders.peers.call(record.peer, PeerRequest::Report, deadline).await {
            Ok(PeerReply::Report(report)) => Some(*report),
            _ => None,
        }
    }
}

fn service_statuses(instances: &[InstanceStatus]) -> Vec<ServiceStatus> {
    let reports: Vec<&InstanceReport> =
        instances.iter().filter_map(|it| it.report.as_ref()).collect();
    let mut versions: BTreeMap<&str, Vec<u64>> = BTreeMap::new();
    for report in &reports {
        for entry in &report.configuration {
            if let Some(name) = entry.key.strip_prefix(ServiceObject::PREFIX) {
                versions.entry(name).or_default().push(entry.version.0);
            }
        }
    }
    let live = instances.iter().filter(|it| it.record.state != InstanceState::Dead).count();
    versions
        .into_iter()
        .map(|(service, reported)| {
            let version = reported.iter().copied().max().unwrap_or(0);
            let in_force_on = reported.iter().filter(|it| **it == version).count() as u64;
            ServiceStatus {
                service: service.to_owned(),
                version,
                in_force_on,
                instances: live as u64,
            }
        })
        .collect()
}
