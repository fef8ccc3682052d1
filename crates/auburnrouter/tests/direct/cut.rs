//! Tests of instances whose links to all targets are cut while callers, the store and the
//! other instances reach them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::store::Route;
use platform_standin::target::{Behavior, Run};
use platform_standin::{LinkState, Links, Store, Target};
use rstest::rstest;
use rustix::process::Signal;

use super::fleet::{self, INSTANCES, PATHS, TARGETS};
use super::harness::{self, Entry, HOST, wait_until};

const TWO_SERVICES: [Route<'static>; 2] = [
    Route {
        prefix: "/view/",
        service: "sheets",
        is_idempotent: true,
    },
    Route {
        prefix: "/pay/",
        service: "bills",
        is_idempotent: false,
    },
];

/// Time between two requests, of which one in three must not repeat.
const PAUSE: Duration = Duration::from_micros(16_667);
const WORK: Duration = Duration::from_millis(150);

/// When the links are cut, and for how long.
const CALM: Duration = Duration::from_millis(1_500);
const CUT: Duration = Duration::from_millis(7_500);

/// Time from the cut on which callers at cut instances must be served like others.
const CONTACT: Duration = Duration::from_secs(4);

/// End of the span in which they are compared: the answers are here before the cut ends.
const COMPARED: Duration = Duration::from_secs(7);

/// Time after the cut's end from which the instances must serve by themselves.
const RETURN: Duration = Duration::from_millis(1_500);
const END: Duration = Duration::from_secs(12);

/// A first try of a caller.
struct Try {
    /// Time since the start of the requests.
    at: Duration,
    instance: usize,
    id: String,
    /// Status of the answer; 0 if there was none.
    status: u16,
}

struct Scene {
    targets: Vec<Target>,
    /// Links of each instance to all targets.
    links: Vec<Links>,
    entries: Vec<Entry>,
    begin: Instant,
}

impl Scene {
    fn start() -> Self {
        let store = Store::start().expect("a port is free");
        store.configure(3, HOST, &TWO_SERVICES);
        let start = |i: usize| {
            let service = ["sheets", "bills"][i % 2];
            let target = fleet::start_target(&store, i, service, i / 2);
            target.set(Behavior::Normal, WORK);
            target
        };
        let targets: Vec<Target> = (0..TARGETS).map(start).collect();
        let addrs: Vec<SocketAddr> = targets.iter().map(Target::addr).collect();
        let links = (0..INSTANCES).map(|_| Links::open(&addrs).expect("ports are free"));
        let links: Vec<Links> = links.collect();
        let entries = fleet::start_entries(&store, |i, settings| {
            links[i].translate(&settings).expect("they are JSON")
        });
        Self {
            targets,
            links,
            entries,
            begin: Instant::now(),
        }
    }

    fn set_links(&self, instances: &[usize], state: LinkState) {
        thread::scope(|scope| {
            for instance in instances {
                let links = &self.links[*instance];
                scope.spawn(move || links.set(state).expect("their ports are free"));
            }
        });
    }

    /// Sends requests at instances drawn at random until the end.
    fn run_callers(&self, seed: u64) -> Vec<Try> {
        let tries = Mutex::new(Vec::new());
        let mut rng = Rng::with_seed(seed);
        thread::scope(|scope| {
            let mut count = 0;
            while self.begin.elapsed() < END {
                thread::sleep((PAUSE * count).saturating_sub(self.begin.elapsed()));
                count += 1;
                let instance = rng.usize(0..INSTANCES);
                let (kind, method) = match rng.u8(0..3) {
                    0 => ("pay", "POST"),
                    _ => ("view", "GET"),
                };
                let path = format!("/{kind}/{}", rng.usize(0..PATHS));
                let tries = &tries;
                scope.spawn(move || {
                    let id = format!("{kind}{count}");
                    let at = self.begin.elapsed();
                    let text = harness::request(method, &path, &id, "");
                    let text = text.replace("Affinity-Key: 7", &format!("Affinity-Key: {path}"));
                    let answer = harness::send_raw(self.entries[instance].callers, &text);
                    let made = Try {
                        at,
                        instance,
                        id,
                        status: answer.map_or(0, |a| a.status),
                    };
                    tries.lock().expect("no thread panics").push(made);
                });
            }
        });
        tries.into_inner().expect("no thread panics")
    }
}

