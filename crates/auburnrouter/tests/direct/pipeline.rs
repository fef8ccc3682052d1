//! HTTP pipelining: callers that send further requests before the first is answered.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::harness::{Answer, HOST, Harness, MS, WAIT_TIMEOUT, read_answer, request, wait_until};

/// Connection of a caller to the instance.
struct Caller(TcpStream);

impl Caller {
    fn connect(harness: &Harness) -> Self {
        let stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("the timeout is not zero");
        Self(stream)
    }

    fn send(&mut self, text: &str) {
        self.0
            .write_all(text.as_bytes())
            .expect("the connection is open");
    }

    fn read(&mut self) -> Answer {
        read_answer(&mut self.0).expect("the request is answered")
    }

    /// Whether an answer has begun to arrive.
    fn is_answered(&self) -> bool {
        let stream = &self.0;
        stream
            .set_read_timeout(Some(MS))
            .expect("the timeout is not zero");
        let found = stream.peek(&mut [0]);
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("the timeout is not zero");
        found.is_ok()
    }

    /// Whether the instance has closed the connection.
    fn has_ended(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

/// Look-up, which is idempotent, that runs for `work` milliseconds.
fn look_up(id: &str, work: u64) -> String {
    request("GET", &format!("/view/{id}?work_ms={work}"), id, "")
}

/// Payment, which is not idempotent, that runs for `work` milliseconds.
fn pay(id: &str, work: u64) -> String {
    request("PUT", &format!("/pay/{id}?work_ms={work}"), id, "body")
}

/// Whether a target has started to run the request of this id.
fn ran(harness: &Harness, id: &str) -> bool {
    harness.runs().iter().any(|r| r.id == id)
}

/// Four pipelined look-ups, of which the first takes longest, run concurrently, and are
/// answered in order. One after the other they would take the sum of their times.
#[test]
fn answer_pipeline_in_order() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let sent = Instant::now();
    let durations = [500, 400, 10, 300];
    let text: String = (0..4)
        .map(|i| look_up(&format!("r{i}"), durations[i]))
        .collect();
    caller.send(&text);
    for i in 0..4 {
        let answer = caller.read();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, format!("body of r{i}"));
        assert_eq!(answer.header("request-id"), Some(&*format!("r{i}")));
    }
    // The sum is 1,210 ms.
    assert!(sent.elapsed() < 1_000 * MS, "{:?}", sent.elapsed());
    assert_eq!(harness.runs().len(), 4);
}

/// A payment is pipelined between two look-ups. Each request starts only when all before
/// it are answered: if an earlier answer closed the connection, the caller would take
/// the payment as unread and send it again.
#[test]
fn hold_payment_behind_look_up() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let text = look_up("r0", 300) + &pay("r1", 300) + &look_up("r2", 0);
    caller.send(&text);
    wait_until("the look-up runs", || ran(&harness, "r0"));
    assert!(!ran(&harness, "r1") && !ran(&harness, "r2"));
    assert_eq!(caller.read().body, "body of r0");
    wait_until("the payment runs", || ran(&harness, "r1"));
    assert!(!ran(&harness, "r2"));
    assert_eq!(caller.read().body, "body of r1");
    assert_eq!(caller.read().body, "body of r2");
    assert_eq!(harness.runs().len(), 3);
}

/// Malformed input follows two look-ups, and a payment follows it. The look-ups are
/// answered, then the error; the payment is never read.
#[test]
fn refuse_malformed_in_its_turn() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let text = look_up("r0", 200) + &look_up("r1", 0) + "NONSENSE\r\n\r\n" + &pay("r2", 0);
    caller.send(&text);
    assert_eq!(caller.read().body, "body of r0");
    assert_eq!(caller.read().body, "body of r1");
    let refused = caller.read();
    assert_eq!(refused.status, 400);
    assert_eq!(refused.header("connection"), Some("close"));
    assert!(caller.has_ended());
    assert!(!ran(&harness, "r2"));
}

/// The second of three look-ups has no route and is rejected; the others are served,
/// each with its own answer.
#[test]
fn reject_one_in_the_middle() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let unrouted = request("GET", "/nowhere/", "r1", "");
    caller.send(&(look_up("r0", 200) + &unrouted + &look_up("r2", 100)));
    assert_eq!(caller.read().body, "body of r0");
    let refused = caller.read();
    assert_eq!(refused.status, 404);
    assert_eq!(refused.header("request-id"), Some("r1"));
    assert_eq!(caller.read().body, "body of r2");
}

