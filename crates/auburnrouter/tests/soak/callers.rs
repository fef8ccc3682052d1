//! Callers that keep connections open and use them until they end.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use fastrand::Rng;

use super::harness;
use super::ledger::{Asked, Told};

/// Callers at the same time.
const CALLERS: usize = 8;

/// Longest wait for an answer; callers say that they wait 2.5 s.
const PATIENCE: Duration = Duration::from_secs(6);

/// What callers share.
pub struct Callers {
    /// Where instances listen now.
    pub addrs: Mutex<Vec<SocketAddr>>,
    done: AtomicBool,
}

/// Starts callers; [`stop`] ends them.
pub fn start(seed: u64) -> (Arc<Callers>, Vec<JoinHandle<Vec<Asked>>>) {
    let callers = Arc::new(Callers {
        addrs: Mutex::new(Vec::new()),
        done: AtomicBool::new(false),
    });
    let run = |number: usize| {
        let callers = Arc::clone(&callers);
        thread::spawn(move || call(&callers, number, seed))
    };
    let threads = (0..CALLERS).map(run).collect();
    (callers, threads)
}

/// Ends callers and gives what they saw, sorted by id.
pub fn stop(callers: &Callers, threads: Vec<JoinHandle<Vec<Asked>>>) -> Vec<Asked> {
    callers.done.store(true, Ordering::Relaxed);
    let seen = threads.into_iter().map(JoinHandle::join);
    let mut asked: Vec<Asked> = seen.flat_map(|s| s.expect("it doesn't panic")).collect();
    asked.sort_by(|a, b| a.id.cmp(&b.id));
    asked
}

/// Most requests that a caller sends before it reads an answer.
const AHEAD: usize = 4;

/// A request before it is sent.
struct Wish {
    id: String,
    method: &'static str,
    path: String,
    text: String,
}

fn wish(rng: &mut Rng, id: String) -> Wish {
    let (method, path) = match rng.u8(0..10) {
        0..5 => ("GET", "/view/"),
        5..9 => ("PUT", "/pay/"),
        _ => ("GET", "/added/"),
    };
    // Objects of their own, or one target would get every request.
    let object = rng.u8(0..24);
    let path = format!("{path}{object}");
    let text = harness::request(method, &path, &id, "");
    let text = text.replace("Affinity-Key: 7", &format!("Affinity-Key: {object}"));
    Wish {
        id,
        method,
        path,
        text,
    }
}

fn call(callers: &Callers, number: usize, seed: u64) -> Vec<Asked> {
    let mut rng = Rng::with_seed(seed ^ (number as u64) << 32);
    let mut asked = Vec::new();
    let mut kept: Option<TcpStream> = None;
    while !callers.done.load(Ordering::Relaxed) {
        thread::sleep(Duration::from_millis(rng.u64(1..20)));
        let open = kept.take().filter(|_| rng.u8(0..4) > 0);
        let Some(mut stream) = open.or_else(|| connect(callers, &mut rng)) else {
            continue;
        };
        // One in three callers sends ahead, payments too: the product has to
        // hold those back by itself.
        let count = if rng.u8(0..3) == 0 {
            rng.usize(2..=AHEAD)
        } else {
            1
        };
        let first = asked.len();
        let wishes: Vec<Wish> = (first..first + count)
            .map(|n| wish(&mut rng, format!("c{number}-{n:06}")))
            .collect();
        let text: String = wishes.iter().map(|w| &*w.text).collect();
        let mut open = stream.write_all(text.as_bytes()).is_ok();
        // Some leave before they are answered.
        let leaves = rng.u8(0..20) == 0;
        for wish in wishes {
            let answer = (open && !leaves)
                .then(|| harness::read_answer(&mut stream))
                .flatten();
            let closes = |a: &harness::Answer| a.header("connection") == Some("close");
            open &= answer.as_ref().is_some_and(|a| !closes(a));
            asked.push(Asked {
                id: wish.id,
                method: wish.method,
                path: wish.path,
                answer: answer.map(Told::from),
            });
        }
        kept = open.then_some(stream);
    }
    asked
}

fn connect(callers: &Callers, rng: &mut Rng) -> Option<TcpStream> {
    let addrs = callers.addrs.lock().expect("no one panics with it").clone();
    let addr = *addrs.get(rng.usize(0..addrs.len().max(1)))?;
    let stream = TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(PATIENCE)).ok()?;
    Some(stream)
}