/// Served and all tries in a span, at the given instances or at the others.
fn served(
    tries: &[Try],
    span: (Duration, Duration),
    cut: &[usize],
    is_cut: bool,
) -> (usize, usize) {
    let is_meant =
        |t: &&Try| t.at >= span.0 && t.at < span.1 && cut.contains(&t.instance) == is_cut;
    let all: Vec<&Try> = tries.iter().filter(is_meant).collect();
    (all.iter().filter(|t| t.status == 200).count(), all.len())
}

/// Whether callers at cut instances are served at least two thirds as often as those at the
/// others.
fn is_fair(cut: (usize, usize), others: (usize, usize)) -> bool {
    3 * cut.0 * others.1 >= 2 * others.0 * cut.1
}

fn check_runs(tries: &[Try], runs: &[Run]) {
    let must_not_run = [408, 421, 429, 503];
    for made in tries.iter().filter(|t| t.id.starts_with("pay")) {
        let count = runs.iter().filter(|r| r.id == made.id).count();
        assert!(count <= 1, "{} ran {count} times", made.id);
        let is_promised = must_not_run.contains(&made.status);
        assert!(
            !is_promised || count == 0,
            "{} ran despite {}",
            made.id,
            made.status
        );
    }
}

/// Waits until an instance finds that it reaches no target, with requests that show it.
fn await_cut_off(scene: &Scene, instance: usize) {
    let entry = &scene.entries[instance];
    let mut count = 0;
    wait_until("the instance is cut off", || {
        count += 1;
        entry.try_send("GET", "/view/1", &format!("first{count}"), "");
        entry.metrics().contains("auburnrouter_cut_off 1")
    });
}

/// Callers of instances that reached no target were rejected for as long as that lasted.
#[rstest]
#[case::one_reset(&[0], LinkState::Reset, 1)]
#[case::three_silent(&[0, 2, 4], LinkState::Silent, 2)]
#[case::one_closed(&[3], LinkState::Closed, 3)]
#[case::five_silent(&[0, 1, 2, 3, 4], LinkState::Silent, 4)]
#[case::whole_domain_reset(&[0, 3, 6], LinkState::Reset, 5)]
#[case::whole_region_reset(&[2, 5], LinkState::Reset, 6)]
fn serve_callers_of_cut_instances(
    #[case] cut: &[usize],
    #[case] state: LinkState,
    #[case] seed: u64,
) {
    let scene = Scene::start();
    let tries = thread::scope(|scope| {
        let callers = scope.spawn(|| scene.run_callers(seed));
        thread::sleep(CALM.saturating_sub(scene.begin.elapsed()));
        scene.set_links(cut, state);
        thread::sleep((CALM + CUT).saturating_sub(scene.begin.elapsed()));
        scene.set_links(cut, LinkState::Up);
        callers.join().expect("no thread panics")
    });
    let both = |from, to| {
        (
            served(&tries, (from, to), cut, true),
            served(&tries, (from, to), cut, false),
        )
    };
    let first = both(CALM, CALM + CONTACT);
    let later = both(CALM + CONTACT, CALM + COMPARED);
    let after = both(CALM + CUT + RETURN, END);
    println!(
        "seed {seed}: at cut instances and others: first {first:?}, later {later:?}, after {after:?}"
    );
    let runs: Vec<Run> = scene.targets.iter().flat_map(Target::runs).collect();
    check_runs(&tries, &runs);
    assert!(is_fair(after.0, after.1));
    assert!(is_fair(later.0, later.1));
    for at in (0..INSTANCES).filter(|at| !cut.contains(at)) {
        let lines: Arc<Mutex<Vec<String>>> = Arc::clone(&scene.entries[at].lines);
        let lines = lines.lock().expect("no thread panics");
        let is_refusal = |l: &&String| l.contains("own-answer") && l.contains("\"status\":503");
        let refusals: Vec<&String> = lines.iter().filter(is_refusal).collect();
        assert!(refusals.is_empty(), "{refusals:?}");
    }
}

/// A relay that is killed must not make a payment run twice, nor its fate look certain.
#[test]
fn keep_fate_of_requests_at_killed_relay() {
    let scene = Scene::start();
    let cut = [0, 3, 6];
    let tries = thread::scope(|scope| {
        let callers = scope.spawn(|| scene.run_callers(7));
        thread::sleep(CALM.saturating_sub(scene.begin.elapsed()));
        scene.set_links(&cut, LinkState::Silent);
        for (relay, second) in [(1, 4), (4, 6), (2, 8)] {
            thread::sleep(Duration::from_secs(second).saturating_sub(scene.begin.elapsed()));
            scene.entries[relay].signal(Signal::KILL);
        }
        callers.join().expect("no thread panics")
    });
    let runs: Vec<Run> = scene.targets.iter().flat_map(Target::runs).collect();
    check_runs(&tries, &runs);
    let span = (Duration::from_secs(9), END);
    let (served, all) = served(&tries, span, &cut, true);
    println!("{served} of {all} after three of four relays are killed");
    assert!(3 * served >= 2 * all, "{served} of {all}");
}

