//! What operators see and do.

use std::time::{Duration, Instant};

use platform_standin::{Store, Target};
use rstest::rstest;
use rustix::process::Signal;

use super::harness::{Entry, HOST, Harness, ROUTES, send_raw, wait_until};

#[test]
fn keep_serving_on_hangup() {
    let harness = Harness::start(1);
    harness.entry.signal(Signal::HUP);
    let lines = std::sync::Arc::clone(&harness.entry.lines);
    wait_until("it says so", || {
        let lines = lines.lock().expect("no one panics with it");
        lines
            .iter()
            .any(|l| l.contains("\"reload\"") && l.contains("\"same\""))
    });
    assert_eq!(harness.entry.send("GET", "/view/x", "r1", "").status, 200);
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
    let harness = Harness::start(1);
    assert_eq!(harness.entry.send("GET", "/view/x", "r1", "").status, 200);
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let printed = send_raw(harness.entry.operators, text)
        .expect("it answers")
        .body;
    let ended = "auburnrouter_attempts_total{ending=\"answered\"} 1";
    assert!(printed.contains(ended), "{printed}");
    assert!(printed.contains("auburnrouter_config_version 3"));
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
