//! The view in force: an accepted configuration, the platform's list, members.
//!
//! Invariant: a view is built from the newest of each, and published whole to
//! the traffic threads and the engine.

use std::sync::Arc;

use arc_swap::ArcSwap;
use intent::instance;
use steer::version::view;

use crate::daemon::engine::Engine;
use crate::daemon::snapshot::Snapshot;

/// The parts of the view, and where it is published.
pub struct World {
    engine: Arc<Engine>,
    snapshot: Arc<ArcSwap<Snapshot>>,
    version: view::Version,
    plan: Option<Arc<intent::plan::Plan>>,
    instances: Vec<instance::Instance>,
    members: Vec<instance::Member>,
    leaving: bool,
}

impl World {
    /// Nothing known yet.
    pub fn new(engine: Arc<Engine>, snapshot: Arc<ArcSwap<Snapshot>>) -> Self {
        Self {
            engine,
            snapshot,
            version: view::Version::default(),
            plan: None,
            instances: Vec::new(),
            members: Vec::new(),
            leaving: false,
        }
    }

    /// Puts a configuration in force.
    pub fn install(&mut self, version: view::Version, plan: Arc<intent::plan::Plan>) {
        self.version = version;
        self.plan = Some(plan);
        self.publish();
    }

    /// Takes a new list of instances; says whether it changed anything.
    pub fn list(&mut self, instances: Vec<instance::Instance>) -> bool {
        if self.instances == instances {
            return false;
        }
        self.instances = instances;
        self.publish();
        true
    }

    /// Takes the members believed alive, this process included.
    pub fn members(&mut self, members: Vec<instance::Member>) {
        if self.members != members {
            self.members = members;
            self.publish();
        }
    }

    /// Leaves the look-ups' answers.
    pub fn leave(&mut self) {
        self.leaving = true;
        self.publish();
    }

    /// The configuration in force.
    pub const fn version(&self) -> view::Version {
        self.version
    }

    /// The plan in force.
    pub const fn plan(&self) -> Option<&Arc<intent::plan::Plan>> {
        self.plan.as_ref()
    }

    fn publish(&self) {
        let Some(plan) = &self.plan else { return };
        let view = Arc::new(plan.view(self.version, &self.instances, &self.members));
        self.engine.install(Arc::clone(&view));
        self.snapshot
            .store(Arc::new(Snapshot::new(view, self.leaving)));
    }
}

/// A line of the platform's list, in the terms of decisions.
pub fn listed(instance: wire::instance::Instance) -> instance::Instance {
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
