//! The whole path on the users' platform: entry instances as processes, with
//! stand-ins of the store, the operator and the targets.

#[path = "direct/bench.rs"]
mod bench;

use std::io::Write;
use std::net::TcpStream;
use std::time::{Duration, Instant};

use bench::{Bench, Entry, HOST, ROUTES, ask, await_that, read, request};
use platform_standin::store::{Mode, Route};
use platform_standin::target::Manner;
use platform_standin::{Store, Target};
use rstest::rstest;
use rustix::process::Signal;

const MS: Duration = Duration::from_millis(1);

#[test]
fn pass_request_on_unchanged() {
    let bench = Bench::start(1);
    let answer = bench
        .entry
        .send("PUT", "/pay/a%20b/../c?d=e&f", "r1", "the body");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.header("response-seal"), Some("seal-r1"));
    assert_eq!(answer.header("own-header"), Some("kept"));
    assert_eq!(answer.body, "body of r1");
    let runs = bench.runs();
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
    let bench = Bench::start(1);
    let answer = ask(bench.entry.callers, text).expect("it answers");
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(bench.runs().is_empty());
}

#[test]
fn refuse_long_body() {
    let bench = Bench::start(1);
    let answer = bench.entry.send("PUT", "/pay/x", "r1", &"x".repeat(70_000));
    assert_eq!(answer.status, 413);
    assert!(bench.runs().is_empty());
}

/// An instance starts before there is a configuration. It says "come back" and
/// not "there is no such route": a caller asks nowhere again after a 404.
#[test]
fn ask_back_without_configuration() {
    let store = Store::start().expect("a port is free");
    let entry = Entry::start("near-1", "near-a", store.addr(), &[]);
    await_that("it listens", || {
        entry.try_send("GET", "/view/x", "r", "").is_some()
    });
    let answer = entry.send("GET", "/view/x", "r1", "");
    assert_eq!(answer.status, 503, "{answer:?}");
    assert!(answer.header("retry-after").is_some());
}

/// The target runs a payment and its answer is lost. The caller must not hear
/// "not run", and no other target may run it; a look-up is asked again.
#[rstest]
#[case::payment("PUT", "/pay/x", 502, 1)]
#[case::look_up("GET", "/view/x", 200, 2)]
fn lose_answer(#[case] method: &str, #[case] path: &str, #[case] status: u16, #[case] runs: usize) {
    let bench = Bench::start(2);
    // Whichever target the request goes to first loses its answer.
    for target in &bench.targets {
        target.set(Manner::Lose, Duration::ZERO);
    }
    let other = bench.targets.clone();
    let healer = std::thread::spawn(move || {
        await_that("it ran once", || other.iter().any(|t| !t.runs().is_empty()));
        for target in other {
            if target.runs().is_empty() {
                target.set(Manner::Well, Duration::ZERO);
            }
        }
    });
    let answer = bench.entry.send(method, path, "r1", "");
    healer.join().expect("it ran");
    if path == "/pay/x" {
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(bench.runs().len(), runs);
        assert_eq!(answer.header("response-seal"), None);
    } else {
        // The second target may have been asked before it was well.
        assert!([200, 502].contains(&answer.status), "{answer:?}");
        assert_eq!(bench.runs().len(), runs);
    }
}

/// What a target's answer may be passed on as.
#[rstest]
#[case::failure(Manner::Fail, 500)]
#[case::false_promise(Manner::Unavailable, 502)]
#[case::broken_off(Manner::Truncate, 502)]
#[case::until_close(Manner::Unframed, 200)]
#[case::rejected(Manner::Full, 503)]
fn pass_answer_on(#[case] manner: Manner, #[case] status: u16) {
    let bench = Bench::start(1);
    bench.targets[0].set(manner, Duration::ZERO);
    let answer = bench.entry.send("PUT", "/pay/x", "r1", "");
    assert_eq!(answer.status, status, "{answer:?}");
    if status == 200 {
        assert_eq!(answer.body, "body of r1");
    }
    if status == 503 {
        assert!(answer.header("retry-after").is_some());
        assert!(bench.runs().is_empty());
    }
    if status >= 502 {
        assert_eq!(answer.header("response-seal"), None);
    }
}

/// A target sends a second answer after each. On a connection that is used
/// again, the next caller would get it.
#[test]
fn drop_connection_with_stray_answer() {
    let bench = Bench::start(1);
    bench.targets[0].set(Manner::Extra, Duration::ZERO);
    for i in 0..30 {
        let id = format!("r{i}");
        let answer = bench.entry.send("GET", "/view/x", &id, "");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, format!("body of {id}"));
    }
}

