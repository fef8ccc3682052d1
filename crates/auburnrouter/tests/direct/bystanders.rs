//! Test of ordinary requests beside requests that crash targets.

use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::target::Behavior;
use platform_standin::{Store, Target};
use rstest::rstest;

use super::fleet::{self, INSTANCES, PATHS, TARGETS};
use super::harness::{self, Entry, HOST, MS, ROUTES};

/// Requests that crash targets, and callers that repeat each.
const CRASHING: usize = 3;
const CALLERS: usize = 4;

/// Callers of ordinary requests, which send 60 a second together.
const ORDINARY_CALLERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(50);
const WORK: Duration = Duration::from_millis(150);

/// Time after which a target is back, and after which its old entry is removed.
const RETURN: Duration = Duration::from_millis(2_500);
const EXPIRY: Duration = Duration::from_millis(4_500);

/// Time of the first crash, and of the end.
const CALM: Duration = Duration::from_secs(2);
const END: Duration = Duration::from_secs(11);

/// Crashes of a request after which it must not reach further targets.
const FREE_CRASHES: usize = 3;

/// An ordinary request that was not served.
struct Refusal {
    path: usize,
    id: String,
    at: Instant,
    status: u16,
}

type Unserved = Mutex<Vec<Refusal>>;

struct Scene {
    store: Store,
    targets: Vec<Target>,
    entries: Vec<Entry>,
    begin: Instant,
}

impl Scene {
    fn start() -> Self {
        let store = Store::start().expect("a port is free");
        store.configure(3, HOST, &ROUTES);
        let start = |i: usize| {
            let target = fleet::start_target(&store, i, "sheets", i);
            target.set(Behavior::Normal, WORK);
            target.crash_on("/view/crash");
            target.rename_on_crash();
            target
        };
        let targets = (0..TARGETS).map(start).collect();
        let entries = fleet::start_entries(&store, |_, settings| settings);
        Self {
            store,
            targets,
            entries,
            begin: Instant::now(),
        }
    }

    fn is_over(&self) -> bool {
        self.begin.elapsed() >= END
    }

    fn send(&self, rng: &mut Rng, path: &str, id: &str) -> Option<u16> {
        let entry = &self.entries[rng.usize(0..INSTANCES)];
        let text = harness::request("GET", path, id, "");
        let key = format!("Affinity-Key: {path}");
        let text = text.replace("Affinity-Key: 7", &key);
        harness::send_raw(entry.callers, &text).map(|a| a.status)
    }

    fn run_ordinary(&self, number: usize, seed: u64, unserved: &Unserved) {
        let mut rng = Rng::with_seed(seed << 8 | number as u64);
        let mut count = 0;
        while !self.is_over() {
            count += 1;
            let path = rng.usize(0..PATHS);
            let id = format!("o{number}-{count}");
            let status = self.send(&mut rng, &format!("/view/{path}"), &id);
            if status != Some(200) {
                let refusal = Refusal {
                    path,
                    id,
                    at: Instant::now(),
                    status: status.unwrap_or_default(),
                };
                unserved.lock().expect("no thread panics").push(refusal);
            }
            thread::sleep(PAUSE);
        }
    }

    fn run_crashing(&self, number: usize, seed: u64) {
        let mut rng = Rng::with_seed(seed << 16 | number as u64);
        let (request, caller) = (number / CALLERS, number % CALLERS);
        // The callers of a request come one after the other.
        let offset = 300 * u32::try_from(caller).expect("it is small");
        thread::sleep(CALM + offset * MS + Duration::from_millis(rng.u64(0..100)));
        let mut count = 0;
        while !self.is_over() {
            count += 1;
            let path = format!("/view/crash{request}");
            self.send(&mut rng, &path, &format!("c{number}-{count}"));
            thread::sleep(Duration::from_millis(rng.u64(100..400)));
        }
    }

