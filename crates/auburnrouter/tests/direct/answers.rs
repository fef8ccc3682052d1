//! What becomes of targets' answers, whole, broken or doubled.

use std::time::Duration;

use platform_standin::target::Manner;
use rstest::rstest;

use super::harness::{Harness, wait_until};

/// The target runs a payment and its answer is lost. The caller must not hear
/// "not run", and no other target may run it; a look-up is asked again.
#[rstest]
#[case::payment("PUT", "/pay/x", 502, 1)]
#[case::look_up("GET", "/view/x", 200, 2)]
fn lose_answer(#[case] method: &str, #[case] path: &str, #[case] status: u16, #[case] runs: usize) {
    let harness = Harness::start(2);
    // Whichever target the request goes to first loses its answer.
    for target in &harness.targets {
        target.set(Manner::Lose, Duration::ZERO);
    }
    let other = harness.targets.clone();
    let healer = std::thread::spawn(move || {
        wait_until("it ran once", || other.iter().any(|t| !t.runs().is_empty()));
        for target in other {
            if target.runs().is_empty() {
                target.set(Manner::Well, Duration::ZERO);
            }
        }
    });
    let answer = harness.entry.send(method, path, "r1", "");
    healer.join().expect("it ran");
    if path == "/pay/x" {
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(harness.runs().len(), runs);
        assert_eq!(answer.header("response-seal"), None);
    } else {
        // The second target may have been asked before it was well.
        assert!([200, 502].contains(&answer.status), "{answer:?}");
        assert_eq!(harness.runs().len(), runs);
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
    let harness = Harness::start(1);
    harness.targets[0].set(manner, Duration::ZERO);
    let answer = harness.entry.send("PUT", "/pay/x", "r1", "");
    assert_eq!(answer.status, status, "{answer:?}");
    if status == 200 {
        assert_eq!(answer.body, "body of r1");
    }
    if status == 503 {
        assert!(answer.header("retry-after").is_some());
        assert!(harness.runs().is_empty());
    }
    if status >= 502 {
        assert_eq!(answer.header("response-seal"), None);
    }
}

/// A target sends a second answer after each. On a connection that is used
/// again, the next caller would get it.
#[test]
fn drop_connection_with_stray_answer() {
    let harness = Harness::start(1);
    harness.targets[0].set(Manner::Extra, Duration::ZERO);
    for i in 0..30 {
        let id = format!("r{i}");
        let answer = harness.entry.send("GET", "/view/x", &id, "");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, format!("body of {id}"));
    }
}

/// A target has gone and another has its address. The request names the one it
/// is meant for, so the other turns it away, and a third one runs it.
#[test]
fn pass_by_reused_address() {
    let harness = Harness::start(2);
    harness.targets[0].rename("someone-else");
    for i in 0..6 {
        let answer = harness
            .entry
            .send("PUT", &format!("/pay/{i}"), &format!("r{i}"), "");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(harness.targets[0].runs().is_empty());
    assert_eq!(harness.targets[1].runs().len(), 6);
}
