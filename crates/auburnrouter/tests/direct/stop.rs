//! Planned stops: what was taken is answered, and nothing is taken too late.

use std::io::Write;
use std::net::TcpStream;

use platform_standin::target::Manner;
use rustix::process::Signal;

use super::harness::{Harness, MS, read_answer, request, send_raw, wait_until};

/// SIGTERM comes while a payment runs. Its caller gets the answer, whole, and is
/// told that the connection closes; the process ends well before it is killed.
#[test]
fn stop_without_a_cut() {
    let mut harness = Harness::start(1);
    harness.targets[0].set(Manner::Well, 700 * MS);
    let mut stream = TcpStream::connect(harness.entry.callers).expect("it listens");
    let text = request("PUT", "/pay/x", "r1", "");
    stream.write_all(text.as_bytes()).expect("it is open");
    wait_until("it runs", || !harness.runs().is_empty());
    harness.entry.signal(Signal::TERM);
    let answer = read_answer(&mut stream).expect("it is answered");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    let ready = send_raw(
        harness.entry.ready,
        "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
    );
    assert!(ready.is_none_or(|a| a.status == 503));
    wait_until("its row is gone", || {
        harness.store.keys("auburnrouter/").is_empty()
    });
    assert_eq!(harness.entry.wait_exit(), Some(0));
}

/// A look-up is at a target that is slow today, and would soon be asked of
/// another. SIGTERM comes: it ends where it is, and its caller gets the answer.
#[test]
fn stop_without_breaking_off_a_slow_target() {
    let mut harness = Harness::start(2);
    for i in 0..8 {
        harness.entry.send("GET", "/view/x", &format!("w{i}"), "");
    }
    for target in &harness.targets {
        target.set(Manner::Well, 1_500 * MS);
    }
    let before = harness.runs().len();
    let mut stream = TcpStream::connect(harness.entry.callers).expect("it listens");
    let text = request("GET", "/view/x", "r1", "");
    stream.write_all(text.as_bytes()).expect("it is open");
    wait_until("it runs", || harness.runs().len() > before);
    harness.entry.signal(Signal::TERM);
    let answer = read_answer(&mut stream).expect("it is answered");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(harness.runs().len(), before + 1);
    assert_eq!(harness.entry.wait_exit(), Some(0));
}

/// Callers that still know the address keep coming after SIGTERM. One that is
/// taken late in the grace time would be cut at its end: from some moment on
/// none is taken, and each that was taken gets its whole answer.
#[test]
fn stop_taking_requests_in_time_to_answer() {
    let mut harness = Harness::start(4);
    for target in &harness.targets {
        target.set(Manner::Well, 1_200 * MS);
    }
    harness.entry.signal(Signal::TERM);
    let mut taken = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(harness.entry.callers) {
        let id = format!("r{}", taken.len());
        let text = request("GET", &format!("/view/{id}"), &id, "");
        let asked = std::thread::spawn(move || {
            // A connection that ends before it was read was not taken.
            if stream.write_all(text.as_bytes()).is_err() {
                return None;
            }
            read_answer(&mut stream).map(|answer| (id, answer))
        });
        taken.push(asked);
        // Callers come one after the other, as many as the targets can serve.
        std::thread::sleep(200 * MS);
    }
    let answers: Vec<_> = taken
        .into_iter()
        .filter_map(|asked| asked.join().expect("it doesn't panic"))
        .collect();
    assert!(answers.len() >= 5, "only {} were taken", answers.len());
    for (id, answer) in &answers {
        let known = [200, 503].contains(&answer.status);
        assert!(known, "{id}: {answer:?}");
    }
    // Each that a target ran was answered with what the target said.
    for run in harness.runs().iter().filter(|r| r.id.starts_with('r')) {
        let answered = answers.iter().find(|a| a.0 == run.id);
        let status = answered.map(|a| a.1.status);
        assert_eq!(status, Some(200), "{run:?}");
    }
    assert_eq!(harness.entry.wait_exit(), Some(0));
}
