//! Tests of the store's answers that are longer than an instance reads. The stand-ins
//! write megabytes a second, so each test runs alone.

#[path = "direct/harness.rs"]
#[allow(dead_code, reason = "shared with other tests, which use all of it")]
mod harness;

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use platform_standin::store::{self, Route};
use platform_standin::target::Arrival;
use platform_standin::{LinkState, Links, Store, Target};
use rstest::rstest;
use serde_json::json;

use harness::{Entry, HOST, MS, ROUTES, wait_until};

/// Time within which a configuration must be in force at all instances, and after which
/// targets that leave and evacuated domains must get no requests.
const CONFIG: Duration = Duration::from_millis(2_500);
const DRAIN: Duration = Duration::from_millis(2_500);
const EVACUATION: Duration = Duration::from_secs(5);

/// Instances in two regions, with a reader of the store in each.
const INSTANCES: [(&str, &str); 4] = [
    ("near-1", "near-a"),
    ("near-2", "near-a"),
    ("near-3", "near-b"),
    ("far-1", "far-a"),
];

/// Memory of each instance, the smallest of the users' deployments.
const MEMORY_MB: u64 = 160;

/// Largest value of the store, in bytes.
const VALUE_BYTES: usize = 1 << 20;

/// Time between two changes of a succession, and between two requests to an instance.
const CHANGE_GAP: Duration = MS.saturating_mul(60);
const REQUEST_GAP: Duration = MS.saturating_mul(20);

/// Route that the last version of a configuration adds.
const ADDED: Route = Route {
    prefix: "/added/",
    service: "sheets",
    is_idempotent: true,
};

/// Instances that each reach the store over a link of their own. The second target leaves,
/// the third one's domain is evacuated.
struct Scene {
    store: Store,
    targets: [Target; 3],
    links: Vec<Links>,
    entries: Vec<Entry>,
    _alone: MutexGuard<'static, ()>,
}

impl Scene {
    fn start() -> Self {
        static ALONE: Mutex<()> = Mutex::new(());
        let alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
        let store = Store::start().expect("a port is free");
        store.set_page_items(500);
        store.configure(3, HOST, &ROUTES);
        let targets = [("t0", "near-a"), ("t1", "near-a"), ("t2", "near-b")].map(|(id, domain)| {
            let target = Target::start(id, "sheets", domain).expect("a port is free");
            target.register(&store, "ready", 1);
            target
        });
        let open = |_| Links::open(&[store.addr()]).expect("a port is free");
        let links: Vec<Links> = INSTANCES.iter().map(open).collect();
        let both = links.iter().zip(INSTANCES);
        let entries: Vec<Entry> = both.map(|(links, i)| start_entry(i, links)).collect();
        for entry in &entries {
            entry.await_ready();
        }
        let scene = Self {
            store,
            targets,
            links,
            entries,
            _alone: alone,
        };
        wait_until(
            "each region has a reader, and all targets are known",
            || {
                let dumps: Vec<String> = scene.entries.iter().map(Entry::dump).collect();
                let readers = dumps.iter().filter(|d| reads_store(d)).count();
                readers == 2 && dumps.iter().all(|d| d.contains("\"t2\""))
            },
        );
        scene
    }

    /// Waits until a version is in force everywhere.
    fn await_version(&self, version: u64) {
        let text = format!("\"version\":{version},");
        for entry in &self.entries {
            wait_until("the version is in force", || entry.dump().contains(&text));
        }
    }

    /// Sends requests until each target has got one.
    fn use_all_targets(&self) {
        let mut number = 0;
        wait_until("each target gets a request", || {
            let entry = &self.entries[number % self.entries.len()];
            let text = harness::request("GET", "/view/x", &format!("first-{number}"), "");
            let key = format!("Affinity-Key: {}", number % 16);
            harness::send_raw(entry.callers, &text.replace("Affinity-Key: 7", &key));
            number += 1;
            self.targets.iter().all(|t| !t.arrivals().is_empty())
        });
    }

    /// Limits the rate of the near region's reader to the store, in bytes per second.
    fn slow_reader(&self, rate: u32) {
        let near = 0..INSTANCES.len() - 1;
        let mut readers = near.filter(|i| reads_store(&self.entries[*i].dump()));
        let reader = readers.next().expect("the region has a reader");
        let state = LinkState::Slow(rate);
        self.links[reader].set(state).expect("its port is free");
    }

    /// Sends requests to all instances until `until`; returns when those were sent that got
    /// 404, by path.
    fn send_requests(&self, until: Instant) -> Vec<(&'static str, Instant)> {
        let unknown = Mutex::new(Vec::new());
        thread::scope(|scope| {
            for (instance, entry) in self.entries.iter().enumerate() {
                let unknown = &unknown;
                scope.spawn(move || {
                    for number in 0.. {
                        let sent = Instant::now();
                        if sent > until {
                            return;
                        }
                        let path = if number % 2 == 0 {
                            "/view/x"
                        } else {
                            "/added/x"
                        };
                        let id = format!("{instance}-{number}");
                        let key = format!("Affinity-Key: {}", number % 16);
                        let text = harness::request("GET", path, &id, "");
                        let text = text.replace("Affinity-Key: 7", &key);
                        let answer = harness::send_raw(entry.callers, &text);
                        if answer.is_some_and(|a| a.status == 404) {
                            let mut unknown = unknown.lock().expect("the lock is not poisoned");
                            unknown.push((path, sent));
                        }
                        thread::sleep(REQUEST_GAP);
                    }
                });
            }
        });
        unknown.into_inner().expect("the lock is not poisoned")
    }
}

