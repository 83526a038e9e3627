//! Carrying out a plan, exactly as it was shown.

use std::rc::Rc;

use gullspar_border::{ConfigEntry, ObjectVersion, PlatformError};
use gullspar_model::record;
use quick_error::quick_error;

use crate::operator::{Present, to_value};
use crate::{Change, Operator, Plan};

record! {
    /// A plan that was carried out.
    pub struct Confirmed {
        pub service: String,
        /// The version that is in force from now on, or a later one.
        pub version: ObjectVersion,
    }
}

quick_error! {
    /// Why a plan was not carried out.
    #[derive(Debug)]
    pub enum ConfirmError {
        /// Its ground has moved; `moved` tells what differs from what it was made against.
        Moved(version: ObjectVersion, moved: Vec<Change>) {
            display("the configuration is at version {} and no longer what the plan was made against",
                version.0)
        }
        /// The platform gave no answer, and did not tell afterwards either. Confirming the same plan
        /// again is safe.
        Uncertain(reason: String) {
            display("it is not known whether the plan was carried out: {reason}; confirm it again")
        }
        /// The platform refused.
        Platform(err: PlatformError) {
            display("{err}")
        }
        /// The plan is not what gullspar would plan for its intent.
        Altered {
            display("the plan was altered after it was made")
        }
    }
}

impl Operator {
    /// Carries `plan` out if the configuration is still what it was made against.
    pub async fn confirm(self: &Rc<Self>, plan: Plan) -> Result<Confirmed, ConfirmError> {
        let service = plan.intent.service().clone();
        let present =
            self.present(&service).await.map_err(|err| ConfirmError::Uncertain(err.to_string()))?;
        if written_by(&present) == Some(plan.id.as_str()) {
            // Confirmed before, by somebody whose answer was lost.
            return Ok(self.take(&plan, present.version));
        }
        if present.version != plan.based_on {
            return Err(moved(&plan, &present));
        }
        let mut expected =
            plan.intent.apply(present.object.as_ref()).map_err(|_| ConfirmError::Altered)?;
        expected.written_by = plan.id.clone();
        if expected != *plan.result {
            return Err(ConfirmError::Altered);
        }
        let value = to_value(&plan.result).to_string();
        let platform = &self.fleet.borders().platform;
        match platform.put(&Operator::key(&service), plan.based_on, value).await {
            Ok(version) => Ok(self.take(&plan, version)),
            Err(PlatformError::Refused(reason)) => {
                Err(ConfirmError::Platform(PlatformError::Refused(reason)))
            }
            // After a lost answer, and after a conflict that may be our own earlier attempt, only
            // the object itself tells whose update it holds.
            Err(_) => self.read_back(&plan).await,
        }
    }

    async fn read_back(self: &Rc<Self>, plan: &Plan) -> Result<Confirmed, ConfirmError> {
        let present = self.present(plan.intent.service()).await;
        let present = present.map_err(|err| ConfirmError::Uncertain(err.to_string()))?;
        if written_by(&present) == Some(plan.id.as_str()) {
            return Ok(self.take(plan, present.version));
        }
        if present.version == plan.based_on {
            // A delayed update could still arrive, so this is no refusal.
            return Err(ConfirmError::Uncertain("the update did not arrive so far".to_owned()));
        }
        Err(moved(plan, &present))
    }

    /// Puts the confirmed configuration in force here and on all other instances.
    fn take(&self, plan: &Plan, version: ObjectVersion) -> Confirmed {
        let service = plan.intent.service();
        let value = to_value(&plan.result).to_string();
        let entry = ConfigEntry { key: Operator::key(service), version, value };
        self.fleet.distribute(vec![entry]);
        Confirmed { service: service.to_string(), version }
    }
}

fn written_by(present: &Present) -> Option<&str> {
    present.object.as_ref().map(|it| it.written_by.as_str())
}

/// What stands now against what the plan would have made.
fn moved(plan: &Plan, present: &Present) -> ConfirmError {
    let now = present.object.as_ref().map_or(serde_json::Value::Null, to_value);
    let mut moved = Change::between(&to_value(&plan.result), &now);
    moved.retain(|it| it.place != "written_by");
    ConfirmError::Moved(present.version, moved)
}
