//! What a caller gets for its request, and what targets see of it.

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use platform_standin::Store;
use platform_standin::store::Mode;
use platform_standin::target::Manner;
use rstest::rstest;
use rustix::process::Signal;

use super::harness::{
    Entry, HOST, Harness, MS, ROUTES, read_answer, request, send_raw, wait_until,
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
    assert!(runs[0].left.is_some_and(|left| left <= 2_500));
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
    let answer = send_raw(harness.entry.callers, text).expect("it answers");
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

/// Callers send bodies of a length that would take all memory together. Those
/// beyond a quarter of it are told to come back; others are served.
#[test]
fn bound_memory_of_bodies() {
    let harness = Harness::start(1);
    harness.store.configure_limits(9, HOST, &ROUTES, 64 << 20);
    wait_until("the new limits are in force", || {
        harness.entry.dump().contains("\"version\":9")
    });
    let begin = |id: &str| {
        let mut stream = TcpStream::connect(harness.entry.callers).expect("it listens");
        let length = 40 << 20;
        let head = format!(
            "PUT /pay/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("it is open");
        stream
    };
    let _held = begin("r1");
    wait_until("a second one has no room", || {
        let mut stream = begin("r2");
        stream
            .set_read_timeout(Some(100 * MS))
            .expect("the time isn't zero");
        read_answer(&mut stream).is_some_and(|a| a.status == 503)
    });
    assert_eq!(harness.entry.send("GET", "/view/x", "r3", "").status, 200);
}

/// An instance starts before there is a configuration. It says "come back" and
/// not "there is no such route": a caller asks nowhere again after a 404.
#[test]
fn ask_back_without_configuration() {
    let store = Store::start().expect("a port is free");
    let entry = Entry::start("near-1", "near-a", store.addr(), &[]);
    wait_until("it listens", || {
        entry.try_send("GET", "/view/x", "r", "").is_some()
    });
    let answer = entry.send("GET", "/view/x", "r1", "");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
}

/// The store is away, and a caller asks for a route that may have been added
/// meanwhile. "Come back" rather than "there is none".
#[test]
fn doubt_missing_route_without_store() {
    let harness = Harness::start(1);
    assert_eq!(harness.entry.send("GET", "/added/x", "r1", "").status, 404);
    harness.store.set(Mode::Busy);
    wait_until("it is out of touch", || {
        harness.entry.send("GET", "/added/x", "r2", "").status == 503
    });
}

/// The caller closes its connection while its look-up runs: the target is
/// freed at once.
#[test]
fn cancel_with_caller() {
    let harness = Harness::start(1);
    harness.targets[0].set(Manner::Well, Duration::from_secs(10));
    let mut stream = TcpStream::connect(harness.entry.callers).expect("it listens");
    let text = request("GET", "/view/x", "r1", "");
    stream.write_all(text.as_bytes()).expect("it is open");
    wait_until("it runs", || !harness.runs().is_empty());
    let left = Instant::now();
    drop(stream);
    wait_until("the target is left alone", || harness.runs()[0].left_alone);
    assert!(left.elapsed() < 500 * MS, "{:?}", left.elapsed());
}

/// The process stands still for a moment, as under a load that is beyond it. Its
/// caller sends a look-up and leaves meanwhile. Once the process goes on, the
/// look-up must not run: its bytes and the caller's end are both there to read,
/// and whoever starts what it has read before it reads on works for nobody.
#[test]
fn forget_who_left_unread() {
    let harness = Harness::start(1);
    for round in 0..5 {
        harness.entry.signal(Signal::STOP);
        let mut stream = TcpStream::connect(harness.entry.callers).expect("it listens");
        let left = format!("left{round}");
        let text = request("GET", "/view/x", &left, "");
        stream.write_all(text.as_bytes()).expect("it is open");
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

/// Somebody opens connections and sends nothing. Beyond what the process has
/// descriptors for, the next caller is told to come back, and those that are
/// connected are still served: running out would stop all of them.
#[test]
fn turn_away_beyond_descriptors() {
    let store = platform_standin::Store::start().expect("a port is free");
    store.configure(3, HOST, &ROUTES);
    let target = platform_standin::Target::start("t0", "sheets", "near-a").expect("a port is free");
    target.register(&store, "ready", 1);
    let settings = platform_standin::settings("near-1", "near-a", store.addr(), &[]);
    let few = settings.replace("\"descriptors\":1024", "\"descriptors\":80");
    let entry = Entry::start_with(&few);
    wait_until("a target is known", || entry.dump().contains("\"t0\""));
    let mut first = TcpStream::connect(entry.callers).expect("it listens");
    let mut ask_first = |id: &str| {
        let text = request("GET", "/view/x", id, "");
        first.write_all(text.as_bytes()).expect("it is open");
        read_answer(&mut first).expect("it is answered").status
    };
    assert_eq!(ask_first("r1"), 200);
    let open = || TcpStream::connect(entry.callers).expect("it listens");
    let held: Vec<TcpStream> = (0..20).map(|_| open()).collect();
    let told = read_answer(&mut open()).expect("it is told at once");
    assert_eq!(told.status, 503);
    assert_eq!(told.header("retry-after"), Some("1"));
    assert_eq!(ask_first("r2"), 200);
    drop(held);
    wait_until("there is room again", || {
        entry
            .try_send("GET", "/view/x", "r3", "")
            .is_some_and(|a| a.status == 200)
    });
}
