//! Faults in the input, after which a connection takes no more requests.
//!
//! Invariant: each fault has a 4xx status.

use http::StatusCode;
use thiserror::Error;

/// Fault in the bytes from a caller. Nothing after it is parsed, since the start of
/// the next request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The head is not valid HTTP/1.x.
    #[error("malformed request head; HTTP/1.1 is expected")]
    Head,
    /// The head is too long or has too many fields.
    #[error("the request head is too long or has too many fields; send fewer or shorter fields")]
    LongHead,
    /// The length of the body is ambiguous. Another parser on the path could read a
    /// part of the body as a request (request smuggling).
    #[error("ambiguous body length; one content-length or one chunked coding is expected")]
    Length,
    /// The chunked coding of the body is malformed.
    #[error("malformed chunk; hexadecimal sizes and lines that end with CR LF are expected")]
    Chunk,
    /// The body is too long.
    #[error("the request body is too long; send less at a time")]
    LongBody,
}

impl Fault {
    /// Returns the status of the response to the caller.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Head | Self::Length | Self::Chunk => StatusCode::BAD_REQUEST,
            Self::LongHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LongBody => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}
