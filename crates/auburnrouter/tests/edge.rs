//! What whoever connects gets at the edge of an entry instance, whatever it
//! sends: a typed refusal that says whether the request ran, or an answer.

#[path = "edge/harness.rs"]
mod harness;

use harness::{Harness, SECRET};
use rstest::rstest;

const VALID_REQUEST: &str = "GET /s/stock/x HTTP/1.1\r\nHost: a\r\n\r\n";

const PARTIAL_REQUEST: &str =
    "POST /s/stock/x HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nfour";

/// The caller sends nonsense or too much and gets a final answer at once.
///
/// The entry instance never passes such a request on. A request whose head it
/// could not read may repeat a key, so the answer is "unknown" there.
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
    // The caller sends two lengths. Whoever stands before this instance may
    // believe the other one: the rest of the body would be read as a second
    // request, which no caller has sent.
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

/// The caller sends half a request and stalls; it gets a 408 and is closed.
///
/// Its request never reached a target. Without the time limit the connection
/// would be held until the caller's system gives up, and a few thousand of them
/// would shut all other callers out.
#[test]
fn refuse_half_sent() {
    let harness = Harness::start(r#""request_ms": 300"#);
    let answer = harness.send(PARTIAL_REQUEST);
    assert_eq!(answer.status, "408", "{answer:?}");
    assert_eq!(answer.header("outcome"), Some("unknown"));
    assert_eq!(harness.executed(), 0);
    harness.stop();
}

/// More callers connect than the instance takes; the one too many is told so.
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

/// Somebody connects to the peers' listener and doesn't know the secret; it is
/// closed without a call taken, and the instance goes on.
#[test]
fn refuse_peer_without_secret() {
    let harness = Harness::start("");
    assert!(harness::is_closed_after(harness.peers(), &[7; 65]));
    let answer = harness.send("GET /s/stock/x HTTP/1.1\r\nHost: a\r\n\r\n");
    assert_eq!(answer.status, "200", "{answer:?}");
    harness.stop();
}
