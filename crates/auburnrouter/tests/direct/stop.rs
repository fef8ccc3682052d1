//! Graceful shutdown: accepted requests are answered, and none is accepted too late to
//! be.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use platform_standin::target::Behavior;
use rstest::rstest;
use rustix::process::Signal;

use super::harness::{Harness, MS, read_answer, request, send_raw, wait_until, with_bound};

/// Sends request `r1` and waits until a target runs it.
fn start_request(harness: &Harness, method: &str, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
    let text = request(method, path, "r1", "");
    stream
        .write_all(text.as_bytes())
        .expect("the connection is open");
    wait_until("the request runs", || {
        harness.runs().iter().any(|run| run.id == "r1")
    });
    stream
}

/// SIGTERM arrives while a payment runs. Its caller gets the complete answer, which closes
/// the connection, and the process ends by itself with its registration removed.
#[test]
fn stop_without_a_cut() {
    let mut harness = Harness::start(1);
    harness.targets[0].set(Behavior::Normal, 700 * MS);
    let mut stream = start_request(&harness, "PUT", "/pay/x");
    harness.entry.signal(Signal::TERM);
    let answer = read_answer(&mut stream).expect("the request is answered");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    let ready = send_raw(
        harness.entry.ready,
        "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
    );
    assert!(ready.is_none_or(|a| a.status == 503));
    wait_until("its registration is gone", || {
        harness.store.keys("auburnrouter/").is_empty()
    });
    assert_eq!(harness.entry.wait_exit(), Some(0));
}

/// A look-up runs at a target that has become slow and would soon be retried at another.
/// After SIGTERM it stays where it is, and its caller gets the answer.
#[test]
fn stop_without_breaking_off_a_slow_target() {
    let mut harness = Harness::start(2);
    for i in 0..8 {
        harness.entry.send("GET", "/view/x", &format!("w{i}"), "");
    }
    for target in &harness.targets {
        target.set(Behavior::Normal, 1_500 * MS);
    }
    let before = harness.runs().len();
    let mut stream = start_request(&harness, "GET", "/view/x");
    harness.entry.signal(Signal::TERM);
    let answer = read_answer(&mut stream).expect("the request is answered");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(harness.runs().len(), before + 1);
    assert_eq!(harness.entry.wait_exit(), Some(0));
}

/// Callers keep connecting after SIGTERM. A request accepted late in the grace period
/// would be cut off at its end, so from some moment on none is accepted, and each
/// accepted one gets a complete answer.
#[test]
fn stop_taking_requests_in_time_to_answer() {
    let mut harness = Harness::start(4);
    for target in &harness.targets {
        target.set(Behavior::Normal, 1_200 * MS);
    }
    harness.entry.signal(Signal::TERM);
    let mut threads = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(harness.entry.callers) {
        let id = format!("r{}", threads.len());
        let text = request("GET", &format!("/view/{id}"), &id, "");
        let thread = std::thread::spawn(move || {
            // A connection that ends before its request was read does not count.
            if stream.write_all(text.as_bytes()).is_err() {
                return None;
            }
            read_answer(&mut stream).map(|answer| (id, answer))
        });
        threads.push(thread);
        // Callers arrive one after the other, no faster than the targets can serve.
        std::thread::sleep(200 * MS);
    }
    let answers: Vec<_> = threads
        .into_iter()
        .filter_map(|thread| thread.join().expect("the thread does not panic"))
        .collect();
    assert!(answers.len() >= 5, "only {} were taken", answers.len());
    for (id, answer) in &answers {
        let is_expected = [200, 503].contains(&answer.status);
        assert!(is_expected, "{id}: {answer:?}");
    }
    // Each request that ran was answered with the target's answer.
    for run in harness.runs().iter().filter(|r| r.id.starts_with('r')) {
        let answered = answers.iter().find(|a| a.0 == run.id);
        let status = answered.map(|a| a.1.status);
        assert_eq!(status, Some(200), "{run:?}");
    }
    assert_eq!(harness.entry.wait_exit(), Some(0));
}

/// A request that is sent around the end of what the platform excuses.
struct LateRequest {
    /// Grace period.
    grace_s: u32,
    /// Times from SIGTERM to its first and its last byte.
    sent: [Duration; 2],
    /// Longest time that its caller waits; the route's timeout is 3 s.
    wait: Duration,
    /// Time for which its target works.
    work: Duration,
}

