//! Incremental decoder for request bodies.
//!
//! Invariant: a chunked body is accepted only in the form that all parsers read
//! alike; any other encoding is a fault.

use bytes::{Buf, Bytes, BytesMut};

use crate::fault::Fault;
use crate::head::Framing;

/// Upper bound on the line with a chunk's size; callers send fewer than ten bytes.
const CHUNK_LINE_MAX: usize = 1024;

/// Upper bound on the number of trailer fields.
const TRAILER_FIELDS_MAX: usize = 32;

/// Body of one request, while it is received.
#[derive(Debug)]
pub struct Body {
    stage: Stage,
    /// Decoded bytes so far.
    bytes: BytesMut,
    /// Upper bound on the decoded body, in bytes.
    bytes_max: usize,
    /// Upper bound on the trailer section, in bytes.
    trailers_max: usize,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    /// Expects this many more bytes.
    Length(usize),
    /// Expects the line with a chunk's size.
    ChunkSize,
    /// Expects this many more bytes of a chunk.
    ChunkData(usize),
    /// Expects the line break that ends a chunk.
    ChunkEnd,
    /// Expects trailer fields, up to an empty line.
    Trailers,
}

impl Body {
    /// Creates a decoder for a body of at most `bytes_max` bytes, with a trailer
    /// section of at most `trailers_max` bytes.
    ///
    /// # Errors
    /// [`Fault::LongBody`] if the declared length exceeds `bytes_max`.
    pub fn new(framing: Framing, bytes_max: usize, trailers_max: usize) -> Result<Self, Fault> {
        let stage = match framing {
            Framing::Length(length) => match usize::try_from(length) {
                Ok(length) if length <= bytes_max => Stage::Length(length),
                _ => return Err(Fault::LongBody),
            },
            Framing::Chunked => Stage::ChunkSize,
        };
        Ok(Self {
            stage,
            bytes: BytesMut::new(),
            bytes_max,
            trailers_max,
        })
    }

    /// Returns the number of decoded bytes held.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.bytes.len()
    }

    /// Consumes the bytes of the body from `input`; returns the body once it is
    /// complete.
    ///
    /// # Errors
    /// If the chunked coding is malformed, or the body or its trailer is too long.
    pub fn take(&mut self, input: &mut BytesMut) -> Result<Option<Bytes>, Fault> {
        loop {
            let next = match self.stage {
                Stage::Length(left) => {
                    let left = self.take_data(input, left);
                    if left == 0 {
                        return Ok(Some(self.finish()));
                    }
                    self.stage = Stage::Length(left);
                    None
                }
                Stage::ChunkSize => self.take_size(input)?,
                Stage::ChunkData(left) => match self.take_data(input, left) {
                    0 => Some(Stage::ChunkEnd),
                    left => {
                        self.stage = Stage::ChunkData(left);
                        None
                    }
                },
                Stage::ChunkEnd => take_end(input)?,
                Stage::Trailers if self.take_trailers(input)? => {
                    return Ok(Some(self.finish()));
                }
                Stage::Trailers => None,
            };
            match next {
                Some(stage) => self.stage = stage,
                None => return Ok(None),
            }
        }
    }

    fn finish(&mut self) -> Bytes {
        core::mem::take(&mut self.bytes).freeze()
    }

    /// Moves up to `left` bytes; returns how many are still missing.
    fn take_data(&mut self, input: &mut BytesMut, left: usize) -> usize {
        let length = left.min(input.len());
        self.bytes.extend_from_slice(&input[..length]);
        input.advance(length);
        left - length
    }

    fn take_size(&mut self, input: &mut BytesMut) -> Result<Option<Stage>, Fault> {
        let window = &input[..input.len().min(CHUNK_LINE_MAX)];
        // The parser accepts any byte in a chunk extension, also a bare LF, which
        // other parsers take for the end of the line.
        let line = window.iter().position(|b| *b == b'\n');
        if line.is_some_and(|at| at == 0 || window[at - 1] != b'\r') {
            return Err(Fault::Chunk);
        }
        let (length, size) = match httparse::parse_chunk_size(window) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if window.len() < CHUNK_LINE_MAX => return Ok(None),
            Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Chunk),
        };
        // The parser reads a line without a digit as size 0; it is a fault.
        if !input[0].is_ascii_hexdigit() {
            return Err(Fault::Chunk);
        }
        input.advance(length);
        if size == 0 {
            return Ok(Some(Stage::Trailers));
        }
        let size = usize::try_from(size).map_err(|_| Fault::LongBody)?;
        if size > self.bytes_max - self.bytes.len() {
            return Err(Fault::LongBody);
        }
        Ok(Some(Stage::ChunkData(size)))
    }

    /// Consumes the trailer section; returns whether it is complete. Its fields are
    /// discarded, since none that matters may follow the body.
    fn take_trailers(&self, input: &mut BytesMut) -> Result<bool, Fault> {
        let window = &input[..input.len().min(self.trailers_max)];
        let mut fields = [httparse::EMPTY_HEADER; TRAILER_FIELDS_MAX];
        match httparse::parse_headers(window, &mut fields) {
            Ok(httparse::Status::Complete((length, _))) => {
                input.advance(length);
                Ok(true)
            }
            Ok(httparse::Status::Partial) if window.len() < self.trailers_max => Ok(false),
            Ok(httparse::Status::Partial) => Err(Fault::LongHead),
            Err(_) => Err(Fault::Chunk),
        }
    }
}

fn take_end(input: &mut BytesMut) -> Result<Option<Stage>, Fault> {
    match input.as_ref() {
        [b'\r', b'\n', ..] => {
            input.advance(2);
            Ok(Some(Stage::ChunkSize))
        }
        [] | [b'\r'] => Ok(None),
        _ => Err(Fault::Chunk),
    }
}
