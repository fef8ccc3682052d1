//! Why a connection is refused more requests.

use http::StatusCode;
use thiserror::Error;

/// What is wrong with what a caller sends. Nothing behind it can be read, since
/// nobody knows where the next request begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Fault {
    /// The head isn't HTTP/1.x.
    #[error("the head of the request can't be read; send HTTP/1.1")]
    Head,
    /// The head is too long or has too many fields.
    #[error("the head of the request is too long; send fewer or shorter fields")]
    LongHead,
    /// The length of the body is in doubt. Whoever else reads this connection
    /// may see another request in the rest of the body.
    #[error("the length of the body is in doubt; send one content-length or one chunked coding")]
    Length,
    /// The body isn't chunked as its head says.
    #[error(
        "a chunk of the body can't be read; send sizes in hexadecimal, each line ended by CR LF"
    )]
    Chunk,
    /// The body is too long.
    #[error("the body of the request is too long; send less at a time")]
    LongBody,
}

impl Fault {
    /// The status that tells a caller.
    #[must_use]
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Head | Self::Length | Self::Chunk => StatusCode::BAD_REQUEST,
            Self::LongHead => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::LongBody => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }
}
