//! Callers that read their answers slowly or not at all: what they hold is bounded, and
//! others are turned away before their requests run.

use std::io::Write;
use std::net::TcpStream;

use super::harness::{Answer, Harness, request, wait_for_line, wait_until};

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
    let memory = harness.entry.memory_limit();
    let mut callers = Vec::new();
    while held(&harness) < memory / 4 {
        let before = held(&harness);
        callers.push(send_unread(&harness, &format!("first{}", callers.len())));
        wait_until("the answer waits for its caller", || {
            held(&harness) > before
        });
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
    harness.targets[0].pad_answers(ANSWER_BYTES);
    let memory = harness.entry.memory_limit();
    let mut callers = Vec::new();
    while held(&harness) + ANSWER_BYTES as u64 <= memory * 3 / 8 {
        let before = held(&harness);
        callers.push(send_unread(&harness, &format!("first{}", callers.len())));
        wait_until("the answer waits for its caller", || {
            held(&harness) > before
        });
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