/// A target has gone and another has its address. The request names the one it
/// is meant for, so the other turns it away, and a third one runs it.
#[test]
fn pass_by_reused_address() {
    let bench = Bench::start(2);
    bench.targets[0].rename("someone-else");
    for i in 0..6 {
        let answer = bench
            .entry
            .send("PUT", &format!("/pay/{i}"), &format!("r{i}"), "");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(bench.targets[0].runs().is_empty());
    assert_eq!(bench.targets[1].runs().len(), 6);
}

/// The caller closes its connection while its look-up runs: the target is
/// freed at once.
#[test]
fn cancel_with_caller() {
    let bench = Bench::start(1);
    bench.targets[0].set(Manner::Well, Duration::from_secs(10));
    let mut stream = TcpStream::connect(bench.entry.callers).expect("it listens");
    let text = request("GET", "/view/x", "r1", "");
    stream.write_all(text.as_bytes()).expect("it is open");
    await_that("it runs", || !bench.runs().is_empty());
    let left = Instant::now();
    drop(stream);
    await_that("the target is left alone", || bench.runs()[0].left_alone);
    assert!(left.elapsed() < 500 * MS, "{:?}", left.elapsed());
}

/// SIGTERM comes while a payment runs. Its caller gets the answer, whole, and is
/// told that the connection closes; the process ends well before it is killed.
#[test]
fn stop_without_a_cut() {
    let mut bench = Bench::start(1);
    bench.targets[0].set(Manner::Well, 700 * MS);
    let mut stream = TcpStream::connect(bench.entry.callers).expect("it listens");
    let text = request("PUT", "/pay/x", "r1", "");
    stream.write_all(text.as_bytes()).expect("it is open");
    await_that("it runs", || !bench.runs().is_empty());
    bench.entry.signal(Signal::TERM);
    let answer = read(&mut stream).expect("it is answered");
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("connection"), Some("close"));
    let ready = ask(
        bench.entry.ready,
        "GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n",
    );
    assert!(ready.is_none_or(|a| a.status == 503));
    await_that("its row is gone", || {
        bench.store.keys("auburnrouter/").is_empty()
    });
    assert_eq!(bench.entry.ended(), Some(0));
}

#[test]
fn keep_serving_on_hangup() {
    let bench = Bench::start(1);
    bench.entry.signal(Signal::HUP);
    let lines = std::sync::Arc::clone(&bench.entry.lines);
    await_that("it says so", || {
        let lines = lines.lock().expect("no one panics with it");
        lines
            .iter()
            .any(|l| l.contains("\"reload\"") && l.contains("\"same\""))
    });
    assert_eq!(bench.entry.send("GET", "/view/x", "r1", "").status, 200);
}

/// A new version takes a route away and adds one; an older one arrives later
/// and must change nothing.
#[test]
fn follow_configuration_upwards() {
    let bench = Bench::start(1);
    let added = Route {
        prefix: "/added/",
        service: "sheets",
        safe: true,
    };
    bench.store.configure(9, HOST, &[added]);
    await_that("the new route is there", || {
        bench.entry.send("GET", "/added/x", "r1", "").status == 200
    });
    assert_eq!(bench.entry.send("GET", "/view/x", "r2", "").status, 404);
    bench.store.configure(5, HOST, &ROUTES);
    bench
        .store
        .write("servers/mark", &serde_json::json!("no entry"));
    await_that("it has read what came after", || {
        let lines = bench.entry.lines.lock().expect("no one panics with it");
        lines
            .iter()
            .any(|l| l.contains("entry-refused") && l.contains("mark"))
    });
    assert_eq!(bench.entry.send("GET", "/view/x", "r3", "").status, 404);
    assert_eq!(bench.entry.send("GET", "/added/x", "r4", "").status, 200);
}

/// A domain is evacuated and taken back, and a target leaves.
#[test]
fn follow_evacuation_and_leaving() {
    let bench = Bench::start(1);
    let other = Target::start("u0", "sheets", "near-b").expect("a port is free");
    other.register(&bench.store, "ready", 1);
    await_that("it is known", || bench.entry.dump().contains("\"u0\""));
    bench
        .store
        .write("op/evacuate/near-a", &serde_json::json!({}));
    await_that("it is evacuated", || {
        bench.entry.dump().contains("\"evacuated\":[\"near-a\"]")
    });
    let before = bench.runs().len();
    for i in 0..5 {
        assert_eq!(
            bench
                .entry
                .send("GET", "/view/x", &format!("r{i}"), "")
                .status,
            200
        );
    }
    assert_eq!(bench.runs().len(), before);
    bench.store.remove("op/evacuate/near-a");
    other.register(&bench.store, "draining", 2);
    await_that("it is taken back", || {
        let dump = bench.entry.dump();
        dump.contains("\"evacuated\":[]") && dump.contains("\"leaving\"]")
    });
    let there = other.runs().len();
    assert_eq!(bench.entry.send("GET", "/view/x", "s1", "").status, 200);
    assert_eq!(other.runs().len(), there);
}

