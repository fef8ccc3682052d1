//! Builds the view from the configuration, the platform's list and the members.
//!
//! Invariant: a view is built from the latest version of each input, and is published
//! as a unit to the engine and the traffic threads.

use std::sync::Arc;

use arc_swap::{ArcSwap, ArcSwapOption};
use intent::instance;
use steer::process::{control, member};
use steer::version::view;

use super::active::ActiveConfig;
use crate::daemon::engine::Engine;
use crate::daemon::snapshot::Snapshot;

/// Receivers of the view and of the configuration.
pub struct Outputs {
    /// Engine that serves requests.
    pub engine: Arc<Engine>,
    /// Snapshot that answers look-ups.
    pub snapshot: Arc<ArcSwap<Snapshot>>,
    /// Configuration shown to operators.
    pub active: Arc<ArcSwapOption<ActiveConfig>>,
}

/// Inputs of the view and its receivers.
pub struct ViewBuilder {
    outputs: Outputs,
    active: Option<Arc<ActiveConfig>>,
    instances: Vec<instance::Instance>,
    members: Vec<instance::Member>,
    serving: bool,
}

impl ViewBuilder {
    /// Creates a builder without inputs.
    pub const fn new(outputs: Outputs) -> Self {
        Self {
            outputs,
            active: None,
            instances: Vec::new(),
            members: Vec::new(),
            serving: false,
        }
    }

    /// Installs a configuration. Returns the number of entry instances among which
    /// caps are divided, or `None` if `name` is not configured.
    pub fn install(&mut self, active: ActiveConfig, name: &str) -> Option<u32> {
        let active = Arc::new(active);
        self.outputs.active.store(Some(Arc::clone(&active)));
        self.active = Some(Arc::clone(&active));
        self.publish();
        region_slots(&active.plan, name)
    }

    /// Sets the list of instances.
    pub fn set_instances(&mut self, instances: Vec<instance::Instance>) {
        if self.instances != instances {
            self.instances = instances;
            self.publish();
        }
    }

    /// Sets the members, and whether this process serves look-ups.
    pub fn set_members(&mut self, own: &member::Record, snapshot: &control::Snapshot) {
        let serving = snapshot.ready
            && own.lifecycle == member::Lifecycle::Live
            && may_serve(snapshot.status);
        let mut members: Vec<instance::Member> =
            snapshot.members.iter().filter_map(member).collect();
        if !members
            .iter()
            .any(|m| m.incarnation == own.stamp.incarnation)
        {
            members.extend(peer(own));
        }
        if self.members != members || self.serving != serving {
            self.members = members;
            self.serving = serving;
            self.publish();
        }
    }

    fn publish(&self) {
        let Some(active) = &self.active else { return };
        let view = active
            .plan
            .view(active.version, &self.instances, &self.members);
        let view = Arc::new(view);
        self.outputs.engine.install(Arc::clone(&view));
        let snapshot = Snapshot::new(view, self.serving);
        self.outputs.snapshot.store(Arc::new(snapshot));
    }
}

/// Returns true if look-ups may be answered. They may not after a freeze until its end
/// is confirmed, nor once a newer process runs under this name.
const fn may_serve(status: control::MemberStatus) -> bool {
    matches!(
        status,
        control::MemberStatus::Current | control::MemberStatus::Isolated
    )
}

/// Number of configured entry instances in the region of instance `name`, among which
/// caps are divided.
fn region_slots(plan: &intent::plan::Plan, name: &str) -> Option<u32> {
    let at = plan.entries.values().find(|e| &*e.name == name)?;
    let region = plan.domains[at.domain].region;
    let is_local = |e: &&view::EntryData| plan.domains[e.domain].region == region;
    let count = plan.entries.values().filter(is_local).count();
    u32::try_from(count).ok()
}

fn member(member: &member::Member) -> Option<instance::Member> {
    peer(&member.record)
}

fn peer(record: &member::Record) -> Option<instance::Member> {
    Some(instance::Member {
        name: Arc::clone(&record.identity.name),
        incarnation: record.stamp.incarnation,
        domain: Arc::clone(&record.identity.domain),
        addr: record.identity.addr,
        peer: record.identity.peer,
        state: record.lifecycle.state()?,
    })
}

/// Converts an entry of the platform's list.
pub fn convert_instance(instance: wire::instance::Instance) -> instance::Instance {
    let role = match instance.role {
        wire::instance::Role::Target {
            addr,
            service,
            site,
            slots,
        } => instance::Role::Target {
            addr,
            service: service.into(),
            site: site.into(),
            slots,
        },
        wire::instance::Role::Entry { peer } => instance::Role::Entry { peer },
    };
    instance::Instance {
        name: instance.name.into(),
        domain: instance.domain.into(),
        state: instance.state.into(),
        role,
    }
}
