//! Planned stops of one instance, with requests sent at any moment until its process is gone.
//!
//! Invariant: judged is what callers and targets see, by the users' rule on planned stops.

use std::fmt;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use platform_standin::store::{self, Route};
use platform_standin::target::Run;
use platform_standin::{Store, Target};
use rustix::process::Signal;

use super::harness::{self, Entry, HOST, MS, ROUTES, WAIT_TIMEOUT, wait_until};

/// Time after SIGTERM up to which a request may be sent whose target is still at work at the
/// end.
const EXCUSED: Duration = Duration::from_secs(3);

/// Part of the grace period after which such a request may be cut.
const EXCUSED_RATIO: f64 = 5.0 / 6.0;

/// Time after its last byte within which a connection may end with a request unread.
const UNREAD: Duration = Duration::from_millis(200);

/// Tolerance on the moment at which a limit is reached.
const SLACK: Duration = Duration::from_millis(100);

/// Callers, and targets with three slots each.
const CALLERS: usize = 40;
const TARGETS: usize = 16;

/// Timeouts of the routes, in seconds; the configuration that comes after SIGTERM in one of
/// three runs has the second.
const TIMEOUTS_S: [u64; 2] = [8, 2];

/// What a caller sends on one connection.
struct Plan {
    /// Times from SIGTERM to the first and the last byte.
    sent: [Duration; 2],
    /// Whether its connection has been used before SIGTERM.
    is_kept: bool,
    requests: Vec<Planned>,
}

#[derive(Clone)]
struct Planned {
    id: String,
    is_look_up: bool,
    /// Longest time that the caller waits.
    wait: Duration,
    /// Time for which the target works.
    work: Duration,
}

/// A request with what its caller saw.
struct Outcome {
    request: Planned,
    /// Times from SIGTERM to the first and the last byte, and to the answer or the end of the
    /// connection.
    sent: [Duration; 2],
    ended: Duration,
    /// Status, and whether the answer bears the target's seal.
    answer: Option<(u16, bool)>,
}

/// What a run showed.
pub struct Stopped {
    grace: Duration,
    timeout: Duration,
    /// Outcomes of each connection.
    connections: Vec<Vec<Outcome>>,
    runs: Vec<Run>,
    failures: Vec<String>,
}

/// Runs these seeds at the same time, and returns what each showed.
pub fn run_all(seeds: &[u64]) -> Vec<(u64, Stopped)> {
    thread::scope(|scope| {
        let start = |seed: &u64| {
            let seed = *seed;
            scope.spawn(move || (seed, run(seed)))
        };
        let threads: Vec<_> = seeds.iter().map(start).collect();
        let joined = threads.into_iter().map(thread::ScopedJoinHandle::join);
        joined.map(|r| r.expect("a run does not panic")).collect()
    })
}