/// Something writes entries that are none. They name no target, and the others
/// hold.
#[test]
fn pass_over_malformed_entries() {
    let bench = Bench::start(1);
    bench
        .store
        .write_bytes("servers/bytes", vec![0xFF, 0x00, 0x7B]);
    bench.store.write("servers/number", &serde_json::json!(7));
    let state = serde_json::json!({
        "address": "127.0.0.1:1", "info": { "service": "sheets", "zone": "near-a", "slots": 3 },
        "status": { "state": "resting", "seq": 1, "warmup_left_s": 0 },
    });
    bench.store.write("servers/state", &state);
    await_that("all are seen", || {
        let lines = bench.entry.lines.lock().expect("no one panics with it");
        lines.iter().filter(|l| l.contains("entry-refused")).count() >= 3
    });
    assert_eq!(bench.entry.send("GET", "/view/x", "r1", "").status, 200);
}

/// The store drops its history while an entry changes: everything is read anew.
#[test]
fn read_anew_without_history() {
    let bench = Bench::start(1);
    bench.store.set(Mode::Busy);
    bench.store.remove("servers/t0");
    let new = Target::start("n0", "sheets", "near-a").expect("a port is free");
    new.register(&bench.store, "ready", 1);
    bench.store.compact();
    bench.store.set(Mode::Up);
    await_that("the new target is known", || {
        bench.entry.dump().contains("\"n0\"")
    });
    await_that("the old one is gone", || {
        !bench.entry.dump().contains("\"t0\"")
    });
    assert_eq!(bench.entry.send("GET", "/view/x", "r1", "").status, 200);
}

/// The store is away. One instance knows everything; another starts and has
/// only the address of the first. It learns from it and serves.
#[rstest]
#[case::busy(Mode::Busy)]
#[case::silent(Mode::Silent)]
fn learn_from_peer_without_store(#[case] mode: Mode) {
    let bench = Bench::start(1);
    bench.store.set(mode);
    let seeds = [bench.entry.peers];
    let late = Entry::start("near-2", "near-b", bench.store.addr(), &seeds);
    late.await_ready();
    await_that("it serves", || {
        late.send("GET", "/view/x", "r1", "").status == 200
    });
}

/// Two instances find each other in the store, and the directory names both for
/// as long as both run: one is killed, and its row ends with its lease.
#[test]
fn name_only_running_instances() {
    let bench = Bench::start(1);
    let mut other = Entry::start("near-2", "near-b", bench.store.addr(), &[]);
    other.await_ready();
    let ask_where = || {
        let text =
            "GET /v1/resolve?name=a.example&region=near&zone=near-a HTTP/1.1\r\nHost: x\r\n\r\n";
        ask(bench.entry.directory, text)
            .map(|a| a.body)
            .unwrap_or_default()
    };
    let named = |addr: std::net::SocketAddr| format!("\"{addr}\"");
    await_that("both are named", || {
        let body = ask_where();
        body.contains(&named(bench.entry.callers)) && body.contains(&named(other.callers))
    });
    other.signal(Signal::KILL);
    other.ended();
    let killed = Instant::now();
    await_that("one is named", || {
        !ask_where().contains(&named(other.callers))
    });
    assert!(
        killed.elapsed() < Duration::from_secs(7),
        "{:?}",
        killed.elapsed()
    );
    assert!(ask_where().contains(&named(bench.entry.callers)));
}

/// Nobody reads the log. A full pipe must not hold a request up.
#[test]
fn serve_while_nobody_reads_the_log() {
    let store = Store::start().expect("a port is free");
    store.configure(1, HOST, &ROUTES);
    let target = Target::start("t0", "sheets", "near-a").expect("a port is free");
    target.register(&store, "ready", 1);
    let (entry, _unread) = Entry::start_unread("near-1", "near-a", store.addr(), &[]);
    entry.await_ready();
    // A pipe holds 64 KiB, some two hundred lines.
    for i in 0..600 {
        let began = Instant::now();
        let answer = entry.send("GET", "/view/x", &format!("r{i}"), "");
        assert_eq!(answer.status, 200);
        assert!(began.elapsed() < Duration::from_secs(2));
    }
}

#[test]
fn print_metrics() {
    let bench = Bench::start(1);
    assert_eq!(bench.entry.send("GET", "/view/x", "r1", "").status, 200);
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let printed = ask(bench.entry.operators, text).expect("it answers").body;
    let ended = "auburnrouter_attempts_total{ending=\"answered\"} 1";
    assert!(printed.contains(ended), "{printed}");
    assert!(printed.contains("auburnrouter_config_version 3"));
}

