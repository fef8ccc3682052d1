//! A caller that sends a request with `Expect: 100-continue` behind others, and reads the
//! answers to those slowly.
//!
//! Disruption: slow reading. Without it the caller reads as fast as it can.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use super::{HOST, Platform, Route, SERVICE};
use crate::instance::{Instance, Plan};
use crate::record::Record;
use crate::socket;
use crate::target;
use crate::{Failure, Verdict};

/// Connections, one after the other.
const CALLERS: usize = 16;

/// Look-ups on a connection, ahead of the request with a body.
const LOOK_UPS: usize = 8;

/// Length of an answer in bytes, which differs between callers; the largest of the site
/// files is 30,000.
const ANSWER_BYTES: std::ops::RangeInclusive<usize> = 20_000..=30_000;

/// Length of the body that follows.
const BODY_BYTES: usize = 2_000;

/// Bytes that a slow caller reads at a time, and the pause between.
const PIECE_BYTES: usize = 4_096;
const PIECE_PAUSE: Duration = Duration::from_millis(20);

/// Receive buffer of a slow caller, and the segment size of its link.
const RECEIVE_BYTES: i32 = 8 * 1024;
const SEGMENT_BYTES: i32 = 1_448;

/// Longest wait for `100 Continue`, after which the body is sent without it.
const CONTINUE_WAIT: Duration = Duration::from_secs(1);

/// The caller's time limit.
const LIMIT: Duration = Duration::from_secs(8);

pub fn play(program: &str, record: &Record, has_trouble: bool) -> Result<Verdict, Failure> {
    let routes = [Route {
        name: "assay-archive",
        prefix: "/archive/",
        kind: "safe",
        timeout_s: 2.5,
        goal_s: 2.0,
        service: SERVICE,
    }];
    let platform = Platform::start(&routes, &[], record)?;
    let plan = Plan {
        name: "edge-seq-a-1",
        domain: "seq-a",
        region: "seq",
        store: platform.store.addr,
        grace_s: 6,
        further: "",
    };
    let instance = Instance::start(program, &plan)?;
    // Callers come once the instance has been in touch with the store for `contact_s`.
    thread::sleep(Duration::from_secs(4));
    let mut verdict = Verdict::Held;
    for number in 0..CALLERS {
        if !call(instance.callers, number, record, has_trouble)? {
            verdict = Verdict::Broken;
        }
    }
    Ok(verdict)
}

/// An address of its own for each caller. The system keeps what it has learnt about a path by
/// address, so that the buffers of connections from one address depend on earlier ones.
fn caller_address(number: usize) -> Ipv4Addr {
    let process = std::process::id();
    Ipv4Addr::new(
        127,
        1 + (process >> 8) as u8 % 250,
        process as u8,
        1 + number as u8,
    )
}

