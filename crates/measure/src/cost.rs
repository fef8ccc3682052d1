//! Processor time of one decision: a request's arrival and its answer.

use core::fmt::Write;
use core::time::Duration;
use std::sync::Arc;
use std::time::Instant;

use entity::EntityRef;
use steer::clock::Time;
use steer::process::dispatch::{Action, AttemptOutcome, Dispatch, Event, Identity};
use steer::request::answer::Answer;
use steer::request::arrival::{Arrival, Fingerprint, Origin, RequestId};
use steer::version::view::{
    Class, ClassData, Domain, DomainData, Region, RegionData, Service, ServiceData, Site, SiteData,
    State, TargetData, Version, View,
};

/// Requests measured per size.
const REQUESTS: u64 = 200_000;

/// Requests kept in flight.
const FLIGHT: u64 = 24;

/// A table of nanoseconds per request at several numbers of targets.
#[must_use]
pub fn table(seed: u64) -> String {
    let mut out = String::from("processor time per request (arrival, choice, answer), release\n\n");
    out.push_str("targets of the service | ns per request | ns per tick | ns per view\n");
    for targets in [12, 144, 1500] {
        let (request, tick, view) = measure(targets, seed);
        writeln!(out, "{targets:22} | {request:14} | {tick:11} | {view:11}")
            .expect("a string takes all");
    }
    out
}

fn measure(targets: usize, seed: u64) -> (u128, u128, u128) {
    let home = Identity {
        name: Arc::from("entry"),
        domain: Arc::from("domain"),
    };
    let mut dispatch = Dispatch::new(home, fastrand::Rng::with_seed(seed));
    let mut out = Vec::new();
    dispatch.handle(Time::ZERO, Event::View(view(targets, 1)), &mut out);
    let service = Arc::from("service");
    let answer = Arc::new(Answer {
        status: 200,
        headers: Vec::new(),
        body: Arc::from([]),
    });
    let start = Instant::now();
    for number in 0..REQUESTS {
        let now = Time::ZERO + Duration::from_micros(number * 100);
        let arrival = Arrival {
            id: RequestId(number),
            service: Arc::clone(&service),
            caller: Arc::from("caller"),
            key: None,
            fingerprint: Fingerprint(u128::from(number)),
            deadline: None,
            bytes: 500,
            origin: Origin::Caller,
            caller_region: None,
            peer_region: None,
        };
        dispatch.handle(now, Event::Arrive(arrival), &mut out);
        end(&mut dispatch, now, &answer, &mut out);
    }
    let request = start.elapsed().as_nanos() / u128::from(REQUESTS);
    let now = Time::ZERO + Duration::from_secs(100);
    let start = Instant::now();
    for _ in 0..1000 {
        dispatch.handle(now, Event::Tick, &mut out);
    }
    let tick = start.elapsed().as_nanos() / 1000;
    let views: Vec<_> = (2..12).map(|version| view(targets, version)).collect();
    let start = Instant::now();
    for view in views {
        dispatch.handle(now, Event::View(view), &mut out);
    }
    (request, tick, start.elapsed().as_nanos() / 10)
}

/// Ends the oldest attempts, so that [`FLIGHT`] stay under way.
fn end(dispatch: &mut Dispatch, now: Time, answer: &Arc<Answer>, out: &mut Vec<Action>) {
    out.retain(|a| matches!(a, Action::Send { .. }));
    while out.len() as u64 > FLIGHT {
        if let Action::Send { id, attempt, .. } = out.remove(0) {
            let ending = AttemptOutcome::Answered(Arc::clone(answer));
            let event = Event::Ended {
                id,
                attempt,
                outcome: ending,
            };
            let mut more = Vec::new();
            dispatch.handle(now, event, &mut more);
            out.extend(
                more.into_iter()
                    .filter(|a| matches!(a, Action::Send { .. })),
            );
        }
    }
}

fn view(targets: usize, version: u64) -> Arc<View> {
    let mut view = View {
        version: Version(version),
        ..View::default()
    };
    let name = Arc::from("region");
    view.regions.push(RegionData { name });
    view.domains.push(DomainData {
        name: Arc::from("domain"),
        region: Region::new(0),
    });
    view.sites.push(SiteData {
        name: Arc::from("site"),
        domain: Domain::new(0),
        state: State::Live,
    });
    view.classes.push(ClassData {
        name: Arc::from("class"),
        queue_percent: 100,
    });
    view.services.push(ServiceData {
        name: Arc::from("service"),
        class: Class::new(0),
        is_idempotent: true,
        deadline: Duration::from_secs(1),
        sites: vec![Site::new(0)],
    });
    for number in 0..targets {
        view.targets.push(TargetData {
            name: Arc::from(format!("target-{number:04}")),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            site: Site::new(0),
            service: Service::new(0),
            slots: 3,
            state: State::Live,
        });
    }
    Arc::new(view)
}