/// Starts an instance that reaches the store over a link of its own.
fn start_entry((name, domain): (&str, &str), links: &Links) -> Entry {
    let settings = platform_standin::settings(name, domain, links.addrs()[0], &[]);
    let mut settings: serde_json::Value = serde_json::from_str(&settings).expect("they are JSON");
    settings["memory_mb"] = MEMORY_MB.into();
    settings["bounds"]["config_s"] = CONFIG.as_secs_f64().into();
    settings["bounds"]["drain_s"] = DRAIN.as_secs_f64().into();
    settings["bounds"]["evacuate_s"] = EVACUATION.as_secs_f64().into();
    Entry::start_with(&settings.to_string())
}

/// Whether an instance with this dump reads from the store.
fn reads_store(dump: &str) -> bool {
    dump.contains("\"upstream\":\"store\"")
}

/// Configurations with these routes and unused ones, of about `bytes` each.
struct Document {
    /// Text up to the version.
    head: String,
}

impl Document {
    fn new(routes: &[Route<'_>], bytes: usize) -> Self {
        /// Bytes that a route and its service take; the route's prefix stands twice.
        const ROUTE_BYTES: usize = 4_400;
        let name = "x".repeat(2_000);
        let numbers = 0..bytes / ROUTE_BYTES;
        let padding: Vec<String> = numbers.map(|i| format!("/{i}{name}/")).collect();
        let unused = padding.iter().map(|prefix| Route {
            prefix,
            ..ROUTES[0]
        });
        let all: Vec<Route> = routes.iter().copied().chain(unused).collect();
        let text = store::document(0, HOST, &all, &[], 65_536);
        assert!(text.len() <= VALUE_BYTES, "{}", text.len());
        let head = text.strip_suffix("0}").expect("it ends with the version");
        Self {
            head: head.to_owned(),
        }
    }

    /// Writes a version as the operator does.
    fn write(&self, store: &Store, version: u64) {
        let text = format!("{}{version}}}", self.head);
        store.write_bytes("op/config", text.as_bytes());
    }
}

/// Several large versions between two reads made a watch's answer longer than was read, and
/// all instances kept an old configuration until the store had lost its history.
#[test]
fn follow_configurations_in_quick_succession() {
    const VERSIONS: u64 = 25;
    let scene = Scene::start();
    let document = Document::new(&ROUTES, VALUE_BYTES);
    document.write(&scene.store, 10);
    scene.await_version(10);
    for version in 11..11 + VERSIONS {
        document.write(&scene.store, version);
        thread::sleep(CHANGE_GAP);
    }
    let written = Instant::now();
    scene.await_version(10 + VERSIONS);
    let passed = written.elapsed();
    println!("in force after {passed:?}");
    assert!(passed <= CONFIG, "{passed:?}");
}

/// What changes in quick succession.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Flood {
    /// The configuration, of the largest size.
    Config,
    /// An entry of the largest size that names no target.
    Entry,
    /// The configuration, while thousands of targets lapse and come back.
    ConfigAndTargets,
}

impl Flood {
    const SPAN: Duration = Duration::from_secs(2);
    const TARGETS: usize = 10_000;

    /// Lists targets of a service that gets no requests.
    fn list_targets(store: &Store) {
        for number in 0..Self::TARGETS {
            let entry = json!({
                "address": format!("127.0.0.1:{}", 10 + number), "born": 1_764_700_000_000_u64,
                "info": { "service": "bulk", "version": "v1", "zone": "near-a", "slots": 3 },
                "status": { "state": "ready", "seq": 1, "warmup_left_s": 0 },
            });
            store.write(&format!("servers/bulk-{number}"), &entry);
        }
    }

    fn unlist_targets(store: &Store) {
        for number in 0..Self::TARGETS {
            store.remove(&format!("servers/bulk-{number}"));
        }
    }

    fn has_targets(self) -> bool {
        self == Self::ConfigAndTargets
    }

    /// Changes for [`Flood::SPAN`] what changes; returns the last version written.
    fn run(self, store: &Store, document: &Document) -> u64 {
        let until = Instant::now() + Self::SPAN;
        let value = vec![b'v'; VALUE_BYTES];
        let mut version = 10;
        if self.has_targets() {
            Self::unlist_targets(store);
        }
        while Instant::now() < until {
            match self {
                Self::Config | Self::ConfigAndTargets => {
                    version += 1;
                    document.write(store, version);
                }
                Self::Entry => store.write_bytes("servers/large", &value),
            }
            thread::sleep(CHANGE_GAP);
        }
        if self.has_targets() {
            Self::list_targets(store);
        }
        version
    }
}