/// Runs one caller; returns whether each answer was that of its request, whole.
fn call(
    to: SocketAddr,
    number: usize,
    record: &Record,
    has_trouble: bool,
) -> Result<bool, Failure> {
    let mut stream = if has_trouble {
        socket::connect_narrow(caller_address(number), to, RECEIVE_BYTES, SEGMENT_BYTES)?
    } else {
        TcpStream::connect(to)?
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(20)))?;
    let began = Instant::now();
    let mut ids = Vec::new();
    let mut text = String::new();
    let limit = LIMIT.as_millis();
    let spread = ANSWER_BYTES.end() - ANSWER_BYTES.start();
    let length = ANSWER_BYTES.start() + spread * number / (CALLERS - 1);
    for at in 0..LOOK_UPS {
        let id = format!("c{number}-look-up-{at}");
        text.push_str(&format!(
            "GET /archive/{at}?bytes={length} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {limit}\r\n\r\n"
        ));
        ids.push(id);
    }
    let id = format!("c{number}-search");
    text.push_str(&format!(
        "POST /archive/search?bytes=200 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {limit}\r\nExpect: 100-continue\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    ));
    ids.push(id);
    stream.write_all(text.as_bytes())?;
    record.line(&format!(
        "caller {number} sends {LOOK_UPS} look-ups with answers of {length} bytes, and the head of a request that waits for 100 Continue"
    ));
    let mut input = Vec::new();
    let mut reader = Reader::default();
    let mut body_due = None;
    let mut is_body_sent = false;
    loop {
        if began.elapsed() > LIMIT {
            record.line(&format!("caller {number} reaches its time limit"));
            break;
        }
        let mut bytes = [0; PIECE_BYTES];
        match stream.read(&mut bytes) {
            Ok(0) => {
                record.line(&format!("caller {number}: the connection was closed"));
                break;
            }
            Ok(count) => input.extend_from_slice(&bytes[..count]),
            Err(_) => {}
        }
        reader.take(&mut input);
        if reader.answers.len() >= LOOK_UPS && body_due.is_none() {
            body_due = Some(Instant::now() + CONTINUE_WAIT);
        }
        let is_due = body_due.is_some_and(|due| Instant::now() >= due);
        if !is_body_sent && (reader.may_continue || is_due) {
            record.line(&format!(
                "caller {number} sends the body, 100 Continue received: {}",
                reader.may_continue
            ));
            stream.write_all(&vec![b'x'; BODY_BYTES])?;
            is_body_sent = true;
        }
        if reader.fault.is_some() || reader.answers.len() == ids.len() {
            break;
        }
        if has_trouble {
            thread::sleep(PIECE_PAUSE);
        }
    }
    if let Some(fault) = &reader.fault {
        record.line(&format!(
            "caller {number}: bytes that are no answer: {fault}"
        ));
    }
    let mut is_whole = reader.fault.is_none();
    for (id, answer) in ids.iter().zip(&reader.answers) {
        let seal = format!("{:016x}", target::digest(&answer.body));
        let is_own = answer.id == *id;
        let is_complete = answer.seal == seal;
        record.line(&format!(
            "caller {number} gets {} with id {} for {id}: {} bytes, digest {}",
            answer.status,
            answer.id,
            answer.body.len(),
            if is_complete {
                "as sealed"
            } else {
                "NOT as sealed"
            },
        ));
        if answer.status == 200 && !(is_own && is_complete) {
            is_whole = false;
            describe(&answer.body, id, record);
        }
    }
    Ok(is_whole)
}

/// Records where a body differs from the target's.
fn describe(body: &[u8], id: &str, record: &Record) {
    let sent = target::body(id, body.len());
    let Some(at) = body.iter().zip(&sent).position(|(a, b)| a != b) else {
        return;
    };
    let part = &body[at..(at + 40).min(body.len())];
    let part = String::from_utf8_lossy(part);
    record.line(&format!("  the body differs from byte {at} on: {part:?}"));
}

pub struct Answer {
    pub status: u16,
    pub id: String,
    pub seal: String,
    pub body: Vec<u8>,
}

/// Reads answers as a caller does, by their lengths.
#[derive(Default)]
pub struct Reader {
    pub answers: Vec<Answer>,
    may_continue: bool,
    /// Bytes where an answer was due.
    fault: Option<String>,
}

impl Reader {
    pub fn take(&mut self, input: &mut Vec<u8>) {
        while self.fault.is_none() {
            let Some(end) = input.windows(4).position(|w| w == b"\r\n\r\n") else {
                return;
            };
            let head = String::from_utf8_lossy(&input[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default();
            let status = first
                .strip_prefix("HTTP/1.1 ")
                .and_then(|rest| rest.get(..3));
            let Some(status) = status.and_then(|status| status.parse::<u16>().ok()) else {
                self.fault = Some(first.chars().take(60).collect());
                return;
            };
            if status == 100 {
                self.may_continue = true;
                input.drain(..end + 4);
                continue;
            }
            let headers: Vec<(String, &str)> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim()))
                .collect();
            let header = |name: &str| {
                let found = headers.iter().find(|h| h.0 == name);
                found.map(|h| h.1.to_owned()).unwrap_or_default()
            };
            let length: usize = header("content-length").parse().unwrap_or_default();
            let whole = end + 4 + length;
            if input.len() < whole {
                return;
            }
            self.answers.push(Answer {
                status,
                id: header("request-id"),
                seal: header("response-seal"),
                body: input[end + 4..whole].to_vec(),
            });
            input.drain(..whole);
        }
    }
}
