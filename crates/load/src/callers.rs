//! Requests on the users' platform, alone and in pipelines, and the processor
//! time of the thread that serves them.
//!
//! Invariant: each answer is checked to be its request's own.

use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use auburnrouter::direct::Instance;
use hdrhistogram::Histogram;
use platform_standin::store::Route;
use platform_standin::{Store, Target};
use settings::direct::Settings;

use crate::setup::Error;

const HOST: &str = "load.example";

const ROUTES: [Route<'static>; 1] = [Route {
    prefix: "/view/",
    service: "sheets",
    is_idempotent: true,
}];

/// Targets of 3 slots each; they answer at once.
const TARGETS: usize = 16;

/// Objects that requests concern.
const OBJECTS: usize = 24;

/// Connections at a time.
const CONNECTIONS: usize = 8;

/// Longest wait for an answer, and for the instance to be ready.
const PATIENCE: Duration = Duration::from_secs(10);

/// How callers use a connection.
#[derive(Clone, Copy)]
struct Habit {
    name: &'static str,
    /// Requests sent before an answer is read.
    ahead: usize,
    /// Whether each such group has a connection of its own.
    anew: bool,
}

const HABITS: [Habit; 4] = [
    Habit {
        name: "a connection each",
        ahead: 1,
        anew: true,
    },
    Habit {
        name: "kept connections",
        ahead: 1,
        anew: false,
    },
    Habit {
        name: "pipelines of 4",
        ahead: 4,
        anew: false,
    },
    Habit {
        name: "pipelines of 12",
        ahead: 12,
        anew: false,
    },
];

/// Runs all habits for `span` each and prints a table.
pub fn print(span: Duration) -> Result<(), Error> {
    let store = Store::start()?;
    store.configure(1, HOST, &ROUTES);
    for number in 0..TARGETS {
        let target = Target::start(&format!("t{number}"), "sheets", "near-a")?;
        target.register(&store, "ready", 1);
    }
    let text = platform_standin::settings("near-1", "near-a", store.addr(), &[]);
    let settings = Settings::parse("built-in", &text);
    let settings = settings.map_err(|faults| Error::Refused(format!("{faults:?}")))?;
    let instance = Instance::bind(settings)?;
    let callers = instance.listen().callers;
    let (stop, stopped) = smol::channel::bounded::<()>(1);
    let serving = thread::spawn(move || {
        // An error means that the sender is gone: stop all the same.
        instance.run(async move {
            let _ = stopped.recv().await;
        })
    });
    await_ready(callers)?;
    println!("habit               requests/s  failed  p50 us  p99 us  processor us a request");
    for habit in HABITS {
        println!("{}", run(callers, habit, span)?);
    }
    drop(stop);
    // It can only fail to start, which it hasn't.
    let _ = serving.join();
    Ok(())
}

fn await_ready(callers: SocketAddr) -> Result<(), Error> {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let mut connection = Connection::open(callers)?;
        if connection.exchange(1).is_ok_and(|failed| failed == 0) {
            return Ok(());
        }
        thread::yield_now();
    }
    Err(Error::Late)
}

fn run(callers: SocketAddr, habit: Habit, span: Duration) -> Result<String, Error> {
    let over = Arc::new(AtomicBool::new(false));
    let before = processor()?;
    let start = Instant::now();
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|_| {
            let over = Arc::clone(&over);
            thread::spawn(move || call(callers, habit, &over))
        })
        .collect();
    thread::sleep(span);
    over.store(true, Ordering::Relaxed);
    let mut latency = empty();
    let mut failed = 0;
    for thread in threads {
        let (seen, lost) = thread.join().expect("callers don't panic");
        latency.add(seen).expect("both have the same bounds");
        failed += lost;
    }
    let passed = start.elapsed();
    let used = processor()?.saturating_sub(before);
    let count = latency.len().max(1);
    Ok(format!(
        "{:19} {:>10} {:>7} {:>7} {:>7} {:>23}",
        habit.name,
        u128::from(latency.len()) * 1000 / passed.as_millis().max(1),
        failed,
        latency.value_at_quantile(0.5),
        latency.value_at_quantile(0.99),
        used.as_micros() / u128::from(count),
    ))
}

fn empty() -> Histogram<u64> {
    Histogram::new_with_max(60_000_000, 3).expect("the bounds are fixed and valid")
}

/// Calls until it is over; microseconds of each group, and requests that failed.
fn call(callers: SocketAddr, habit: Habit, over: &AtomicBool) -> (Histogram<u64>, usize) {
    let mut latency = empty();
    let mut failed = 0;
    let mut kept: Option<Connection> = None;
    while !over.load(Ordering::Relaxed) {
        let begun = Instant::now();
        let open = kept.take().map_or_else(|| Connection::open(callers), Ok);
        let exchanged = open.and_then(|mut connection| {
            let lost = connection.exchange(habit.ahead)?;
            Ok((connection, lost))
        });
        match exchanged {
            Ok((connection, lost)) => {
                failed += lost;
                kept = (!habit.anew).then_some(connection);
            }
            Err(_) => failed += habit.ahead,
        }
        let micros = u64::try_from(begun.elapsed().as_micros()).unwrap_or(u64::MAX);
        latency.saturating_record_n(micros, habit.ahead as u64);
    }
    (latency, failed)
}

struct Connection {
    stream: BufReader<TcpStream>,
    sent: usize,
}

impl Connection {
    fn open(callers: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(callers)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(PATIENCE))?;
        Ok(Self {
            stream: BufReader::new(stream),
            sent: 0,
        })
    }

    /// Sends `count` requests and reads their answers; how many failed.
    fn exchange(&mut self, count: usize) -> io::Result<usize> {
        let request = |number: usize| {
            format!(
                "GET /view/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r{number}\r\n\
                 Affinity-Key: {}\r\nDeadline-Ms: 2500\r\n\r\n",
                number % OBJECTS
            )
        };
        let text: String = (self.sent..self.sent + count).map(request).collect();
        self.stream.get_mut().write_all(text.as_bytes())?;
        let mut failed = 0;
        for number in self.sent..self.sent + count {
            let own = self.read_answer()? == format!("body of r{number}");
            failed += usize::from(!own);
        }
        self.sent += count;
        Ok(failed)
    }

    /// Reads one answer's body.
    fn read_answer(&mut self) -> io::Result<String> {
        let mut length = 0;
        loop {
            let mut line = String::new();
            if self.stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if line == "\r\n" {
                break;
            }
            if let Some(value) = line.to_ascii_lowercase().strip_prefix("content-length:") {
                length = value.trim().parse().unwrap_or(0);
            }
        }
        let mut body = vec![0; length];
        self.stream.read_exact(&mut body)?;
        Ok(String::from_utf8_lossy(&body).into_owned())
    }
}

/// Processor time of the thread that serves callers, by the kernel's account.
fn processor() -> io::Result<Duration> {
    for task in fs::read_dir("/proc/self/task")? {
        let path = task?.path();
        if fs::read_to_string(path.join("comm"))?.trim() == "traffic" {
            let text = fs::read_to_string(path.join("schedstat"))?;
            let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
            return Ok(Duration::from_nanos(nanos.unwrap_or(0)));
        }
    }
    Err(io::Error::other("no thread serves callers"))
}
