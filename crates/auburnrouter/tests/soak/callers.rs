//! Callers that reuse their connections and may pipeline requests.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use fastrand::Rng;

use super::harness;
use super::invariants::{Exchange, Received};

/// Number of concurrent callers.
const CALLER_COUNT: usize = 8;

/// Read timeout for an answer; the deadline that callers send is 2.5 s.
const REPLY_TIMEOUT: Duration = Duration::from_secs(6);

/// State shared by all callers.
pub struct Callers {
    /// Current addresses of the instances.
    pub addrs: Mutex<Vec<SocketAddr>>,
    is_done: AtomicBool,
}

/// Starts the callers, which run until [`stop`].
pub fn start(seed: u64) -> (Arc<Callers>, Vec<JoinHandle<Vec<Exchange>>>) {
    let callers = Arc::new(Callers {
        addrs: Mutex::new(Vec::new()),
        is_done: AtomicBool::new(false),
    });
    let run = |number: usize| {
        let callers = Arc::clone(&callers);
        thread::spawn(move || run_caller(&callers, number, seed))
    };
    let threads = (0..CALLER_COUNT).map(run).collect();
    (callers, threads)
}

/// Stops the callers and returns their exchanges, sorted by id.
pub fn stop(callers: &Callers, threads: Vec<JoinHandle<Vec<Exchange>>>) -> Vec<Exchange> {
    callers.is_done.store(true, Ordering::Relaxed);
    let seen = threads.into_iter().map(JoinHandle::join);
    let mut exchanges: Vec<Exchange> = seen
        .flat_map(|s| s.expect("the caller thread did not panic"))
        .collect();
    exchanges.sort_by(|a, b| a.id.cmp(&b.id));
    exchanges
}

/// Path of the request that crashes targets.
pub const CRASHING: &str = "/view/crash";

/// Maximum number of pipelined requests.
const PIPELINE_MAX: usize = 4;

/// A request before it is sent.
struct PlannedRequest {
    id: String,
    method: &'static str,
    path: String,
    text: String,
}

fn plan(rng: &mut Rng, id: String) -> PlannedRequest {
    let (method, path) = match rng.u8(0..10) {
        0..5 => ("GET", "/view/"),
        5..9 => ("PUT", "/pay/"),
        _ => ("GET", "/added/"),
    };
    // Different objects, or one target would get every request.
    let object = rng.u8(0..24);
    let path = if rng.u8(0..60) == 0 {
        CRASHING.to_owned()
    } else {
        format!("{path}{object}")
    };
    let method = if path == CRASHING { "GET" } else { method };
    let text = harness::request(method, &path, &id, "");
    let text = text.replace("Affinity-Key: 7", &format!("Affinity-Key: {object}"));
    PlannedRequest {
        id,
        method,
        path,
        text,
    }
}

fn run_caller(callers: &Callers, number: usize, seed: u64) -> Vec<Exchange> {
    let mut rng = Rng::with_seed(seed ^ (number as u64) << 32);
    let mut exchanges = Vec::new();
    let mut kept_open: Option<TcpStream> = None;
    while !callers.is_done.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.u64(1..20)));
        let open = kept_open.take().filter(|_| rng.u8(0..4) > 0);
        let Some(mut stream) = open.or_else(|| connect(callers, number, &mut rng)) else {
            continue;
        };
        // One time in three requests are pipelined, including payments: the router has
        // to hold those back itself.
        let count = if rng.u8(0..3) == 0 {
            rng.usize(2..=PIPELINE_MAX)
        } else {
            1
        };
        let first = exchanges.len();
        let planned: Vec<PlannedRequest> = (first..first + count)
            .map(|n| plan(&mut rng, format!("c{number}-{n:06}")))
            .collect();
        let text: String = planned.iter().map(|w| &*w.text).collect();
        let sent_at = Instant::now();
        let mut is_open = stream.write_all(text.as_bytes()).is_ok();
        // One time in twenty the caller disconnects before the answers.
        let is_leaving = rng.u8(0..20) == 0;
        for request in planned {
            let answer = (is_open && !is_leaving)
                .then(|| harness::read_answer(&mut stream))
                .flatten();
            let is_closing = |a: &harness::Answer| a.header("connection") == Some("close");
            is_open &= answer.as_ref().is_some_and(|a| !is_closing(a));
            exchanges.push(Exchange {
                id: request.id,
                method: request.method,
                path: request.path,
                sent_at,
                answer: answer.map(Received::from),
            });
        }
        kept_open = is_open.then_some(stream);
    }
    exchanges
}

/// Connects to an instance. Each caller has an address of its own.
fn connect(callers: &Callers, number: usize, rng: &mut Rng) -> Option<TcpStream> {
    let addrs = callers
        .addrs
        .lock()
        .expect("the lock is not poisoned")
        .clone();
    let addr = *addrs.get(rng.usize(0..addrs.len().max(1)))?;
    let host = u8::try_from(number).expect("there are few callers") + 2;
    let stream = harness::connect_from(host, addr)?;
    stream.set_read_timeout(Some(REPLY_TIMEOUT)).ok()?;
    Some(stream)
}
