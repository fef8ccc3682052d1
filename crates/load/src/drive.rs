//! Closed-loop load: each connection sends its next request once it has the
//! last answer.
//!
//! Invariant: a run ends when its time is over, whatever the other end does.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use smol::net;

/// One kind of request.
#[derive(Clone, Debug)]
pub struct Run {
    /// What the table calls it.
    pub name: &'static str,
    /// Where to.
    pub addr: SocketAddr,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: &'static str,
    /// Body.
    pub body: &'static str,
}

/// What a run found.
pub struct Report {
    name: &'static str,
    connections: usize,
    span: Duration,
    failed: u64,
    /// Microseconds.
    latency: Histogram<u64>,
}

/// Heads the table.
pub const HEADER: &str =
    "run              connections  requests/s  failed  p50 us  p99 us  p99.9 us";

/// Threads that send.
const THREADS: usize = 4;

/// Longest latency told apart, in microseconds.
const LONGEST: u64 = 60_000_000;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rate = u128::from(self.latency.len()) * 1000 / self.span.as_millis().max(1);
        write!(
            f,
            "{:<16} {:>11} {:>11} {:>7} {:>7} {:>7} {:>9}",
            self.name,
            self.connections,
            rate,
            self.failed,
            self.latency.value_at_quantile(0.5),
            self.latency.value_at_quantile(0.99),
            self.latency.value_at_quantile(0.999),
        )
    }
}

/// What one connection found.
struct Found {
    failed: u64,
    latency: Histogram<u64>,
}

impl Found {
    fn new() -> Self {
        Self {
            failed: 0,
            latency: Histogram::new_with_max(LONGEST, 3).expect("the bounds are fixed and valid"),
        }
    }
}

/// Runs one kind of request for `span`.
pub fn drive(run: &Run, connections: usize, span: Duration) -> Report {
    let over = Arc::new(AtomicBool::new(false));
    let threads = THREADS.min(connections);
    let senders = (0..threads).map(|i| {
        let run = run.clone();
        let over = Arc::clone(&over);
        let share = connections / threads + usize::from(i < connections % threads);
        thread::spawn(move || send_on(&run, share, &over))
    });
    let senders: Vec<_> = senders.collect();
    let begin = Instant::now();
    thread::sleep(span);
    over.store(true, Ordering::Relaxed);
    let span = begin.elapsed();
    let mut report = Report {
        name: run.name,
        connections,
        span,
        failed: 0,
        latency: Found::new().latency,
    };
    for sender in senders {
        let found = sender.join().expect("a sender doesn't panic");
        report.failed += found.failed;
        report.latency += found.latency;
    }
    report
}

fn send_on(run: &Run, connections: usize, over: &Arc<AtomicBool>) -> Found {
    let executor: Local = Rc::new(smol::LocalExecutor::new());
    let mut all = Found::new();
    smol::block_on(executor.run(async {
        let tasks = (0..connections).map(|_| {
            let sending = send(Rc::clone(&executor), run.clone(), Arc::clone(over));
            executor.spawn(sending)
        });
        for task in tasks.collect::<Vec<_>>() {
            let found = task.await;
            all.failed += found.failed;
            all.latency += found.latency;
        }
    }));
    all
}

/// The executor of one sending thread.
type Local = Rc<smol::LocalExecutor<'static>>;

async fn send(executor: Local, run: Run, over: Arc<AtomicBool>) -> Found {
    let mut found = Found::new();
    let Some(mut sender) = connect(&executor, run.addr).await else {
        found.failed += 1;
        return found;
    };
    while !over.load(Ordering::Relaxed) {
        let begin = Instant::now();
        if exchange(&mut sender, &run).await.is_none() {
            found.failed += 1;
            match connect(&executor, run.addr).await {
                Some(fresh) => sender = fresh,
                None => return found,
            }
            continue;
        }
        let micros = u64::try_from(begin.elapsed().as_micros()).unwrap_or(LONGEST);
        found.latency.saturating_record(micros);
    }
    found
}

type Sender = http1::SendRequest<Full<Bytes>>;

async fn connect(executor: &Local, addr: SocketAddr) -> Option<Sender> {
    let stream = net::TcpStream::connect(addr).await.ok()?;
    stream.set_nodelay(true).ok()?;
    let io = smol_hyper::rt::FuturesIo::new(stream);
    let (sender, driver) = http1::handshake(io).await.ok()?;
    executor
        .spawn(async {
            // Its end shows in the next exchange.
            let _ = driver.await;
        })
        .detach();
    Some(sender)
}

/// `None` if there is no whole answer with a status of success.
async fn exchange(sender: &mut Sender, run: &Run) -> Option<()> {
    let request = hyper::Request::builder()
        .method(run.method)
        .uri(run.path)
        .header(hyper::header::HOST, "load")
        .body(Full::from(run.body))
        .ok()?;
    sender.ready().await.ok()?;
    let response = sender.send_request(request).await.ok()?;
    let good = response.status().is_success();
    response.into_body().collect().await.ok()?;
    good.then_some(())
}
