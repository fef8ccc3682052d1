//! Configurations in quick succession, while the configuration is large.
//!
//! The operator lets the configuration grow by many routes, twice, and then writes
//! a change each 60 ms for 1.5 s. The last one moves a route from the service `old`
//! to the service `new`. The rule is broken if a request that was sent later than
//! `config_s` after that change was acknowledged is run by `old`.

use std::io::BufReader;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{self, HOST, Route};
use crate::deployment::Deployment;
use crate::http;
use crate::record::{Record, Verdict};
use crate::target::Work;

/// Routes by which the configuration grows at a time, and how often it does.
const GROWTH: usize = 1604;
const GROWTHS: usize = 2;

/// The succession of changes.
const GAP: Duration = Duration::from_millis(60);
const LENGTH: Duration = Duration::from_millis(1500);

/// `config_s` of the settings.
const BOUND: Duration = Duration::from_millis(2500);

/// Time after the last change for which requests are sent.
const WATCHED: Duration = Duration::from_secs(14);

/// Time between two requests to an instance.
const PACE: Duration = Duration::from_millis(100);

/// A request to an instance.
struct Sent {
    id: String,
    at: Instant,
}

pub fn run(record: &Record, is_troubled: bool) -> Verdict {
    let work: Work = Arc::new(|_| b"done".to_vec());
    let first = document(1, 0, "old", 8.0);
    let Some(deployment) = Deployment::start(record, 3, 260, &first, &work) else {
        return Verdict::NotRun;
    };
    deployment.serve("old", 3, record);
    deployment.serve("new", 3, record);
    if !deployment.await_ready(record) {
        return Verdict::NotRun;
    }
    let write = |text: &str, what: &str| {
        deployment.store.write("op/config", text);
        record.line(&format!("acknowledged: {what}, {} bytes", text.len()));
    };
    let mut version = 1;
    for growth in 1..=GROWTHS {
        thread::sleep(Duration::from_secs(2));
        version += 3;
        let text = document(version, growth * GROWTH, "old", 8.0);
        write(
            &text,
            &format!("version {version}, {} routes more", growth * GROWTH),
        );
    }
    // The instances are in touch, and the growth is in force.
    thread::sleep(Duration::from_secs(8));
    let size = GROWTHS * GROWTH;
    let start = Instant::now();
    let mut changes = 0;
    while is_troubled && start.elapsed() < LENGTH {
        version += 2;
        let timeout = 8.0 - 0.1 * f64::from(changes % 2);
        write(
            &document(version, size, "old", timeout),
            &format!("version {version}"),
        );
        changes += 1;
        thread::sleep((start + GAP * changes).saturating_duration_since(Instant::now()));
    }
    version += 2;
    let text = document(version, size, "new", 8.0);
    write(
        &text,
        &format!("version {version}, by which /move/ goes to `new`"),
    );
    let acked = Instant::now();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let clients: Vec<_> = deployment
        .fronts()
        .into_iter()
        .enumerate()
        .map(|(at, front)| {
            let (record, sent) = (record.clone(), Arc::clone(&sent));
            thread::spawn(move || ask(&record, at, front, acked + WATCHED, &sent))
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    deployment.note_runs(record);
    if !deployment.all_run(record) {
        return Verdict::NotRun;
    }
    let runs = deployment.runs();
    let sent = sent.lock().expect("no thread panics");
    let late: Vec<_> = sent
        .iter()
        .filter(|s| s.at > acked + BOUND)
        .filter(|s| {
            runs.iter()
                .any(|r| r.id == s.id && r.server.starts_with("i-old"))
        })
        .collect();
    let last = late
        .iter()
        .map(|s| s.at.duration_since(acked).as_secs_f64());
    record.line(&format!(
        "{} of {} requests sent later than {:.1} s after the ack were run by `old`, the last one sent {:.1} s after it",
        late.len(),
        sent.iter().filter(|s| s.at > acked + BOUND).count(),
        BOUND.as_secs_f64(),
        last.fold(0.0, f64::max)
    ));
    if sent.len() < 100 {
        return Verdict::NotRun;
    }
    Verdict::of(!late.is_empty())
}

/// The configuration with this many routes more.
fn document(version: u64, more: usize, service: &'static str, timeout_s: f64) -> String {
    let routes = [
        Route {
            prefix: "/move/",
            service,
            kind: "safe",
            timeout_s,
        },
        Route {
            prefix: "/other/",
            service: "old",
            kind: "unsafe",
            timeout_s: 8.0,
        },
        Route {
            prefix: "/new/",
            service: "new",
            kind: "unsafe",
            timeout_s: 8.0,
        },
    ];
    config::document_with(version, &routes, more)
}

/// Sends requests to an instance until `until`.
fn ask(record: &Record, at: usize, front: SocketAddr, until: Instant, sent: &Mutex<Vec<Sent>>) {
    let mut number = 0;
    while Instant::now() < until {
        number += 1;
        let id = format!("edge{at}-{number}");
        let now = Instant::now();
        let status = send(front, &id);
        let status = status.map_or("no answer".to_owned(), |s| s.to_string());
        record.line_at(now, &format!("{id} sent; {status}"));
        sent.lock()
            .expect("no thread panics")
            .push(Sent { id, at: now });
        thread::sleep(PACE);
    }
}

fn send(front: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(4))).ok()?;
    let call = format!(
        "GET /move/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 4000\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(call.as_bytes()).ok()?;
    let answer = http::read(&mut BufReader::new(stream)).ok()??;
    Some(answer.status())
}
