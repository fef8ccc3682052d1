//! A request's body, out of the bytes that follow its head.
//!
//! Invariant: a chunked body is taken only in the one form that all readers
//! understand alike; anything else is a fault, never a guess.

use bytes::{Buf, Bytes, BytesMut};

use crate::fault::Fault;
use crate::head::Framing;

/// Longest line that gives a chunk's size; callers' lines have under ten bytes.
const CHUNK_LINE_BYTES_MAX: usize = 1024;

/// Most fields behind the last chunk.
const TRAILER_FIELDS_MAX: usize = 32;

/// The body of one request while it arrives.
#[derive(Debug)]
pub struct Body {
    stage: Stage,
    /// What has arrived.
    bytes: BytesMut,
    /// Longest body.
    bytes_max: usize,
    /// Longest fields behind the last chunk.
    trailers_max: usize,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    /// So many bytes are due.
    Length(usize),
    /// A line with a chunk's size is due.
    ChunkSize,
    /// So many bytes of a chunk are due.
    ChunkData(usize),
    /// The end of a chunk's line is due.
    ChunkEnd,
    /// Fields behind the last chunk, up to an empty line.
    Trailers,
}

impl Body {
    /// A body of at most `bytes_max` bytes, with at most `trailers_max` behind its chunks.
    ///
    /// # Errors
    /// If its head says that it is longer.
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

    /// Bytes held.
    #[must_use]
    pub fn buffered(&self) -> usize {
        self.bytes.len()
    }

    /// Takes what is its own from `input`; gives the body once it is whole.
    ///
    /// # Errors
    /// If a chunk can't be read or the body is too long.
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

    /// Moves up to `left` bytes; what is still due.
    fn take_data(&mut self, input: &mut BytesMut, left: usize) -> usize {
        let length = left.min(input.len());
        self.bytes.extend_from_slice(&input[..length]);
        input.advance(length);
        left - length
    }

    fn take_size(&mut self, input: &mut BytesMut) -> Result<Option<Stage>, Fault> {
        let window = &input[..input.len().min(CHUNK_LINE_BYTES_MAX)];
        // The parser lets any byte pass behind a semicolon, also a line's end
        // that other readers would take for one.
        let line = window.iter().position(|b| *b == b'\n');
        if line.is_some_and(|at| at == 0 || window[at - 1] != b'\r') {
            return Err(Fault::Chunk);
        }
        let (length, size) = match httparse::parse_chunk_size(window) {
            Ok(httparse::Status::Complete(found)) => found,
            Ok(httparse::Status::Partial) if window.len() < CHUNK_LINE_BYTES_MAX => {
                return Ok(None);
            }
            Ok(httparse::Status::Partial) | Err(_) => return Err(Fault::Chunk),
        };
        // A line without a digit is no size, though the parser takes it for 0.
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

    /// Whether the fields behind the last chunk have ended. They are dropped:
    /// nothing that matters may come behind the body.
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
