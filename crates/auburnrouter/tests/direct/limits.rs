//! Tests of targets that state a limit of requests per second.

use std::time::Instant;

use super::harness::{Harness, wait_for_line};

/// A limit must be passed on to the caller, logged and dumped, and its removal logged.
#[test]
fn log_limit_named_and_lifted() {
    let harness = Harness::start(1);
    let send = |id| harness.entry.send("GET", "/view/x", id, "");
    send("r1");
    harness.targets[0].limit(Some(2.5));
    let answer = send("r2");
    assert_eq!(
        answer.header("server-limit"),
        Some("2.5"),
        "the limit is passed on"
    );
    let line = wait_for_line(&harness.entry, "target-limit");
    for part in [r#""target":"t0""#, r#""rate":2.5"#, r#""request":"r2""#] {
        assert!(line.contains(part), "{line}");
    }
    assert!(harness.entry.dump().contains(r#""limit":2.5"#));
    harness.targets[0].limit(None);
    send("r3");
    let line = wait_for_line(&harness.entry, r#""request":"r3","route""#);
    assert!(line.contains(r#""limit_known":2.5"#), "{line}");
    wait_for_line(&harness.entry, r#""rate":null,"request":"r3""#);
}

/// A target with a limit must get no more requests than it allows; limits once had no
/// effect on routing.
#[test]
fn send_target_what_its_limit_allows() {
    let harness = Harness::start(2);
    harness.targets[0].limit(Some(1.0));
    let send = |n: usize| harness.entry.send("GET", "/view/x", &format!("r{n}"), "");
    let mut next = 0;
    while harness.targets[0].runs().is_empty() {
        send(next);
        next += 1;
        assert!(next < 1_000, "the limited target gets no requests");
    }
    let began = Instant::now();
    for n in next..next + 60 {
        assert_eq!(send(n).status, 200);
    }
    let runs = harness.targets[0].runs().len();
    let max = 8 + 2 * began.elapsed().as_secs();
    assert!(runs as u64 <= max, "{runs} requests, at most {max} allowed");
}