/// With all instances cut off, callers are told at once when to come back.
#[test]
fn reject_at_once_when_all_are_cut_off() {
    let scene = Scene::start();
    scene.set_links(&[0, 1, 2, 3, 4, 5, 6], LinkState::Silent);
    for instance in 0..INSTANCES {
        await_cut_off(&scene, instance);
    }
    for (number, entry) in scene.entries.iter().enumerate() {
        let begin = Instant::now();
        let answer = entry.send("POST", "/pay/1", &format!("pay{number}"), "");
        assert_eq!(answer.status, 503);
        assert!(answer.header("retry-after").is_some(), "{answer:?}");
        assert!(begin.elapsed() < Duration::from_secs(1), "{answer:?}");
    }
    let runs: Vec<Run> = scene.targets.iter().flat_map(Target::runs).collect();
    assert!(!runs.iter().any(|r| r.id.starts_with("pay")));
}

/// When the caller of a relayed request leaves, its target stops working on it.
#[test]
fn give_up_relayed_request_of_caller_that_left() {
    let scene = Scene::start();
    scene.set_links(&[0], LinkState::Reset);
    await_cut_off(&scene, 0);
    let text = harness::request("GET", "/view/9?work_ms=2000", "left", "");
    let mut stream = TcpStream::connect(scene.entries[0].callers).expect("it listens");
    stream.write_all(text.as_bytes()).expect("it reads");
    let arrived = |t: &Target| t.arrivals().iter().any(|a| a.id == "left");
    wait_until("the request is at a target", || {
        scene.targets.iter().any(arrived)
    });
    drop(stream);
    let is_abandoned = |t: &Target| t.runs().iter().any(|r| r.id == "left" && r.is_abandoned);
    wait_until("the target stops", || {
        scene.targets.iter().any(is_abandoned)
    });
}

/// A relayed request was cut when its relay, or the instance that its caller had asked, was
/// told to stop.
#[rstest]
#[case::relay(true)]
#[case::asked(false)]
fn finish_relayed_request_at_stop(#[case] stops_relay: bool) {
    let mut scene = Scene::start();
    scene.set_links(&[0], LinkState::Reset);
    await_cut_off(&scene, 0);
    let text = harness::request("POST", "/pay/9?work_ms=1500", "kept", "");
    let mut stream = TcpStream::connect(scene.entries[0].callers).expect("it listens");
    stream.write_all(text.as_bytes()).expect("it reads");
    let arrived = |t: &Target| t.arrivals().iter().any(|a| a.id == "kept");
    wait_until("the request is at a target", || {
        scene.targets.iter().any(arrived)
    });
    let is_relay = |e: &Entry| e.metrics().contains("auburnrouter_relaying 1");
    let relay = scene.entries.iter().position(is_relay);
    let relay = relay.expect("an instance sends it for the other");
    let stopped = if stops_relay { relay } else { 0 };
    scene.entries[stopped].signal(Signal::TERM);
    let answer = harness::read_answer(&mut stream).expect("the request is answered");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body, "body of kept");
    assert_eq!(scene.entries[stopped].wait_exit(), Some(0));
}

/// An answer whose first line names no status of HTTP was passed on by relays too.
#[rstest]
#[case("HTTP/1.1 000 None")]
#[case("HTTP/1.1 600 None")]
#[case("HTTP/1.1 999 None")]
fn pass_on_no_relayed_answer_without_status(#[case] line: &'static str) {
    let scene = Scene::start();
    scene.set_links(&[0], LinkState::Reset);
    await_cut_off(&scene, 0);
    for target in &scene.targets {
        target.set(Behavior::FirstLine(line), Duration::ZERO);
    }
    let answer = scene.entries[0].send("POST", "/pay/9", "odd", "");
    assert_eq!(answer.status, 502, "{answer:?}");
    assert_eq!(answer.header("response-seal"), None);
    let runs: Vec<Run> = scene.targets.iter().flat_map(Target::runs).collect();
    assert_eq!(runs.iter().filter(|r| r.id == "odd").count(), 1);
}
