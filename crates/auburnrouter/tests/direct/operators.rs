//! Tests of what operators use: signals, logs, metrics and the check of settings.

use std::time::{Duration, Instant};

use platform_standin::{Store, Target};
use rstest::rstest;
use rustix::process::Signal;

use super::harness::{Entry, HOST, Harness, ROUTES, send_raw, wait_until};

/// SIGHUP must log whether the settings have changed and must not end the process.
#[test]
fn keep_serving_on_hangup() {
    let harness = Harness::start(1);
    harness.entry.signal(Signal::HUP);
    let lines = std::sync::Arc::clone(&harness.entry.lines);
    wait_until("the unchanged settings are logged", || {
        let lines = lines.lock().expect("the lock is not poisoned");
        lines
            .iter()
            .any(|l| l.contains("\"reload\"") && l.contains("\"same\""))
    });
    assert_eq!(harness.entry.send("GET", "/view/x", "r1", "").status, 200);
}

/// Requests must not be delayed if nothing reads the log and its pipe is full.
#[test]
fn serve_while_nobody_reads_the_log() {
    let store = Store::start().expect("a port is free");
    store.configure(1, HOST, &ROUTES);
    let target = Target::start("t0", "sheets", "near-a").expect("a port is free");
    target.register(&store, "ready", 1);
    let (entry, _unread) = Entry::start_unread("near-1", "near-a", store.addr(), &[]);
    entry.await_ready();
    // A pipe holds 64 KiB, about two hundred lines; more requests fill it.
    for i in 0..600 {
        let began = Instant::now();
        let answer = entry.send("GET", "/view/x", &format!("r{i}"), "");
        assert_eq!(answer.status, 200);
        assert!(began.elapsed() < Duration::from_secs(2));
    }
}

/// Metrics must count an attempt and show the configuration version.
#[test]
fn print_metrics() {
    let harness = Harness::start(1);
    assert_eq!(harness.entry.send("GET", "/view/x", "r1", "").status, 200);
    let text = "GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n";
    let metrics = send_raw(harness.entry.operators, text)
        .expect("the instance answers")
        .body;
    let ended = "auburnrouter_attempts_total{ending=\"answered\"} 1";
    assert!(metrics.contains(ended), "{metrics}");
    assert!(metrics.contains("auburnrouter_config_version 3"));
}

/// `--check` must report faults in the settings with their place and start nothing.
#[rstest]
#[case::good("", "", 0, "")]
#[case::fault("260", "\"much\"", 1, ":1:")]
fn check_settings(#[case] good: &str, #[case] bad: &str, #[case] code: i32, #[case] message: &str) {
    let store = "127.0.0.1:1".parse().expect("the address is valid");
    let text = platform_standin::settings("near-1", "near-a", store, &[]).replacen(good, bad, 1);
    let file = format!("auburnrouter-check-{}-{code}.jsonc", std::process::id());
    let file = std::env::temp_dir().join(file);
    std::fs::write(&file, text).expect("the temporary directory is writable");
    let ran = std::process::Command::new(env!("CARGO_BIN_EXE_auburnrouter"))
        .args(["direct", "--check", "--settings"])
        .arg(&file)
        .output()
        .expect("the program starts");
    std::fs::remove_file(&file).expect("the file exists");
    assert_eq!(ran.status.code(), Some(code));
    assert!(String::from_utf8_lossy(&ran.stderr).contains(message));
}
