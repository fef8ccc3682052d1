//! Long requests that may be repeated, at targets that reject a part of them; beside them
//! callers whose requests are at work at sound targets. The platform ends a process that
//! exceeds its memory.
//!
//! Disruption: the targets of the long requests reject each second one. Without it they
//! take all.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::{HOST, Platform, Route, SERVICE};
use crate::http::Connection;
use crate::instance::{Instance, MEMORY_MB, Plan};
use crate::record::Record;
use crate::target::Target;
use crate::{Failure, Verdict};

/// Service of the long requests.
const LONG_SERVICE: &str = "sheetview";

/// Their targets: those of one region by the sheet.
const LONG_TARGETS: [&str; 4] = ["seq-a", "seq-a", "seq-b", "seq-b"];

/// Long requests, one after the other.
const UPLOADS: usize = 12;

/// Body of each; the operator's limit is 67,108,864 bytes.
const UPLOAD_BYTES: usize = 60 << 20;

/// Callers with a request at work on a kept connection.
const BYSTANDERS: usize = 6;

/// Work of these requests; archive-browse, up to 10,560 ms.
const BYSTANDER_WORK_MS: u64 = 7_000;

/// Lost requests that the rule allows.
const LOST_MAX: usize = 3;

pub fn play(program: &str, record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let routes = [
        Route {
            name: "archive-browse",
            prefix: "/browse/",
            kind: "safe",
            timeout_s: 8.0,
            goal_s: 2.5,
            service: SERVICE,
        },
        Route {
            name: "sheet-lookup",
            prefix: "/compare/",
            kind: "safe",
            timeout_s: 2.5,
            goal_s: 0.6,
            service: LONG_SERVICE,
        },
    ];
    let platform = Platform::start(&routes, &[], record)?;
    for (number, domain) in LONG_TARGETS.iter().enumerate() {
        let target = Target::start(&format!("i-10{number:02x}"), &platform.runs, record)?;
        target.register(&platform.store, LONG_SERVICE, domain, 3);
        if has_trouble {
            target.shed();
        }
    }
    let plan = Plan {
        name: "edge-seq-a-1",
        domain: "seq-a",
        region: "seq",
        store: platform.store.addr,
        grace_s: 6,
        further: "",
    };
    let instance = Instance::start(program, &plan)?;
    // In touch for `contact_s`, and known for longer than a target counts as cold.
    thread::sleep(Duration::from_secs(4));
    let bystanders: Vec<_> = (0..BYSTANDERS)
        .map(|number| {
            let to = instance.callers;
            let record = record.clone();
            thread::spawn(move || bystander(to, number, &record).unwrap_or(false))
        })
        .collect();
    thread::sleep(Duration::from_millis(700));
    let is_over = Arc::new(AtomicBool::new(false));
    let peak = Arc::new(AtomicU64::new(0));
    let watcher = watch(&instance, &is_over, &peak, record);
    for number in 0..UPLOADS {
        let answer = upload(instance.callers, number);
        record.line(&format!(
            "upload-{number}: {}; memory {} MB",
            match &answer {
                Ok(status) => format!("answered {status}"),
                Err(error) => format!("no answer, {error}"),
            },
            instance.memory_mb()
        ));
        if instance.has_ended() {
            break;
        }
    }
    let mut answered = 0;
    for caller in bystanders {
        answered += usize::from(caller.join().map_err(|_| "a caller failed")?);
    }
    is_over.store(true, Ordering::Relaxed);
    let was_killed = watcher.join().map_err(|_| "the platform's watch failed")?;
    thread::sleep(Duration::from_millis(100));
    let runs = platform.runs.lock().unwrap();
    let is_bystander = |id: &str| id.starts_with("at-work-");
    let at_work = runs.iter().filter(|run| is_bystander(&run.id)).count();
    let lost = runs
        .iter()
        .filter(|run| is_bystander(&run.id) && run.is_cut)
        .count();
    record.line(&format!(
        "largest memory {} MB of {MEMORY_MB}; the process was ended for it: {was_killed}",
        peak.load(Ordering::Relaxed)
    ));
    record.line(&format!(
        "requests of others at sound targets: {at_work}, answered {answered}, lost at work {lost}; {LOST_MAX} allowed"
    ));
    Ok(if was_killed && lost > LOST_MAX {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}

/// Does what the platform does: ends the process once it exceeds its memory. Returns
/// whether it did.
fn watch(
    instance: &Instance,
    is_over: &Arc<AtomicBool>,
    peak: &Arc<AtomicU64>,
    record: &Record,
) -> thread::JoinHandle<bool> {
    let (instance, record) = (instance.clone(), record.clone());
    let (is_over, peak) = (Arc::clone(is_over), Arc::clone(peak));
    thread::spawn(move || {
        while !is_over.load(Ordering::Relaxed) {
            let memory = instance.memory_mb();
            peak.fetch_max(memory, Ordering::Relaxed);
            if memory > MEMORY_MB {
                instance.kill();
                record.line(&format!(
                    "the process has {memory} MB, {MEMORY_MB} allowed: the platform ends it"
                ));
                return true;
            }
            thread::sleep(Duration::from_millis(5));
        }
        false
    })
}

/// Sends a short request and then a long one on the same connection; returns whether the
/// second is answered with success.
fn bystander(to: SocketAddr, number: usize, record: &Record) -> Result<bool, Failure> {
    let mut connection = Connection::new(TcpStream::connect(to)?);
    for (id, work) in [
        (format!("first-{number}"), 50),
        (format!("at-work-{number}"), BYSTANDER_WORK_MS),
    ] {
        let text = format!(
            "GET /browse/{id}?work={work} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 20000\r\n\r\n"
        );
        connection.stream.write_all(text.as_bytes())?;
        let began = Instant::now();
        let answer = connection.read();
        let status = answer
            .as_ref()
            .ok()
            .and_then(|a| Some(a.as_ref()?.status()));
        record.line(&format!(
            "{id}: {} after {:.2} s",
            match status {
                Some(status) => format!("answered {status}"),
                None => "the connection ended without an answer".to_owned(),
            },
            began.elapsed().as_secs_f64()
        ));
        if status != Some(200) {
            return Ok(false);
        }
    }
    Ok(true)
}

/// Sends a long request; returns the status of its answer.
fn upload(to: SocketAddr, number: usize) -> Result<u16, Failure> {
    let mut connection = Connection::new(TcpStream::connect(to)?);
    let head = format!(
        "POST /compare/sheet?bytes=200 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: upload-{number}\r\nAffinity-Key: 17\r\nDeadline-Ms: 4000\r\nContent-Length: {UPLOAD_BYTES}\r\n\r\n"
    );
    connection.stream.write_all(head.as_bytes())?;
    connection.stream.write_all(&vec![b'x'; UPLOAD_BYTES])?;
    connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(5)))?;
    let answer = connection.read()?.ok_or("the connection was closed")?;
    Ok(answer.status())
}
