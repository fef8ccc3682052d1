//! An answer, as bytes.
//!
//! Invariant: its length always stands in it, so that one that breaks off can't
//! look complete, and that the next answer begins where this one ends.

use bytes::{BufMut, Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, DATE, HeaderName, TRANSFER_ENCODING, UPGRADE};
use http::{Response, StatusCode};

/// Tells a caller that its body may come.
pub const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Fields that only the connection's own end may set.
const CONNECTION_FIELDS: [HeaderName; 5] = [
    CONNECTION,
    CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    TRANSFER_ENCODING,
    UPGRADE,
];

/// What the request and the connection say about its answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// The connection closes behind it.
    pub is_closing: bool,
    /// The request wanted the head only.
    pub is_head_only: bool,
    /// The caller speaks HTTP/1.0 and must be told that the connection stays.
    pub is_http10: bool,
}

/// Writes the head of an answer; gives the body that follows it.
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
