//! Single requests: the answer that a caller gets, and what the target receives.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use platform_standin::Store;
use platform_standin::store::Mode;
use platform_standin::target::Behavior;
use rstest::rstest;
use rustix::process::Signal;

use super::harness::{
    Entry, HOST, Harness, MS, ROUTES, WAIT_TIMEOUT, read_answer, request, send_raw, wait_for_line,
    wait_until,
};

#[test]
fn pass_request_on_unchanged() {
    let harness = Harness::start(1);
    let answer = harness
        .entry
        .send("PUT", "/pay/a%20b/../c?d=e&f", "r1", "the body");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("response-seal"), Some("seal-r1"));
    assert_eq!(answer.header("own-header"), Some("kept"));
    assert_eq!(answer.body, "body of r1");
    let runs = harness.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].method, "PUT");
    assert_eq!(runs[0].path, "/pay/a%20b/../c?d=e&f");
    assert_eq!(runs[0].body, b"the body");
    assert!(runs[0].deadline_ms.is_some_and(|left| left <= 2_500));
}

#[rstest]
#[case::no_route("GET /nowhere/ HTTP/1.1\r\nHost: a.example\r\n\r\n", 404)]
#[case::other_host("GET /view/ HTTP/1.1\r\nHost: b.example\r\n\r\n", 404)]
#[case::two_lengths(
    "PUT /pay/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    400
)]
#[case::negative_length(
    "PUT /pay/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: -1\r\n\r\n",
    400
)]
#[case::nonsense("NONSENSE\r\n\r\n", 400)]
fn refuse_at_once(#[case] text: &str, #[case] status: u16) {
    let harness = Harness::start(1);
    let answer = send_raw(harness.entry.callers, text).expect("the instance answers");
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(harness.runs().is_empty());
}

#[test]
fn refuse_long_body() {
    let harness = Harness::start(1);
    let answer = harness
        .entry
        .send("PUT", "/pay/x", "r1", &"x".repeat(70_000));
    assert_eq!(answer.status, 413);
    assert!(harness.runs().is_empty());
}

/// Callers announce bodies that together would take all memory. Bodies beyond a quarter
/// of the memory limit get a 503; requests without a body are still served.
#[test]
fn bound_memory_of_bodies() {
    let harness = Harness::start(1);
    harness.store.configure_limits(9, HOST, &ROUTES, 64 << 20);
    wait_until("the new limits are in force", || {
        harness.entry.dump().contains("\"version\":9")
    });
    let send_head = |id: &str, expect: &str| {
        let mut stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
        stream
            .set_read_timeout(Some(WAIT_TIMEOUT))
            .expect("the timeout is not zero");
        let length = 40 << 20;
        let head = format!(
            "PUT /pay/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\n{expect}Content-Length: {length}\r\n\r\n"
        );
        stream
            .write_all(head.as_bytes())
            .expect("the connection is open");
        stream
    };
    // Heads on two connections may be read in either order. The first body's memory is
    // reserved once its head is answered with `100 Continue`, so the second head follows
    // only then.
    let mut first = send_head("r1", "Expect: 100-continue\r\n");
    let answer = read_answer(&mut first).expect("the first head is answered");
    assert_eq!(answer.status, 100, "{answer:?}");
    let mut second = send_head("r2", "");
    let answer = read_answer(&mut second).expect("the second head is answered");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert_eq!(harness.entry.send("GET", "/view/x", "r3", "").status, 200);
}

/// An instance that starts before there is a configuration answers 503 and not 404: after
/// a 404 the caller would not try again.
#[test]
fn reject_without_configuration() {
    let store = Store::start().expect("a port is free");
    let entry = Entry::start("near-1", "near-a", store.addr(), &[]);
    wait_until("the instance listens", || {
        entry.try_send("GET", "/view/x", "r", "").is_some()
    });
    let answer = entry.send("GET", "/view/x", "r1", "");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
}

