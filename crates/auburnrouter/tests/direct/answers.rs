//! Handling of targets' answers that are complete, lost, truncated or sent twice.

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use platform_standin::target::Behavior;
use rstest::rstest;

use super::harness::{self, Harness, wait_until};

/// A target runs a request and its answer is lost. A payment must not be reported as not
/// run and must not run at another target; a look-up is retried.
#[rstest]
#[case::payment("PUT", "/pay/x", 502, 1)]
#[case::look_up("GET", "/view/x", 200, 2)]
fn lose_answer(#[case] method: &str, #[case] path: &str, #[case] status: u16, #[case] runs: usize) {
    let harness = Harness::start(2);
    // The answer is lost at whichever target gets the request first.
    for target in &harness.targets {
        target.set(Behavior::LoseAnswer, Duration::ZERO);
    }
    let targets = harness.targets.clone();
    let recovery = std::thread::spawn(move || {
        wait_until("it ran once", || {
            targets.iter().any(|t| !t.runs().is_empty())
        });
        for target in targets {
            if target.runs().is_empty() {
                target.set(Behavior::Normal, Duration::ZERO);
            }
        }
    });
    let answer = harness.entry.send(method, path, "r1", "");
    recovery.join().expect("a target ran it");
    if path == "/pay/x" {
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(harness.runs().len(), runs);
        assert_eq!(answer.header("response-seal"), None);
    } else {
        // The retry may reach the second target before it stops losing answers.
        assert!([200, 502].contains(&answer.status), "{answer:?}");
        assert_eq!(harness.runs().len(), runs);
    }
}

/// Answers of a target, and the status that the caller gets for each. A 503 without the
/// not-run header becomes 502, as the request may have run.
#[rstest]
#[case::failure(Behavior::Fail, 500)]
#[case::false_promise(Behavior::Unavailable, 502)]
#[case::broken_off(Behavior::Truncate, 502)]
#[case::until_close(Behavior::Unframed, 200)]
#[case::rejected(Behavior::Full, 503)]
fn pass_answer_on(#[case] behavior: Behavior, #[case] status: u16) {
    let harness = Harness::start(1);
    harness.targets[0].set(behavior, Duration::ZERO);
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

/// A target sends a second answer after each one. If its connection were reused, the
/// next request would get the stray answer.
#[test]
fn drop_connection_with_stray_answer() {
    let harness = Harness::start(1);
    harness.targets[0].set(Behavior::ExtraAnswer, Duration::ZERO);
    for i in 0..30 {
        let id = format!("r{i}");
        let answer = harness.entry.send("GET", "/view/x", &id, "");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, format!("body of {id}"));
    }
}

/// A target is gone and another one has taken over its address. Requests name their
/// target, so the other one refuses them, and a third target runs them.
#[test]
fn pass_by_reused_address() {
    let harness = Harness::start(2);
    harness.targets[0].set_id("someone-else");
    for i in 0..6 {
        let answer = harness
            .entry
            .send("PUT", &format!("/pay/{i}"), &format!("r{i}"), "");
        assert_eq!(answer.status, 200, "{answer:?}");
    }
    assert!(harness.targets[0].runs().is_empty());
    assert_eq!(harness.targets[1].runs().len(), 6);
}

/// An answer whose first line names no status of HTTP was passed on with the target's seal.
#[rstest]
fn pass_on_no_answer_without_status(
    #[values(
        "HTTP/1.1 000 None",
        "HTTP/1.1 000",
        "HTTP/1.1 001 None",
        "HTTP/1.1 099 None",
        "HTTP/1.1 600 None",
        "HTTP/1.1 700",
        "HTTP/1.1 999 None",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1",
        "HTTP/1.2 200 OK",
        "HTTP/2.0 200 OK",
        "ICY 200 OK",
        "200 OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 199 Last"
    )]
    line: &'static str,
) {
    let harness = Harness::start(2);
    harness.targets[0].set(Behavior::FirstLine(line), Duration::ZERO);
    harness.targets[1].set(Behavior::FirstLine(line), Duration::ZERO);
    let payment = harness.entry.send("PUT", "/pay/x", "r0", "");
    assert_eq!(payment.status, 502, "{payment:?}");
    assert_eq!(payment.header("response-seal"), None);
    assert_eq!(payment.body, "");
    assert_eq!(harness.runs().len(), 1);
    harness::wait_for_line(&harness.entry, "\"ending\":\"garbled\"");
    harness.targets[1].set(Behavior::Normal, Duration::ZERO);
    // Look-ups of different objects, of which some go to the first target first.
    let mut stream = TcpStream::connect(harness.entry.callers).expect("the instance listens");
    for i in 1..=12 {
        let text = harness::request("GET", "/view/x", &format!("r{i}"), "");
        let text = text.replace("Affinity-Key: 7", &format!("Affinity-Key: {i}"));
        stream.write_all(text.as_bytes()).expect("it is open");
        let answer = harness::read_answer(&mut stream).expect("the look-up is answered");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body, format!("body of r{i}"));
    }
}

/// Answers with a first line that HTTP allows, though no target usually sends it.
#[rstest]
#[case("HTTP/1.1 200", 200)]
#[case("HTTP/1.0 200 OK", 200)]
#[case("HTTP/1.1 299 Own", 299)]
#[case("HTTP/1.1 499 Own", 499)]
#[case("HTTP/1.1 599 Own", 599)]
#[case("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK", 200)]
fn pass_on_unusual_status(#[case] line: &'static str, #[case] status: u16) {
    let harness = Harness::start(1);
    harness.targets[0].set(Behavior::FirstLine(line), Duration::ZERO);
    let answer = harness.entry.send("PUT", "/pay/x", "r0", "");
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.body, "body of r0");
    assert_eq!(answer.header("response-seal"), Some("seal-r0"));
}
