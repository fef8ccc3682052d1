//! Tests of the store's answers that are longer than an instance reads.

use std::time::{Duration, Instant};

use platform_standin::store::Route;
use platform_standin::{Store, Target};

use super::harness::{Entry, HOST, MS, ROUTES, wait_until};

/// Time within which a configuration must be in force at all instances.
const CONFIG: Duration = Duration::from_millis(2_500);

/// Instances in two regions, with a reader of the store in each.
const INSTANCES: [(&str, &str); 3] = [
    ("near-1", "near-a"),
    ("near-2", "near-b"),
    ("far-1", "far-a"),
];

struct Scene {
    store: Store,
    _targets: [Target; 2],
    entries: Vec<Entry>,
}

impl Scene {
    fn start() -> Self {
        let store = Store::start().expect("a port is free");
        store.set_page_items(500);
        store.configure(3, HOST, &ROUTES);
        let targets = [("t0", "near-a"), ("t1", "far-a")].map(|(id, domain)| {
            let target = Target::start(id, "sheets", domain).expect("a port is free");
            target.register(&store, "ready", 1);
            target
        });
        let start = |&(name, domain): &(&str, &str)| Entry::start(name, domain, store.addr(), &[]);
        let entries: Vec<Entry> = INSTANCES.iter().map(start).collect();
        for entry in &entries {
            entry.await_ready();
        }
        Self {
            store,
            _targets: targets,
            entries,
        }
    }

    /// Waits until a version is in force everywhere; returns when it was.
    fn await_version(&self, version: u64) -> Instant {
        let text = format!("\"version\":{version},");
        for entry in &self.entries {
            wait_until("the version is in force", || entry.dump().contains(&text));
        }
        Instant::now()
    }
}

/// Prefixes of unused routes, by which a configuration has about this many bytes.
fn padding(bytes: usize) -> Vec<String> {
    /// Bytes that a route takes, in which its prefix stands twice.
    const ROUTE_BYTES: usize = 4_000;
    let name = "x".repeat(ROUTE_BYTES / 2);
    (0..bytes / ROUTE_BYTES)
        .map(|i| format!("/{i}{name}/"))
        .collect()
}

/// Several large versions between two reads made a watch's answer longer than was read, and
/// all instances kept an old configuration until the store had lost its history.
#[test]
fn follow_configurations_in_quick_succession() {
    const VERSIONS: u64 = 25;
    let scene = Scene::start();
    let padding = padding(737_000);
    let unused = padding.iter().map(|prefix| Route {
        prefix,
        ..ROUTES[0]
    });
    let routes: Vec<Route> = ROUTES.into_iter().chain(unused).collect();
    scene.store.configure(10, HOST, &routes);
    scene.await_version(10);
    for version in 11..11 + VERSIONS {
        scene.store.configure(version, HOST, &routes);
        std::thread::sleep(60 * MS);
    }
    let written = Instant::now();
    let passed = scene.await_version(10 + VERSIONS) - written;
    println!("in force after {passed:?}");
    assert!(passed <= CONFIG, "{passed:?}");
}