/// While the store does not answer, an unknown route gets a 503 and not a 404: it may have
/// been added in the meantime.
#[test]
fn doubt_missing_route_without_store() {
    let harness = Harness::start(1);
    assert_eq!(harness.entry.send("GET", "/added/x", "r1", "").status, 404);
    harness.store.set(Mode::Busy);
    wait_until("the store counts as lost", || {
        harness.entry.send("GET", "/added/x", "r2", "").status == 503
    });
}

/// The caller closes its connection while its look-up runs: the request is cancelled at
/// the target at once.
#[test]
fn cancel_with_caller() {
    let harness = Harness::start(1);
    harness.targets[0].set(Behavior::Normal, Duration::from_secs(10));
    let mut stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
    let text = request("GET", "/view/x", "r1", "");
    stream
        .write_all(text.as_bytes())
        .expect("the connection is open");
    wait_until("the request runs", || !harness.runs().is_empty());
    let disconnected = Instant::now();
    drop(stream);
    wait_until("the target is left alone", || {
        harness.runs()[0].is_abandoned
    });
    assert!(
        disconnected.elapsed() < 500 * MS,
        "{:?}",
        disconnected.elapsed()
    );
    // Arrivals at targets can be told from the lines of instances, also of such requests.
    let line = wait_for_line(&harness.entry, r#""ending":"abandoned""#);
    assert!(line.contains(r#""request":"r1""#), "{line}");
}

/// While the process is stopped, as it may be under overload, a caller sends a look-up and
/// disconnects. When the process continues, the look-up must not run: its bytes and the
/// end of stream are both readable by then, and have to be read before a request starts.
#[test]
fn drop_request_of_disconnected_caller() {
    let harness = Harness::start(1);
    for round in 0..5 {
        harness.entry.freeze();
        let mut stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
        let left = format!("left{round}");
        let text = request("GET", "/view/x", &left, "");
        stream
            .write_all(text.as_bytes())
            .expect("the connection is open");
        drop(stream);
        harness.entry.signal(Signal::CONT);
        let answer = harness
            .entry
            .send("GET", "/view/x", &format!("r{round}"), "");
        assert_eq!(answer.status, 200);
        let ran = harness.runs().iter().any(|r| r.id == left);
        assert!(!ran, "{left} ran");
    }
}

/// A caller opens connections and sends nothing. Connections beyond what the process's
/// file descriptors allow get a 503, and those open before are still served: running out
/// of descriptors would stop all of them.
#[test]
fn turn_away_beyond_descriptors() {
    let store = platform_standin::Store::start().expect("a port is free");
    store.configure(3, HOST, &ROUTES);
    let target = platform_standin::Target::start("t0", "sheets", "near-a").expect("a port is free");
    target.register(&store, "ready", 1);
    let settings = platform_standin::settings("near-1", "near-a", store.addr(), &[]);
    let limited = settings.replace("\"descriptors\":1024", "\"descriptors\":80");
    let entry = Entry::start_with(&limited);
    wait_until("a target is known", || entry.dump().contains("\"t0\""));
    let mut first = TcpStream::connect(entry.callers).expect("the instance listens");
    let mut send_first = |id: &str| {
        let text = request("GET", "/view/x", id, "");
        first
            .write_all(text.as_bytes())
            .expect("the connection is open");
        read_answer(&mut first)
            .expect("the request is answered")
            .status
    };
    assert_eq!(send_first("r1"), 200);
    let open = || TcpStream::connect(entry.callers).expect("the instance listens");
    let held: Vec<TcpStream> = (0..20).map(|_| open()).collect();
    let rejected = read_answer(&mut open()).expect("it is told at once");
    assert_eq!(rejected.status, 503);
    assert_eq!(rejected.header("retry-after"), Some("1"));
    assert_eq!(send_first("r2"), 200);
    drop(held);
    wait_until("there is room again", || {
        entry
            .try_send("GET", "/view/x", "r3", "")
            .is_some_and(|a| a.status == 200)
    });
}
