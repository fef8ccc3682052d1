//! Tests of targets that ask for a backoff, or announce in their answers that they
//! are about to stop.

use std::time::{Duration, Instant};

use platform_standin::target::{Arrival, Behavior};
use rstest::rstest;
use rustix::process::Signal;

use super::harness::{Entry, Harness, wait_for_line, wait_until};

/// Time after a target's answer in which requests on their way may still arrive.
const NOTICE: Duration = Duration::from_millis(500);

/// Sends requests until a target has got one.
fn send_until_reached(harness: &Harness, target: usize) -> Instant {
    let mut next = 0;
    loop {
        if let Some(first) = harness.targets[target].arrivals().first() {
            return first.at;
        }
        harness
            .entry
            .send("GET", "/view/x", &format!("f{next}"), "");
        next += 1;
        assert!(next < 1_000, "target {target} gets no requests");
    }
}

/// A target that asked for a backoff got as many requests as before.
#[rstest]
#[case::not_run(Behavior::Full)]
#[case::may_have_run(Behavior::Unavailable)]
fn send_nothing_during_backoff(#[case] behavior: Behavior) {
    let harness = Harness::start(2);
    harness.targets[0].set(behavior, Duration::ZERO);
    harness.targets[0].ask_backoff(Some("2"));
    let first = send_until_reached(&harness, 0);
    let mut next = 0;
    while first.elapsed() < Duration::from_secs(2) {
        if next == 20 {
            // A reload of the settings doesn't end a backoff.
            harness.entry.signal(Signal::HUP);
        }
        let answer = harness
            .entry
            .send("GET", "/view/x", &format!("r{next}"), "");
        assert_eq!(answer.status, 200);
        next += 1;
    }
    let arrivals = harness.targets[0].arrivals();
    let until = first + Duration::from_secs(2);
    let late = |a: &&Arrival| a.at > first + NOTICE && a.at < until;
    assert_eq!(arrivals.iter().filter(late).count(), 0, "{arrivals:?}");
}

/// Each instance was turned away once before it knew of a target's backoff.
#[test]
fn tell_other_instances_of_backoff() {
    let harness = Harness::start(2);
    let store = harness.store.addr();
    let other = Entry::start("near-2", "near-a", store, &[harness.entry.peers]);
    other.await_ready();
    harness.targets[0].set(Behavior::Full, Duration::ZERO);
    harness.targets[0].ask_backoff(Some("20"));
    send_until_reached(&harness, 0);
    wait_until("the other instance is told", || {
        other.dump().contains(r#""marks":["backoff"]"#)
    });
    for next in 0..20 {
        let answer = other.send("GET", "/view/x", &format!("o{next}"), "");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(harness.targets[0].arrivals().len(), 1);
}

/// Callers waited for targets that were known to take nothing.
#[test]
fn reject_at_once_while_all_back_off() {
    let harness = Harness::start(1);
    harness.targets[0].set(Behavior::Full, Duration::ZERO);
    harness.targets[0].ask_backoff(Some("30"));
    harness.entry.send("GET", "/view/x", "r1", "");
    let answer = harness.entry.send("GET", "/view/x", "r2", "");
    assert_eq!(answer.status, 503);
    let after = answer.header("retry-after").and_then(|a| a.parse().ok());
    let after: f64 = after.expect("it says when to come back");
    assert!((20.0..32.0).contains(&after), "{after}");
    let line = wait_for_line(&harness.entry, r#""event":"own-answer","request":"r2""#);
    assert!(line.contains(r#""why":"targets-back-off""#), "{line}");
    assert_eq!(harness.targets[0].arrivals().len(), 1);
}

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

/// A target that had announced its stop got requests until the store's list said so.
#[test]
fn avoid_target_that_announced_stop() {
    let harness = Harness::start(2);
    harness.targets[0].announce_leaving(Some("1"));
    send_until_reached(&harness, 0);
    // The announcement holds although later entries don't repeat it.
    harness.targets[0].announce_leaving(None);
    harness.targets[0].register(&harness.store, "ready", 2);
    wait_for_line(&harness.entry, "target-leaving");
    for next in 0..60 {
        let answer = harness
            .entry
            .send("GET", "/view/x", &format!("r{next}"), "");
        assert_eq!(answer.status, 200);
    }
    assert_eq!(harness.targets[0].arrivals().len(), 1);
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