/// The caller asks to close the connection after its second request. A request sent
/// after that never runs.
#[test]
fn close_where_caller_asks() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let closing = look_up("r1", 0).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    caller.send(&(look_up("r0", 200) + &closing + &pay("r2", 0)));
    assert_eq!(caller.read().header("connection"), None);
    assert_eq!(caller.read().header("connection"), Some("close"));
    assert!(caller.has_ended());
    assert!(!ran(&harness, "r2"));
}

/// The caller disconnects while three of its look-ups run. All are cancelled at their
/// targets at once, and the payment behind them never starts.
#[test]
fn cancel_pipeline_with_caller() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let ids = ["r0", "r1", "r2"];
    let text: String = ids.iter().map(|id| look_up(id, 10_000)).collect();
    caller.send(&(text + &pay("r3", 0)));
    wait_until("all run", || ids.iter().all(|id| ran(&harness, id)));
    let disconnected = Instant::now();
    drop(caller);
    wait_until("all targets are left alone", || {
        harness.runs().iter().all(|r| r.is_abandoned)
    });
    assert!(
        disconnected.elapsed() < 500 * MS,
        "{:?}",
        disconnected.elapsed()
    );
    assert!(!ran(&harness, "r3"));
}

/// SIGTERM arrived while two look-ups ran, and the payment behind them, which had been read,
/// ended without an answer.
#[test]
fn stop_behind_what_was_read() {
    let mut harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    caller.send(&(look_up("r0", 700) + &look_up("r1", 300) + &pay("r2", 0)));
    wait_until("both run", || ran(&harness, "r0") && ran(&harness, "r1"));
    harness.entry.signal(Signal::TERM);
    wait_until("it is leaving", || {
        let lines = harness.entry.lines.lock().expect("no one panics with it");
        lines.iter().any(|l| l.contains("\"stopping\""))
    });
    let first = caller.read();
    assert_eq!(first.body, "body of r0");
    assert_eq!(first.header("connection"), None);
    let second = caller.read();
    assert_eq!(second.body, "body of r1");
    assert_eq!(second.header("connection"), None);
    let third = caller.read();
    assert_eq!(third.body, "body of r2");
    assert_eq!(third.header("connection"), Some("close"));
    assert!(caller.has_ended());
    drop(caller);
    assert_eq!(harness.entry.wait_exit(), Some(0));
    assert_eq!(harness.runs().len(), 3);
}

/// A caller sends hundreds of look-ups and reads no answer. A bounded number of them
/// start while the first is unanswered, and once the caller reads, all are answered in
/// order.
#[test]
fn bound_pipelined_requests() {
    const SENT: usize = 400;
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let first = look_up("first", 1_000);
    let rest: String = (0..SENT).map(|i| look_up(&format!("r{i}"), 0)).collect();
    caller.send(&first);
    wait_until("the first runs", || ran(&harness, "first"));
    let mut writer = caller.0.try_clone().expect("a descriptor is free");
    let writer_thread = std::thread::spawn(move || writer.write_all(rest.as_bytes()));
    // Until the first is answered, no more than the bound are started, counting it.
    let mut max_started = 0;
    loop {
        let started = harness.runs().len();
        if caller.is_answered() {
            break;
        }
        max_started = started;
    }
    assert_eq!(max_started, 16);
    assert_eq!(caller.read().body, "body of first");
    for i in 0..SENT {
        assert_eq!(caller.read().body, format!("body of r{i}"));
    }
    let written = writer_thread.join().expect("the thread does not panic");
    written.expect("the connection is open");
}

/// Half of a payment follows a look-up, and the rest never arrives. After the answer to
/// the look-up, the caller gets a 408 once the request timeout has passed.
#[test]
fn refuse_half_sent_behind_another() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let half = format!("PUT /pay/x HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: 9\r\n\r\nhalf");
    let sent = Instant::now();
    caller.send(&(look_up("r0", 300) + &half));
    assert_eq!(caller.read().body, "body of r0");
    let refused = caller.read();
    assert_eq!(refused.status, 408, "{refused:?}");
    assert!(sent.elapsed() < Duration::from_secs(8));
    assert!(caller.has_ended());
}

/// A caller that expects `100 Continue` gets it before it sends its body.
#[test]
fn send_continue_before_body() {
    let harness = Harness::start(1);
    let mut caller = Caller::connect(&harness);
    let head = format!(
        "PUT /pay/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r0\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n"
    );
    caller.send(&head);
    assert_eq!(caller.read().status, 100);
    caller.send("body");
    assert_eq!(caller.read().body, "body of r0");
    assert_eq!(harness.runs()[0].body, b"body");
}
