//! Callers that send further requests before the first is answered.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use super::harness::{Answer, HOST, Harness, MS, WAIT_TIMEOUT, read_answer, request, wait_until};

/// A caller's connection.
struct Caller(TcpStream);

impl Caller {
    fn connect(harness: &Harness) -> Self {
        let stream = TcpStream::connect(harness.entry.callers).expect("it listens");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("the time isn't zero");
        Self(stream)
    }

    fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).expect("it is open");
    }

    fn read(&mut self) -> Answer {
        read_answer(&mut self.0).expect("it is answered")
    }

    /// Whether an answer has begun to arrive.
    fn is_answered(&self) -> bool {
        let stream = &self.0;
        stream.set_read_timeout(Some(MS)).expect("it isn't zero");
        let found = stream.peek(&mut [0]);
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("it isn't zero");
        found.is_ok()
    }

    /// Whether nothing more comes.
    fn has_ended(&mut self) -> bool {
        matches!(self.0.read(&mut [0]), Ok(0))
    }
}

/// A look-up that takes `work` milliseconds.
fn look_up(id: &str, work: u64) -> String {
    request("GET", &format!("/view/{id}?work_ms={work}"), id, "")
}

fn pay(id: &str, work: u64) -> String {
    request("PUT", &format!("/pay/{id}?work_ms={work}"), id, "body")
}

fn ran(harness: &Harness, id: &str) -> bool {
    harness.runs().iter().any(|r| r.id == id)
}

/// A caller sends four look-ups at once; the first takes longest. They run side
/// by side: one after the other they would take the sum of their times. Each
/// answer is its own request's, in the order of the requests.
#[test]
fn answer_pipeline_in_order() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let sent = Instant::now();
    let works = [500, 400, 10, 300];
    let text: String = (0..4)
        .map(|i| look_up(&format!("r{i}"), works[i]))
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

/// A payment stands behind a look-up, and a look-up behind the payment. Each
/// starts when what is ahead of it is answered: were the connection closed by
/// the answer ahead, the caller would take the payment for unread and send it
/// again.
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

/// Something malformed stands behind two look-ups, and a payment behind it. The
/// look-ups are answered, then the caller is told; nothing behind is read.
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

/// The second of three look-ups is rejected, since no route is there for it;
/// the others are served, each with its own answer.
#[test]
fn reject_one_in_the_middle() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let lost = request("GET", "/nowhere/", "r1", "");
    caller.send(&(look_up("r0", 200) + &lost + &look_up("r2", 100)));
    assert_eq!(caller.read().body, "body of r0");
    let refused = caller.read();
    assert_eq!(refused.status, 404);
    assert_eq!(refused.header("request-id"), Some("r1"));
    assert_eq!(caller.read().body, "body of r2");
}

/// The caller asks that the connection close behind its second request. What it
/// sends after that never runs.
#[test]
fn close_where_caller_asks() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let last = look_up("r1", 0).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
    caller.send(&(look_up("r0", 200) + &last + &pay("r2", 0)));
    assert_eq!(caller.read().header("connection"), None);
    assert_eq!(caller.read().header("connection"), Some("close"));
    assert!(caller.has_ended());
    assert!(!ran(&harness, "r2"));
}

/// The caller leaves while three of its look-ups run: all targets are freed at
/// once, and the payment behind them never starts.
#[test]
fn cancel_pipeline_with_caller() {
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let ids = ["r0", "r1", "r2"];
    let text: String = ids.iter().map(|id| look_up(id, 10_000)).collect();
    caller.send(&(text + &pay("r3", 0)));
    wait_until("all run", || ids.iter().all(|id| ran(&harness, id)));
    let left = Instant::now();
    drop(caller);
    wait_until("all targets are left alone", || {
        harness.runs().iter().all(|r| r.left_alone)
    });
    assert!(left.elapsed() < 500 * MS, "{:?}", left.elapsed());
    assert!(!ran(&harness, "r3"));
}

/// SIGTERM comes while two look-ups run and a payment waits behind them. Both
/// are answered, the second says that the connection closes, and the payment
/// never runs: its caller sends it elsewhere.
#[test]
fn stop_behind_what_has_started() {
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
    assert_eq!(second.header("connection"), Some("close"));
    assert!(caller.has_ended());
    drop(caller);
    assert_eq!(harness.entry.wait_exit(), Some(0));
    assert!(!ran(&harness, "r2"));
}

/// A caller sends hundreds of look-ups and reads no answer. A bounded number of
/// them are here at a time, reading stops, and once the caller reads, each is
/// answered in its turn.
#[test]
fn bound_what_is_sent_ahead() {
    const SENT: usize = 400;
    let harness = Harness::start(4);
    let mut caller = Caller::connect(&harness);
    let first = look_up("first", 1_000);
    let rest: String = (0..SENT).map(|i| look_up(&format!("r{i}"), 0)).collect();
    caller.send(&first);
    wait_until("the first runs", || ran(&harness, "first"));
    let mut writer = caller.0.try_clone().expect("a descriptor is free");
    let writing = std::thread::spawn(move || writer.write_all(rest.as_bytes()));
    // Until the first is answered, no more than the bound start beside it.
    let mut most = 0;
    loop {
        let started = harness.runs().len();
        if caller.is_answered() {
            break;
        }
        most = started;
    }
    assert_eq!(most, 16);
    assert_eq!(caller.read().body, "body of first");
    for i in 0..SENT {
        assert_eq!(caller.read().body, format!("body of r{i}"));
    }
    let written = writing.join().expect("it doesn't panic");
    written.expect("the connection is open");
}

/// Half a payment stands behind a look-up, and its rest never comes. Its caller
/// is told so in its turn, within the time for a request to arrive.
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

/// A caller waits to be told before it sends its body.
#[test]
fn tell_caller_to_go_on() {
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
