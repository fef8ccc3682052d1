//! Non-blocking TCP socket of a caller's connection.
//!
//! Invariant: a poll that returns pending has registered the task's waker for the
//! direction it waits for.

use core::task::{Context, Poll, ready};
use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;

use smol::{Async, net};

/// TCP socket that remembers whether it may be readable. Trying to read at each wake-up
/// of the task would cost a system call each time, which matters on a fraction of a
/// core.
pub struct Socket {
    stream: Arc<Async<TcpStream>>,
    is_readable: bool,
}

impl Socket {
    /// Takes over an accepted stream.
    pub fn new(stream: net::TcpStream) -> Self {
        Self {
            stream: stream.into(),
            is_readable: true,
        }
    }

    /// Reads available bytes; 0 at end of stream.
    pub fn poll_read(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            if !self.is_readable {
                ready!(self.stream.poll_readable(cx))?;
                self.is_readable = true;
            }
            match self.stream.get_ref().read(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => self.is_readable = false,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Writes as many bytes as the socket accepts; returns their number.
    pub fn poll_write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        loop {
            match self.stream.get_ref().write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.stream.poll_writable(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                result => return Poll::Ready(result),
            }
        }
    }

    /// Shuts down the write side.
    pub fn shutdown_write(&self) {
        // Fails if the caller has disconnected already, which needs no handling.
        let _ = self.stream.get_ref().shutdown(Shutdown::Write);
    }
}