/// Runs one seed; the grace period is 6 or 10 s, in one of four seeds another one.
fn run(seed: u64) -> Stopped {
    let mut rng = Rng::with_seed(seed);
    let grace_s = match seed % 4 {
        0 | 2 => 6,
        1 => 10,
        _ => rng.u64(1..=20),
    };
    let grace = Duration::from_secs(grace_s);
    let plans: Vec<Plan> = (0..CALLERS).map(|n| plan(&mut rng, n, grace)).collect();
    let store = Store::start().expect("a port is free");
    configure(&store, 1, TIMEOUTS_S[0]);
    let start = |i: usize| {
        let target = Target::start(&format!("t{i}"), "sheets", "near-a").expect("a port is free");
        target.register(&store, "ready", 1);
        target
    };
    let targets: Vec<Target> = (0..TARGETS).map(start).collect();
    let settings = platform_standin::settings("near-1", "near-a", store.addr(), &[]);
    let settings = harness::with_retries(&settings, 2.0, 58.0);
    let bound = f64::from(u32::try_from(grace_s).expect("it is short"));
    let mut entry = Entry::start_with(&harness::with_bound(&settings, ("grace_s", bound)));
    entry.await_ready();
    wait_until("all targets are known", || {
        entry.dump().matches("\"id\":\"t").count() == TARGETS
    });
    for i in 0..8 {
        entry.send("GET", "/view/x?work_ms=50", &format!("w{i}"), "");
    }
    let shortens = rng.u8(0..3) == 0;
    let shortened_at = grace.mul_f64(rng.f64() * 0.5);
    let callers = entry.callers;
    let open = |plan: &Plan| plan.is_kept.then(|| use_connection(callers)).flatten();
    let open: Vec<_> = plans.iter().map(open).collect();
    entry.signal(Signal::TERM);
    let stopped = Instant::now();
    let connections = thread::scope(|scope| {
        let run = |(plan, open)| scope.spawn(move || call(plan, open, callers, stopped));
        let threads: Vec<_> = plans.iter().zip(open).map(run).collect();
        if shortens {
            thread::sleep(shortened_at);
            configure(&store, 2, TIMEOUTS_S[1]);
        }
        let outcomes = threads.into_iter().map(thread::ScopedJoinHandle::join);
        outcomes
            .map(|o| o.expect("a caller does not panic"))
            .collect()
    });
    let mut failures = Vec::new();
    let code = entry.wait_exit();
    if code != Some(0) {
        failures.push(format!("the process ended with {code:?}"));
    }
    Stopped {
        grace,
        timeout: Duration::from_secs(TIMEOUTS_S[usize::from(shortens)]),
        connections,
        runs: targets.iter().flat_map(Target::runs).collect(),
        failures,
    }
}

/// Writes a configuration with these timeouts.
fn configure(store: &Store, version: u64, timeout_s: u64) {
    let routes: &[Route<'_>] = &ROUTES;
    let text = store::document(version, HOST, routes, &[], 1 << 20);
    let mut document: serde_json::Value = serde_json::from_str(&text).expect("it is JSON");
    for resource in document["resources"].as_array_mut().into_iter().flatten() {
        if resource["entry_kind"] == "routes" {
            resource["spec"]["timeout_s"] = timeout_s.into();
        }
    }
    store.write("op/config", &document);
}

fn plan(rng: &mut Rng, number: usize, grace: Duration) -> Plan {
    // Most begin while the instance takes requests, and some of these end later.
    let begin = [grace / 2, grace / 2, grace / 2, grace + 500 * MS][rng.usize(0..4)];
    let first = begin.mul_f64(rng.f64());
    let pause = [Duration::ZERO, 1_500 * MS][rng.usize(0..2)].mul_f64(rng.f64());
    let count = if rng.u8(0..4) == 0 { 3 } else { 1 };
    let request = |rng: &mut Rng, at: usize| Planned {
        id: format!("c{number}-{at}"),
        is_look_up: rng.bool(),
        wait: [800, 2_500, 20_000][rng.usize(0..3)] * MS,
        work: [50, 400, 1_500, 4_000, 7_500][rng.usize(0..5)] * MS,
    };
    Plan {
        sent: [first, first + pause],
        is_kept: rng.u8(0..3) > 0,
        requests: (0..count).map(|at| request(rng, at)).collect(),
    }
}

/// Opens a connection and uses it once, as a caller that keeps it does.
fn use_connection(callers: SocketAddr) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(callers).ok()?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT * 2)).ok()?;
    let text = harness::request("GET", "/view/x?work_ms=50", "kept", "");
    stream.write_all(text.as_bytes()).ok()?;
    harness::read_answer(&mut stream).map(|_| stream)
}

/// Sends what is planned, and returns what the caller saw of each request that was sent whole.
fn call(
    plan: &Plan,
    open: Option<TcpStream>,
    callers: SocketAddr,
    stopped: Instant,
) -> Vec<Outcome> {
    let text: String = plan.requests.iter().map(Planned::text).collect();
    // The first request is in two parts; those behind it come with the second.
    let (first, last) = text.split_at(plan.requests[0].text().len() / 2);
    thread::sleep(plan.sent[0].saturating_sub(stopped.elapsed()));
    let connect = || {
        let stream = TcpStream::connect(callers).ok()?;
        stream.set_read_timeout(Some(WAIT_TIMEOUT * 2)).ok()?;
        Some(stream)
    };
    let Some(mut stream) = open.or_else(connect) else {
        return Vec::new();
    };
    let mut sent = [Duration::ZERO; 2];
    for (i, part) in [first, last].into_iter().enumerate() {
        thread::sleep(plan.sent[i].saturating_sub(stopped.elapsed()));
        sent[i] = stopped.elapsed();
        if stream.write_all(part.as_bytes()).is_err() {
            return Vec::new();
        }
    }
    let outcome = |request: &Planned| {
        let answer = harness::read_answer(&mut stream);
        Outcome {
            request: request.clone(),
            sent,
            ended: stopped.elapsed(),
            answer: answer.map(|a| (a.status, a.header("response-seal").is_some())),
        }
    };
    plan.requests.iter().map(outcome).collect()
}

