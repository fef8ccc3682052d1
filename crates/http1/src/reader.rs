//! Bytes as they come, to whole requests.
//!
//! Invariant: after a fault, or a request that closes its connection, every
//! further byte is dropped unread.

use bytes::{Buf, Bytes, BytesMut};
use http::Request;

use crate::body::Body;
use crate::fault::Fault;
use crate::head::{self, Framing, Head};

/// What one request may be.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head in bytes.
    pub head_bytes_max: usize,
    /// Longest body in bytes.
    pub body_bytes_max: usize,
}

/// What can be done next.
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "moved once, straight to where it is kept; a box would be one more allocation a request"
)]
pub enum Step {
    /// More bytes are needed.
    NeedMore,
    /// A head is there, and a body follows: of this length, if the head says
    /// it. [`Reader::end`] refuses it, [`Reader::step`] goes on.
    Body {
        /// Bytes of the body.
        length: Option<u64>,
        /// Whether the caller waits to be told to send it.
        expects_continue: bool,
    },
    /// A request is there.
    Request(CompleteRequest),
    /// What came is no request, and nothing behind it is.
    Fault(Fault),
}

/// A request, whole.
#[derive(Debug)]
pub struct CompleteRequest {
    /// The request.
    pub request: Request<Bytes>,
    /// Whether nothing is read behind it.
    pub is_closing: bool,
    /// Bytes that it takes, about.
    pub bytes: usize,
}

/// Reads the requests of one connection.
#[derive(Debug)]
pub struct Reader {
    limits: Limits,
    input: BytesMut,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    Head,
    Body(Box<(Head, Body, usize)>),
    Ended,
}

impl Reader {
    /// Nothing read yet.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            input: BytesMut::new(),
            stage: Stage::Head,
        }
    }

    /// Bounds requests that begin from now on.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Takes bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.has_ended() {
            self.input.extend_from_slice(bytes);
        }
    }

    /// Bytes held that belong to no whole request yet.
    #[must_use]
    pub fn buffered(&self) -> usize {
        let body = match &self.stage {
            Stage::Body(parts) => parts.1.buffered() + parts.2,
            Stage::Head | Stage::Ended => 0,
        };
        self.input.len() + body
    }

    /// Whether a request has begun and isn't whole.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        matches!(self.stage, Stage::Body(_)) || !self.input.is_empty()
    }

    /// Whether nothing more is read.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Reads nothing more; what is held is dropped.
    pub fn end(&mut self) {
        self.stage = Stage::Ended;
        self.input = BytesMut::new();
    }

    /// Goes on as far as the bytes allow.
    pub fn step(&mut self) -> Step {
        let step = match &mut self.stage {
            Stage::Ended => return Step::NeedMore,
            Stage::Head => self.next_head(),
            Stage::Body(parts) => match parts.1.take(&mut self.input) {
                Ok(None) => Ok(Step::NeedMore),
                Ok(Some(body)) => Ok(self.finish(body)),
                Err(fault) => Err(fault),
            },
        };
        step.unwrap_or_else(|fault| {
            self.end();
            Step::Fault(fault)
        })
    }

    fn next_head(&mut self) -> Result<Step, Fault> {
        self.skip_empty_lines();
        if self.input.is_empty() {
            return Ok(Step::NeedMore);
        }
        let Some((head, length)) = head::parse(&self.input, self.limits.head_bytes_max)? else {
            return Ok(Step::NeedMore);
        };
        self.input.advance(length);
        let body = Body::new(
            head.framing,
            self.limits.body_bytes_max,
            self.limits.head_bytes_max,
        )?;
        let declared = match head.framing {
            Framing::Length(0) => return Ok(self.complete(head, Bytes::new(), length)),
            Framing::Length(bytes) => Some(bytes),
            Framing::Chunked => None,
        };
        let expects_continue = head.expects_continue;
        self.stage = Stage::Body(Box::new((head, body, length)));
        Ok(Step::Body {
            length: declared,
            expects_continue,
        })
    }

    /// Some callers end a body with a line of its own. It begins no request, and
    /// its time must not run.
    fn skip_empty_lines(&mut self) {
        while self.input.starts_with(b"\r\n") {
            self.input.advance(2);
        }
    }

    fn finish(&mut self, body: Bytes) -> Step {
        match core::mem::replace(&mut self.stage, Stage::Head) {
            Stage::Body(parts) => {
                let (head, _, length) = *parts;
                self.complete(head, body, length)
            }
            Stage::Head | Stage::Ended => Step::NeedMore,
        }
    }

    fn complete(&mut self, head: Head, body: Bytes, length: usize) -> Step {
        if head.is_closing {
            self.end();
        }
        let bytes = length + body.len();
        Step::Request(CompleteRequest {
            request: head.request.map(|()| body),
            is_closing: head.is_closing,
            bytes,
        })
    }
}