/// A look-up is at a target that is slow today, and would soon be asked of
/// another. SIGTERM comes: it ends where it is, and its caller gets the answer.
#[test]
fn stop_without_breaking_off_a_slow_target() {
    let mut bench = Bench::start(2);
    for i in 0..8 {
        bench.entry.send("GET", "/view/x", &format!("w{i}"), "");
    }
    for target in &bench.targets {
        target.set(Manner::Well, 1_500 * MS);
    }
    let before = bench.runs().len();
    let mut stream = TcpStream::connect(bench.entry.callers).expect("it listens");
    let text = request("GET", "/view/x", "r1", "");
    stream.write_all(text.as_bytes()).expect("it is open");
    await_that("it runs", || bench.runs().len() > before);
    bench.entry.signal(Signal::TERM);
    let answer = read(&mut stream).expect("it is answered");
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(bench.runs().len(), before + 1);
    assert_eq!(bench.entry.ended(), Some(0));
}

/// Callers send bodies of a length that would take all memory together. Those
/// beyond a quarter of it are told to come back; others are served.
#[test]
fn bound_memory_of_bodies() {
    let bench = Bench::start(1);
    bench.store.configure_limits(9, HOST, &ROUTES, 64 << 20);
    await_that("the new limits are in force", || {
        bench.entry.dump().contains("\"version\":9")
    });
    let begin = |id: &str| {
        let mut stream = TcpStream::connect(bench.entry.callers).expect("it listens");
        let length = 40 << 20;
        let head = format!(
            "PUT /pay/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nContent-Length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).expect("it is open");
        stream
    };
    let _held = begin("r1");
    await_that("a second one has no room", || {
        let mut stream = begin("r2");
        stream
            .set_read_timeout(Some(100 * MS))
            .expect("the time isn't zero");
        read(&mut stream).is_some_and(|a| a.status == 503)
    });
    assert_eq!(bench.entry.send("GET", "/view/x", "r3", "").status, 200);
}

/// The store is away, and a caller asks for a route that may have been added
/// meanwhile. "Come back" rather than "there is none".
#[test]
fn doubt_missing_route_without_store() {
    let bench = Bench::start(1);
    assert_eq!(bench.entry.send("GET", "/added/x", "r1", "").status, 404);
    bench.store.set(Mode::Busy);
    await_that("it is out of touch", || {
        bench.entry.send("GET", "/added/x", "r2", "").status == 503
    });
}

/// Settings are checked without starting anything: every fault, with its place.
#[rstest]
#[case::good("", "", 0, "")]
#[case::fault("260", "\"much\"", 1, ":1:")]
fn check_settings(#[case] good: &str, #[case] bad: &str, #[case] code: i32, #[case] said: &str) {
    let store = "127.0.0.1:1".parse().expect("it is an address");
    let text = platform_standin::settings("near-1", "near-a", store, &[]).replacen(good, bad, 1);
    let file = format!("auburnrouter-check-{}-{code}.jsonc", std::process::id());
    let file = std::env::temp_dir().join(file);
    std::fs::write(&file, text).expect("the temporary place is writable");
    let ran = std::process::Command::new(env!("CARGO_BIN_EXE_auburnrouter"))
        .args(["direct", "--check", "--settings"])
        .arg(&file)
        .output()
        .expect("the program is built");
    std::fs::remove_file(&file).expect("it was written");
    assert_eq!(ran.status.code(), Some(code));
    assert!(String::from_utf8_lossy(&ran.stderr).contains(said));
}

/// Callers that still know the address keep coming after SIGTERM. One that is
/// taken late in the grace time would be cut at its end: from some moment on
/// none is taken, and each that was taken gets its whole answer.
#[test]
fn stop_taking_requests_in_time_to_answer() {
    let mut bench = Bench::start(4);
    for target in &bench.targets {
        target.set(Manner::Well, 1_200 * MS);
    }
    bench.entry.signal(Signal::TERM);
    let mut taken = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(bench.entry.callers) {
        let id = format!("r{}", taken.len());
        let text = request("GET", &format!("/view/{id}"), &id, "");
        let asked = std::thread::spawn(move || {
            // A connection that ends before it was read was not taken.
            if stream.write_all(text.as_bytes()).is_err() {
                return None;
            }
            read(&mut stream).map(|answer| (id, answer))
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
    for run in bench.runs().iter().filter(|r| r.id.starts_with('r')) {
        let answered = answers.iter().find(|a| a.0 == run.id);
        let status = answered.map(|a| a.1.status);
        assert_eq!(status, Some(200), "{run:?}");
    }
    assert_eq!(bench.entry.ended(), Some(0));
}
