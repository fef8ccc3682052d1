//! Targets, bounds and configuration of a fleet.
//!
//! Invariant: the bounds are those of the users' deployments today.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::direct::budget::Rule;
use steer::process::direct::members::Registration;
use steer::process::direct::target::Entry;
use steer::process::direct::{Bounds, access, limit, quota};
use steer::version::routes::{Limits, Route, Routes, Service, WeightedService};

/// Targets by region: uneven, as they often are; for each [`SHARE`] instances.
pub const TARGETS: [usize; 3] = [4, 6, 2];
/// Time that a target stays cold.
pub const COLD: Duration = Duration::from_secs(3);

/// A target.
pub struct Target {
    /// What discovery says of it, but for the time that it stays cold.
    pub entry: Entry,
    /// Its region.
    pub region: usize,
    /// Until when it is cold.
    pub cold: Time,
}

impl Target {
    /// What discovery says of it now.
    pub fn entry_at(&self, now: Time) -> Entry {
        let cold = self.cold.since(now);
        Entry {
            cold,
            ..self.entry.clone()
        }
    }
}

/// Targets of a fleet, `scale` times [`TARGETS`].
pub fn targets(scale: usize) -> Vec<Target> {
    let mut targets = Vec::new();
    for (at, count) in TARGETS.iter().enumerate() {
        for number in 0..count * scale {
            let entry = Entry {
                id: format!("t{at}-{number}").into(),
                service: "sheets".into(),
                addr: ([127, 0, 0, 1], 1).into(),
                domain: region(at),
                slots: 3,
                draining: false,
                seq: 1,
                cold: Duration::ZERO,
                incarnation: 1,
            };
            targets.push(Target {
                entry,
                region: at,
                cold: Time::ZERO,
            });
        }
    }
    targets
}

/// Name of a region.
pub fn region(at: usize) -> Arc<str> {
    format!("r{at}").into()
}

/// Where an instance of a region stands.
pub fn row(at: usize) -> Registration {
    let addr = ([127, 0, 0, 1], 1).into();
    Registration {
        region: region(at),
        domain: region(at),
        callers: addr,
        peers: addr,
        heartbeats: addr,
    }
}

/// Bounds as the users' deployments set them.
pub const BOUNDS: Bounds = Bounds {
    retries: Rule {
        ratio: 0.2,
        slack: 58.0,
        window: Duration::from_secs(10),
    },
    cold_factor: 1.5,
    cold_slack: 5.0,
    limit: limit::Rule {
        window: Duration::from_secs(4),
        factor: 1.5,
        slack: 5.0,
    },
    drain: Duration::from_millis(2_500),
    evacuation: None,
    backoff_max: Duration::from_mins(1),
    shift_max: 0.15,
    access: access::Bounds {
        config: None,
        revocation: None,
    },
    quota: quota::Rule {
        window: Duration::ZERO,
        excess: 0.0,
        slack: 0.0,
    },
};

/// Requests a second that a cold target bears.
pub const COLD_RATE: f64 = 2.0;

/// The configuration: one route to one service.
pub fn routes() -> Routes {
    let route = Route {
        name: "view".into(),
        host: "a.example".into(),
        prefix: "/view/".into(),
        is_idempotent: true,
        timeout: Duration::from_secs(3),
        latency_goal: Duration::from_millis(600),
        attempts_max: 3,
        priority: 1,
        services: vec![WeightedService {
            service: "sheets".into(),
            weight: 1.0,
        }],
        has_affinity: true,
        home_regions: Vec::new(),
        is_public: false,
    };
    let service = Service {
        name: "sheets".into(),
        health_path: "/health".into(),
        connections_max: 100,
        warmup: COLD,
        cold_rate: COLD_RATE,
    };
    let limits = Limits {
        head_bytes: 8192,
        body_bytes: 8192,
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(5),
    };
    Routes::new(1, vec![route], vec![service], limits).expect("one route can't conflict")
}
