//! Encoder for responses.
//!
//! Invariant: the extent of a response is always explicit, by its content length or
//! because it can have no body. So a truncated response can't look complete, and the
//! next one begins where it ends.

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, DATE, HeaderName, TRANSFER_ENCODING, UPGRADE};
use http::{Response, StatusCode};

/// Interim response that asks the caller to send the body.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Header fields of the connection itself, which only the encoder sets.
const CONNECTION_FIELDS: [HeaderName; 5] = [
    CONNECTION,
    CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Properties of a response that follow from its request and connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// Whether the connection is closed after the response.
    pub is_closing: bool,
    /// Whether only the head is sent, as for a `HEAD` request.
    pub is_head_only: bool,
    /// Whether the caller speaks HTTP/1.0, where keep-alive has to be explicit.
    pub is_http10: bool,
}

/// Appends the head of a response to `out`; returns the body to send after it.
#[must_use]
pub fn encode(out: &mut BytesMut, answer: Response<Bytes>, options: Options, date: &str) -> Bytes {
    let (head, body) = answer.into_parts();
    let reason = head.status.canonical_reason().unwrap_or("Unknown");
    out.put_slice(b"HTTP/1.1 ");
    out.put_slice(head.status.as_str().as_bytes());
    out.put_u8(b' ');
    out.put_slice(reason.as_bytes());
    out.put_slice(b"\r\n");
    for (name, value) in &head.headers {
        if !CONNECTION_FIELDS.contains(name) {
            put_field(out, name, value.as_bytes());
        }
    }
    if !head.headers.contains_key(DATE) {
        put_field(out, &DATE, date.as_bytes());
    }
    if options.is_closing {
        put_field(out, &CONNECTION, b"close");
    } else if options.is_http10 {
        put_field(out, &CONNECTION, b"keep-alive");
    }
    let has_no_body = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    if has_no_body || options.is_head_only {
        out.put_slice(b"\r\n");
        return Bytes::new();
    }
    put_field(out, &CONTENT_LENGTH, body.len().to_string().as_bytes());
    out.put_slice(b"\r\n");
    body
}

fn put_field(out: &mut BytesMut, name: &HeaderName, value: &[u8]) {
    out.put_slice(name.as_str().as_bytes());
    out.put_slice(b": ");
    out.put_slice(value);
    out.put_slice(b"\r\n");
}