/// News of the operator and of targets came late while large items, or thousands of small
/// ones, changed in quick succession.
#[rstest]
#[case::config(Flood::Config, None)]
#[case::entry(Flood::Entry, None)]
#[case::targets(Flood::ConfigAndTargets, None)]
#[case::targets_slow_reader(Flood::ConfigAndTargets, Some(250_000))]
fn keep_bounds_while_store_tells_much(#[case] flood: Flood, #[case] slow: Option<u32>) {
    const WATCHED: Duration = Duration::from_millis(4_500);
    let scene = Scene::start();
    let old = Document::new(&ROUTES, VALUE_BYTES);
    let new = Document::new(&[ROUTES[0], ROUTES[1], ADDED], VALUE_BYTES);
    if flood.has_targets() {
        Flood::list_targets(&scene.store);
    }
    old.write(&scene.store, 10);
    scene.await_version(10);
    scene.use_all_targets();
    if let Some(rate) = slow {
        scene.slow_reader(rate);
    }
    let end = Instant::now() + Flood::SPAN + WATCHED;
    let (drained, evacuated, added, unknown) = thread::scope(|scope| {
        let requests = scope.spawn(|| scene.send_requests(end));
        let news = scope.spawn(|| {
            thread::sleep(Flood::SPAN / 3);
            scene.targets[1].register(&scene.store, "draining", 2);
            let drained = Instant::now();
            thread::sleep(Flood::SPAN / 6);
            scene.store.write("op/evacuate/near-b", &json!({}));
            (drained, Instant::now())
        });
        let version = flood.run(&scene.store, &old);
        new.write(&scene.store, version + 1);
        let added = Instant::now();
        let (drained, evacuated) = news.join().expect("it writes to the store");
        let unknown = requests.join().expect("requests are sent");
        (drained, evacuated, added, unknown)
    });
    let last = |target: &Target| {
        let arrivals = target.arrivals();
        let last = arrivals.iter().map(|a: &Arrival| a.at).max();
        last.expect("it gets requests before")
    };
    let late = [
        ("drain", last(&scene.targets[1]) - drained, DRAIN),
        (
            "evacuation",
            last(&scene.targets[2]) - evacuated,
            EVACUATION,
        ),
        ("configuration", last_unknown(&unknown) - added, CONFIG),
    ];
    println!("last old request after {late:?}");
    let peaks = scene.entries.iter().map(|e| e.peak_memory() >> 20);
    let peaks: Vec<u64> = peaks.collect();
    println!("peaks in MB: {peaks:?}");
    for (name, passed, bound) in late {
        assert!(passed <= bound, "{name}: {passed:?}");
    }
    assert!(peaks.iter().all(|mb| *mb <= MEMORY_MB), "{peaks:?}");
}

/// When the last request was sent that the added route didn't get.
fn last_unknown(unknown: &[(&str, Instant)]) -> Instant {
    let added = unknown
        .iter()
        .filter(|(path, _)| path.starts_with("/added"));
    let last = added.map(|(_, sent)| *sent).max();
    last.expect("requests are sent before the route is added")
}

/// A page of the largest value took longer over a narrow link than a call may, so an instance
/// knew nothing for ever.
#[test]
fn start_over_narrow_link() {
    /// A link of 10 Mbit/s, half of it taken by callers.
    const RATE: u32 = 625_000;
    let store = Store::start().expect("a port is free");
    store.set_page_items(500);
    Document::new(&ROUTES, VALUE_BYTES).write(&store, 10);
    let target = Target::start("t0", "sheets", "near-a").expect("a port is free");
    target.register(&store, "ready", 1);
    let links = Links::open(&[store.addr()]).expect("a port is free");
    links.set(LinkState::Slow(RATE)).expect("its port is free");
    let entry = start_entry(INSTANCES[0], &links);
    entry.await_ready();
    assert_eq!(entry.send("GET", "/view/x", "r1", "").status, 200);
}

/// Long entries that name no target took the memory of every instance.
#[test]
fn leave_out_long_entries_that_name_no_target() {
    const ENTRIES: usize = 40;
    let scene = Scene::start();
    let value = vec![b'v'; VALUE_BYTES];
    for number in 0..ENTRIES {
        scene
            .store
            .write_bytes(&format!("servers/large-{number}"), &value);
    }
    for entry in &scene.entries {
        harness::wait_for_line(entry, &format!("\"large-{}\"", ENTRIES - 1));
    }
    // A snapshot holds all that the others know.
    let late = start_entry(("near-4", "near-b"), &scene.links[0]);
    late.await_ready();
    let entries = scene.entries.iter().chain([&late]);
    let peaks: Vec<u64> = entries.map(|e| e.peak_memory() >> 20).collect();
    println!("peaks in MB: {peaks:?}");
    let together = (ENTRIES * VALUE_BYTES) as u64 >> 20;
    assert!(peaks.iter().all(|mb| *mb < together), "{peaks:?}");
}
