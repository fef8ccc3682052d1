//! Incremental reader that turns received bytes into complete requests.
//!
//! Invariant: after a fault, or a request that closes its connection, all further
//! bytes are discarded without being parsed.

use bytes::{Buf, Bytes, BytesMut};
use http::Request;

use crate::body::Body;
use crate::fault::Fault;
use crate::head::{self, Framing, Head};

/// Size limits of a request.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Upper bound on the head, in bytes; it also bounds the trailer section.
    pub head_bytes_max: usize,
    /// Upper bound on the body, in bytes.
    pub body_bytes_max: usize,
}

/// Result of a step of the reader.
#[derive(Debug)]
#[allow(
    clippy::large_enum_variant,
    reason = "moved once, to where it is stored; a box would cost an allocation per request"
)]
pub enum Step {
    /// More bytes are needed.
    NeedMore,
    /// A head was read and its body follows. [`Reader::end`] rejects the body,
    /// [`Reader::step`] reads it.
    Body {
        /// Length of the body in bytes, if the head declares it.
        length: Option<u64>,
        /// Whether the caller waits for `100 Continue` before it sends the body.
        expects_continue: bool,
    },
    /// A request is complete.
    Request(CompleteRequest),
    /// The input is malformed; the reader has ended.
    Fault(Fault),
}

/// Complete request.
#[derive(Debug)]
pub struct CompleteRequest {
    /// Request with its body.
    pub request: Request<Bytes>,
    /// Whether no further request is read after this one.
    pub is_closing: bool,
    /// Size of the head and the decoded body, in bytes.
    pub bytes: usize,
}

/// Reader of the requests of one connection.
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
    /// Creates a reader without input.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            input: BytesMut::new(),
            stage: Stage::Head,
        }
    }

    /// Sets the limits of requests whose heads are read from now on.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Adds received bytes; they are discarded if the reader has ended.
    pub fn push(&mut self, bytes: &[u8]) {
        if !self.has_ended() {
            self.input.extend_from_slice(bytes);
        }
    }

    /// Returns the number of bytes held for incomplete requests.
    #[must_use]
    pub fn buffered(&self) -> usize {
        let body = match &self.stage {
            Stage::Body(parts) => parts.1.buffered() + parts.2,
            Stage::Head | Stage::Ended => 0,
        };
        self.input.len() + body
    }

    /// Returns whether a request has begun and is incomplete.
    #[must_use]
    pub fn is_partial(&self) -> bool {
        matches!(self.stage, Stage::Body(_)) || !self.input.is_empty()
    }

    /// Returns whether the reader has ended.
    #[must_use]
    pub const fn has_ended(&self) -> bool {
        matches!(self.stage, Stage::Ended)
    }

    /// Ends the reader and discards the bytes it holds.
    pub fn end(&mut self) {
        self.stage = Stage::Ended;
        self.input = BytesMut::new();
    }

    /// Reads up to the next event that the received bytes allow.
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

    /// Skips empty lines, which some callers send after a body. They don't begin a
    /// request, and must not start its read timeout.
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
