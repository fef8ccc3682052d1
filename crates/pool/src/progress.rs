//! Bound on the bytes that a peer may send while its response makes no progress.
//!
//! Interim responses one after the other, or zeros in front of a chunk's size, parse for
//! as long as they come. The library reads on while there are bytes, so a fast peer would
//! also keep every other task of the thread from running.
//!
//! Invariant: before the first piece of a body and between two pieces, no more than the
//! bound is read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use futures_lite::{AsyncRead, AsyncWrite};
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use smol::net::TcpStream;

use crate::Error;

/// Bytes that may still be read from a connection without progress.
#[derive(Clone, Debug)]
pub(crate) struct Allowance {
    left: Arc<AtomicUsize>,
    bound: usize,
}

impl Allowance {
    pub(crate) fn new(bound: usize) -> Self {
        Self {
            left: Arc::new(AtomicUsize::new(bound)),
            bound,
        }
    }

    /// Allows the whole bound again, as the response makes progress or a request is sent.
    pub(crate) fn renew(&self) {
        self.left.store(self.bound, Ordering::Relaxed);
    }

    pub(crate) fn is_used_up(&self) -> bool {
        self.left.load(Ordering::Relaxed) == 0
    }

    fn spend(&self, bytes: usize) {
        let left = self.left.load(Ordering::Relaxed);
        self.left
            .store(left.saturating_sub(bytes), Ordering::Relaxed);
    }
}

/// Connection that fails once its allowance is used up.
#[derive(Debug)]
pub(crate) struct Metered {
    pub(crate) stream: TcpStream,
    pub(crate) allowance: Allowance,
}

impl AsyncRead for Metered {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.allowance.is_used_up() {
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if let Poll::Ready(Ok(bytes)) = read {
            self.allowance.spend(bytes);
        }
        read
    }
}

impl AsyncWrite for Metered {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}

/// Body of a response.
#[derive(Debug)]
pub struct ResponseBody {
    pub(crate) incoming: Incoming,
    pub(crate) allowance: Allowance,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let frame = Pin::new(&mut self.incoming).poll_frame(context);
        frame.map(|frame| {
            let frame = frame?;
            match &frame {
                Ok(frame) if frame.data_ref().is_some_and(|data| !data.is_empty()) => {
                    self.allowance.renew();
                }
                _ => {}
            }
            Some(frame.map_err(|error| self.fault(&error)))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

impl ResponseBody {
    /// Whether the bytes of the body were wrong, or the connection broke.
    fn fault(&self, error: &hyper::Error) -> Error {
        let source = std::error::Error::source(error);
        let source = source.and_then(|source| source.downcast_ref::<io::Error>());
        let kind = source.map(io::Error::kind);
        let is_invalid = matches!(
            kind,
            Some(io::ErrorKind::InvalidData | io::ErrorKind::InvalidInput)
        );
        if is_invalid || self.allowance.is_used_up() {
            Error::Malformed
        } else {
            Error::Broken
        }
    }
}
