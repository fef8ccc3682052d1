//! A connection with time and size limits against slow or greedy callers.
//!
//! Invariant: receiving a request has a time limit, and so has a write of the answer
//! that makes no progress; an idle connection is closed; and the bytes that a caller
//! sends before the answer are bounded.

use core::pin::Pin;
use core::task::{Context, Poll};
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use futures_lite::{AsyncRead, AsyncWrite};
use smol::net;

/// Bounds on one connection.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Maximum time to receive a request, and for a write of the answer to progress.
    pub transfer_time: Duration,
    /// Maximum time without a request.
    pub idle_time: Duration,
    /// Maximum number of bytes received before an answer is written.
    pub unanswered_max: usize,
}

/// Set while a request is served, so that the wait for its answer doesn't count as
/// a slow caller.
#[derive(Clone, Debug, Default)]
pub struct ServingFlag(Arc<AtomicBool>);

impl ServingFlag {
    /// Marks a request as received completely.
    pub fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn end(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// An HTTP exchange on a guarded connection.
pub type Conn = trillium_http::Conn<Guarded>;

/// A TCP stream that enforces [`Bounds`].
pub struct Guarded {
    stream: net::TcpStream,
    bounds: Bounds,
    serving: ServingFlag,
    timer: Option<smol::Timer>,
    unanswered_bytes: usize,
    timeout_reply: &'static [u8],
}

impl Guarded {
    /// Wraps a stream; `timeout_reply` is sent if a request is incomplete at its time
    /// limit.
    #[must_use]
    pub fn new(stream: net::TcpStream, bounds: Bounds, timeout_reply: &'static [u8]) -> Self {
        Self {
            stream,
            bounds,
            serving: ServingFlag::default(),
            timer: None,
            unanswered_bytes: 0,
            timeout_reply,
        }
    }

    /// Flag to set while a request is served.
    #[must_use]
    pub fn serving(&self) -> ServingFlag {
        self.serving.clone()
    }

    fn expired(&mut self, cx: &mut Context<'_>, span: Duration) -> bool {
        let timer = self.timer.get_or_insert_with(|| smol::Timer::after(span));
        Pin::new(timer).poll(cx).is_ready()
    }

    fn read_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.serving.is_set() {
            return Poll::Pending;
        }
        let has_begun = self.unanswered_bytes > 0;
        let span = if has_begun {
            self.bounds.transfer_time
        } else {
            self.bounds.idle_time
        };
        if !self.expired(cx, span) {
            return Poll::Pending;
        }
        if has_begun {
            // Best effort: a caller that sends this slowly may not read either.
            let _ = Pin::new(&mut self.stream).poll_write(cx, self.timeout_reply);
            return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        Poll::Ready(Ok(0))
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_read(cx, buf) {
            Poll::Pending => self.read_pending(cx),
            Poll::Ready(Ok(len)) => {
                if self.unanswered_bytes == 0 {
                    self.timer = None;
                }
                self.unanswered_bytes += len;
                if self.unanswered_bytes > self.bounds.unanswered_max {
                    return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
                }
                Poll::Ready(Ok(len))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
        }
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        match Pin::new(&mut self.stream).poll_write(cx, buf) {
            Poll::Pending => {
                let span = self.bounds.transfer_time;
                if self.expired(cx, span) {
                    return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
                }
                Poll::Pending
            }
            ready @ Poll::Ready(_) => {
                self.timer = None;
                self.unanswered_bytes = 0;
                self.serving.end();
                ready
            }
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}

impl trillium_http::transport::Transport for Guarded {}
