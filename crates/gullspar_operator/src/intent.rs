//! Changes that operators ask for.

use gullspar_model::{
    CallerClass, CallerName, CallerSpec, GroupSpec, MemberName, MemberSpec, ServiceName,
    ServiceObject, record,
};

record! {
    /// A change to one service that an operator asks for.
    #[serde(rename_all = "snake_case", tag = "intent")]
    pub enum Intent {
        /// Creates a service in front of a group.
        CreateService { service: ServiceName, object: Box<ServiceObject> },
        /// Adds or changes a class of callers.
        SetClass { service: ServiceName, class: String, settings: CallerClass },
        /// Adds a caller or changes its class or password.
        SetCaller { service: ServiceName, caller: CallerName, settings: CallerSpec },
        /// Removes a caller.
        RemoveCaller { service: ServiceName, caller: CallerName },
        /// Marks a member as leaving, or reverts that.
        SetLeaving { service: ServiceName, member: MemberName, leaving: bool },
        /// Adds a voting member.
        AddMember { service: ServiceName, member: MemberSpec },
        /// Removes a voting member, which must be leaving.
        RemoveMember { service: ServiceName, member: MemberName },
        /// Changes the limits of a member: its slots and its maximum number of connections.
        SetLimits { service: ServiceName, member: MemberName, slots: u32, connections: u32 },
    }
}

impl Intent {
    /// The service that the intent applies to.
    pub fn service(&self) -> &ServiceName {
        match self {
            Intent::CreateService { service, .. }
            | Intent::SetClass { service, .. }
            | Intent::SetCaller { service, .. }
            | Intent::RemoveCaller { service, .. }
            | Intent::SetLeaving { service, .. }
            | Intent::AddMember { service, .. }
            | Intent::RemoveMember { service, .. }
            | Intent::SetLimits { service, .. } => service,
        }
    }

    /// The configuration after the change.
    ///
    /// # Errors
    ///
    /// Returns all reasons why the intent can't be fulfilled.
    pub fn apply(&self, current: Option<&ServiceObject>) -> Result<ServiceObject, Vec<String>> {
        if let Intent::CreateService { object, service } = self {
            return match current {
                Some(_) => Err(vec![format!("service {service} already exists")]),
                None => validated((**object).clone()),
            };
        }
        let Some(current) = current else {
            return Err(vec![format!("there is no service {}", self.service())]);
        };
        let mut object = current.clone();
        self.apply_to(&mut object)?;
        validated(object)
    }

    fn apply_to(&self, object: &mut ServiceObject) -> Result<(), Vec<String>> {
        match self {
            Intent::CreateService { .. } => {}
            Intent::SetClass { class, settings, .. } => {
                object.classes.insert(class.clone(), *settings);
            }
            Intent::SetCaller { caller, settings, .. } => {
                object.callers.insert(caller.clone(), settings.clone());
            }
            Intent::RemoveCaller { caller, .. } => {
                let removed = object.callers.remove(caller);
                removed.ok_or_else(|| vec![format!("there is no caller {caller}")])?;
            }
            Intent::SetLeaving { member, leaving, .. } => {
                member_mut(&mut object.group, member)?.leaving = *leaving;
            }
            Intent::AddMember { member, .. } => object.group.members.push(member.clone()),
            Intent::RemoveMember { member, .. } => remove_member(&mut object.group, member)?,
            Intent::SetLimits { member, slots, connections, .. } => {
                let member = member_mut(&mut object.group, member)?;
                member.slots = *slots;
                member.connections = *connections;
            }
        }
        Ok(())
    }
}

fn member_mut<'g>(
    group: &'g mut GroupSpec,
    name: &MemberName,
) -> Result<&'g mut MemberSpec, Vec<String>> {
    let found = group.members.iter_mut().find(|it| it.name == *name);
    found.ok_or_else(|| vec![format!("there is no member {name}")])
}

/// Removes one member that is leaving.
///
/// Members are removed one at a time, so that every old majority overlaps with every new one. A member must leave
/// first, so that it neither leads nor serves when it is removed.
fn remove_member(group: &mut GroupSpec, name: &MemberName) -> Result<(), Vec<String>> {
    if !member_mut(group, name)?.leaving {
        return Err(vec![format!("member {name} must be leaving before it can be removed")]);
    }
    group.members.retain(|it| it.name != *name);
    Ok(())
}

/// Returns `object`, or all its invalid settings.
fn validated(object: ServiceObject) -> Result<ServiceObject, Vec<String>> {
    let mut findings = Vec::new();
    let members = &object.group.members;
    if members.is_empty() {
        findings.push("group.members: a group needs at least one member".to_owned());
    }
    for (index, member) in members.iter().enumerate() {
        let path = format!("group.members[{index}] ({})", member.name);
        if member.slots == 0 {
            findings.push(format!("{path}.slots: must be at least 1"));
        }
        if member.connections < 8 {
            findings.push(format!("{path}.connections: must be at least 8, six are gullspar's"));
        }
        if members[..index].iter().any(|it| it.name == member.name) {
            findings.push(format!("{path}: duplicate name"));
        }
        if members[..index].iter().any(|it| it.address == member.address) {
            findings.push(format!("{path}.address: duplicate address {}", member.address));
        }
    }
    if members.iter().filter(|it| !it.leaving).count() * 2 <= members.len() {
        findings.push("group.members: fewer than half of the members may be leaving".to_owned());
    }
    for (name, class) in &object.classes {
        if class.deadline_ms == 0 {
            findings.push(format!("classes.{name}.deadline_ms: must be at least 1"));
        }
        if class.priority > CallerClass::LOWEST_PRIORITY {
            findings.push(format!("classes.{name}.priority: must be between 0 and 3"));
        }
        if class.objective_ppm >= 1_000_000 {
            findings.push(format!("classes.{name}.objective_ppm: must be less than 1000000"));
        }
    }
    for (name, caller) in &object.callers {
        if !object.classes.contains_key(&caller.class) {
            findings.push(format!("callers.{name}.class: there is no class {}", caller.class));
        }
    }
    if findings.is_empty() { Ok(object) } else { Err(findings) }
}
