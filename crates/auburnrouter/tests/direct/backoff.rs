//! Tests of targets that ask for a backoff, or announce in their answers that they
//! are about to stop.

use std::time::Duration;

use platform_standin::target::Behavior;

use super::harness::{Harness, wait_for_line};

/// Nothing showed that a target had asked for a backoff, or who knew of it.
#[test]
fn log_backoff() {
    let harness = Harness::start(1);
    let target = &harness.targets[0];
    target.set(Behavior::Full, Duration::ZERO);
    target.ask_backoff(Some("2.5"));
    harness.entry.send("GET", "/view/x", "r1", "");
    let line = wait_for_line(&harness.entry, "target-backoff");
    for part in [
        r#""target":"t0""#,
        r#""backoff_ms":2500"#,
        r#""request":"r1""#,
    ] {
        assert!(line.contains(part), "{line}");
    }
    let line = wait_for_line(&harness.entry, r#""event":"attempt","request":"r1""#);
    assert!(line.contains(r#""backoff_ms":2500"#), "{line}");
    assert!(harness.entry.dump().contains(r#""marks":["backoff"]"#));
}

/// Nothing showed that a target had announced that it was about to stop.
#[test]
fn log_announced_stop() {
    let harness = Harness::start(1);
    harness.targets[0].announce_leaving(Some("1"));
    let answer = harness.entry.send("GET", "/view/x", "r1", "");
    assert_eq!(
        answer.header("server-leaving"),
        Some("1"),
        "the announcement is passed on"
    );
    let line = wait_for_line(&harness.entry, "target-leaving");
    assert!(line.contains(r#""target":"t0","request":"r1""#), "{line}");
    let line = wait_for_line(&harness.entry, r#""event":"attempt","request":"r1""#);
    assert!(line.contains(r#""leaving":true"#), "{line}");
    assert!(harness.entry.dump().contains(r#""marks":["leaving"]"#));
}

/// An announcement was lost when the body of its answer was incomplete.
#[test]
fn read_head_of_truncated_answer() {
    let harness = Harness::start(1);
    harness.targets[0].set(Behavior::Truncate, Duration::ZERO);
    harness.targets[0].announce_leaving(Some("1"));
    harness.entry.send("GET", "/view/x", "r1", "");
    wait_for_line(&harness.entry, "target-leaving");
}

/// A header that no decision takes into account was passed on without a trace.
#[test]
fn log_unknown_header_once() {
    let harness = Harness::start(1);
    for id in ["r1", "r2"] {
        harness.entry.send("GET", "/view/x", id, "");
    }
    let line = wait_for_line(&harness.entry, "unknown-header");
    assert!(line.contains(r#""header":"own-header""#), "{line}");
    wait_for_line(&harness.entry, r#""event":"attempt","request":"r2""#);
    let lines = harness
        .entry
        .lines
        .lock()
        .expect("the lock is not poisoned");
    let count = lines
        .iter()
        .filter(|l| l.contains("unknown-header"))
        .count();
    assert_eq!(count, 1);
}