impl Planned {
    fn text(&self) -> String {
        let (method, path) = if self.is_look_up {
            ("GET", "/view/")
        } else {
            ("PUT", "/pay/")
        };
        let id = &self.id;
        let path = format!("{path}{id}?work_ms={}", self.work.as_millis());
        let text = harness::request(method, &path, id, "");
        text.replace("2500", &self.wait.as_millis().to_string())
            .replace("Affinity-Key: 7", &format!("Affinity-Key: {id}"))
    }
}

impl Stopped {
    /// Returns all violations of the rule.
    pub fn violations(&self) -> Vec<String> {
        let mut violations = self.failures.clone();
        for connection in &self.connections {
            for (at, outcome) in connection.iter().enumerate() {
                // Answers come in order: behind a request that may be cut there is none.
                let is_behind = connection[..at].iter().any(|o| o.answer.is_none());
                let what = self.violation(outcome).filter(|_| !is_behind);
                violations.extend(what.map(|what| format!("{what}: {outcome}")));
            }
        }
        violations
    }

    fn violation(&self, outcome: &Outcome) -> Option<&'static str> {
        let is_own = |run: &&Run| run.id == outcome.request.id;
        let runs: Vec<&Run> = self.runs.iter().filter(is_own).collect();
        let was_cut = runs.iter().any(|run| run.is_abandoned);
        match outcome.answer {
            Some((_, true)) => None,
            None if runs.is_empty() => {
                let is_read = outcome.ended > outcome.sent[1] + UNREAD;
                is_read.then_some("ended without an answer")
            }
            Some((408 | 421 | 429 | 503, false)) => {
                (!runs.is_empty()).then_some("rejected, and ran")
            }
            None => (!self.may_be_cut(outcome)).then_some("cut"),
            Some(_) => (was_cut && !self.may_be_cut(outcome)).then_some("given up"),
        }
    }

    /// Whether the rule allows that this request was broken off while its target was at work.
    fn may_be_cut(&self, outcome: &Outcome) -> bool {
        let limit = outcome.request.wait.min(self.timeout);
        let is_excused =
            outcome.sent[1] <= EXCUSED && outcome.ended >= self.grace.mul_f64(EXCUSED_RATIO);
        is_excused || outcome.ended + SLACK >= outcome.sent[0] + limit
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Planned { id, wait, work, .. } = &self.request;
        write!(
            f,
            "{id} sent {:?}, waits {wait:?}, works {work:?}, ended {:?} with {:?}",
            self.sent, self.ended, self.answer
        )
    }
}

impl fmt::Display for Stopped {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let all: Vec<&Outcome> = self.connections.iter().flatten().collect();
        let count = |wanted: fn(Option<(u16, bool)>) -> bool| {
            all.iter().filter(|o| wanted(o.answer)).count()
        };
        let late = all.iter().filter(|o| o.sent[1] > EXCUSED).count();
        write!(
            f,
            "grace {:?}, timeout {:?}; {} requests, {late} sent later than {EXCUSED:?}: {} answered \
             by targets, {} rejected, {} given up, {} without an answer",
            self.grace,
            self.timeout,
            all.len(),
            count(|a| matches!(a, Some((_, true)))),
            count(|a| matches!(a, Some((408 | 421 | 429 | 503, false)))),
            count(|a| matches!(a, Some((500.., false))) && !matches!(a, Some((503, _)))),
            count(|a| a.is_none()),
        )
    }
}