/// A request whose last byte came later than 3 s after SIGTERM was passed on by an estimate
/// of its work, and cut at the end of the process.
#[rstest]
#[case::usual(LateRequest { grace_s: 6, sent: [1_000 * MS; 2], wait: 20_000 * MS, work: 1_000 * MS }, 200)]
#[case::excused(LateRequest { grace_s: 6, sent: [2_600 * MS, 2_800 * MS], wait: 20_000 * MS, work: 1_000 * MS }, 200)]
#[case::unbounded(LateRequest { grace_s: 6, sent: [2_500 * MS, 3_200 * MS], wait: 20_000 * MS, work: 2_800 * MS }, 503)]
#[case::limited(LateRequest { grace_s: 6, sent: [2_500 * MS, 3_200 * MS], wait: 2_200 * MS, work: 1_000 * MS }, 200)]
#[case::kept(LateRequest { grace_s: 10, sent: [4_000 * MS; 2], wait: 20_000 * MS, work: 2_000 * MS }, 200)]
fn stop_without_cutting_late_request(#[case] late: LateRequest, #[case] status: u16) {
    let mut harness = Harness::start_with(1, |settings| {
        with_bound(settings, ("grace_s", f64::from(late.grace_s)))
    });
    let mut stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
    for i in 0..8 {
        let text = request("GET", "/view/x", &format!("w{i}"), "");
        stream.write_all(text.as_bytes()).expect("it is open");
        assert!(read_answer(&mut stream).is_some_and(|a| a.status == 200));
    }
    harness.targets[0].set(Behavior::Normal, late.work);
    harness.entry.signal(Signal::TERM);
    let stopped = Instant::now();
    let text = request("PUT", "/pay/x", "r1", "body");
    let text = text.replace("2500", &late.wait.as_millis().to_string());
    let (first, last) = text.split_at(text.len() / 2);
    for (part, at) in [first, last].into_iter().zip(late.sent) {
        std::thread::sleep(at.saturating_sub(stopped.elapsed()));
        stream.write_all(part.as_bytes()).expect("it is open");
    }
    let answer = read_answer(&mut stream).expect("the request is answered");
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.header("connection"), Some("close"));
    let ran = harness.runs().iter().any(|run| run.id == "r1");
    assert_eq!(ran, status == 200);
    assert_eq!(harness.entry.wait_exit(), Some(0));
    assert!(stopped.elapsed() < Duration::from_secs(late.grace_s.into()));
}

/// Callers that connected between the close of the accept and the end of the process hung,
/// and were reset in the end.
#[test]
fn refuse_connections_once_none_is_accepted() {
    const GRACE: Duration = Duration::from_secs(4);
    let mut harness = Harness::start_with(1, |settings| {
        with_bound(settings, ("grace_s", GRACE.as_secs_f64()))
    });
    harness.targets[0].set(Behavior::Normal, 5_000 * MS);
    let _working = start_request(&harness, "GET", "/view/x");
    harness.entry.signal(Signal::TERM);
    let stopped = Instant::now();
    let mut held = Vec::new();
    while let Ok(stream) = TcpStream::connect(harness.entry.callers) {
        held.push((stopped.elapsed(), stream));
        std::thread::sleep(20 * MS);
    }
    assert!(stopped.elapsed() < GRACE / 2, "{:?}", stopped.elapsed());
    for (at, mut stream) in held {
        let ended = stream.read(&mut [0]);
        assert!(matches!(ended, Ok(0)), "opened at {at:?}: {ended:?}");
    }
    assert!(stopped.elapsed() < GRACE / 2, "{:?}", stopped.elapsed());
    assert!(harness.entry.is_running());
    assert_eq!(harness.entry.wait_exit(), Some(0));
}

/// A second SIGTERM, or SIGHUP, may come while the process stops.
#[rstest]
#[case::term(Signal::TERM)]
#[case::hangup(Signal::HUP)]
fn finish_stop_when_signalled_again(#[case] again: Signal) {
    let mut harness = Harness::start(1);
    harness.targets[0].set(Behavior::Normal, 1_500 * MS);
    let mut stream = start_request(&harness, "PUT", "/pay/x");
    for signal in [Signal::HUP, Signal::TERM, again] {
        harness.entry.signal(signal);
        std::thread::sleep(200 * MS);
    }
    let answer = read_answer(&mut stream).expect("the request is answered");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(harness.entry.wait_exit(), Some(0));
}
