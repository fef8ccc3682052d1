//! Targets that name a limit of requests a second.

use std::time::Instant;

use super::harness::{Harness, wait_for_line};

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
        "it is passed on"
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

/// Targets that named a limit got as many requests as before.
#[test]
fn send_target_what_its_limit_allows() {
    let harness = Harness::start(2);
    harness.targets[0].limit(Some(1.0));
    let send = |n: usize| harness.entry.send("GET", "/view/x", &format!("r{n}"), "");
    let mut first = 0;
    while harness.targets[0].runs().is_empty() {
        send(first);
        first += 1;
        assert!(first < 1_000, "one of the targets gets nothing");
    }
    let began = Instant::now();
    for n in first..first + 60 {
        assert_eq!(send(n).status, 200);
    }
    let runs = harness.targets[0].runs().len();
    let most = 8 + 2 * began.elapsed().as_secs();
    assert!(runs as u64 <= most, "{runs} requests of {most}");
}
