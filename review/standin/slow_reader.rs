//! Callers that read a long answer slowly and without a pause.
//!
//! Six callers send a short request, and on the same connection one for a long answer.
//! They read it at a steady rate that takes longer than `idle_timeout_s`, but ends
//! within their own time limit and the route's timeout. The rule is broken if more than
//! three of these connections are closed before the whole answer was read.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, mpsc};
use std::thread;
use std::time::{Duration, Instant};

use crate::config::{self, HOST, Route};
use crate::deployment::Deployment;
use crate::http;
use crate::record::{Record, Verdict};
use crate::target::Work;

/// Length of the long answer in bytes.
const LONG: usize = 10_000_000;

/// Callers at a time.
const CALLERS: usize = 6;

/// Closed connections that the rule allows.
const ALLOWED: usize = 3;

/// Bytes that a caller reads each tenth of a second, and in all at most if it is quick.
const SLOW_PIECE: usize = 30_000;
const QUICK_PIECE: usize = 10_000_000;

/// Time that a caller waits, in milliseconds.
const DEADLINE_MS: u64 = 60_000;

/// How a caller's long request ended.
struct End {
    id: String,
    status: u16,
    read: usize,
    took: Duration,
    cause: String,
}

pub fn run(record: &Record, is_troubled: bool) -> Verdict {
    let routes = [
        Route {
            prefix: "/short/",
            service: "short",
            kind: "safe",
            timeout_s: 8.0,
        },
        Route {
            prefix: "/order/",
            service: "order",
            kind: "unsafe",
            timeout_s: 60.0,
        },
    ];
    let work: Work = Arc::new(|request| match request.path().starts_with("/order/") {
        true => vec![b'o'; LONG],
        false => b"short".to_vec(),
    });
    let Some(deployment) = Deployment::start(record, 1, 260, &config::document(1, &routes), &work)
    else {
        return Verdict::NotRun;
    };
    deployment.serve("short", 2, record);
    deployment.serve("order", 4, record);
    if !deployment.await_ready(record) {
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(5));
    let piece = if is_troubled { SLOW_PIECE } else { QUICK_PIECE };
    let front = deployment.fronts()[0];
    let (ended, ends) = mpsc::channel();
    for caller in 0..CALLERS {
        let (record, ended) = (record.clone(), ended.clone());
        thread::spawn(move || {
            let end = call(&record, front, caller, piece);
            let _ = ended.send(end);
        });
    }
    drop(ended);
    let mut cut = 0;
    let mut unrun = 0;
    for end in ends {
        let is_whole = end.status == 200 && end.read == LONG;
        let runs = deployment.runs_of(&end.id);
        record.line(&format!(
            "{}: status {}, {} of {LONG} bytes in {:.1} s, {}; run {runs} times at a server",
            end.id,
            end.status,
            end.read,
            end.took.as_secs_f64(),
            end.cause
        ));
        cut += usize::from(!is_whole && runs > 0);
        unrun += usize::from(runs == 0);
    }
    deployment.note_runs(record);
    if unrun > 0 || !deployment.all_run(record) {
        return Verdict::NotRun;
    }
    record.line(&format!(
        "{cut} of {CALLERS} connections closed before the answer of a request that has run was complete; allowed {ALLOWED}"
    ));
    Verdict::of(cut > ALLOWED)
}

fn call(record: &Record, front: SocketAddr, caller: usize, piece: usize) -> End {
    let id = format!("order-{caller}");
    let start = Instant::now();
    let mut end = End {
        id: id.clone(),
        status: 0,
        read: 0,
        took: Duration::ZERO,
        cause: "the connection could not be opened".to_owned(),
    };
    let Ok(mut stream) = TcpStream::connect(front) else {
        return end;
    };
    let Ok(read) = stream.try_clone() else {
        return end;
    };
    let mut reader = BufReader::with_capacity(4096, read);
    let first = format!("short-{caller}");
    let call = request("GET", "/short/1", &first);
    let first = stream
        .write_all(call.as_bytes())
        .and_then(|()| http::read(&mut reader));
    if !matches!(first, Ok(Some(ref answer)) if answer.status() == 200) {
        end.cause = "the short request was not answered".to_owned();
        return end;
    }
    let sent = Instant::now();
    record.line(&format!(
        "{id} sent on the connection of an answered request"
    ));
    let call = request("POST", "/order/1", &id);
    if stream.write_all(call.as_bytes()).is_err() {
        return end;
    }
    match http::read_head(&mut reader) {
        Ok(Some(head)) => end.status = head.status(),
        _ => return end,
    }
    let mut buffer = vec![0; piece];
    end.cause = loop {
        let wanted = piece.min(LONG - end.read);
        if wanted == 0 {
            break "read to its end".to_owned();
        }
        let mut filled = 0;
        let mut fault = None;
        while filled < wanted && fault.is_none() {
            match reader.read(&mut buffer[filled..wanted]) {
                Ok(0) => fault = Some("the connection was closed".to_owned()),
                Ok(bytes) => filled += bytes,
                Err(error) => fault = Some(format!("the connection broke: {error}")),
            }
        }
        end.read += filled;
        if let Some(fault) = fault {
            break fault;
        }
        if start.elapsed() > Duration::from_millis(DEADLINE_MS) {
            break "out of time".to_owned();
        }
        thread::sleep(Duration::from_millis(100));
    };
    end.took = sent.elapsed();
    end
}

fn request(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n\r\n"
    )
}
