//! A planned stop: a caller's request reaches the instance more than 3 s after SIGTERM, and
//! its target is still at work when the process ends.
//!
//! Disruption: the SIGTERM. Without it the request is answered.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use super::{HOST, Platform, Route, SERVICE};
use crate::http::Connection;
use crate::instance::{self, Instance, Plan};
use crate::record::Record;
use crate::{Failure, Verdict};

/// Time from SIGTERM to SIGKILL, as on the sheet of the large installation.
const GRACE: Duration = Duration::from_secs(10);

/// Requests from which the instance learns how long the route's work takes.
const USUAL_REQUESTS: usize = 8;

/// Work of these: an object that its target holds. Sheet: 3,520 ms, less 0.7 of it.
const USUAL_WORK_MS: u64 = 1_050;

/// Work of the request of the case. Sheet: up to 10,560 ms.
const LONG_WORK_MS: u64 = 5_700;

/// Time from SIGTERM to the request: later than the 3 s of the rule's excuse.
const SENT_AFTER: Duration = Duration::from_millis(4_000);

/// The caller's time limit, and the route's timeout.
const LIMIT_MS: u64 = 20_000;
const TIMEOUT_S: f64 = 8.0;

pub fn play(program: &str, record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let routes = [Route {
        name: "archive-browse",
        prefix: "/browse/",
        kind: "safe",
        timeout_s: TIMEOUT_S,
        goal_s: 2.5,
        service: SERVICE,
    }];
    let platform = Platform::start(&routes, &[], record)?;
    let plan = Plan {
        name: "edge-seq-a-1",
        domain: "seq-a",
        region: "seq",
        store: platform.store.addr,
        grace_s: u32::try_from(GRACE.as_secs())?,
        further: "",
    };
    let instance = Instance::start(program, &plan)?;
    thread::sleep(Duration::from_secs(4));
    let resolve = "/v1/resolve?name=a.example&region=seq&zone=seq-a";
    let found = instance::get(instance.directory, resolve)?;
    record.line(&format!(
        "directory: {} {}",
        found.status(),
        String::from_utf8_lossy(&found.body)
    ));
    let callers: Vec<_> = (0..USUAL_REQUESTS)
        .map(|number| {
            let to = instance.callers;
            thread::sleep(Duration::from_millis(150));
            thread::spawn(move || -> std::io::Result<u16> {
                let mut connection = Connection::new(TcpStream::connect(to)?);
                let text = request(&format!("usual-{number}"), USUAL_WORK_MS);
                connection.stream.write_all(text.as_bytes())?;
                let answer = connection.read()?;
                Ok(answer.map_or(0, |answer| answer.status()))
            })
        })
        .collect();
    for caller in callers {
        let status = caller.join().map_err(|_| "a caller failed")??;
        record.line(&format!("a usual request is answered: {status}"));
    }
    // A caller keeps its connection open after its first request.
    let mut kept = Connection::new(TcpStream::connect(instance.callers)?);
    kept.stream.write_all(request("kept-1", 300).as_bytes())?;
    let first = kept.read()?.ok_or("the first request was not answered")?;
    record.line(&format!("kept-1 is answered: {}", first.status()));
    let stopped = Instant::now();
    if has_trouble {
        record.line("SIGTERM");
        instance.terminate();
    } else {
        record.line("no SIGTERM");
    }
    thread::sleep(SENT_AFTER.saturating_sub(Duration::from_millis(100)));
    let found = instance::get(instance.directory, resolve);
    let status = found.map_or(0, |answer| answer.status());
    record.line(&format!(
        "the caller asks the directory again: {status} (0: no answer; it keeps the old one)"
    ));
    thread::sleep(SENT_AFTER.saturating_sub(stopped.elapsed()));
    let sent = kept
        .stream
        .write_all(request("kept-2", LONG_WORK_MS).as_bytes());
    let sent_after = stopped.elapsed();
    record.line(&format!(
        "kept-2 is sent {:.3} s after SIGTERM, whole: {}",
        sent_after.as_secs_f64(),
        sent.is_ok()
    ));
    kept.stream
        .set_read_timeout(Some(Duration::from_secs(12)))?;
    let answer = kept.read();
    let ended_after = stopped.elapsed();
    let status = match &answer {
        Ok(Some(answer)) => Some(answer.status()),
        Ok(None) | Err(_) => None,
    };
    match status {
        Some(status) => record.line(&format!(
            "kept-2 is answered {:.3} s after SIGTERM: {status}",
            ended_after.as_secs_f64()
        )),
        None => record.line(&format!(
            "kept-2: the connection ends without an answer, {:.3} s after SIGTERM",
            ended_after.as_secs_f64()
        )),
    }
    thread::sleep(Duration::from_millis(300));
    record.line(&format!("the process has ended: {}", instance.has_ended()));
    let runs = platform.runs.lock().unwrap().clone();
    let run = runs.iter().find(|run| run.id == "kept-2");
    let was_passed_on = run.is_some();
    let was_cut_at_work = run.is_some_and(|run| run.is_cut);
    record.line(&format!(
        "kept-2 was passed on to a target: {was_passed_on}; the target was at work when its connection was closed: {was_cut_at_work}"
    ));
    let is_late = sent_after > Duration::from_secs(3);
    // Nothing else of the rule's excuses applies: time limit and timeout lie further ahead.
    let is_lost = status.is_none() && was_passed_on && was_cut_at_work;
    let has_time_left = ended_after < sent_after + Duration::from_secs_f64(TIMEOUT_S);
    if is_lost && is_late && has_time_left {
        return Ok(Verdict::Broken);
    }
    Ok(Verdict::Held)
}

fn request(id: &str, work_ms: u64) -> String {
    format!(
        "GET /browse/{id}?work={work_ms} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nAffinity-Key: 17\r\nDeadline-Ms: {LIMIT_MS}\r\n\r\n"
    )
}
