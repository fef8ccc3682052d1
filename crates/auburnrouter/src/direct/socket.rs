//! A caller's socket, read only when it may have bytes.
//!
//! Invariant: whoever is told to wait is woken when it needn't any more.

use core::task::{Context, Poll, ready};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

use smol::{Async, net};

/// The socket, and whether it may have bytes to read. Once it has none, trying
/// again at each wake-up would cost a system call a time, which on a fraction of
/// a core is felt.
pub struct Socket {
    stream: Arc<Async<TcpStream>>,
    readable: bool,
}

impl Socket {
    /// Wraps a connection that was accepted.
    pub fn new(stream: net::TcpStream) -> Self {
        Self {
            stream: stream.into(),
            readable: true,
        }
    }

    /// Reads what is there; 0 at the caller's end.
    pub fn poll_read(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            if !self.readable {
                ready!(self.stream.poll_readable(cx))?;
                self.readable = true;
            }
            match self.stream.get_ref().read(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => return Poll::Ready(read),
            }
        }
    }

    /// Writes as much as the socket takes.
    pub fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.stream.get_ref().write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.stream.poll_writable(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Says that nothing more will be written.
    pub fn close(&self) {
        // The caller may have left already.
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }
}
