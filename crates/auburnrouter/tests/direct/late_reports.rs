//! Tests of reports of targets that the store carries out late.

use std::thread;
use std::time::{Duration, Instant};

use platform_standin::{Store, Target};
use rstest::rstest;

use super::harness::{self, Entry, HOST, MS, ROUTES, wait_for_line, wait_until};

/// Time after its report for which a target may be sent requests.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Time for which requests are sent after the report, and between two of an instance.
const WATCHED: Duration = Duration::from_secs(5);
const PAUSE: Duration = MS.saturating_mul(20);

/// Objects that the requests concern.
const OBJECTS: u32 = 8;

/// Names with failure domains of one region: one reads the store, and the others from it or
/// from one another.
const INSTANCES: [(&str, &str); 3] = [
    ("near-1", "near-a"),
    ("near-2", "near-a"),
    ("near-3", "near-b"),
];

/// Starts of the target's processes, by a clock that went back between them.
const FORMER: u64 = 1_764_700_009_000;
const PRESENT: u64 = 1_764_700_001_000;

struct Scene {
    store: Store,
    targets: [Target; 2],
    entries: Vec<Entry>,
}

impl Scene {
    /// Two targets; the second has started twice under its name.
    fn start() -> Self {
        let store = Store::start().expect("a port is free");
        store.configure(3, HOST, &ROUTES);
        let targets =
            ["t0", "t1"].map(|id| Target::start(id, "sheets", "near-a").expect("a port is free"));
        targets[0].register(&store, "ready", 1);
        targets[1].register_born(&store, "ready", 40, FORMER);
        let start = |&(name, domain): &(&str, &str)| {
            let settings = platform_standin::settings(name, domain, store.addr(), &[]);
            let drain = ("drain_s", DRAIN.as_secs_f64());
            Entry::start_with(&harness::with_bound(&settings, drain))
        };
        let entries: Vec<Entry> = INSTANCES.iter().map(start).collect();
        for entry in &entries {
            entry.await_ready();
        }
        let scene = Self {
            store,
            targets,
            entries,
        };
        scene.await_all("\"t1\"");
        for seq in 1..=4 {
            scene.targets[1].register_born(&scene.store, "ready", seq, PRESENT);
        }
        scene
    }

    /// Waits until the dump of every instance contains `part`.
    fn await_all(&self, part: &str) {
        for entry in &self.entries {
            wait_until(part, || entry.dump().contains(part));
        }
    }

    /// Sends requests for several objects to all instances for [`WATCHED`].
    fn send_requests(&self) {
        let begin = Instant::now();
        thread::scope(|scope| {
            for (instance, entry) in self.entries.iter().enumerate() {
                scope.spawn(move || {
                    let mut number = 0;
                    while begin.elapsed() < WATCHED {
                        number += 1;
                        let id = format!("{instance}-{number}");
                        let text = harness::request("GET", "/view/x", &id, "");
                        let key = format!("Affinity-Key: {}", number % OBJECTS);
                        let text = text.replace("Affinity-Key: 7", &key);
                        harness::send_raw(entry.callers, &text);
                        thread::sleep(PAUSE);
                    }
                });
            }
        });
    }
}

/// What the store carries out late.
#[derive(Clone, Copy, Debug)]
enum Late {
    /// A report of the same incarnation.
    Report,
    /// The same, after the entry was removed.
    AfterRemoval,
    /// A report of the incarnation before.
    Former,
}

/// A report that the store carried out late was taken for a restart, and a target that had
/// said that it leaves got requests again.
#[rstest]
#[case::at_once(Late::Report, Duration::ZERO)]
#[case::later(Late::Report, MS * 1_500)]
#[case::after_removal(Late::AfterRemoval, MS * 1_500)]
#[case::of_former_process(Late::Former, MS * 1_500)]
fn leave_target_alone_after_late_report(#[case] late: Late, #[case] after: Duration) {
    let scene = Scene::start();
    let (store, target) = (&scene.store, &scene.targets[1]);
    let accepted = thread::scope(|scope| {
        scope.spawn(|| scene.send_requests());
        thread::sleep(MS * 300);
        target.register_born(store, "draining", 5, PRESENT);
        let accepted = Instant::now();
        thread::sleep(after);
        match late {
            Late::Report => target.register_born(store, "ready", 2, PRESENT),
            Late::AfterRemoval => {
                store.remove("servers/t1");
                target.register_born(store, "ready", 2, PRESENT);
            }
            Late::Former => target.register_born(store, "ready", 39, FORMER),
        }
        accepted
    });
    let last = target.arrivals().iter().map(|arrival| arrival.at).max();
    let last = last.expect("it gets requests before it leaves");
    let passed = last.saturating_duration_since(accepted);
    println!("the last request came {passed:?} after the report");
    assert!(passed <= DRAIN, "{passed:?}");
    let reader = scene
        .entries
        .iter()
        .find(|e| e.dump().contains("\"upstream\":\"store\""));
    wait_for_line(reader.expect("one reads the store"), "target-report-late");
}

/// A target that starts anew under its name is used at once, though its count begins anew
/// and its clock went back.
#[test]
fn use_restarted_target_at_once() {
    let scene = Scene::start();
    let (store, target) = (&scene.store, &scene.targets[1]);
    target.register_born(store, "draining", 5, PRESENT);
    scene.await_all("\"leaving\"]");
    store.remove("servers/t0");
    for entry in &scene.entries {
        wait_until("no other target is left", || {
            !entry.dump().contains("\"t0\"")
        });
    }
    // A target that leaves is a last resort for that long.
    thread::sleep(DRAIN);
    let before = target.arrivals().len();
    target.register_born(store, "ready", 1, PRESENT - 60_000);
    scene.send_requests();
    assert!(target.arrivals().len() > before);
}
