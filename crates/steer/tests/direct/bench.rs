//! A small deployment: two regions of two domains, targets as a test names them.

use core::time::Duration;
use std::sync::Arc;

use steer::clock::Time;
use steer::process::direct::budget::Rule;
use steer::process::direct::members::{Heartbeat, Registration};
use steer::process::direct::target::Entry;
use steer::process::direct::{
    Assignment, AttemptOutcome, Bounds, Decision, Direct, FollowUp, Identity, Request, Ticket,
    access, limit, quota,
};
use steer::request::arrival::Fingerprint;
use steer::version::routes::{Limits, Route, Routes, Service, WeightedService};

pub const MS: Duration = Duration::from_millis(1);

pub fn at(millis: u64) -> Time {
    Time::from_micros(millis * 1000)
}

pub fn registration(region: &str) -> Registration {
    let addr = ([127, 0, 0, 1], 1).into();
    Registration {
        region: region.into(),
        domain: format!("{region}-a").into(),
        callers: addr,
        peers: addr,
        heartbeats: addr,
    }
}

pub fn heartbeat(name: &str, seq: u64) -> Heartbeat {
    Heartbeat {
        name: name.into(),
        incarnation: 7,
        seq,
        is_leaving: false,
        is_stale: false,
        revision: 0,
        version: 0,
        registration: Some(registration("near")),
        in_flight: Vec::new(),
        warm_objects: Vec::new(),
        suspects: Vec::new(),
        observations: Vec::new(),
        limits: Vec::new(),
    }
}

pub fn route() -> Route {
    Route {
        name: "view".into(),
        host: "a.example".into(),
        prefix: "/view/".into(),
        is_idempotent: true,
        timeout: Duration::from_secs(2),
        latency_goal: Duration::from_millis(600),
        attempts_max: 2,
        priority: 1,
        services: vec![WeightedService {
            service: "sheets".into(),
            weight: 1.0,
        }],
        has_affinity: true,
        home_regions: Vec::new(),
        is_public: false,
    }
}

pub fn routes(version: u64, route: Route) -> Routes {
    let service = Service {
        name: "sheets".into(),
        health_path: "/health".into(),
        connections_max: 100,
        warmup: Duration::from_secs(3),
        cold_rate: 2.0,
    };
    let limits = Limits {
        head_bytes: 8192,
        body_bytes: 8192,
        head_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(5),
    };
    Routes::new(version, vec![route], vec![service], limits).expect("one route can't conflict")
}

pub fn entry(id: &str, domain: &str) -> Entry {
    Entry {
        id: id.into(),
        service: "sheets".into(),
        addr: ([127, 0, 0, 1], 80).into(),
        domain: domain.into(),
        slots: 3,
        draining: false,
        seq: 1,
        cold: Duration::ZERO,
        incarnation: 1,
    }
}

pub struct Bench {
    pub direct: Direct,
    pub route: Arc<Route>,
}

impl Bench {
    pub fn new(route: Route, targets: &[Entry]) -> Self {
        Self::named("near-1", route, targets)
    }

    pub fn named(name: &str, route: Route, targets: &[Entry]) -> Self {
        Self::with(name, route, targets, |bounds| bounds)
    }

    /// The same with other bounds than the usual ones.
    pub fn bounded(route: Route, targets: &[Entry], change: impl FnOnce(Bounds) -> Bounds) -> Self {
        Self::with("near-1", route, targets, change)
    }

    fn with(
        name: &str,
        route: Route,
        targets: &[Entry],
        change: impl FnOnce(Bounds) -> Bounds,
    ) -> Self {
        let home = Identity {
            name: name.into(),
            region: "near".into(),
            incarnation: 1,
            registration: registration("near"),
        };
        let bounds = Bounds {
            retries: Rule {
                ratio: 0.2,
                slack: 20.0,
                window: Duration::from_secs(10),
            },
            cold_factor: 1.5,
            cold_slack: 5.0,
            limit: limit::Rule::default(),
            shift_max: 0.15,
            access: access::Bounds::default(),
            quota: quota::Rule::default(),
        };
        let domains = ["near-a", "near-b", "far-a", "far-b"];
        let region = |d: &str| d.split('-').next().unwrap_or_default().into();
        let domains = domains.map(|d| (d.into(), region(d))).to_vec();
        let mut direct = Direct::new(home, change(bounds), domains);
        direct.install(Arc::new(routes(1, route.clone())));
        for target in targets {
            direct.roster.put(at(0), target.clone());
        }
        let route = Arc::new(route);
        Self { direct, route }
    }

    /// A request arrives at `now`, for an object if one is named.
    pub fn submit(&mut self, now: Time, object: Option<u64>) -> Ticket {
        self.submit_until(now, object, now + Duration::from_secs(4))
    }

    /// A request arrives whose caller waits until `deadline`.
    pub fn submit_until(&mut self, now: Time, object: Option<u64>, deadline: Time) -> Ticket {
        let ask = Request {
            route: Arc::clone(&self.route),
            authorized: None,
            object,
            deadline,
            fingerprint: Fingerprint(1),
        };
        self.direct
            .submit(now, ask)
            .expect("the route has a service")
    }

    /// The only order of a step, if there is one.
    pub fn order(&mut self, now: Time) -> Option<Decision> {
        let mut orders = self.direct.step(now);
        assert!(orders.len() < 2, "more than one order: {orders:?}");
        orders.pop()
    }

    /// A request arrives and is sent at once.
    pub fn send(&mut self, now: Time, object: Option<u64>) -> Assignment {
        self.submit(now, object);
        match self.order(now) {
            Some(Decision::Send(go)) => go,
            other => panic!("not sent: {other:?}"),
        }
    }

    /// A request arrives, is sent and answered after `took`.
    pub fn serve(&mut self, now: Time, object: u64, took: Duration) -> Assignment {
        let go = self.send(now, Some(object));
        let next = self
            .direct
            .finish_attempt(now + took, go.ticket, AttemptOutcome::Answered);
        assert_eq!(next, FollowUp::Settled);
        go
    }

    /// Serves an object and others until times are known well, by 20 s. The
    /// object's target.
    pub fn learn(&mut self, object: u64) -> String {
        let first = self.serve(at(0), object, 600 * MS).target;
        for i in 1..10 {
            self.serve(at(i * 2_000), object + (i << 32), 600 * MS);
            let go = self.serve(at(i * 2_000 + 1_000), object, 300 * MS);
            assert_eq!(go.target, first);
        }
        first.as_ref().to_owned()
    }
}
