//! Invalid, oversized and slow input to the listeners of an entry instance: each
//! gets an answer, or a typed rejection that states whether the request ran.

#[path = "edge/harness.rs"]
mod harness;

use harness::{Harness, SECRET};
use rstest::rstest;

const VALID_REQUEST: &str = "GET /s/stock/x HTTP/1.1\r\nHost: a\r\n\r\n";

const PARTIAL_REQUEST: &str =
    "POST /s/stock/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nfour";

/// A malformed or invalid request is rejected with the right status and outcome.
///
/// The instance never forwards such a request. If its head could not be read, it
/// may repeat a key, so the outcome is "unknown" there.
#[rstest]
#[case::request_line("NONSENSE\r\n\r\n", "400", "unknown")]
#[case::method("FETCH /s/stock/x HTTP/1.1\r\nHost: a\r\n\r\n", "400", "unknown")]
#[case::both_lengths(
    "POST /s/stock/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
    "400",
    "unknown"
)]
#[case::two_lengths(
    "POST /s/stock/x HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
    "400",
    "not-run"
)]
#[case::negative_length(
    "POST /s/stock/x HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
    "400",
    "not-run"
)]
#[case::deadline(
    "GET /s/stock/x HTTP/1.1\r\nHost: a\r\nDeadline-Ms: soon\r\n\r\n",
    "400",
    "not-run"
)]
#[case::keyed_deadline(
    "GET /s/stock/x HTTP/1.1\r\nHost: a\r\nDeadline-Ms: soon\r\nIdempotency-Key: k\r\n\r\n",
    "400",
    "unknown"
)]
#[case::path("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", "400", "not-run")]
#[case::service("GET /s/nothing/x HTTP/1.1\r\nHost: a\r\n\r\n", "404", "not-run")]
#[case::lookup_service(
    "GET /lookup?service=nothing HTTP/1.1\r\nHost: a\r\n\r\n",
    "404",
    "not-run"
)]
#[case::lookup_client(
    "GET /lookup?client=here HTTP/1.1\r\nHost: a\r\n\r\n",
    "400",
    "not-run"
)]
#[case::metrics("GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", "400", "not-run")]
#[case::dump("GET /dump HTTP/1.1\r\nHost: a\r\n\r\n", "400", "not-run")]
#[case::key_missing(
    "POST /s/pay/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n",
    "400",
    "not-run"
)]
fn refuse_malformed(#[case] text: &str, #[case] status: &str, #[case] outcome: &str) {
    let harness = Harness::start("");
    let answer = harness.send(text);
    assert_eq!(answer.status, status, "{answer:?}");
    assert_eq!(answer.header("outcome"), Some(outcome), "{answer:?}");
    assert!(answer.header("reason").is_some(), "{answer:?}");
    harness.stop();
}

#[test]
fn refuse_two_lengths_on_one_connection() {
    // Guards against request smuggling: a proxy in front may use the other of two
    // lengths, and the rest of the body would be read as a second request.
    let harness = Harness::start("");
    let text = "POST /s/stock/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nContent-Length: 47\r\n\r\nGET /s/stock/smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
    let answers = harness.send_and_drain(text);
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{answers}");
    assert!(answers.starts_with("HTTP/1.1 400"), "{answers}");
    harness.stop();
}

#[test]
fn refuse_long_head() {
    let harness = Harness::start(r#""head_bytes": 1024"#);
    let filler = "x".repeat(4096);
    let answer = harness.send(&format!(
        "GET /s/stock/x HTTP/1.1\r\nFiller: {filler}\r\n\r\n"
    ));
    assert_eq!(answer.status, "431", "{answer:?}");
    assert_eq!(answer.header("outcome"), Some("unknown"));
    harness.stop();
}

#[test]
fn refuse_long_body() {
    let harness = Harness::start(r#""body_bytes": 1024"#);
    let body = "x".repeat(4096);
    let answer = harness.send(&format!(
        "POST /s/stock/x HTTP/1.1\r\nHost: a\r\nContent-Length: 4096\r\n\r\n{body}"
    ));
    assert_eq!(answer.status, "413", "{answer:?}");
    assert_eq!(answer.header("outcome"), Some("not-run"));
    harness.stop();
}

/// A caller that stalls within a request gets a 408, and no target runs the request.
///
/// Without the time limit the connection would stay open until the caller closes it,
/// and a few thousand such connections would lock out all other callers.
#[test]
fn refuse_half_sent() {
    let harness = Harness::start(r#""request_ms": 300"#);
    let answer = harness.send(PARTIAL_REQUEST);
    assert_eq!(answer.status, "408", "{answer:?}");
    assert_eq!(answer.header("outcome"), Some("unknown"));
    assert_eq!(harness.executed(), 0);
    harness.stop();
}

/// A connection beyond the limit gets a 503 with a retry delay.
#[test]
fn refuse_connection_too_many() {
    let harness = Harness::start(r#""connections": 2"#);
    let open = [harness.hold_connection(), harness.hold_connection()];
    let answer = harness.send(VALID_REQUEST);
    assert_eq!(answer.status, "503", "{answer:?}");
    assert_eq!(answer.header("outcome"), Some("unknown"), "{answer:?}");
    assert!(answer.header("retry-after").is_some());
    drop(open);
    harness.stop();
}

#[test]
fn answer_not_ready() {
    let harness = Harness::start_empty();
    let lookup = harness.send("GET /lookup?service=stock HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(lookup.status, "503", "{lookup:?}");
    assert_eq!(lookup.header("reason"), Some("not-ready"));
    let request = harness.send("GET /s/stock/x HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(request.header("reason"), Some("not-ready"));
    assert_eq!(request.header("outcome"), Some("not-run"));
    harness.stop();
}

#[rstest]
#[case::none(None, "401")]
#[case::wrong(Some("not-the-secret-0123456789"), "401")]
#[case::shorter(Some("s"), "401")]
#[case::right(Some(SECRET), "200")]
fn operators_secret(#[case] secret: Option<&str>, #[case] status: &str) {
    let harness = Harness::start_empty();
    let line = secret.map(|s| format!("Authorization: Bearer {s}\r\n"));
    let line = line.unwrap_or_default();
    let text = format!("GET /dump HTTP/1.1\r\nHost: a\r\n{line}\r\n");
    let answer = harness::send_to(harness.operators(), &text);
    assert_eq!(answer.status, status, "{answer:?}");
    assert!(!answer.body.contains(SECRET));
    harness.stop();
}

/// A peer connection without the secret is closed without serving a call, and the
/// instance continues to serve callers.
#[test]
fn refuse_peer_without_secret() {
    let harness = Harness::start("");
    assert!(harness::is_closed_after(harness.peers(), &[7; 65]));
    let answer = harness.send("GET /s/stock/x HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(answer.status, "200", "{answer:?}");
    harness.stop();
}