    /// Registers targets that have crashed under their new ids, and removes the old ones.
    fn follow_crashes(&self) {
        let mut due = Vec::new();
        let mut seen = [0; TARGETS];
        while !self.is_over() {
            for (at, target) in self.targets.iter().enumerate() {
                let (id, crashes) = target.crashes();
                for crash in &crashes[seen[at]..] {
                    let old = id.strip_suffix('x').unwrap_or_default().to_owned();
                    due.push((*crash + RETURN, at, None));
                    due.push((*crash + EXPIRY, at, Some(old)));
                }
                seen[at] = crashes.len();
            }
            due.retain(|(time, at, old)| {
                if *time > Instant::now() {
                    return true;
                }
                match old {
                    Some(old) => self.store.remove(&format!("servers/{old}")),
                    None => self.targets[*at].register(&self.store, "ready", 1),
                }
                false
            });
            thread::sleep(10 * MS);
        }
    }
}

/// Lines of all instances about these requests, and about the suspicion against them.
fn print_reasons(entries: &[Entry], ids: &[&str]) {
    let field = |line: &str, name: &str| -> Option<String> {
        let line: serde_json::Value = serde_json::from_str(line).ok()?;
        line[name].as_str().map(str::to_owned)
    };
    let lines = |entry: &Entry| entry.lines.lock().expect("no thread panics").clone();
    let lines: Vec<(usize, String)> = entries
        .iter()
        .enumerate()
        .flat_map(|(at, entry)| lines(entry).into_iter().map(move |line| (at, line)))
        .collect();
    let is_named = |line: &str| field(line, "request").is_some_and(|id| ids.contains(&&*id));
    let named: Vec<_> = lines.iter().filter(|(_, line)| is_named(line)).collect();
    let mut suspects: Vec<String> = named
        .iter()
        .filter_map(|(_, line)| field(line, "fingerprint"))
        .collect();
    suspects.sort_unstable();
    suspects.dedup();
    let is_suspicion = |line: &str| {
        let is_of_suspect = field(line, "fingerprint").is_some_and(|f| suspects.contains(&f));
        is_of_suspect && line.contains("\"event\":\"suspect")
    };
    let suspicions = lines.iter().filter(|(_, line)| is_suspicion(line));
    for (at, line) in named.into_iter().chain(suspicions) {
        println!("instance {at}: {line}");
    }
}

/// Ordinary requests that ran beside crashing ones were refused for as long as anybody asked
/// for them.
#[rstest]
#[case::seed_1(1)]
#[case::seed_2(2)]
#[case::seed_3(3)]
fn serve_bystanders_of_crashes(#[case] seed: u64) {
    let scene = Scene::start();
    let unserved = Unserved::default();
    thread::scope(|scope| {
        let (scene, unserved) = (&scene, &unserved);
        for number in 0..ORDINARY_CALLERS {
            scope.spawn(move || scene.run_ordinary(number, seed, unserved));
        }
        for number in 0..CRASHING * CALLERS {
            scope.spawn(move || scene.run_crashing(number, seed));
        }
        scope.spawn(|| scene.follow_crashes());
    });
    let runs: Vec<_> = scene.targets.iter().flat_map(Target::runs).collect();
    let crashes = (0..CRASHING).map(|request| {
        let path = format!("/view/crash{request}");
        runs.iter().filter(|run| run.path == path).count()
    });
    let crashes: Vec<usize> = crashes.collect();
    let times = scene.targets.iter().flat_map(|t| t.crashes().1);
    let last = times.max().expect("some request crashes a target");
    let unserved = unserved.into_inner().expect("no thread panics");
    let mut refusals = [0; PATHS];
    let is_late = |refusal: &&Refusal| refusal.at > last && refusal.status == 503;
    for refusal in unserved.iter().filter(is_late) {
        refusals[refusal.path] += 1;
    }
    println!(
        "{crashes:?} crashes, {} of {} not served, {refusals:?} refused later",
        unserved.len(),
        runs.len()
    );
    if refusals.iter().any(|count| *count > 2) {
        let late = unserved.iter().filter(is_late);
        let ids: Vec<&str> = late.map(|refusal| &*refusal.id).collect();
        print_reasons(&scene.entries, &ids);
    }
    assert!(refusals.iter().all(|count| *count <= 2));
    assert!(crashes.iter().all(|count| *count <= FREE_CRASHES));
}
