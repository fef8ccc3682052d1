//! A caller's connection that can't be held open for nothing.
//!
//! Invariant: a request arrives whole within the time allowed, an answer is
//! taken within the time allowed, an idle connection is closed, and what a
//! caller sends ahead of its answer is bounded.

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
    /// Time for a request to arrive, and for an answer to be taken.
    pub transfer_time: Duration,
    /// Time a connection may lie idle.
    pub idle_time: Duration,
    /// Bytes a caller may send before it takes an answer.
    pub unanswered_max: usize,
}

/// Set while a request is served, so that waiting for its answer isn't taken
/// for a caller that sends slowly.
#[derive(Clone, Debug, Default)]
pub struct ServingFlag(Arc<AtomicBool>);

impl ServingFlag {
    /// Says that a whole request is in hand.
    pub fn begin(&self) {
        self.0.store(true, Ordering::Relaxed);
    }

    fn end(&self) {
        self.0.store(false, Ordering::Relaxed);
    }

    fn is_on(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A request on a guarded connection.
pub type Conn = trillium_http::Conn<Guarded>;

/// The connection.
pub struct Guarded {
    stream: net::TcpStream,
    bounds: Bounds,
    serving: ServingFlag,
    timer: Option<smol::Timer>,
    unanswered_bytes: usize,
    timeout_reply: &'static [u8],
}

impl Guarded {
    /// Guards a connection; a request that is not whole in time gets `timeout_reply`.
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

    /// The mark to set while a request is served.
    #[must_use]
    pub fn serving(&self) -> ServingFlag {
        self.serving.clone()
    }

    fn expired(&mut self, cx: &mut Context<'_>, span: Duration) -> bool {
        let timer = self.timer.get_or_insert_with(|| smol::Timer::after(span));
        Pin::new(timer).poll(cx).is_ready()
    }

    fn read_pending(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.serving.is_on() {
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
            // Best effort: whoever sends this slowly may not read either.
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
