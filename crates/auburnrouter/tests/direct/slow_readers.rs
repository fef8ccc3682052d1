//! Callers that read their answers slowly or not at all: what they hold is bounded, and
//! others are turned away before their requests run.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use platform_standin::store;
use rstest::rstest;
use rustix::net::{AddressFamily, SocketType, sockopt};

use super::harness::{
    Answer, HOST, Harness, MS, ROUTES, WAIT_TIMEOUT, read_answer, request, wait_for_line,
    wait_until,
};

/// Callers that don't read.
const CALLERS: usize = 300;

/// Body of an answer, more than the sockets between instance and caller hold.
const ANSWER_BYTES: usize = 12 << 20;

/// Bytes of bodies that the instance holds, by its dump.
fn held(harness: &Harness) -> u64 {
    let dump: serde_json::Value =
        serde_json::from_str(&harness.entry.dump()).expect("a dump is JSON");
    dump["body_bytes"].as_u64().expect("a dump counts bytes")
}

fn send_unread(harness: &Harness, id: &str) -> TcpStream {
    let mut stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
    let text = request("GET", "/view/x", id, "");
    stream
        .write_all(text.as_bytes())
        .expect("the connection is open");
    stream
}

/// Sends a request whose answer waits whole for its caller.
fn hold_answer(harness: &Harness, id: &str) -> TcpStream {
    let stream = send_unread(harness, id);
    let line = wait_for_line(&harness.entry, &format!("\"attempt\",\"request\":\"{id}\""));
    assert!(line.contains("\"answered\""), "{line}");
    stream
}

/// Answers for callers that don't read took all memory, and the process was killed with
/// the requests of all others.
#[test]
fn bound_memory_of_unread_answers() {
    let harness = Harness::start(1);
    set_timeouts(&harness, 60, 60);
    harness.targets[0].pad_answers(ANSWER_BYTES);
    let memory = harness.entry.memory_limit();
    let mut callers = Vec::new();
    while held(&harness) < memory / 4 {
        callers.push(hold_answer(&harness, &format!("first{}", callers.len())));
    }
    let late = |n: usize| send_unread(&harness, &format!("late{n}"));
    callers.extend((0..CALLERS).map(late));
    wait_for_line(&harness.entry, "\"why\":\"memory\"");
    wait_until("no request is in progress", || {
        harness.entry.dump().contains("\"requests\":0,")
    });
    let rejected = rejected_for_memory(&harness);
    let runs = harness.runs();
    assert!(runs.iter().all(|run| !rejected.contains(&run.id)));
    assert!(held(&harness) <= memory / 2, "{} bytes", held(&harness));
    let peak = harness.entry.peak_memory();
    assert!(peak <= memory, "{peak} bytes at the peak");
    drop(callers);
    harness.targets[0].pad_answers(0);
    wait_until("callers that left free their memory", || {
        held(&harness) == 0
    });
    let answer: Answer = harness.entry.send("GET", "/view/x", "next", "");
    assert_eq!(answer.status, 200, "{answer:?}");
}

/// Ids of the requests that were turned away for lack of memory, by the log.
fn rejected_for_memory(harness: &Harness) -> Vec<String> {
    let lines = harness
        .entry
        .lines
        .lock()
        .expect("the lock is not poisoned");
    let rejected = lines.iter().filter(|l| l.contains("\"why\":\"memory\""));
    let id = |line: &String| -> String {
        let line: serde_json::Value = serde_json::from_str(line).expect("a line is JSON");
        line["request"].as_str().unwrap_or_default().to_owned()
    };
    rejected.map(id).collect()
}

/// Callers that take nothing of their answers kept the memory of those who read theirs for
/// the whole request timeout.
#[test]
fn make_room_for_callers_that_read() {
    let harness = Harness::start(1);
    // Nothing but eviction ends callers while the test runs.
    set_timeouts(&harness, 60, 60);
    harness.targets[0].pad_answers(ANSWER_BYTES);
    let memory = harness.entry.memory_limit();
    let mut callers = Vec::new();
    while held(&harness) + ANSWER_BYTES as u64 <= memory * 3 / 8 {
        callers.push(hold_answer(&harness, &format!("first{}", callers.len())));
    }
    wait_until("a caller that reads is served", || {
        let id = format!("reads{}", harness.runs().len());
        harness.entry.send("GET", "/view/x", &id, "").status == 200
    });
    wait_for_line(&harness.entry, "\"event\":\"evicted\"");
    assert!(held(&harness) > 0, "only as many go as is needed");
}

/// A caller that doesn't read its answer keeps its memory for a bounded time.
#[test]
fn give_up_caller_that_does_not_read() {
    let harness = Harness::start(1);
    harness.targets[0].pad_answers(ANSWER_BYTES);
    let _stream = send_unread(&harness, "r1");
    wait_until("the answer waits for its caller", || held(&harness) > 0);
    wait_until("the caller is given up", || held(&harness) == 0);
}

