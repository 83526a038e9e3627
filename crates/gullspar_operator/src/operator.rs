//! Access to the stored configuration, and planning of changes.

use std::rc::Rc;

use gullspar_border::{BurnSeries, InstanceReport, ObjectVersion, PlatformError};
use gullspar_fleet::Fleet;
use gullspar_model::{ServiceName, ServiceObject};
use gullspar_telemetry::MetricsError;

use crate::metrics::Metrics;
use crate::{Change, Intent, Plan, PlanError};

/// The configuration of a service as the platform stores it. Version 0 without an object if there is none.
pub(crate) struct StoredService {
    pub(crate) version: ObjectVersion,
    pub(crate) object: Option<ServiceObject>,
}

/// Answers operators' requests on one instance.
pub struct Operator {
    pub(crate) fleet: Rc<Fleet>,
    pub(crate) own: Rc<dyn OwnReports>,
    pub(crate) metrics: Metrics,
}

/// Reports of an instance on itself.
pub trait OwnReports {
    /// Its state and counts.
    fn report(&self) -> InstanceReport;

    /// Its requests per minute.
    fn burn(&self) -> Vec<BurnSeries>;
}

impl Operator {
    /// Creates the operator API of one instance, which reports on itself through `own`.
    ///
    /// # Errors
    ///
    /// Fails if the metrics can't be set up.
    pub fn new(fleet: Rc<Fleet>, own: Rc<dyn OwnReports>) -> Result<Rc<Operator>, MetricsError> {
        Ok(Rc::new(Operator { fleet, own, metrics: Metrics::new()? }))
    }

    /// The key of a service's object on the platform.
    pub(crate) fn key(service: &ServiceName) -> String {
        format!("{}{service}", ServiceObject::PREFIX)
    }

    /// Reads the configuration from the platform. The one in force on this instance may be older, and a plan
    /// based on it could never be confirmed.
    pub(crate) async fn stored_service(
        &self,
        service: &ServiceName,
    ) -> Result<StoredService, PlatformError> {
        let found = self.fleet.borders().platform.get(&Operator::key(service)).await?;
        let Some(versioned) = found else {
            return Ok(StoredService { version: ObjectVersion::default(), object: None });
        };
        let object = serde_json::from_str(&versioned.value).map_err(|err| {
            PlatformError::Refused(format!("the stored configuration can't be parsed: {err}"))
        })?;
        Ok(StoredService { version: versioned.version, object: Some(object) })
    }

    /// Plans the change that `intent` asks for, without changing anything.
    ///
    /// # Errors
    ///
    /// Fails if the intent can't be fulfilled, or if the platform can't be read.
    pub async fn plan(&self, intent: Intent) -> Result<Plan, PlanError> {
        let stored = self.stored_service(intent.service()).await?;
        let mut result = intent.apply(stored.object.as_ref()).map_err(PlanError::Findings)?;
        let id = format!("{}-{:016x}", self.fleet.id(), self.fleet.borders().entropy.next_u64());
        result.written_by = id.clone();
        let before = stored.object.as_ref().map_or(serde_json::Value::Null, to_value);
        let mut changes = Change::between(&before, &to_value(&result));
        changes.retain(|it| it.place != "written_by");
        Ok(Plan { id, intent, based_on: stored.version, changes, result: Box::new(result) })
    }
}

pub(crate) fn to_value(object: &ServiceObject) -> serde_json::Value {
    serde_json::to_value(object).unwrap_or_default()
}
