//! The report of an instance's own state.

use gullspar_border::{BurnSeries, ConfigEntry, InstanceReport, MemberReport};
use gullspar_group::GroupWatch;
use gullspar_model::TargetKey;
use gullspar_operator::OwnReports;

use crate::instance::Components;

impl OwnReports for Components {
    fn report(&self) -> InstanceReport {
        let configuration = self
            .fleet
            .config
            .versions()
            .into_iter()
            .map(|(key, version)| ConfigEntry { key, version, value: String::new() })
            .collect();
        InstanceReport {
            id: self.fleet.id(),
            data_centre: self.fleet.data_centre(),
            callers: self.callers.connected(),
            live_instances: self.fleet.live_count() as u64,
            configuration,
            members: self.groups.watches().iter().flat_map(|it| self.member_reports(it)).collect(),
            outcomes: self.stats.report(),
        }
    }

    fn burn(&self) -> Vec<BurnSeries> {
        self.stats.burn()
    }
}

impl Components {
    fn member_reports(&self, watch: &GroupWatch) -> Vec<MemberReport> {
        let spec = watch.spec();
        let reports = spec.members.iter().map(|member| {
            let view = watch.view(&member.name);
            let key = TargetKey::new(&spec.name, &member.name);
            let pool = self.pools.report(&spec.name, &member.name);
            MemberReport {
                group: spec.name.clone(),
                member: member.name.clone(),
                status: view.and_then(|it| it.status),
                silent_ms: view.map(|it| watch.elapsed(it.last_response_at).as_millis() as u64),
                age_ms: watch.age(&member.name).map(|it| it.as_millis() as u64),
                connections: pool.connections,
                busy_slots: pool.busy_slots,
                queued: pool.queued,
                home: self.fleet.is_home(&key, &member.data_centre),
            }
        });
        reports.collect()
    }
}
