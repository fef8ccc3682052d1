//! Targets answer a long request before they have read it, keep the connection and read
//! on later. A look-up comes meanwhile, and then the targets leave.
//!
//! Disruption: the early answers. Without it the targets read a request before they answer.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::{HOST, Platform, Route};
use crate::http::Connection;
use crate::instance::{Instance, Plan};
use crate::record::Record;
use crate::target::Target;
use crate::{Failure, Verdict};

const LONG_SERVICE: &str = "sheetview";

/// Failure domains of its targets.
const DOMAINS: [&str; 2] = ["seq-a", "seq-b"];

/// Long requests at once, one for each target.
const UPLOADS: usize = DOMAINS.len();

/// Body of a long request; the operator's limit is 67,108,864 bytes.
const UPLOAD_BYTES: usize = 24 << 20;

/// Time after which the targets read on.
const READ_ON_AFTER: Duration = Duration::from_millis(4_000);

/// `drain_s` of the settings.
const DRAIN: Duration = Duration::from_millis(2_500);

/// Look-ups that are sent after the long request.
const LOOK_UPS: usize = 2;

pub fn play(program: &str, record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let routes = [Route {
        name: "archive-browse",
        prefix: "/browse/",
        kind: "safe",
        timeout_s: 8.0,
        goal_s: 2.5,
        service: LONG_SERVICE,
    }];
    let platform = Platform::start(&routes, &[], record)?;
    let mut targets = Vec::new();
    for (number, domain) in DOMAINS.iter().enumerate() {
        let target = Target::start(&format!("i-10{number:02x}"), &platform.runs, record)?;
        target.register(&platform.store, LONG_SERVICE, domain, 3);
        if has_trouble {
            target.read_on_after(READ_ON_AFTER);
        }
        targets.push((target, *domain));
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
    // In touch for `contact_s`.
    thread::sleep(Duration::from_millis(4_500));
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|number| {
            let to = instance.callers;
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("upload-{number}");
                let status = send(to, &id, "POST", UPLOAD_BYTES).unwrap_or(0);
                record.line(&format!("{id} is answered: {status} (0: not at all)"));
            })
        })
        .collect();
    for upload in uploads {
        upload.join().map_err(|_| "a caller failed")?;
    }
    let callers: Vec<_> = (0..LOOK_UPS)
        .map(|number| {
            let to = instance.callers;
            let record = record.clone();
            thread::spawn(move || {
                let id = format!("look-up-{number}");
                record.line(&format!("{id} is sent"));
                let status = send(to, &id, "GET", 0).unwrap_or(0);
                record.line(&format!("{id} is answered: {status} (0: not at all)"));
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    for (target, domain) in &targets {
        target.report(&platform.store, LONG_SERVICE, domain, 3, ("draining", 2));
    }
    let acknowledged = Instant::now();
    record.line("the store has accepted that both targets are draining");
    for caller in callers {
        caller.join().map_err(|_| "a caller failed")?;
    }
    let mut verdict = Verdict::Held;
    let runs = platform.runs.lock().unwrap();
    for run in runs.iter().filter(|run| run.id.starts_with("look-up-")) {
        let after = run.arrived.saturating_duration_since(acknowledged);
        record.line(&format!(
            "{} reached its target {:.2} s after that, {:.1} s allowed",
            run.id,
            after.as_secs_f64(),
            DRAIN.as_secs_f64()
        ));
        if after > DRAIN {
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

/// Sends a request with a body of this length; returns the status of its answer.
fn send(to: SocketAddr, id: &str, method: &str, length: usize) -> Result<u16, Failure> {
    let mut connection = Connection::new(TcpStream::connect(to)?);
    let head = format!(
        "{method} /browse/{id}?work=300 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: 20000\r\nContent-Length: {length}\r\n\r\n"
    );
    connection.stream.write_all(head.as_bytes())?;
    connection.stream.write_all(&vec![b'x'; length])?;
    connection
        .stream
        .set_read_timeout(Some(Duration::from_secs(20)))?;
    let answer = connection.read()?.ok_or("the connection was closed")?;
    Ok(answer.status())
}