/// Sends a request on a connection whose caller's system takes few bytes ahead of it.
fn send_narrow(harness: &Harness, id: &str) -> TcpStream {
    const RECEIVE_BYTES: usize = 64 << 10;
    let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None);
    let socket = socket.expect("a socket is free");
    sockopt::set_socket_recv_buffer_size(&socket, RECEIVE_BYTES).expect("it is not connected");
    rustix::net::connect(&socket, &harness.entry.callers).expect("the instance listens");
    let mut stream = TcpStream::from(socket);
    let text = request("GET", "/view/x", id, "");
    let sent = stream.write_all(text.as_bytes());
    sent.expect("the connection is open");
    stream
}

/// Reads `rate` bytes a second until the connection ends, or `length` bytes are read; returns
/// the number of bytes read.
fn read_steadily(stream: &mut TcpStream, length: usize, rate: usize) -> usize {
    const PIECE_TIME: Duration = MS.saturating_mul(100);
    let timeout = stream.set_read_timeout(Some(WAIT_TIMEOUT));
    timeout.expect("the span isn't zero");
    let mut piece = vec![0; rate / 10];
    let mut total = 0;
    let begin = Instant::now();
    for number in 1.. {
        match stream.read(&mut piece) {
            Ok(0) | Err(_) => break,
            Ok(read) => total += read,
        }
        if total >= length {
            break;
        }
        thread::sleep((begin + PIECE_TIME * number).saturating_duration_since(Instant::now()));
    }
    total
}

/// Installs a configuration with other timeouts of callers, in seconds.
fn set_timeouts(harness: &Harness, header_s: u32, idle_s: u32) {
    let text = store::document(4, HOST, &ROUTES, &[], 65_536);
    let text = text.replace(
        "\"header_timeout_s\":3,\"idle_timeout_s\":15",
        &format!("\"header_timeout_s\":{header_s},\"idle_timeout_s\":{idle_s}"),
    );
    assert!(text.contains(&format!("\"idle_timeout_s\":{idle_s}")));
    harness.store.write_bytes("op/config", text.as_bytes());
    wait_until("the configuration is in force", || {
        harness.entry.dump().contains("\"version\":4,")
    });
}

/// A connection counted as idle while a long answer was written to a caller that read all
/// the time, and was closed in the middle of it.
#[test]
fn serve_caller_that_reads_longer_than_idle_timeout() {
    const RATE: usize = 1_250_000;
    const LONG_BYTES: usize = 6 << 20;
    let harness = Harness::start(1);
    set_timeouts(&harness, 3, 2);
    harness.targets[0].pad_answers(LONG_BYTES);
    let mut caller = send_narrow(&harness, "r1");
    let read = read_steadily(&mut caller, LONG_BYTES, RATE);
    assert!(read >= LONG_BYTES, "{read} bytes");
}

/// `100 Continue` was written into the body of an earlier answer that its caller read slowly,
/// or the request that waited for it was given up meanwhile.
#[rstest]
#[case::within_request_timeout(60, 4 << 20)]
#[case::for_longer_than_request_timeout(2, ANSWER_BYTES)]
fn send_continue_behind_unread_answer(#[case] header_s: u32, #[case] bytes: usize) {
    const INTERIM: &str = "HTTP/1.1 100 Continue\r\n\r\n";
    const PIECE_BYTES: usize = 2 << 20;
    let harness = Harness::start(1);
    set_timeouts(&harness, header_s, 15);
    harness.targets[0].pad_answers(bytes);
    let mut caller = send_narrow(&harness, "r1");
    let timeout = caller.set_read_timeout(Some(WAIT_TIMEOUT));
    timeout.expect("the span isn't zero");
    let head = request("PUT", "/pay/x", "r2", "").replace("2500", "20000");
    let head = head.replace("Length: 0", "Length: 4\r\nExpect: 100-continue");
    caller.write_all(head.as_bytes()).expect("it is open");
    let mut received = Vec::new();
    while received.len() < bytes {
        thread::sleep(500 * MS);
        let mut piece = Read::take(&caller, PIECE_BYTES as u64);
        let read = piece.read_to_end(&mut received);
        assert!(read.is_ok_and(|read| read > 0), "the answer ends early");
    }
    while !received.ends_with(INTERIM.as_bytes()) {
        let mut byte = [0];
        let read = caller.read_exact(&mut byte);
        read.expect("the interim answer comes last");
        received.extend(byte);
    }
    let text = String::from_utf8(received).expect("answers are text");
    let (_, body) = text.split_once("\r\n\r\n").expect("a head ends");
    let body = body.strip_suffix(INTERIM).expect("it came last");
    let expected = "body of r1".len() + bytes;
    assert_eq!(body.len(), expected);
    assert!(!body.contains(INTERIM), "it stands within the answer");
    harness.targets[0].pad_answers(0);
    caller.write_all(b"body").expect("it is open");
    let answer = read_answer(&mut caller).expect("the request is answered");
    assert_eq!(answer.body, "body of r2", "{answer:?}");
    assert_eq!(harness.runs()[1].body, b"body");
}
