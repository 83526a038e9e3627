//! Carries out a plan that an operator confirmed.

use std::rc::Rc;

use gullspar_border::{ConfigEntry, ObjectVersion, PlatformError};
use gullspar_model::record;
use quick_error::quick_error;

use crate::operator::{StoredService, to_value};
use crate::{Change, Operator, Plan};

record! {
    /// A plan that was carried out.
    pub struct Confirmed {
        pub service: String,
        /// The version of the configuration that the plan wrote.
        pub version: ObjectVersion,
    }
}

quick_error! {
    /// Why a plan was not carried out.
    #[derive(Debug)]
    pub enum ConfirmError {
        /// The configuration has changed since the plan was made; `moved` lists the differences between the plan's
        /// result and the current configuration.
        Moved(version: ObjectVersion, moved: Vec<Change>) {
            display("the configuration changed after the plan was made and is now at version {}",
                version.0)
        }
        /// The platform did not answer, and reading the object back did not show the outcome. It is safe to confirm
        /// the same plan again.
        Uncertain(reason: String) {
            display("it is unknown whether the plan was carried out: {reason}; confirm it again")
        }
        /// The platform refused the update.
        Platform(err: PlatformError) {
            display("{err}")
        }
        /// The plan's result is not the one that its intent produces.
        Altered {
            display("the plan was altered after it was made")
        }
    }
}

impl Operator {
    /// Carries `plan` out if the configuration is still at the version that the plan is based on.
    ///
    /// A plan that was carried out before succeeds again while the object still holds its update.
    pub async fn confirm(self: &Rc<Self>, plan: Plan) -> Result<Confirmed, ConfirmError> {
        let service = plan.intent.service().clone();
        let stored = self
            .stored_service(&service)
            .await
            .map_err(|err| ConfirmError::Uncertain(err.to_string()))?;
        if written_by(&stored) == Some(plan.id.as_str()) {
            // An earlier confirmation was carried out, but its answer was lost.
            return Ok(self.distribute(&plan, stored.version));
        }
        if stored.version != plan.based_on {
            return Err(configuration_moved(&plan, &stored));
        }
        let mut expected =
            plan.intent.apply(stored.object.as_ref()).map_err(|_| ConfirmError::Altered)?;
        expected.written_by = plan.id.clone();
        if expected != *plan.result {
            return Err(ConfirmError::Altered);
        }
        let value = to_value(&plan.result).to_string();
        let platform = &self.fleet.borders().platform;
        match platform.put(&Operator::key(&service), plan.based_on, value).await {
            Ok(version) => Ok(self.distribute(&plan, version)),
            Err(PlatformError::Refused(reason)) => {
                Err(ConfirmError::Platform(PlatformError::Refused(reason)))
            }
            // After a lost answer, or a conflict that an earlier attempt of this plan may have caused, only
            // the object shows whose update it holds.
            Err(_) => self.read_back(&plan).await,
        }
    }

    /// Determines from the stored object whether the plan was carried out.
    async fn read_back(self: &Rc<Self>, plan: &Plan) -> Result<Confirmed, ConfirmError> {
        let stored = self.stored_service(plan.intent.service()).await;
        let stored = stored.map_err(|err| ConfirmError::Uncertain(err.to_string()))?;
        if written_by(&stored) == Some(plan.id.as_str()) {
            return Ok(self.distribute(plan, stored.version));
        }
        if stored.version == plan.based_on {
            // The update may still arrive later, so the plan is not reported as refused.
            return Err(ConfirmError::Uncertain("the update has not arrived yet".to_owned()));
        }
        Err(configuration_moved(plan, &stored))
    }

    /// Distributes the confirmed configuration to all instances, including this one.
    fn distribute(&self, plan: &Plan, version: ObjectVersion) -> Confirmed {
        let service = plan.intent.service();
        let value = to_value(&plan.result).to_string();
        let entry = ConfigEntry { key: Operator::key(service), version, value };
        self.fleet.distribute(vec![entry]);
        Confirmed { service: service.to_string(), version }
    }
}

fn written_by(stored: &StoredService) -> Option<&str> {
    stored.object.as_ref().map(|it| it.written_by.as_str())
}

/// The error for a configuration that differs from the plan's result.
fn configuration_moved(plan: &Plan, stored: &StoredService) -> ConfirmError {
    let now = stored.object.as_ref().map_or(serde_json::Value::Null, to_value);
    let mut moved = Change::between(&to_value(&plan.result), &now);
    moved.retain(|it| it.place != "written_by");
    ConfirmError::Moved(stored.version, moved)
}
