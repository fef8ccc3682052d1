//! Callers that upload long bodies: the memory for them is given back.

use std::io::Write;
use std::net::TcpStream;

use platform_standin::store;

use super::harness::{HOST, Harness, ROUTES, read_answer, wait_until};

/// Length of a body.
const BODY_BYTES: usize = 30 << 20;

/// More targets than bodies fit into the memory of the instance.
const TARGETS: usize = 8;

/// Each pooled connection to a target kept a copy of the longest body that it had sent, until
/// the process had more memory than its limit.
#[test]
fn keep_no_copy_of_long_body_for_each_target() {
    let harness = Harness::start(TARGETS);
    let text = store::document(4, HOST, &ROUTES, &[], 2 * BODY_BYTES);
    harness.store.write_bytes("op/config", text.as_bytes());
    wait_until("the configuration is in force", || {
        harness.entry.dump().contains("\"version\":4,")
    });
    let mut uploads = 0;
    wait_until("each target has got a body", || {
        upload(&harness, uploads);
        uploads += 1;
        harness.targets.iter().all(|t| !t.arrivals().is_empty())
    });
    let (peak, limit) = (harness.entry.peak_memory(), harness.entry.memory_limit());
    assert!(peak < limit, "{peak} bytes after {uploads} bodies");
}

/// Sends a body of an object that is chosen by `number`, and reads the answer.
fn upload(harness: &Harness, number: usize) {
    let mut stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
    let head = format!(
        "PUT /view/{number} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r{number}\r\nAffinity-Key: {number}\r\nDeadline-Ms: 20000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    );
    let body = vec![0; BODY_BYTES];
    for part in [head.as_bytes(), &body] {
        stream.write_all(part).expect("it is open");
    }
    let answer = read_answer(&mut stream).expect("the request is answered");
    assert_eq!(answer.status, 200, "{answer:?}");
}
