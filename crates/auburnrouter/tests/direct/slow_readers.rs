//! Callers that read their answers slowly or not at all: what they hold is bounded, and
//! others are turned away before their requests run.

use std::io::Write;
use std::net::TcpStream;

use super::harness::{Answer, Harness, request, wait_until};

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

/// Answers for callers that don't read took all memory, and the process was killed with
/// the requests of all others.
#[test]
fn bound_memory_of_unread_answers() {
    let harness = Harness::start(1);
    harness.targets[0].pad_answers(ANSWER_BYTES);
    let callers: Vec<TcpStream> = (0..CALLERS)
        .map(|n| send_unread(&harness, &format!("r{n}")))
        .collect();
    let memory = harness.entry.memory_limit();
    let mut attempt = 0;
    let mut rejected: Option<Answer> = None;
    wait_until("a request is turned away", || {
        attempt += 1;
        let id = format!("late{attempt}");
        rejected = harness.entry.try_send("GET", "/view/x", &id, "");
        rejected.as_ref().is_some_and(|a| a.status == 503)
    });
    let rejected = rejected.expect("it was answered");
    assert!(rejected.header("retry-after").is_some(), "{rejected:?}");
    let last = format!("late{attempt}");
    assert!(harness.runs().iter().all(|run| run.id != last));
    assert!(held(&harness) <= memory / 2, "{} bytes", held(&harness));
    assert!(
        harness.entry.peak_memory() <= memory,
        "{}",
        harness.entry.peak_memory()
    );
    drop(callers);
    harness.targets[0].pad_answers(0);
    wait_until("callers that left free their memory", || {
        held(&harness) == 0
    });
    assert_eq!(harness.entry.send("GET", "/view/x", "next", "").status, 200);
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
