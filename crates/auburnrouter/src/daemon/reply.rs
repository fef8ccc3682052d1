//! Writes answers and rejections to callers' connections.
//!
//! Invariant: every rejection has `Outcome` and `Reason`, and `Retry-After` if it
//! has a retry delay. A rejection sent before the head is read has the outcome
//! "unknown": the request may repeat a key under which another copy ran.

use std::time::Duration;

use serde::Serialize;
use steer::request::{answer, outcome};
use trillium_http::{HeaderName, HeaderValue, KnownHeaderName, Status};
use wire::{headers, peer};

use super::guarded::Conn;

/// Response on a connection beyond the limit.
pub const TOO_MANY_CONNECTIONS: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nOutcome: unknown\r\nReason: overloaded\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Response to a request that is incomplete at its time limit.
pub const REQUEST_TIMEOUT: &[u8] = b"HTTP/1.1 408 Request Timeout\r\nOutcome: unknown\r\nReason: bad-request\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Response to a request whose head exceeds the size limit.
pub const HEAD_TOO_LONG: &[u8] = b"HTTP/1.1 431 Request Header Fields Too Large\r\nOutcome: unknown\r\nReason: bad-request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// Response to a request whose head can't be parsed.
pub const MALFORMED_HEAD: &[u8] = b"HTTP/1.1 400 Bad Request\r\nOutcome: unknown\r\nReason: bad-request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// JSON body of a rejection.
#[derive(Debug, Serialize)]
struct Body<'a> {
    outcome: &'a str,
    reason: &'a str,
    remedy: &'a str,
    retry_after_ms: Option<u64>,
}

/// Writes a target's answer or a rejection to `conn`.
#[must_use]
pub fn settled(conn: Conn, settled: &peer::FinalResult) -> Conn {
    match settled {
        Ok(answer) => target_answer(conn, answer),
        Err(refusal) => refused(conn, refusal),
    }
}

fn target_answer(mut conn: Conn, answer: &answer::Answer) -> Conn {
    conn.set_status(status(answer.status));
    for header in &answer.headers {
        append(&mut conn, &header.name, &header.value);
    }
    append(&mut conn, headers::OUTCOME, outcome::Outcome::Ran.as_str());
    conn.set_response_body(answer.body.to_vec());
    conn
}

/// Converts a status code. A code unknown to the HTTP library becomes the x00 code
/// of its class, as HTTP prescribes.
fn status(number: u16) -> Status {
    let known = Status::try_from(number).or_else(|_| Status::try_from(number / 100 * 100));
    known.unwrap_or(Status::BadGateway)
}

/// Writes a rejection to `conn`.
#[must_use]
pub fn refused(mut conn: Conn, refusal: &outcome::Refusal) -> Conn {
    append(&mut conn, headers::OUTCOME, refusal.outcome.as_str());
    append(&mut conn, headers::REASON, refusal.reason.as_str());
    if let Some(after) = refusal.retry_after {
        append(
            &mut conn,
            headers::RETRY_AFTER,
            &seconds_up(after).to_string(),
        );
        append(
            &mut conn,
            headers::RETRY_AFTER_MS,
            &millis(after).to_string(),
        );
    }
    let body = Body {
        outcome: refusal.outcome.as_str(),
        reason: refusal.reason.as_str(),
        remedy: refusal.reason.remedy(),
        retry_after_ms: refusal.retry_after.map(millis),
    };
    json(conn, status(refusal.reason.status()), &body)
}

/// Writes a status and a JSON body to `conn`.
#[must_use]
pub fn json(mut conn: Conn, status: Status, body: &impl Serialize) -> Conn {
    match serde_json::to_vec(body) {
        Ok(bytes) => {
            conn.set_status(status);
            let headers = conn.response_headers_mut();
            headers.insert(KnownHeaderName::ContentType, "application/json");
            conn.set_response_body(bytes);
        }
        Err(_) => conn.set_status(Status::InternalServerError),
    }
    conn
}

/// Appends a header; one with an invalid name or value is skipped.
pub fn append(conn: &mut Conn, name: &str, value: &str) {
    let name = HeaderName::from(name.to_owned());
    let value = HeaderValue::from(value.to_owned());
    if name.is_valid() && value.is_valid() {
        conn.response_headers_mut().append(name, value);
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Rounds up to full seconds, so that callers don't retry too early.
const fn seconds_up(span: Duration) -> u64 {
    span.as_secs() + (span.subsec_nanos() > 0) as u64
}
