//! Plans and carries out what operators want.

use std::rc::Rc;

use gullspar_border::{BurnSeries, InstanceReport, ObjectVersion, PlatformError};
use gullspar_fleet::Fleet;
use gullspar_model::{ServiceName, ServiceObject};
use gullspar_telemetry::MetricsError;

use crate::metrics::Metrics;
use crate::{Change, Intent, Plan, PlanError};

/// The configuration of a service as the platform has it.
pub(crate) struct Present {
    pub(crate) version: ObjectVersion,
    pub(crate) object: Option<ServiceObject>,
}

/// What answers operators on one instance.
pub struct Operator {
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) own: Rc<dyn OwnReports>,
    pub(crate) metrics: Metrics,
}

/// What an instance reports of itself.
pub trait OwnReports {
    /// Its state and counts.
    fn report(&self) -> InstanceReport;

    /// Its requests by minute.
    fn burn(&self) -> Vec<BurnSeries>;
}

impl Operator {
    /// An operator side that reports on its own instance through `own`.
    pub fn new(fleet: Rc<Fleet>, own: Rc<dyn OwnReports>) -> Result<Rc<Operator>, MetricsError> {
        Ok(Rc::new(Operator { fleet, own, metrics: Metrics::new()? }))
    }

    pub(crate) fn key(service: &ServiceName) -> String {
        format!("{}{service}", ServiceObject::PREFIX)
    }

    /// Reads the present configuration from the platform itself: what is in force here may be
    /// older, and a plan against it could never be confirmed.
    pub(crate) async fn present(&self, service: &ServiceName) -> Result<Present, PlatformError> {
        let stored = self.fleet.borders().platform.get(&Operator::key(service)).await?;
        let Some(stored) = stored else {
            return Ok(Present { version: ObjectVersion::default(), object: None });
        };
        let object = serde_json::from_str(&stored.value)
            .map_err(|err| PlatformError::Refused(format!("the object is unreadable: {err}")))?;
        Ok(Present { version: stored.version, object: Some(object) })
    }

    /// Plans what fulfilling `intent` would change. Nothing happens by it.
    pub async fn plan(&self, intent: Intent) -> Result<Plan, PlanError> {
        let present = self.present(intent.service()).await?;
        let mut result = intent.apply(present.object.as_ref()).map_err(PlanError::Findings)?;
        let id = format!("{}-{:016x}", self.fleet.id(), self.fleet.borders().entropy.next_u64());
        result.written_by = id.clone();
        let before = present.object.as_ref().map_or(serde_json::Value::Null, to_value);
        let mut changes = Change::between(&before, &to_value(&result));
        changes.retain(|it| it.place != "written_by");
        Ok(Plan { id, intent, based_on: present.version, changes, result: Box::new(result) })
    }
}

pub(crate) fn to_value(object: &ServiceObject) -> serde_json::Value {
    serde_json::to_value(object).unwrap_or_default()
}
