//! Processor time of caps at the size of the target: 22 regions, 1,500 entry
//! instances, 8 services that may each shift between any two regions.

use core::fmt::Write;
use core::hint::black_box;
use core::time::Duration;
use std::sync::Arc;
use std::time::Instant;

use entity::EntityRef;
use steer::clock::Time;
use steer::process::share::{Route, SETTLING_TIME, Shares};
use steer::version::view::{
    Class, ClassData, Domain, DomainData, EntryData, Link, Region, RegionData, Service,
    ServiceData, Shift, State, Version, View,
};

const REGIONS: usize = 22;
const DOMAINS: usize = 69;
const ENTRIES: usize = 1500;
const SERVICES: usize = 8;
const ROUNDS: u32 = 200;

/// Time of each operation.
#[must_use]
pub fn table() -> String {
    let view = Arc::new(view());
    let mut fewer = View::clone(&view);
    fewer.entries = view.entries.values().skip(1).cloned().collect();
    let fewer = Arc::new(fewer);
    let mut out = format!(
        "processor time; {ENTRIES} instances, {} shifts, {} links\n",
        view.shifts.len(),
        view.links.len()
    );
    let name = "entry-0700";
    let first = time(ROUNDS, || {
        let mut shares = Shares::default();
        shares.configure(Time::ZERO, &view, name);
        black_box(&shares);
    });
    let mut shares = Shares::default();
    shares.configure(Time::ZERO, &view, name);
    let same = Arc::new(View::clone(&view));
    let views = [&view, &same];
    let mut turn = 0;
    let unchanged = time(ROUNDS, || {
        turn += 1;
        shares.configure(Time::ZERO, views[turn % 2], name);
    });
    let views = [&view, &fewer];
    let changed = time(ROUNDS, || {
        turn += 1;
        let mut shares = shares.clone();
        shares.configure(Time::ZERO, views[turn % 2], name);
    });
    let clone = time(ROUNDS, || {
        black_box(shares.clone());
    });
    let now = Time::ZERO + SETTLING_TIME;
    shares.set_slot_held(Time::ZERO, true);
    let mut held = Time::ZERO;
    while held < now {
        held = held + Duration::from_secs(2);
        shares.set_slot_held(held, true);
    }
    let routes: Vec<Route> = shares.usage(now).into_iter().map(|r| r.0).collect();
    let mut at = 0;
    let take = time(ROUNDS * 1000, || {
        at = (at + 7) % routes.len();
        let _taken = black_box(shares.take(now, &[(&routes[at], 1)]));
    });
    for (what, spent) in [
        ("first configure", first),
        ("configure, nothing changed", unchanged),
        ("configure, an instance less (with a copy)", changed),
        ("the copy alone", clone),
        ("take of one route", take),
    ] {
        writeln!(out, "{what:42} | {:>10} ns", spent.as_nanos()).expect("a string takes all");
    }
    out
}

fn time(rounds: u32, mut work: impl FnMut()) -> Duration {
    let begun = Instant::now();
    for _ in 0..rounds {
        work();
    }
    begun.elapsed() / rounds
}

fn view() -> View {
    let mut view = View {
        version: Version(1),
        ..View::default()
    };
    for region in 0..REGIONS {
        let name = format!("region-{region:02}").into();
        view.regions.push(RegionData { name });
    }
    for domain in 0..DOMAINS {
        view.domains.push(DomainData {
            name: format!("domain-{domain:02}").into(),
            region: Region::new(domain % REGIONS),
        });
    }
    for entry in 0..ENTRIES {
        view.entries.push(EntryData {
            name: format!("entry-{entry:04}").into(),
            domain: Domain::new(entry % DOMAINS),
            state: State::Live,
        });
    }
    view.classes.push(ClassData {
        name: "first".into(),
        queue_percent: 100,
    });
    for service in 0..SERVICES {
        view.services.push(ServiceData {
            name: format!("service-{service}").into(),
            class: Class::new(0),
            is_idempotent: true,
            deadline: Duration::from_secs(2),
            sites: Vec::new(),
        });
    }
    let pairs = (0..REGIONS).flat_map(|a| (0..REGIONS).map(move |b| (a, b)));
    let pairs = pairs.filter(|(a, b)| a != b);
    let pairs: Vec<_> = pairs
        .map(|(a, b)| (Region::new(a), Region::new(b)))
        .collect();
    for service in (0..SERVICES).map(Service::new) {
        view.shifts.extend(pairs.iter().map(|&(from, to)| Shift {
            service,
            from,
            to,
            cap: 1000,
            ramp: Duration::from_secs(30),
        }));
    }
    let link = |&(from, to): &(Region, Region)| Link {
        from,
        to,
        bits_per_s: 4_000_000_000,
    };
    view.links = pairs.iter().map(link).collect();
    view
}
