//! A server's report that the store carries out late, after the server has said that it
//! leaves.
//!
//! The store loses answers for a while. One write of a server, by which it reports that
//! it is ready, gets no answer and is carried out six seconds later, as the pages allow.
//! The server reports at its usual pace meanwhile. Four seconds after the store was last
//! impaired it reports that it is draining, and goes on reporting that; it serves for
//! many seconds yet. The rule is broken if a request reaches it later than `drain_s`
//! after that report was acknowledged.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{self, HOST, Route};
use crate::deployment::Deployment;
use crate::http;
use crate::record::{Record, Verdict};
use crate::target::Work;

/// `beat_s` and `drain_s` of the settings.
const BEAT: Duration = Duration::from_millis(1500);
const DRAIN: Duration = Duration::from_millis(2500);

/// `contact_s`, and a little more.
const CALM: Duration = Duration::from_millis(4100);

/// Time after which the store carries out a write that it didn't answer.
const LATE: Duration = Duration::from_millis(6000);

/// Time for which requests are sent after the report that the server leaves.
const WATCHED: Duration = Duration::from_secs(8);

/// Time that a server takes for a request.
const WORK: Duration = Duration::from_millis(20);

/// Time between two requests to an instance.
const PACE: Duration = Duration::from_millis(20);

pub fn run(record: &Record, is_troubled: bool) -> Verdict {
    let routes = [Route {
        prefix: "/view/",
        service: "view",
        kind: "safe",
        timeout_s: 2.5,
    }];
    let work: Work = Arc::new(|_| {
        thread::sleep(WORK);
        b"done".to_vec()
    });
    let document = config::document(1, &routes);
    let Some(deployment) = Deployment::start(record, 3, 260, &document, &work) else {
        return Verdict::NotRun;
    };
    deployment.serve("view", 3, record);
    if !deployment.await_ready(record) {
        return Verdict::NotRun;
    }
    let store = deployment.store.clone();
    let report = |state: &str, seq: u64| {
        let servers = deployment.servers.lock().expect("no thread panics");
        servers[0].report(&store, state, seq);
        let id = &servers[0].id;
        record.line(&format!("acknowledged: {id} is {state}, seq {seq}"));
    };
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = deployment
        .fronts()
        .into_iter()
        .enumerate()
        .map(|(at, front)| {
            let (record, is_over) = (record.clone(), Arc::clone(&is_over));
            thread::spawn(move || ask(&record, at, front, &is_over))
        })
        .collect();
    // Each entry: when, what, and the number of the report.
    let start = Instant::now();
    let mut steps = vec![
        (BEAT, "ready", 3),
        (BEAT * 2, "ready", 4),
        (CALM, "draining", 5),
        (CALM + BEAT, "draining", 6),
        (CALM + BEAT * 2, "draining", 7),
        (CALM + BEAT * 3, "draining", 8),
    ];
    if is_troubled {
        record.line("the store doesn't answer: i-view-0 is ready, seq 2; it is impaired until now");
        steps.push((LATE, "ready", 2));
    }
    steps.sort();
    let mut acked = start;
    for (when, state, seq) in steps {
        thread::sleep((start + when).saturating_duration_since(Instant::now()));
        if seq == 2 {
            record.line("carried out late, without an answer:");
        }
        report(state, seq);
        if seq == 5 {
            acked = Instant::now();
        }
    }
    thread::sleep((acked + WATCHED).saturating_duration_since(Instant::now()));
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    deployment.note_runs(record);
    let runs = deployment.runs();
    let of_leaving = |r: &&crate::target::Run| r.server == "i-view-0";
    let after = runs
        .iter()
        .filter(of_leaving)
        .filter(|r| r.at > acked + DRAIN);
    let after: Vec<f64> = after
        .map(|r| r.at.duration_since(acked).as_secs_f64())
        .collect();
    record.line(&format!(
        "{} requests reached i-view-0 later than {:.1} s after the ack that it is draining, from {:.2} to {:.2} s",
        after.len(),
        DRAIN.as_secs_f64(),
        after.iter().copied().fold(f64::INFINITY, f64::min),
        after.iter().copied().fold(0.0, f64::max)
    ));
    if !deployment.all_run(record) || runs.iter().filter(of_leaving).count() == 0 {
        return Verdict::NotRun;
    }
    Verdict::of(!after.is_empty())
}

/// Sends requests to an instance.
fn ask(record: &Record, at: usize, front: SocketAddr, is_over: &AtomicBool) {
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let id = format!("edge{at}-{number}");
        let now = Instant::now();
        let status = send(front, &id);
        let status = status.map_or("no answer".to_owned(), |s| s.to_string());
        record.line_at(now, &format!("{id} sent; {status}"));
        thread::sleep(PACE);
    }
}

fn send(front: SocketAddr, id: &str) -> Option<u16> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
    let call = format!(
        "GET /view/{id} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 2500\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(call.as_bytes()).ok()?;
    let answer = http::read(&mut BufReader::new(stream)).ok()??;
    Some(answer.status())
}
