//! Buffer for the body of an answer.
//!
//! Long bodies lie in pages of their own. The allocator keeps what is freed between
//! other blocks; pages are given back to the system with the last reference to the body.
//!
//! Invariant: the capacity of a buffer is charged before it is allocated.

use std::io;

use bytes::Bytes;
use memmap2::MmapMut;

/// Length from which on a body has pages of its own.
const MAPPED_BYTES_MIN: usize = 64 * 1024;

/// A body that is being read.
#[derive(Debug)]
pub enum Buffer {
    /// A short one.
    Heap(Vec<u8>),
    /// A long one.
    Mapped(Mapped),
}

/// Pages, filled up to a length.
#[derive(Debug)]
pub struct Mapped {
    pages: MmapMut,
    length: usize,
}

impl AsRef<[u8]> for Mapped {
    fn as_ref(&self) -> &[u8] {
        &self.pages[..self.length]
    }
}

impl Buffer {
    /// An empty buffer.
    ///
    /// # Errors
    /// The system has no memory for it.
    pub fn with_capacity(capacity: usize) -> io::Result<Self> {
        if capacity < MAPPED_BYTES_MIN {
            return Ok(Self::Heap(Vec::with_capacity(capacity)));
        }
        Ok(Self::Mapped(Mapped {
            pages: MmapMut::map_anon(capacity)?,
            length: 0,
        }))
    }

    /// Bytes that it has room for.
    pub fn capacity(&self) -> usize {
        match self {
            Self::Heap(bytes) => bytes.capacity(),
            Self::Mapped(mapped) => mapped.pages.len(),
        }
    }

    /// Bytes in it.
    pub fn len(&self) -> usize {
        self.as_slice().len()
    }

    /// Adds bytes, for which it must have room.
    pub fn push(&mut self, data: &[u8]) {
        match self {
            Self::Heap(bytes) => bytes.extend_from_slice(data),
            Self::Mapped(mapped) => {
                let end = mapped.length + data.len();
                mapped.pages[mapped.length..end].copy_from_slice(data);
                mapped.length = end;
            }
        }
    }

    /// The same bytes with room for more.
    ///
    /// # Errors
    /// The system has no memory for it.
    pub fn grow(self, capacity: usize) -> io::Result<Self> {
        let mut larger = Self::with_capacity(capacity)?;
        larger.push(self.as_slice());
        Ok(larger)
    }

    /// The complete body.
    pub fn freeze(self) -> Bytes {
        match self {
            Self::Heap(bytes) => Bytes::from(bytes),
            Self::Mapped(mapped) => Bytes::from_owner(mapped),
        }
    }

    fn as_slice(&self) -> &[u8] {
        match self {
            Self::Heap(bytes) => bytes,
            Self::Mapped(mapped) => mapped.as_ref(),
        }
    }
}
